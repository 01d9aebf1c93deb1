package config

import "zinniapulley.dev/core"

// Bounds of what is kept of each team's submissions. The oldest goes first.
const (
	// MaxAnswersPerTeam is the most answers kept for resends.
	MaxAnswersPerTeam = 1024
	// MaxFaultsPerTeam is the most faults kept with them.
	MaxFaultsPerTeam = 16384
	// MaxFaults is the most faults of one answer.
	MaxFaults = 1000
)

// KeptAnswer is the first answer to a submission, kept for resends.
type KeptAnswer struct {
	Request RequestID
	Digest  Digest
	Answer  Answer
}

// answers holds the last answers of one team, oldest first.
type answers struct {
	kept   []KeptAnswer
	faults int
	// place holds, for each request, its place in kept plus dropped.
	place   map[RequestID]int
	dropped int
}

func (s *State) answersOf(team core.Team) *answers {
	kept, ok := s.answers[team]
	if !ok {
		kept = &answers{place: make(map[RequestID]int)}
		s.answers[team] = kept
	}
	return kept
}

func (a *answers) find(request RequestID) (KeptAnswer, bool) {
	place, ok := a.place[request]
	if !ok {
		return KeptAnswer{}, false
	}
	return a.kept[place-a.dropped], true
}

func (a *answers) add(answer KeptAnswer) {
	a.place[answer.Request] = a.dropped + len(a.kept)
	a.kept = append(a.kept, answer)
	a.faults += len(answer.Answer.Faults)
	for len(a.kept) > MaxAnswersPerTeam || a.faults > MaxFaultsPerTeam {
		a.dropOldest()
	}
}

func (a *answers) dropOldest() {
	oldest := a.kept[0]
	delete(a.place, oldest.Request)
	a.faults -= len(oldest.Answer.Faults)
	a.kept = a.kept[1:]
	a.dropped++
}
