package virtual

import "zinniapulley.dev/claim"

// claimLog is a fake of the replicated log of claims. It commits commands in batches,
// one batch at a time.
type claimLog struct {
	waiting []func()
	busy    bool
	// commands and batches count those committed.
	commands int
	batches  int
}

// Committed returns the number of commands that the log of claims has committed, and
// of their batches.
func (s *Simulation) Committed() (commands, batches int) {
	return s.log.commands, s.log.batches
}

// commit sends a command to the log. It calls resolved with the result after the
// command was applied, or lost if no result arrives.
func (s *Simulation) commit(command claim.Command, resolved func(claim.Result), lost func()) {
	s.send(true, func() { s.append(command, resolved, lost) }, lost)
}

// append adds a command to the next batch. Without a leader the proposer's call times
// out, and the command is appended later.
func (s *Simulation) append(command claim.Command, resolved func(claim.Result), lost func()) {
	if s.leaderless {
		wait := s.options.Network.Timeout
		s.After(wait, lost)
		s.After(wait, func() { s.append(command, func(claim.Result) {}, func() {}) })
		return
	}
	s.log.waiting = append(s.log.waiting, func() {
		result := s.claims.Apply(command)
		s.send(true, func() { resolved(result) }, lost)
	})
	s.writeBatch()
}

func (s *Simulation) writeBatch() {
	if s.log.busy || len(s.log.waiting) == 0 {
		return
	}
	batch := s.log.waiting
	s.log.waiting = nil
	s.log.busy = true
	s.After(s.options.Commit, func() {
		s.log.busy = false
		s.log.commands += len(batch)
		s.log.batches++
		for _, apply := range batch {
			apply()
		}
		s.writeBatch()
	})
}
