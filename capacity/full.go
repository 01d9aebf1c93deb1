package capacity

import "time"

// knownShare is the part of the servers that admit flows whose state must be known before
// all count as full. A machine that has just died doesn't prevent the decision.
const knownShare = 0.75

// startShare is the part of the objective, less the run time, that a request may wait for a
// slot. Companions queue ordinary requests for up to a third of the objective; a flow that
// would be refused there is spared the way. Reports are up to 0.3 s old: in the replay of an
// overload of 125%, with the whole time allowed, 0.27 of what the slots sustain was answered
// in time, with 0.6 or less of it all.
const startShare = 1. / 3

// Request is what the decision whether any server can start a request depends on.
type Request struct {
	// Objective is the time in which the caller expects the answer; Timeout replaces it
	// once that has passed, since a late answer still counts.
	Objective, Timeout time.Duration
	// Elapsed is how long the caller has waited at least.
	Elapsed time.Duration
	// Urgent is set for a request that overtakes those that wait.
	Urgent bool
}

// startLimits returns how long the request may wait for a slot where it runs for the given
// time, and how long it could wait if nothing else came.
func (r Request) startLimits(run time.Duration) (limit, remaining time.Duration) {
	remaining = r.Objective - r.Elapsed - run
	if remaining <= 0 {
		remaining = r.Timeout - r.Elapsed - run
		return remaining, remaining
	}
	return min(remaining, time.Duration(startShare*float64(r.Objective-run))), remaining
}

// Room tells whether a request can be started in time by any of the servers added.
type Room struct {
	// Servers is how many servers with known state were added, Silent how many others.
	Servers, Silent int
	// Slots and Running are sums over the servers with known state.
	Slots, Running int
	// ShortestWait is the shortest wait for a slot, Limit how long the request may wait
	// there, and Remaining how long it could wait if nothing else came.
	ShortestWait, Limit, Remaining time.Duration
	// Age is the age of the oldest report used.
	Age time.Duration
	// found is set once a server can start the request in time.
	found bool
}

// Add counts a server that the request may go to, with the age of its last report. extra
// requests were sent there since.
func (r *Room) Add(request Request, s Server, extra int, age time.Duration) {
	if request.Urgent {
		s.Running -= min(s.Waiting, s.Running)
	}
	wait := s.WaitTime(extra)
	limit, remaining := request.startLimits(s.run())
	if wait == 0 || wait <= limit {
		r.found = true
	}
	if r.Servers == 0 || wait < r.ShortestWait {
		r.ShortestWait, r.Limit, r.Remaining = wait, limit, remaining
	}
	r.Servers++
	r.Slots += s.Slots
	r.Running += s.Running + extra
	r.Age = max(r.Age, age)
}

// AddSilent counts a server that the request may go to and whose state isn't known.
func (r *Room) AddSilent() { r.Silent++ }

// Found reports whether a server can start the request in time.
func (r *Room) Found() bool { return r.found }

// None reports whether no server can start the request in time.
func (r *Room) None() bool {
	known := float64(r.Servers) >= knownShare*float64(r.Servers+r.Silent)
	return r.Servers > 0 && known && !r.found
}

// MayCome reports whether a server may yet have room for the request in time.
func (r *Room) MayCome() bool { return r.ShortestWait <= r.Remaining }
