package consensus

import "fmt"

// entryLog is the log in memory: a snapshot and the retained entries. The entries
// may begin before the snapshot's index, so that slightly lagging members need no
// snapshot.
type entryLog struct {
	snapshot Snapshot
	// prevIndex and prevTerm identify the entry just before entries[0].
	prevIndex Index
	prevTerm  Term
	entries   []Entry
	// memberships holds the base membership, then that of each later membership
	// entry, by ascending index.
	memberships []indexedMembership
}

type indexedMembership struct {
	index      Index
	membership Membership
}

func newEntryLog(stored Stored) *entryLog {
	l := &entryLog{}
	l.reset(stored.Snapshot)
	for _, entry := range stored.Entries {
		if entry.Index != l.lastIndex()+1 {
			panic(fmt.Sprintf("consensus: stored entry %d follows %d", entry.Index, l.lastIndex()))
		}
		l.append(entry)
	}
	return l
}

// reset replaces the whole log by a snapshot.
func (l *entryLog) reset(snapshot Snapshot) {
	l.snapshot = snapshot
	l.prevIndex = snapshot.Index
	l.prevTerm = snapshot.Term
	l.entries = nil
	l.memberships = []indexedMembership{{index: snapshot.Index, membership: snapshot.Membership}}
}

func (l *entryLog) lastIndex() Index {
	return l.prevIndex + Index(len(l.entries))
}

func (l *entryLog) lastTerm() Term {
	term, _ := l.term(l.lastIndex())
	return term
}

// firstIndex is the lowest index whose entry is still in memory.
func (l *entryLog) firstIndex() Index {
	return l.prevIndex + 1
}

// term returns the term of the entry at index, and false if the log doesn't hold it.
func (l *entryLog) term(index Index) (Term, bool) {
	if index == l.prevIndex {
		return l.prevTerm, true
	}
	if index < l.prevIndex || index > l.lastIndex() {
		return 0, false
	}
	return l.entries[index-l.prevIndex-1].Term, true
}

// slice returns at most limit entries, starting at index from.
func (l *entryLog) slice(from Index, limit int) []Entry {
	if from > l.lastIndex() {
		return nil
	}
	rest := l.entries[from-l.prevIndex-1:]
	count := min(limit, len(rest))
	return rest[:count:count]
}

// between returns the entries after low up to high.
func (l *entryLog) between(low, high Index) []Entry {
	return l.slice(low+1, int(high-low))
}

func (l *entryLog) append(entry Entry) {
	l.entries = append(l.entries, entry)
	if entry.Kind == EntryMembership {
		l.memberships = append(l.memberships, indexedMembership{index: entry.Index, membership: entry.Membership})
	}
}

// truncate removes the entries from index from on. Slices returned earlier keep
// their content, because the next append copies.
func (l *entryLog) truncate(from Index) {
	keep := from - l.prevIndex - 1
	l.entries = l.entries[:keep:keep]
	for len(l.memberships) > 1 && l.memberships[len(l.memberships)-1].index >= from {
		l.memberships = l.memberships[:len(l.memberships)-1]
	}
}

// compact removes the entries up to index from memory.
func (l *entryLog) compact(index Index) {
	if index <= l.prevIndex {
		return
	}
	term, _ := l.term(index)
	kept := l.entries[index-l.prevIndex:]
	l.entries = append([]Entry(nil), kept...)
	l.prevIndex = index
	l.prevTerm = term
	for len(l.memberships) > 1 && l.memberships[1].index <= index {
		l.memberships = l.memberships[1:]
	}
}

// membership returns the membership in force: the last one in the log.
func (l *entryLog) membership() Membership {
	return l.memberships[len(l.memberships)-1].membership
}

// membershipIndex returns the index of the membership in force.
func (l *entryLog) membershipIndex() Index {
	return l.memberships[len(l.memberships)-1].index
}

// membershipAt returns the membership in force at index.
func (l *entryLog) membershipAt(index Index) Membership {
	found := l.memberships[0].membership
	for _, at := range l.memberships {
		if at.index <= index {
			found = at.membership
		}
	}
	return found
}

// firstOfTerm returns the index, among the entries in memory, of the first entry
// with the term of the entry at index.
func (l *entryLog) firstOfTerm(index Index) Index {
	term, _ := l.term(index)
	for index > l.firstIndex() {
		earlier, _ := l.term(index - 1)
		if earlier != term {
			return index
		}
		index--
	}
	return index
}
