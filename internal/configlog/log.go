package configlog

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/tree"
)

const (
	// maxRecentRecords and maxRecentEdits bound the recent records that a Log
	// keeps to bring lagging peers up to date: their number, and the edits in them.
	// Old records are dropped once there is twice as much of either.
	maxRecentRecords = 512
	maxRecentEdits   = 8192
	// maxChangeIDs is the number of newest change IDs that a Log keeps at least. It
	// covers the ring, so that every change whose record may still be in the store
	// is found.
	maxChangeIDs = RingSize
)

// AppliedChange is the ID of an accepted change and the revision of its record.
type AppliedChange struct {
	ID       string
	Revision uint64
}

// Log is the configuration at one revision, with the most recent records and
// change IDs. The revision never falls. A Log does no I/O and is safe for
// concurrent use.
type Log struct {
	mu       sync.RWMutex
	revision uint64
	tree     *tree.Tree
	// recent holds the newest records, oldest first, and recentEdits the number of
	// edits in them.
	recent      []Record
	recentEdits int
	// changes holds the newest change IDs, oldest first, and byID their revisions.
	changes []AppliedChange
	byID    map[string]uint64
	// advanced is closed, and replaced, when the revision rises.
	advanced chan struct{}
}

// NewLog returns an empty Log at revision 0.
func NewLog() *Log {
	return &Log{tree: &tree.Tree{}, byID: make(map[string]uint64), advanced: make(chan struct{})}
}

// GapError reports a record whose revision Got is later than the one that follows
// the log's revision Have.
type GapError struct{ Have, Got uint64 }

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("configlog: revision %d does not follow %d", e.Got, e.Have)
}

// Append applies records in order and skips those at or below the log's
// revision. It returns the number of applied records, and a GapError at the first
// record whose revision is not the next one.
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
		l.notifyAdvanced()
	}
	return applied, nil
}

// apply applies the record of the next revision. The caller holds the lock.
func (l *Log) apply(r Record) {
	l.tree = l.tree.Apply(r.Edits, r.Revision)
	l.revision = r.Revision
	l.recent = append(l.recent, r)
	l.recentEdits += len(r.Edits)
	if len(l.recent) > 2*maxRecentRecords || l.recentEdits > 2*maxRecentEdits {
		l.trim()
	}
	l.addChange(AppliedChange{r.ID, r.Revision})
}

// trim drops the oldest recent records until the rest is within maxRecentRecords
// and maxRecentEdits. The newest record always stays. The caller holds the lock.
func (l *Log) trim() {
	drop := 0
	for len(l.recent)-drop > 1 && (len(l.recent)-drop > maxRecentRecords || l.recentEdits > maxRecentEdits) {
		l.recentEdits -= len(l.recent[drop].Edits)
		drop++
	}
	l.recent = append([]Record(nil), l.recent[drop:]...)
}

// addChange stores a change ID and drops the oldest IDs in bulk, once there are
// twice as many as maxChangeIDs. The caller holds the lock.
func (l *Log) addChange(a AppliedChange) {
	l.changes = append(l.changes, a)
	l.byID[a.ID] = a.Revision
	if len(l.changes) <= 2*maxChangeIDs {
		return
	}
	old := l.changes[:len(l.changes)-maxChangeIDs]
	for _, o := range old {
		delete(l.byID, o.ID)
	}
	l.changes = append([]AppliedChange(nil), l.changes[len(old):]...)
}

// notifyAdvanced wakes all waiters on the channel that Current returned. The
// caller holds the lock.
func (l *Log) notifyAdvanced() {
	close(l.advanced)
	l.advanced = make(chan struct{})
}

// Restore replaces the state with a snapshot if the snapshot is newer, and
// reports whether it did. The recent records are dropped.
func (l *Log) Restore(s *Snapshot) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s.Revision <= l.revision {
		return false
	}
	l.revision, l.tree, l.recent, l.recentEdits = s.Revision, s.Tree, nil, 0
	l.changes, l.byID = nil, make(map[string]uint64)
	for _, a := range s.Changes {
		l.addChange(a)
	}
	l.notifyAdvanced()
	return true
}

// Snapshot returns the current revision, tree and newest change IDs.
func (l *Log) Snapshot() *Snapshot {
	l.mu.RLock()
	defer l.mu.RUnlock()
	changes := l.changes[max(0, len(l.changes)-maxChangeIDs):]
	return &Snapshot{Revision: l.revision, Tree: l.tree, Changes: append([]AppliedChange(nil), changes...)}
}

// Revision returns the current revision.
func (l *Log) Revision() uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision
}

// Current returns the log's revision with its tree, and a channel that is closed
// when the revision rises.
func (l *Log) Current() (uint64, *tree.Tree, <-chan struct{}) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.revision, l.tree, l.advanced
}

// Since returns up to limit records that follow revision, oldest first, and false
// if the log no longer holds all of them.
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

// History returns up to limit of the newest records that the log still holds,
// oldest first.
func (l *Log) History(limit int) []Record {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return append([]Record(nil), l.recent[max(0, len(l.recent)-limit):]...)
}

// FindChange returns the revision of the change with an ID, or 0 if the log holds
// no such ID.
func (l *Log) FindChange(id string) uint64 {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.byID[id]
}

// RefusalKind classifies the reasons for which a change is refused.
type RefusalKind string

// The kinds of refusals.
const (
	// RefusedInvalid is for a change that is malformed or violates a rule of the
	// tree.
	RefusedInvalid RefusalKind = "invalid"
	// RefusedConflict is for a change to a path that was written after Base.
	RefusedConflict RefusalKind = "conflict"
	// RefusedUnavailable is for a change that could not be written to the store.
	RefusedUnavailable RefusalKind = "unavailable"
)

// Refusal is the error of a change that was not accepted and that this commit
// will not add to the log later.
type Refusal struct {
	Kind RefusalKind
	// Faults lists all reasons, at least one.
	Faults []string
	// RetryAfter is the time to wait before a retry; zero means that a retry of
	// the same change would not help.
	RetryAfter time.Duration
}

// Error implements error.
func (r *Refusal) Error() string {
	return fmt.Sprintf("change refused (%s): %s", r.Kind, strings.Join(r.Faults, "; "))
}

// Prepare checks a change against the current tree and returns the record to be
// written at the next revision, or a Refusal. The log is not changed.
func (l *Log) Prepare(c Change, now time.Time) (Record, error) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	if err := c.checkSizes(); err != nil {
		return Record{}, invalidRefusal([]error{err})
	}
	if faults := tree.CheckEdits(c.Edits); len(faults) > 0 {
		return Record{}, invalidRefusal(faults)
	}
	if err := l.checkConflict(c); err != nil {
		return Record{}, err
	}
	next := l.tree.Apply(c.Edits, l.revision+1)
	if faults := next.Check(); len(faults) > 0 {
		return Record{}, invalidRefusal(faults)
	}
	return Record{Change: c, Revision: l.revision + 1, Time: now.UTC()}, nil
}

// checkConflict returns a Refusal if the change edits paths that were written
// after its base revision.
func (l *Log) checkConflict(c Change) error {
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

// describeConflict returns one line on an edit whose path was written at revision
// at, after the change's base.
func (l *Log) describeConflict(e tree.Edit, at, base uint64) string {
	s := fmt.Sprintf("%s was written at revision %d%s, after revision %d", e.Path, at, l.authorSuffix(at), base)
	now, _ := l.tree.SettingAt(e.Path, e.Key)
	return s + fmt.Sprintf("; %s is %q there, wanted %q", e.Key, now.Value, e.Value)
}

// authorSuffix returns " by AUTHOR" for a revision whose record the log still
// holds, "" otherwise.
func (l *Log) authorSuffix(revision uint64) string {
	i := len(l.recent) - 1 - int(l.revision-revision)
	if i < 0 || i >= len(l.recent) {
		return ""
	}
	return " by " + l.recent[i].Author
}

// invalidRefusal returns a RefusedInvalid with the texts of faults.
func invalidRefusal(faults []error) *Refusal {
	r := &Refusal{Kind: RefusedInvalid}
	for _, f := range faults {
		r.Faults = append(r.Faults, f.Error())
	}
	return r
}
