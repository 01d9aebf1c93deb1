package gate

import "time"

const (
	// failureWeight is the weight of the last request in the mean: about the last five
	// requests count.
	failureWeight = 0.2
	// failingShare is the failure share from which a backend server counts as failing.
	failingShare = 0.5
	// minRetryPause and maxRetryPause bound the time until a failing backend server is
	// tried again. The time doubles with each trial that fails.
	minRetryPause = time.Second
	maxRetryPause = 8 * time.Second
	// trialInterval is the time between new flows to a backend server on trial.
	trialInterval = 250 * time.Millisecond
	// stallFactor is how many mean answer times may pass without any answer while
	// requests wait, and stallAfter the least such time.
	stallFactor = 5
	stallAfter  = 300 * time.Millisecond
	// answerTimeWeight is the weight of the last answer's time in the mean.
	answerTimeWeight = 0.1
)

// health tracks how requests end at a backend server. A server whose requests fail
// at once looks idle, and must not attract new flows by that.
type health struct {
	// failureShare is the moving average of failures among the last requests.
	failureShare float64
	// retryAt is when a failing backend server is tried again, zero for one that isn't
	// failing; retryPause is the length of that wait, lastTrial the last trial flow.
	retryAt    time.Time
	retryPause time.Duration
	lastTrial  time.Time
	// lastProgress is when the last request was answered or, if none was running, when
	// one began.
	lastProgress time.Time
	// meanAnswerTime is the moving average of the time to an answer.
	meanAnswerTime time.Duration
}

// answered records an answer and the time that it took.
func (h *health) answered(now time.Time, took time.Duration) {
	h.meanAnswerTime = smooth(h.meanAnswerTime, took, answerTimeWeight)
	h.failureShare -= failureWeight * h.failureShare
	if h.failureShare < failingShare {
		h.retryAt = time.Time{}
	}
}

// failure records a request without an answer, or whose answer reports a failure.
func (h *health) failure(now time.Time) {
	h.failureShare += failureWeight * (1 - h.failureShare)
	switch {
	case h.failureShare < failingShare:
	case h.retryAt.IsZero():
		h.retryPause = minRetryPause
		h.retryAt = now.Add(h.retryPause)
	case h.onTrial(now):
		h.retryPause = min(2*h.retryPause, maxRetryPause)
		h.retryAt = now.Add(h.retryPause)
	}
}

// onTrial reports whether a failing backend server is being tried again.
func (h *health) onTrial(now time.Time) bool {
	return !h.retryAt.IsZero() && !now.Before(h.retryAt)
}

// allowFlow reports whether the backend server's health permits a new flow. A server
// on trial gets one flow per trialInterval.
func (h *health) allowFlow(now time.Time) bool {
	if !h.onTrial(now) {
		return true
	}
	if now.Sub(h.lastTrial) < trialInterval {
		return false
	}
	h.lastTrial = now
	return true
}

// failing reports whether new flows should go elsewhere.
func (h *health) failing(now time.Time, running int) bool {
	return now.Before(h.retryAt) || (running > 0 && now.Sub(h.lastProgress) > h.stallTimeout())
}

// stallTimeout is how long requests may wait without any being answered.
func (h *health) stallTimeout() time.Duration {
	return max(stallAfter, stallFactor*h.meanAnswerTime)
}
