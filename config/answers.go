package config

import "zinniapulley.dev/core"

// Limits of the answers kept for each team. The oldest are evicted first.
const (
	// MaxAnswersPerTeam is the maximum number of answers kept for resends.
	MaxAnswersPerTeam = 1024
	// MaxFaultsPerTeam is the maximum number of faults in those answers.
	MaxFaultsPerTeam = 16384
	// MaxFaults is the maximum number of faults of one answer.
	MaxFaults = 1000
)

// KeptAnswer is the first answer to a submission, kept for resends.
type KeptAnswer struct {
	Request RequestID
	Digest  Digest
	Answer  Answer
}

// answers holds the latest answers to one team, oldest first.
type answers struct {
	kept   []KeptAnswer
	faults int
	// positions holds, for each request, its index in kept plus dropped.
	positions map[RequestID]int
	dropped   int
}

func (s *State) answersOf(team core.Team) *answers {
	kept, ok := s.answers[team]
	if !ok {
		kept = &answers{positions: make(map[RequestID]int)}
		s.answers[team] = kept
	}
	return kept
}

func (a *answers) find(request RequestID) (KeptAnswer, bool) {
	position, ok := a.positions[request]
	if !ok {
		return KeptAnswer{}, false
	}
	return a.kept[position-a.dropped], true
}

func (a *answers) add(answer KeptAnswer) {
	a.positions[answer.Request] = a.dropped + len(a.kept)
	a.kept = append(a.kept, answer)
	a.faults += len(answer.Answer.Faults)
	for len(a.kept) > MaxAnswersPerTeam || a.faults > MaxFaultsPerTeam {
		a.dropOldest()
	}
}

func (a *answers) dropOldest() {
	oldest := a.kept[0]
	delete(a.positions, oldest.Request)
	a.faults -= len(oldest.Answer.Faults)
	a.kept = a.kept[1:]
	a.dropped++
}
