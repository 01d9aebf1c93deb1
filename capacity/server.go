package capacity

import (
	"math"
	"slices"
	"time"
)

const (
	// sameRunFactor is how far a measured run time may be from the median of its service
	// before the server counts as faster or slower than others: the means of about 40
	// requests of equal servers differ by up to 1.5 when 3% of the requests take 7 times
	// as long.
	sameRunFactor = 1.5
	// sameRunDifference is a difference between run times that callers don't notice. With
	// requests of a millisecond the means of equal servers differ by more than the factor,
	// and all flows went to one of four.
	sameRunDifference = 5 * time.Millisecond
	// countVariance is how far the number of requests found on arrival varies about the
	// load, in requests squared. It gives the expected wait of Poisson arrivals at four
	// slots within 0.15 of a request.
	countVariance = 0.45
)

// Server is the state of one backend server.
type Server struct {
	// Slots is how many requests it runs at once.
	Slots int
	// Running is how many requests have no answer yet, those that wait included, and
	// Waiting how many of them more urgent ones may overtake.
	Running, Waiting int
	// Interval is the measured mean time between two answers while all slots are taken,
	// and Run the measured mean run time; zero while unknown.
	Interval, Run time.Duration
	// Cold is set while it is slower than normal since it has just started.
	Cold bool
}

// Assume returns the server with the median run time of its service if its own is
// unknown, or so close to the median that chance explains the difference.
func (s Server) Assume(median time.Duration) Server {
	if median <= 0 {
		return s
	}
	if s.Run <= 0 || same(s.Run, median, sameRunDifference) {
		s.Run = median
	}
	slots := time.Duration(max(s.Slots, 1))
	typical := s.Run / slots
	if s.Interval <= 0 || same(s.Interval, typical, sameRunDifference/slots) {
		s.Interval = typical
	}
	return s
}

// same reports whether two times differ by little enough to be those of equal servers.
func same(a, b, difference time.Duration) bool {
	low, high := min(a, b), max(a, b)
	return float64(high) <= sameRunFactor*float64(low) || high-low <= difference
}

// interval returns the time between two answers while all slots are taken, zero if it
// is unknown.
func (s Server) interval() time.Duration {
	if s.Interval > 0 {
		return s.Interval
	}
	return s.Run / time.Duration(max(s.Slots, 1))
}

// run returns the run time of a request, zero if it is unknown.
func (s Server) run() time.Duration {
	if s.Run > 0 {
		return s.Run
	}
	return s.Interval * time.Duration(max(s.Slots, 1))
}

// After returns the server without the requests that it may have answered in the time since
// its report, with all slots taken. Entry instances that refuse requests because of a long
// queue must not go on until the next report, when the queue is empty.
func (s Server) After(age time.Duration) Server {
	interval := s.interval()
	if interval > 0 && age > 0 {
		answered := min(int(age/interval), s.Running)
		s.Running -= answered
		s.Waiting = max(s.Waiting-answered, 0)
	}
	return s
}

// Rate returns how many requests it can answer a second, zero if that is unknown.
func (s Server) Rate() float64 {
	interval := s.interval()
	if interval <= 0 {
		return 0
	}
	return float64(time.Second) / float64(interval)
}

// WaitTime returns how long one more request waits for a slot after the running ones and
// extra others. It is zero while a slot is free or the server isn't measured.
func (s Server) WaitTime(extra int) time.Duration {
	ahead := max(s.Running+extra, 0) - max(s.Slots, 1) + 1
	return time.Duration(max(ahead, 0)) * s.interval()
}

// ExpectedTime returns the wait and run time of one more request after the running ones
// and extra others, zero if the server isn't measured.
func (s Server) ExpectedTime(extra int) time.Duration { return s.WaitTime(extra) + s.run() }

// MeanTime returns the expected wait and run time, in nanoseconds, of a request that finds
// a varying number of requests of the given mean. Reports are older than most requests
// take, so that Running is a sample of that number. The result grows with the load also
// while slots are free, so that servers of equal run times are compared by load.
func (s Server) MeanTime(load float64) float64 {
	excess := load - float64(max(s.Slots, 1)-1)
	waiting := (excess + math.Sqrt(excess*excess+4*countVariance)) / 2
	return float64(s.run()) + waiting*float64(s.interval())
}

// Median returns the median of the run times, zero for none. It reorders them.
func Median(runs []time.Duration) time.Duration {
	if len(runs) == 0 {
		return 0
	}
	slices.Sort(runs)
	return runs[len(runs)/2]
}
