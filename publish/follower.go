package publish

import (
	"time"

	"zinniapulley.dev/core"
)

// Verdict says what a follower made of an answer.
type Verdict uint8

const (
	// NothingNewer means that the answer had nothing newer.
	NothingNewer Verdict = iota + 1
	// InForce means that the answer led to a newer view.
	InForce
	// Older means that the source is behind what this process has, or had
	// before it restarted. Another source should be asked.
	Older
	// Unconfirmed means that the process doesn't know yet how new its first
	// view must be. A quorum should be asked for the current revision.
	Unconfirmed
	// Corrupt means that the answer didn't lead to the view that the source
	// has. The next request asks for the whole view.
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

// Follower is the state of a subscriber. It never takes a view older than the
// one it has. A process that restarts takes its first view only once it knows a
// floor: the revision that it kept on its disk, or the one that a quorum of the
// control instances confirmed as current after it started. It isn't safe for
// concurrent use.
type Follower struct {
	view   *core.View
	digest Digest
	floor  core.Revision
	// hasFloor is set once the floor is known.
	hasFloor bool
	// whole is set while the next answer must be a whole view.
	whole bool
	// confirmed is when a quorum last confirmed the view in force as current,
	// as far as this process knows.
	confirmed time.Time
}

// NewFollower returns a follower that has no view and knows no floor.
func NewFollower() *Follower {
	return &Follower{view: &core.View{}}
}

// SetFloor notes that the process must not take a view older than the given
// revision.
func (f *Follower) SetFloor(floor core.Revision) {
	f.floor = max(f.floor, floor)
	f.hasFloor = true
}

// HasFloor reports whether a floor is known.
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

// Request returns what to ask a source for.
func (f *Follower) Request() Request {
	if f.whole {
		return Request{Floor: max(f.floor, f.view.Revision)}
	}
	return Request{Have: f.view.Revision, Digest: f.digest, Floor: f.floor}
}

// Apply takes an answer. sent is when the request was sent that it answers: the
// confirmation it carries may be as old as that, and its age more. The error
// says what was wrong with a Corrupt answer.
func (f *Follower) Apply(sent time.Time, answer Answer) (Verdict, error) {
	if !f.hasFloor {
		return Unconfirmed, nil
	}
	if answer.Current < f.view.Revision || answer.Current < f.floor {
		return Older, nil
	}
	verdict, err := f.takeView(answer)
	if verdict == Corrupt {
		f.whole = true
		return verdict, err
	}
	current := f.view.Revision == answer.Current && f.digest == answer.Digest
	confirmed := sent.Add(-answer.Age)
	if answer.Confirmed && current && confirmed.After(f.confirmed) {
		f.confirmed = confirmed
	}
	return verdict, nil
}

func (f *Follower) takeView(answer Answer) (Verdict, error) {
	switch {
	case answer.View != nil:
		return f.takeWhole(answer)
	case answer.Delta != nil:
		return f.takeDelta(answer)
	default:
		return NothingNewer, nil
	}
}

func (f *Follower) takeWhole(answer Answer) (Verdict, error) {
	err := Check(answer.View, answer.Digest)
	if err != nil {
		return Corrupt, err
	}
	f.whole = false
	if answer.View.Revision < f.view.Revision || answer.View.Revision < f.floor {
		return Older, nil
	}
	return f.put(answer.View, answer.Digest), nil
}

func (f *Follower) takeDelta(answer Answer) (Verdict, error) {
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
	return f.put(next, answer.Delta.Digest), nil
}

// put puts a checked view in force. A view of the same revision as the one in
// force replaces it, since only a damaged one is asked for again.
func (f *Follower) put(view *core.View, digest Digest) Verdict {
	if view.Revision == f.view.Revision && digest == f.digest {
		return NothingNewer
	}
	f.view, f.digest = view, digest
	return InForce
}
