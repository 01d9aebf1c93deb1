package config

import (
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"time"

	"zinniapulley.dev/core"
)

// RequestID identifies one submission of a team. The team chooses it, and a
// resend of the same submission repeats it.
type RequestID string

// MaxRequestID is the longest RequestID, in bytes.
const MaxRequestID = 128

// MaxSectionBytes is the maximum size of a section's JSON.
const MaxSectionBytes = 1 << 20

// Submission is a request to replace or remove one section.
type Submission struct {
	Section Section
	// Base is the revision of the submitter's copy of the section. A section
	// that has changed since then isn't replaced. Base is zero for a section
	// that never existed.
	Base    core.Revision
	Request RequestID
	// Team is the submitter, authenticated by its token.
	Team core.Team
	// Body is the section's new JSON. It is empty when Remove is set.
	Body []byte
	// Remove deletes the section of a service.
	Remove bool
	// At is when the submission was received. It is recorded in the history and
	// has no other effect.
	At time.Time
}

// digest covers the fields that a resend must repeat.
func (s Submission) digest() Digest {
	hash := sha256.New()
	for _, part := range [][]byte{[]byte(s.Section), s.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		hash.Write(length[:])
		hash.Write(part)
	}
	var rest [9]byte
	binary.BigEndian.PutUint64(rest[:8], uint64(s.Base))
	if s.Remove {
		rest[8] = 1
	}
	hash.Write(rest[:])
	return Digest(hash.Sum(nil))
}

// Digest is the SHA-256 hash of a request's content. Requests with equal IDs
// are resends if their digests are equal.
type Digest [sha256.Size]byte

// Outcome is the result of a submission.
type Outcome uint8

const (
	// Accepted means that the change is part of the document.
	Accepted Outcome = iota + 1
	// Conflict means that the section has changed since the base revision.
	Conflict
	// Invalid means that the submission or the resulting document has validation
	// errors.
	Invalid
	// Forbidden means that the section belongs to another team.
	Forbidden
	// ReusedID means that the request ID was used for another submission.
	ReusedID
)

// String returns the outcome's name.
func (o Outcome) String() string {
	switch o {
	case Accepted:
		return "accepted"
	case Conflict:
		return "conflict"
	case Invalid:
		return "invalid"
	case Forbidden:
		return "forbidden"
	case ReusedID:
		return "reused request id"
	default:
		return "unknown"
	}
}

// Answer is the answer to a submission. A submission with any outcome but
// Accepted changed nothing.
type Answer struct {
	Outcome Outcome
	Section Section
	// Revision is the revision of the accepted change, and otherwise the
	// revision at which the section last changed.
	Revision core.Revision
	// Owner is the team that owns the section, for Forbidden. It is empty when
	// no team does.
	Owner core.Team
	// Faults lists the validation errors, for Invalid.
	Faults Faults
}

// Err returns nil for an accepted submission and the answer as an error
// otherwise.
func (a Answer) Err() error {
	if a.Outcome == Accepted {
		return nil
	}
	return &RefusedError{Answer: a}
}

// RefusedError is the error of a submission that changed nothing.
type RefusedError struct {
	Answer Answer
}

// Error returns why the submission changed nothing and how to proceed.
func (e *RefusedError) Error() string {
	a := e.Answer
	switch a.Outcome {
	case Conflict:
		return fmt.Sprintf("section %s has changed: it is at revision %v; get it again, redo the change and submit it with that base", a.Section, a.Revision)
	case Invalid:
		return "the document would be invalid:\n" + a.Faults.Error()
	case Forbidden:
		if a.Owner == "" {
			return fmt.Sprintf("no team owns section %s; the owner of section teams can assign it", a.Section)
		}
		return fmt.Sprintf("section %s belongs to team %q", a.Section, a.Owner)
	case ReusedID:
		return fmt.Sprintf("the request id was used for another submission; use a new one (section %s is at revision %v)", a.Section, a.Revision)
	default:
		return a.Outcome.String()
	}
}
