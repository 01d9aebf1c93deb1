package claim

import (
	"cmp"
	"slices"
	"time"

	"zinniapulley.dev/core"
)

// TableLimits bounds a Table.
type TableLimits struct {
	// Retention is how long the outcome of a key is kept. A key that is used
	// again later counts as new.
	Retention time.Duration
	// MaxClaims is the maximum number of records; claims beyond it get Full.
	MaxClaims int
}

// DefaultTableLimits returns the documented default limits.
func DefaultTableLimits() TableLimits {
	return TableLimits{Retention: 24 * time.Hour, MaxClaims: 1 << 20}
}

// Fence is the latest incarnation of a companion that was recorded as lost.
type Fence struct {
	Companion   core.InstanceID
	Incarnation uint64
}

// Snapshot is the complete state of a table, in an order that depends on the
// state alone.
type Snapshot struct {
	Clock   time.Time
	Records []Record
	Fences  []Fence
}

// settlement is the time at which a record was settled. It is stale if the record
// has changed since.
type settlement struct {
	key     Key
	changed time.Time
}

// Table is the replicated state of all claims. Every replica that applies the
// same commands in the same order has the same state and returns the same
// results.
type Table struct {
	limits  TableLimits
	clock   time.Time
	records map[Key]Record
	// running indexes the running records by the holder's companion.
	running map[core.InstanceID]map[Key]struct{}
	fences  map[core.InstanceID]uint64
	// settled lists the settled records, the earliest first.
	settled []settlement
}

// NewTable returns an empty table.
func NewTable(limits TableLimits) *Table {
	return &Table{
		limits:  limits,
		records: make(map[Key]Record),
		running: make(map[core.InstanceID]map[Key]struct{}),
		fences:  make(map[core.InstanceID]uint64),
	}
}

// Len returns how many records the table holds.
func (t *Table) Len() int {
	return len(t.records)
}

// Get returns a key's record, and false if it has none.
func (t *Table) Get(key Key) (Record, bool) {
	record, ok := t.records[key]
	return record, ok
}

// Apply executes one command.
func (t *Table) Apply(command Command) Result {
	if command.At.After(t.clock) {
		t.clock = command.At
	}
	t.expire()
	switch command.Kind {
	case ClaimKey:
		return t.claim(command)
	case TakeOver:
		return t.takeOver(command)
	case FinishRun:
		return t.settle(command, Done)
	case GiveUpRun:
		return t.settle(command, Unknown)
	case ReleaseKey:
		return t.release(command)
	case LoseCompanion:
		return t.loseCompanion(command)
	default:
		return Result{Verdict: Ignored}
	}
}

func (t *Table) claim(command Command) Result {
	record, held := t.records[command.Key]
	if held && record.Holder == command.Holder && record.State == Running {
		return Result{Verdict: Granted, Record: record}
	}
	if held {
		return Result{Verdict: Held, Record: record}
	}
	if t.fenced(command.Holder) {
		return Result{Verdict: Fenced}
	}
	if len(t.records) >= t.limits.MaxClaims {
		return Result{Verdict: Full}
	}
	return t.grant(command)
}

func (t *Table) takeOver(command Command) Result {
	record, held := t.records[command.Key]
	if !held {
		return Result{Verdict: Gone}
	}
	if record.State == Running && record.Holder == command.Holder {
		return Result{Verdict: Granted, Record: record}
	}
	if record.State != Running || record.Holder != command.Expect || record.Digest != command.Digest {
		return Result{Verdict: Held, Record: record}
	}
	if t.fenced(command.Holder) {
		return Result{Verdict: Fenced}
	}
	t.unindex(record)
	return t.grant(command)
}

func (t *Table) fenced(holder Holder) bool {
	fencedIncarnation, ok := t.fences[holder.Companion]
	return ok && holder.Incarnation <= fencedIncarnation
}

func (t *Table) grant(command Command) Result {
	record := Record{
		Key:     command.Key,
		Digest:  command.Digest,
		Holder:  command.Holder,
		State:   Running,
		Changed: t.clock,
	}
	t.records[record.Key] = record
	t.index(record)
	return Result{Verdict: Granted, Record: record}
}

// settle records the end of a run. A run recorded as Unknown may still be
// finished by its holder, which then was unreachable and not lost.
func (t *Table) settle(command Command, state State) Result {
	record, held := t.records[command.Key]
	if !held || record.Holder != command.Holder {
		return Result{Verdict: Ignored}
	}
	if record.State == Done || record.State == state {
		return Result{Verdict: Applied, Record: record}
	}
	t.unindex(record)
	record.State = state
	record.AnswerKept = command.AnswerKept && state == Done
	record.Changed = t.clock
	t.records[record.Key] = record
	t.settled = append(t.settled, settlement{key: record.Key, changed: record.Changed})
	return Result{Verdict: Applied, Record: record}
}

// release frees a key whose run has no recorded outcome. A recorded outcome,
// even Unknown, is kept for the retention period.
func (t *Table) release(command Command) Result {
	record, held := t.records[command.Key]
	if !held || record.Holder != command.Holder || record.State != Running {
		return Result{Verdict: Ignored}
	}
	t.unindex(record)
	delete(t.records, command.Key)
	return Result{Verdict: Applied}
}

// loseCompanion fences an incarnation of a companion and every earlier one, and
// settles their running claims as Unknown.
func (t *Table) loseCompanion(command Command) Result {
	lost := command.Holder
	if t.fenced(lost) {
		return Result{Verdict: Applied}
	}
	t.fences[lost.Companion] = lost.Incarnation
	for _, key := range t.runningOf(lost.Companion) {
		record := t.records[key]
		if record.Holder.Incarnation <= lost.Incarnation {
			t.settle(Command{Key: key, Holder: record.Holder}, Unknown)
		}
	}
	return Result{Verdict: Applied}
}

// runningOf returns the keys of a companion's running claims, sorted so that
// every replica settles them in the same order.
func (t *Table) runningOf(companion core.InstanceID) []Key {
	keys := make([]Key, 0, len(t.running[companion]))
	for key := range t.running[companion] {
		keys = append(keys, key)
	}
	slices.SortFunc(keys, compareKeys)
	return keys
}

// expire removes the records that were settled a retention period ago or
// earlier.
func (t *Table) expire() {
	for len(t.settled) > 0 {
		oldest := t.settled[0]
		if t.clock.Before(oldest.changed.Add(t.limits.Retention)) {
			return
		}
		t.settled = t.settled[1:]
		record, held := t.records[oldest.key]
		if held && record.State != Running && record.Changed.Equal(oldest.changed) {
			delete(t.records, oldest.key)
		}
	}
}

func (t *Table) index(record Record) {
	keys := t.running[record.Holder.Companion]
	if keys == nil {
		keys = make(map[Key]struct{})
		t.running[record.Holder.Companion] = keys
	}
	keys[record.Key] = struct{}{}
}

func (t *Table) unindex(record Record) {
	keys := t.running[record.Holder.Companion]
	delete(keys, record.Key)
	if len(keys) == 0 {
		delete(t.running, record.Holder.Companion)
	}
}

// Snapshot returns the complete state of the table.
func (t *Table) Snapshot() Snapshot {
	snapshot := Snapshot{Clock: t.clock}
	for _, record := range t.records {
		snapshot.Records = append(snapshot.Records, record)
	}
	slices.SortFunc(snapshot.Records, func(a, b Record) int { return compareKeys(a.Key, b.Key) })
	for companion, incarnation := range t.fences {
		snapshot.Fences = append(snapshot.Fences, Fence{Companion: companion, Incarnation: incarnation})
	}
	slices.SortFunc(snapshot.Fences, func(a, b Fence) int { return cmp.Compare(a.Companion, b.Companion) })
	return snapshot
}

// Restore returns a table with the state of a snapshot.
func Restore(limits TableLimits, snapshot Snapshot) *Table {
	t := NewTable(limits)
	t.clock = snapshot.Clock
	for _, record := range snapshot.Records {
		t.records[record.Key] = record
		if record.State == Running {
			t.index(record)
			continue
		}
		t.settled = append(t.settled, settlement{key: record.Key, changed: record.Changed})
	}
	slices.SortStableFunc(t.settled, func(a, b settlement) int { return a.changed.Compare(b.changed) })
	for _, fence := range snapshot.Fences {
		t.fences[fence.Companion] = fence.Incarnation
	}
	return t
}
