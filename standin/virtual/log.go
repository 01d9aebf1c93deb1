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
func (w *Simulation) Committed() (commands, batches int) {
	return w.log.commands, w.log.batches
}

// commit sends a command to the log. It calls resolved with the result after the
// command was applied, or lost if no result arrives.
func (w *Simulation) commit(command claim.Command, resolved func(claim.Result), lost func()) {
	w.send(true, func() { w.append(command, resolved, lost) }, lost)
}

// append adds a command to the next batch. Without a leader the proposer's call times
// out, and the command is appended later.
func (w *Simulation) append(command claim.Command, resolved func(claim.Result), lost func()) {
	if w.leaderless {
		wait := w.options.Network.Timeout
		w.After(wait, lost)
		w.After(wait, func() { w.append(command, func(claim.Result) {}, func() {}) })
		return
	}
	w.log.waiting = append(w.log.waiting, func() {
		result := w.claims.Apply(command)
		w.send(true, func() { resolved(result) }, lost)
	})
	w.writeBatch()
}

func (w *Simulation) writeBatch() {
	if w.log.busy || len(w.log.waiting) == 0 {
		return
	}
	batch := w.log.waiting
	w.log.waiting = nil
	w.log.busy = true
	w.After(w.options.Commit, func() {
		w.log.busy = false
		w.log.commands += len(batch)
		w.log.batches++
		for _, apply := range batch {
			apply()
		}
		w.writeBatch()
	})
}
