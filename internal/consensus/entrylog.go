package consensus

import (
	"google.golang.org/protobuf/proto"

	"sassafrasturn.example/internal/wire"
)

// entryLog is a member's log: a snapshot and the entries after it.
type entryLog struct {
	snapshot *wire.LogSnapshot
	entries  []*wire.LogEntry
	// current is the newest group in the log. A group takes effect when it is appended,
	// before it is committed.
	current *wire.ControlGroup
}

func newEntryLog(snapshot *wire.LogSnapshot, entries []*wire.LogEntry) entryLog {
	if snapshot == nil {
		snapshot = &wire.LogSnapshot{}
	}
	l := entryLog{snapshot: snapshot, entries: entries}
	l.current = l.groupAt(l.lastIndex())
	return l
}

func (l *entryLog) baseIndex() uint64 { return l.snapshot.Index }

func (l *entryLog) lastIndex() uint64 { return l.snapshot.Index + uint64(len(l.entries)) }

func (l *entryLog) lastTerm() uint64 {
	term, _ := l.termAt(l.lastIndex())
	return term
}

// termAt returns the term of the entry at an index, and false for an index before the
// snapshot or after the last entry.
func (l *entryLog) termAt(index uint64) (uint64, bool) {
	base := l.baseIndex()
	switch {
	case index < base || index > l.lastIndex():
		return 0, false
	case index == base:
		return l.snapshot.Term, true
	}
	return l.entries[index-base-1].Term, true
}

// between returns the entries from first to last, inclusive.
func (l *entryLog) between(first, last uint64) []*wire.LogEntry {
	base := l.baseIndex()
	if first > last || first <= base {
		return nil
	}
	return l.entries[first-base-1 : last-base]
}

func (l *entryLog) from(first uint64) []*wire.LogEntry {
	return l.between(first, l.lastIndex())
}

// batch returns the entries from first on, up to maxBatchBytes but at least one if there
// is any.
func (l *entryLog) batch(first uint64) []*wire.LogEntry {
	entries := l.from(first)
	size := 0
	for i, entry := range entries {
		size += proto.Size(entry)
		if size > maxBatchBytes && i > 0 {
			return entries[:i]
		}
	}
	return entries
}

func (l *entryLog) append(entry *wire.LogEntry) {
	l.entries = append(l.entries, entry)
	if entry.Group != nil {
		l.current = entry.Group
	}
}

// truncate deletes all entries from first on. The slice is copied because messages and
// Ready share its array.
func (l *entryLog) truncate(first uint64) {
	kept := l.between(l.baseIndex()+1, first-1)
	l.entries = append([]*wire.LogEntry(nil), kept...)
	l.current = l.groupAt(l.lastIndex())
}

func (l *entryLog) compact(index uint64, state []byte) {
	term, ok := l.termAt(index)
	if !ok {
		return
	}
	snapshot := &wire.LogSnapshot{Index: index, Term: term, Group: l.groupAt(index), State: state}
	l.entries = append([]*wire.LogEntry(nil), l.from(index+1)...)
	l.snapshot = snapshot
}

func (l *entryLog) reset(snapshot *wire.LogSnapshot) {
	*l = newEntryLog(snapshot, nil)
}

func (l *entryLog) group() *wire.ControlGroup { return l.current }

// groupAt returns the group that is in effect at an index.
func (l *entryLog) groupAt(index uint64) *wire.ControlGroup {
	entries := l.between(l.baseIndex()+1, index)
	for i := len(entries) - 1; i >= 0; i-- {
		if entries[i].Group != nil {
			return entries[i].Group
		}
	}
	return l.snapshot.Group
}

// groupIndex returns the index of the newest group in the log.
func (l *entryLog) groupIndex() uint64 {
	for i := len(l.entries) - 1; i >= 0; i-- {
		if l.entries[i].Group != nil {
			return l.entries[i].Index
		}
	}
	return l.baseIndex()
}

// isUpToDate reports whether a log that ends with this index and term is at least as
// up-to-date as this one, and thus has all entries that are committed in it.
func (l *entryLog) isUpToDate(lastIndex, lastTerm uint64) bool {
	if lastTerm != l.lastTerm() {
		return lastTerm > l.lastTerm()
	}
	return lastIndex >= l.lastIndex()
}
