package passthrough

import "time"

const (
	// failureWeight is the weight of the request that ended last: about the last
	// five count.
	failureWeight = 0.2
	// failingShare is the share of failures from which a backend server is failing.
	failingShare = 0.5
	// minPause and maxPause bound the time until a failing backend server is tried
	// again. It doubles with each trial that fails.
	minPause = time.Second
	maxPause = 8 * time.Second
	// trialInterval is the time between new flows to one that is tried again.
	trialInterval = 250 * time.Millisecond
	// stallFactor is how many times the usual answer time may pass without any answer
	// while requests wait, and stallAfter the least such time.
	stallFactor = 5
	stallAfter  = 300 * time.Millisecond
	// usualWeight is the weight of an answer's time in the usual one.
	usualWeight = 0.1
)

// health follows how requests end at a backend server. One whose requests fail may
// look idle: it must not draw new flows for that.
type health struct {
	// failed is the running share of failures among the requests that ended last.
	failed float64
	// until is when a failing backend server is tried again; zero for one that isn't
	// failing. pause is how long it waited for that, tried when it was last.
	until time.Time
	pause time.Duration
	tried time.Time
	// progress is when a request was answered last or, after none was waited for,
	// when one began.
	progress time.Time
	// usual is the running mean of the time to an answer.
	usual time.Duration
}

// answered takes an answer and the time that it took.
func (h *health) answered(now time.Time, took time.Duration) {
	h.usual += time.Duration(usualWeight * float64(took-h.usual))
	h.failed -= failureWeight * h.failed
	if h.failed < failingShare {
		h.until = time.Time{}
	}
}

// failure takes a request that got no answer, or one that says that it failed.
func (h *health) failure(now time.Time) {
	h.failed += failureWeight * (1 - h.failed)
	switch {
	case h.failed < failingShare:
	case h.until.IsZero():
		h.pause = minPause
		h.until = now.Add(h.pause)
	case h.onTrial(now):
		h.pause = min(2*h.pause, maxPause)
		h.until = now.Add(h.pause)
	}
}

// onTrial reports whether a failing backend server is being tried again.
func (h *health) onTrial(now time.Time) bool {
	return !h.until.IsZero() && !now.Before(h.until)
}

// try reports whether the backend server may get a new flow as far as its health
// goes. One that is on trial gets one at a time.
func (h *health) try(now time.Time) bool {
	if !h.onTrial(now) {
		return true
	}
	if now.Sub(h.tried) < trialInterval {
		return false
	}
	h.tried = now
	return true
}

// failing reports whether new flows should go elsewhere.
func (h *health) failing(now time.Time, running int) bool {
	return now.Before(h.until) || (running > 0 && now.Sub(h.progress) > h.patience())
}

// patience is how long no request may be answered while some wait.
func (h *health) patience() time.Duration {
	return max(stallAfter, stallFactor*h.usual)
}
