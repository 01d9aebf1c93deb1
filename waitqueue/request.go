package waitqueue

import (
	"math"
	"net/netip"
	"time"

	"zinniapulley.dev/core"
)

const (
	// runMargin is the multiple of the mean run time that a request needs to be answered in
	// time with a probability of about 0.9: run times vary log-normally, with a spread of
	// about 0.5, and the mean includes a few requests that run several times as long.
	runMargin = 1.5
	// maxWaitShare is the part of its objective that a request may be expected to wait when
	// it joins the queue. With longer waits more requests are overtaken and refused late, and
	// the few that run several times as long as the mean are all late.
	maxWaitShare = 1. / 3
	// overtakenWaitShare is the same while starts go to higher priorities. With the share
	// above, a part of those that waited was overtaken and refused after more than 100 ms.
	overtakenWaitShare = 0.2
	// urgentWaitShare is the same for requests that none of a higher priority overtake, while
	// starts go to lower priorities, which make room.
	urgentWaitShare = 0.5
	// attemptLimit is the time after its first packet at which a caller abandons an attempt
	// that got no answer to its opening packet.
	attemptLimit = 1400 * time.Millisecond
	// unmeasuredQueue is how many requests per slot, started or waiting, are accepted while
	// the interval between answers isn't known. After an outage all callers reached the
	// first backend server within milliseconds.
	unmeasuredQueue = 2
	// lateQueue is how many late requests per slot are accepted. They get little more than
	// the floor, so that a longer queue of them adds work and no starts.
	lateQueue = 2
)

// Request is a request whose opening packet waits, or may have to wait.
type Request struct {
	Key      core.FlowKey
	Route    string
	Priority int
	// Origin is the entry instance that sent the packet.
	Origin netip.AddrPort
	// Arrived is when the packet arrived. Elapsed is the minimum time that the caller had
	// already waited then.
	Arrived time.Time
	Elapsed time.Duration
	// Objective and Timeout are those of the route, zero for none.
	Objective, Timeout time.Duration
}

// waited returns the minimum time that the caller has waited.
func (r *Request) waited(now time.Time) time.Duration { return r.Elapsed + now.Sub(r.Arrived) }

// Room describes the capacity of the backend server.
type Room struct {
	Slots int
	// Taken counts the requests that run or wait at the backend server, and those that
	// were started and are expected there.
	Taken int
	// Interval is the mean time between two answers while all slots are taken, zero while
	// unknown, and Run the mean run time.
	Interval, Run time.Duration
	// Handshake is the mean time from the delivery of an opening packet to its request.
	Handshake time.Duration
}

// Places returns how many requests may be started and unanswered. Beyond the slots these
// are as many as usually become free during a handshake, so that no slot stays empty
// meanwhile: the mean, and the spread of a random number with that mean.
func (r Room) Places() int {
	if r.Slots <= 0 {
		return 0
	}
	allowance := 1.
	if r.Run > 0 {
		freed := float64(r.Slots) * float64(r.Handshake) / float64(r.Run)
		allowance = max(math.Ceil(freed+math.Sqrt(freed)), 1)
	}
	return r.Slots + min(int(allowance), r.Slots)
}

// Free reports whether a request may be started.
func (r Room) Free() bool { return r.Taken < r.Places() }

// turn returns when a request is started that goes after so many others.
func (r Room) turn(ahead int) time.Duration {
	return time.Duration(max(r.Taken-r.Places()+ahead+1, 0)) * r.Interval
}

// needed returns the time from the start of a request that suffices for its answer.
func (r Room) needed() time.Duration { return r.Handshake + time.Duration(runMargin*float64(r.Run)) }

// limit returns how long a request whose caller has waited may still wait at all: after
// that its caller abandons the attempt, or doesn't get the answer before the route's timeout.
func (r Room) limit(waited, timeout time.Duration) time.Duration {
	left := attemptLimit - waited - r.Handshake
	if timeout > 0 {
		left = min(left, timeout-waited-r.Handshake-r.Run)
	}
	return left
}

// Verdict is what is done with a request that is offered.
type Verdict uint8

// The verdicts.
const (
	// Start delivers the request's packet now.
	Start Verdict = iota + 1
	// Wait keeps the packet in the queue.
	Wait
	// Refuse returns the packet.
	Refuse
)

// Reason is why a request is started, waits or is refused. Its string is a log and metric
// value.
type Reason uint8

// The reasons.
const (
	ReasonNone Reason = iota
	// ReasonPlaceFree: a place was free, and nothing waited.
	ReasonPlaceFree
	// ReasonInTime: it went first of those that can be answered in time.
	ReasonInTime
	// ReasonLate: it is late, and none that can be answered in time waited.
	ReasonLate
	// ReasonFloor: its route, its origin or the late requests had got less than the floor.
	ReasonFloor
	// ReasonNoPlace: all places are taken.
	ReasonNoPlace
	// ReasonNoChance: it would get no place in time.
	ReasonNoChance
	// ReasonAbandoned: its caller would abandon the attempt before its turn.
	ReasonAbandoned
	// ReasonFull: the queue is full, or holds enough late requests, and it would go last.
	ReasonFull
	// ReasonNotAdmitted: the backend server takes no such flow any more.
	ReasonNotAdmitted

	// ReasonCount is the number of reasons, for arrays of counters.
	ReasonCount
)

var reasonNames = [ReasonCount]string{
	"none", "place free", "in time", "late", "floor", "no place", "no chance", "abandoned", "full", "not admitted",
}

// String returns the reason in words.
func (r Reason) String() string {
	if r >= ReasonCount {
		return "unknown"
	}
	return reasonNames[r]
}

// Outcome is a request that leaves the queue, and why.
type Outcome struct {
	Request Request
	Reason  Reason
	// Waited is how long the request was in the queue.
	Waited time.Duration
}
