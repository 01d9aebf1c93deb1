package passthrough

import "time"

// Pace is a companion's report of what its backend server is measured to sustain. It isn't
// part of Status, so that processes that don't know it compute the same digests.
type Pace struct {
	// Run is the mean time from a request to its answer without waiting, and Interval the
	// mean time between two answers while all slots are taken; zero while unknown.
	Run, Interval time.Duration
	// Waiting is how many requests wait for a slot.
	Waiting int
	// Users is how many entry instances have just opened flows there. Each of them chooses
	// by reports that don't include what the others send at the same time.
	Users int
}
