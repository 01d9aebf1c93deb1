package claim

import (
	"cmp"
	"time"

	"zinniapulley.dev/core"
)

// Key identifies a request that may not be repeated: the value of its
// idempotency key within one caller's scope and one service.
type Key struct {
	Service core.ServiceID
	// Scope is the identity that the caller authenticates as, empty for none.
	Scope string
	// Value is the idempotency key as the caller sent it.
	Value string
}

func compareKeys(a, b Key) int {
	return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Scope, b.Scope), cmp.Compare(a.Value, b.Value))
}

// Digest is the SHA-256 digest of a request's method, target and body.
type Digest [32]byte

// Holder identifies the one run that a claim allows: the companion that runs
// it, its incarnation, and the number of the run there. No holder is reused.
type Holder struct {
	Companion     core.InstanceID
	BackendServer core.BackendServerID
	Incarnation   uint64
	Number        uint64
}

// State is the progress of a claimed request.
type State uint8

const (
	// Running means that the holder runs the request or is about to.
	Running State = iota + 1
	// Done means that the request ran and was answered.
	Done
	// Unknown means that the request may have run and that its answer is not
	// available.
	Unknown
)

// String returns the state's name.
func (s State) String() string {
	names := [...]string{"", "running", "done", "unknown"}
	if int(s) < len(names) {
		return names[s]
	}
	return "invalid"
}

// Record is one claim.
type Record struct {
	Key    Key
	Digest Digest
	Holder Holder
	State  State
	// AnswerKept is true when the holder's companion recorded the answer.
	AnswerKept bool
	// Changed is when the state last changed.
	Changed time.Time
}

// CommandKind is the operation that a command performs.
type CommandKind uint8

const (
	// ClaimKey claims a key that has no record.
	ClaimKey CommandKind = iota + 1
	// TakeOver moves a claim to another holder. The current one has reported that it
	// never runs the request.
	TakeOver
	// FinishRun records that the holder's run was answered.
	FinishRun
	// GiveUpRun records that the outcome of the holder's run is unknown.
	GiveUpRun
	// ReleaseKey frees a key whose holder did not run the request.
	ReleaseKey
	// LoseCompanion records that an incarnation of a companion, and every
	// earlier one, is lost. The outcome of its runs is unknown from then on,
	// and it is granted no further claim.
	LoseCompanion
)

// String returns the kind's name.
func (k CommandKind) String() string {
	names := [...]string{"", "claim key", "take over", "finish run", "give up run", "release key", "lose companion"}
	if int(k) < len(names) {
		return names[k]
	}
	return "invalid"
}

// Command is one change of the Table. Applying a command twice has the effect
// of applying it once.
type Command struct {
	Kind   CommandKind
	Key    Key
	Digest Digest
	// Holder is the run for which the key is claimed, settled or released.
	// LoseCompanion uses its companion and incarnation only.
	Holder Holder
	// Expect is the holder that TakeOver replaces.
	Expect Holder
	// AnswerKept is set in FinishRun when the answer was recorded.
	AnswerKept bool
	// At is the proposer's time. The table's clock is the latest At applied.
	At time.Time
}

// Verdict is the decision on a command.
type Verdict uint8

const (
	// Granted means that the command's holder may run the request.
	Granted Verdict = iota + 1
	// Held means that the key has a record, which the result carries.
	Held
	// Full means that the table already has MaxClaims records.
	Full
	// Fenced means that the holder's incarnation was recorded as lost.
	Fenced
	// Gone means that the claim to take over no longer exists.
	Gone
	// Applied means that the command was carried out, now or earlier.
	Applied
	// Ignored means that the command's holder does not hold the key.
	Ignored
)

// String returns the verdict's name.
func (v Verdict) String() string {
	names := [...]string{"", "granted", "held", "full", "fenced", "gone", "applied", "ignored"}
	if int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// Result is the outcome of a command.
type Result struct {
	Verdict Verdict
	// Record is the key's record, for Granted and Held.
	Record Record
}
