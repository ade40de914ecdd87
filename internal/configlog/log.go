package configlog

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/tree"
)

const (
	// keepRecords and keepEdits bound the newest records that a Log holds for
	// peers that lag: their number, and the edits in them.
	keepRecords = 512
	keepEdits   = 8192
	// keepChanges is how many change ids a Log remembers. It covers the ring, so
	// that any change whose record could still be read back is known.
	keepChanges = RingSize
)

// AppliedChange is a change id with the revision that accepted it.
type AppliedChange struct {
	ID       string
	Revision uint64
}

// Log is the state of the configuration at one revision. The revision only
// rises. A Log does no I/O and is safe for concurrent use.
type Log struct {
	mu       sync.RWMutex
	revision uint64
	tree     *tree.Tree
	recent   []Record
	edits    int
	changes  []AppliedChange
	byID     map[string]uint64
	advanced chan struct{}
}

// NewLog returns an empty Log at revision 0.
func NewLog() *Log {
	return &Log{tree: &tree.Tree{}, byID: make(map[string]uint64), advanced: make(chan struct{})}
}

// GapError reports a record that does not follow the log's revision.
type GapError struct{ Have, Got uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("configlog: revision %d does not follow %d", e.Got, e.Have)
}

// Append applies records in order. Records at or below the log's revision are
// passed over. It returns how many were applied, and a GapError at the first
// that does not follow.
func (l *Log) Append(records ...Record) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	applied := 0
	for _, r := range records {
		if r.Revision <= l.revision {
			continue
		}
		if r.Revision != l.revision+1 {
			return applied, &GapError{l.revision, r.Revision}
		}
		l.apply(r)
		applied++
	}
	if applied > 0 {
		l.wake()
	}
	return applied, nil
}

func (l *Log) apply(r Record) {
	l.tree = l.tree.Apply(r.Edits, r.Revision)
	l.revision = r.Revision
	l.recent = append(l.recent, r)
	l.edits += len(r.Edits)
	if len(l.recent) > 2*keepRecords || l.edits > 2*keepEdits {
		l.trim()
	}
	l.remember(AppliedChange{r.ID, r.Revision})
}

// trim drops the oldest records until what is left is within the bounds; the
// newest stays in any case.
func (l *Log) trim() {
	drop := 0
	for len(l.recent)-drop > 1 && (len(l.recent)-drop > keepRecords || l.edits > keepEdits) {
		l.edits -= len(l.recent[drop].Edits)
		drop++
	}
	l.recent = append([]Record(nil), l.recent[drop:]...)
}

func (l *Log) remember(a AppliedChange) {
	l.changes = append(l.changes, a)
	l.byID[a.ID] = a.Revision
	if len(l.changes) <= 2*keepChanges {
		return
	}
	old := l.changes[:len(l.changes)-keepChanges]
	for _, o := range old {
		delete(l.byID, o.ID)
	}
	l.changes = append([]AppliedChange(nil), l.changes[len(old):]...)
}

// wake lets everyone who waits on Advanced look again. The caller holds the lock.
func (l *Log) wake() {
	close(l.advanced)
	l.advanced = make(chan struct{})
}

// Restore replaces the state by that of a snapshot if the snapshot is newer,
// and reports whether it did.
func (l *Log) Restore(s *Snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Revision <= l.revision {
		return false
	}
	l.revision, l.tree, l.recent, l.edits = s.Revision, s.Tree, nil, 0
	l.changes, l.byID = nil, make(map[string]uint64)
	for _, a := range s.Changes {
		l.remember(a)
	}
	l.wake()
	return true
}

// Snapshot returns the state.
func (l *Log) Snapshot() *Snapshot {
	l.mu.RLock()
	defer l.mu.RUnlock()
	changes := l.changes[max(0, len(l.changes)-keepChanges):]
	return &Snapshot{Revision: l.revision, Tree: l.tree, Changes: append([]AppliedChange(nil), changes...)}
}

// Revision returns the newest revision.
func (l *Log) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision
}

// Current returns the newest revision with its tree, and a channel that closes
// when there is a newer one.
func (l *Log) Current() (uint64, *tree.Tree, <-chan struct{}) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision, l.tree, l.advanced
}

// Since returns the records after revision, at most limit, and false if the log
// no longer holds them all.
func (l *Log) Since(revision uint64, limit int) ([]Record, bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if revision >= l.revision {
		return nil, true
	}
	missing := int(l.revision - revision)
	if missing > len(l.recent) {
		return nil, false
	}
	from := len(l.recent) - missing
	return append([]Record(nil), l.recent[from:min(from+limit, len(l.recent))]...), true
}

// History returns the newest records that the log still holds, oldest first.
func (l *Log) History(limit int) []Record {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]Record(nil), l.recent[max(0, len(l.recent)-limit):]...)
}

// FindChange returns the revision that accepted a change id, or 0.
func (l *Log) FindChange(id string) uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byID[id]
}

// RefusalKind says why a change is refused.
type RefusalKind string

// The kinds of refusals.
const (
	// RefusedInvalid is for a change that the tree's rules forbid.
	RefusedInvalid RefusalKind = "invalid"
	// RefusedConflict is for a change to a path that was written since Base.
	RefusedConflict RefusalKind = "conflict"
	// RefusedUnavailable is for a change that the store could not take.
	RefusedUnavailable RefusalKind = "unavailable"
)

// Refusal reports a change that was not accepted and never will be under this
// attempt.
type Refusal struct {
	Kind RefusalKind
	// Faults are all that is wrong, at least one.
	Faults []string
	// RetryAfter is when to try again; zero means that it would not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("change refused (%s): %s", r.Kind, strings.Join(r.Faults, "; "))
}

// Prepare checks a change against the newest tree and returns the record that
// would accept it, or a Refusal.
func (l *Log) Prepare(c Change, now time.Time) (Record, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if err := c.checkForm(); err != nil {
		return Record{}, invalid([]error{err})
	}
	if faults := tree.CheckEdits(c.Edits); len(faults) > 0 {
		return Record{}, invalid(faults)
	}
	if err := l.conflict(c); err != nil {
		return Record{}, err
	}
	next := l.tree.Apply(c.Edits, l.revision+1)
	if faults := next.Check(); len(faults) > 0 {
		return Record{}, invalid(faults)
	}
	return Record{Change: c, Revision: l.revision + 1, Time: now.UTC()}, nil
}

// conflict finds edits to paths that were written after the change's base.
func (l *Log) conflict(c Change) error {
	var faults []string
	seen := make(map[string]bool)
	for _, e := range c.Edits {
		at := l.tree.PathRevision(e.Path)
		if at <= c.Base || seen[e.Path] {
			continue
		}
		seen[e.Path] = true
		faults = append(faults, l.describeConflict(e, at, c.Base))
	}
	if len(faults) == 0 {
		return nil
	}
	return &Refusal{Kind: RefusedConflict, Faults: faults}
}

func (l *Log) describeConflict(e tree.Edit, at, base uint64) string {
	s := fmt.Sprintf("%s was written at revision %d%s, after revision %d", e.Path, at, l.authorOf(at), base)
	now, _ := l.tree.SettingAt(e.Path, e.Key)
	return s + fmt.Sprintf("; %s is %q there, wanted %q", e.Key, now.Value, e.Value)
}

// authorOf returns " by NAME" for a revision whose record is still held.
func (l *Log) authorOf(revision uint64) string {
	i := len(l.recent) - 1 - int(l.revision-revision)
	if i < 0 || i >= len(l.recent) {
		return ""
	}
	return " by " + l.recent[i].Author
}

func invalid(faults []error) *Refusal {
	r := &Refusal{Kind: RefusedInvalid}
	for _, f := range faults {
		r.Faults = append(r.Faults, f.Error())
	}
	return r
}
