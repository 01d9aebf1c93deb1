package publish

import (
	"time"

	"zinniapulley.dev/core"
)

// Verdict is the result of applying an answer.
type Verdict uint8

const (
	// NothingNewer means that the answer carried no newer view.
	NothingNewer Verdict = iota + 1
	// InForce means that the answer put another view in force.
	InForce
	// Older means that the source is behind this process, or behind its floor.
	// The caller should poll another source.
	Older
	// Unconfirmed means that the floor for the first view isn't set yet. The
	// caller should request the current revision from a quorum.
	Unconfirmed
	// Corrupt means that the answer didn't lead to the source's view. The next
	// request is for the whole view.
	Corrupt
)

// String returns the verdict's name.
func (v Verdict) String() string {
	switch v {
	case NothingNewer:
		return "nothing newer"
	case InForce:
		return "in force"
	case Older:
		return "older"
	case Unconfirmed:
		return "unconfirmed"
	case Corrupt:
		return "corrupt"
	default:
		return "unknown"
	}
}

// Follower is the state of a subscriber. It never applies a view older than the
// one in force. After a restart it applies its first view only once its floor
// is set: the revision stored on its disk, or the one that a quorum of the
// control instances confirmed as current after the start. It isn't safe for
// concurrent use.
type Follower struct {
	view   *core.View
	digest Digest
	floor  core.Revision
	// hasFloor is set by SetFloor.
	hasFloor bool
	// needsWhole is set while the next answer must be a whole view.
	needsWhole bool
	// confirmed is when a quorum last confirmed the view in force as current,
	// as far as this process has received.
	confirmed time.Time
}

// NewFollower returns a follower without a view or a floor.
func NewFollower() *Follower {
	return &Follower{view: &core.View{}}
}

// SetFloor raises the floor, the oldest revision that the follower may apply. It
// never lowers it.
func (f *Follower) SetFloor(floor core.Revision) {
	f.floor = max(f.floor, floor)
	f.hasFloor = true
}

// HasFloor reports whether a floor has been set.
func (f *Follower) HasFloor() bool {
	return f.hasFloor
}

// View returns the view in force. Before the first, its revision is zero.
func (f *Follower) View() *core.View {
	return f.view
}

// Confirmed returns when a quorum last confirmed the view in force as current,
// and false if it never did.
func (f *Follower) Confirmed() (time.Time, bool) {
	return f.confirmed, !f.confirmed.IsZero()
}

// Request returns the next request to a source.
func (f *Follower) Request() Request {
	if f.needsWhole {
		return Request{Floor: max(f.floor, f.view.Revision)}
	}
	return Request{Have: f.view.Revision, Digest: f.digest, Floor: f.floor}
}

// Apply applies an answer. sent is when its request was sent; the follower dates
// the confirmation conservatively, to the answer's Age before sent. The error
// describes a Corrupt answer.
func (f *Follower) Apply(sent time.Time, answer Answer) (Verdict, error) {
	if !f.hasFloor {
		return Unconfirmed, nil
	}
	if answer.Current < f.view.Revision || answer.Current < f.floor {
		return Older, nil
	}
	verdict, err := f.applyAnswer(answer)
	if verdict == Corrupt {
		f.needsWhole = true
		return verdict, err
	}
	current := f.view.Revision == answer.Current && f.digest == answer.Digest
	confirmed := sent.Add(-answer.Age)
	if answer.Confirmed && current && confirmed.After(f.confirmed) {
		f.confirmed = confirmed
	}
	return verdict, nil
}

func (f *Follower) applyAnswer(answer Answer) (Verdict, error) {
	switch {
	case answer.View != nil:
		return f.applyWhole(answer)
	case answer.Delta != nil:
		return f.applyDelta(answer)
	default:
		return NothingNewer, nil
	}
}

func (f *Follower) applyWhole(answer Answer) (Verdict, error) {
	err := Check(answer.View, answer.Digest)
	if err != nil {
		return Corrupt, err
	}
	f.needsWhole = false
	if answer.View.Revision < f.view.Revision || answer.View.Revision < f.floor {
		return Older, nil
	}
	return f.activate(answer.View, answer.Digest), nil
}

func (f *Follower) applyDelta(answer Answer) (Verdict, error) {
	if answer.Delta.To <= f.view.Revision {
		return NothingNewer, nil
	}
	next, err := Apply(f.view, answer.Delta)
	if err != nil {
		return Corrupt, err
	}
	if next.Revision < f.floor {
		return Older, nil
	}
	return f.activate(next, answer.Delta.Digest), nil
}

// activate puts a verified view in force. A view of the same revision replaces
// the one in force, since it is only requested again if that one is corrupt.
func (f *Follower) activate(view *core.View, digest Digest) Verdict {
	if view.Revision == f.view.Revision && digest == f.digest {
		return NothingNewer
	}
	f.view, f.digest = view, digest
	return InForce
}
