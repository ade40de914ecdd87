package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// maxTombstones limits how many tombstones a Cache keeps. A peer that is further behind
// gets a full batch.
const maxTombstones = 4096

// Cache holds all records of a key-value store up to a revision. It is safe for
// concurrent use.
type Cache struct {
	mu         sync.Mutex
	records    map[string]Record
	tombstones int
	// floor is the revision after which the Cache has every tombstone.
	floor    int64
	revision int64
	// completeUntil is the time up to which the Cache certainly has every change; zero if
	// there is none.
	completeUntil time.Time
	state         State
	// changed is closed at the next change of the revision or the state.
	changed chan struct{}
}

// State is the state of the local node's connection to the store.
type State struct {
	// Following is set while the node follows the store itself and reaches it. Only then
	// may peers follow the node, so that no two nodes follow each other.
	Following bool
	// Unreachable is set while the node considers the store unreachable.
	Unreachable bool
	// RecoveredAt is when the last outage of the store ended; zero if there was none.
	RecoveredAt time.Time
}

// NewCache returns an empty Cache.
func NewCache() *Cache {
	return &Cache{records: make(map[string]Record), changed: make(chan struct{})}
}

// Revision returns the store's revision up to which the Cache has all records; 0 if it is
// empty.
func (c *Cache) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// Has reports whether the Cache has a record of a key that is not deleted.
func (c *Cache) Has(key string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	r, ok := c.records[key]
	return ok && !r.Deleted
}

// CompleteUntil returns the time up to which the Cache certainly has every change of the
// store; zero if there is none.
func (c *Cache) CompleteUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.completeUntil
}

// SetCompleteUntil records that the Cache has every change of the store up to a time. A time
// before the recorded one is ignored.
func (c *Cache) SetCompleteUntil(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.completeUntil) {
		c.completeUntil = until
	}
}

// SetState sets the state of the local node's connection to the store.
func (c *Cache) SetState(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != s {
		c.state = s
		c.notify()
	}
}

// Apply applies a batch.
func (c *Cache) Apply(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == 0 {
		c.floor = b.Revision
	}
	if b.Full {
		c.deleteMissing(b)
	}
	for _, r := range b.Records {
		c.put(r)
	}
	if c.tombstones > maxTombstones {
		c.dropTombstones()
	}
	if b.CompleteUntil.After(c.completeUntil) {
		c.completeUntil = b.CompleteUntil
	}
	if b.Revision > c.revision {
		c.revision = b.Revision
		c.notify()
	}
}

// deleteMissing writes tombstones for the keys that a full batch lacks. The revisions at
// which they were deleted are unknown, but are not above the batch's revision, which the
// tombstones get.
func (c *Cache) deleteMissing(b Batch) {
	present := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		present[r.Key] = true
	}
	for key, r := range c.records {
		if !present[key] && !r.Deleted && r.Revision <= b.Revision {
			c.put(Record{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
}

// put stores a record unless the Cache has a later one of the same key.
func (c *Cache) put(r Record) {
	known, ok := c.records[r.Key]
	if ok && known.Revision > r.Revision {
		return
	}
	if known.Deleted {
		c.tombstones--
	}
	if r.Deleted {
		c.tombstones++
	}
	c.records[r.Key] = r
}

// dropTombstones deletes the older half of the tombstones. Only peers behind the new floor get a
// full batch: all peers of a node are a little behind it, and its link could not carry full batches to
// all of them at once.
func (c *Cache) dropTombstones() {
	var revisions []int64
	for _, r := range c.records {
		if r.Deleted {
			revisions = append(revisions, r.Revision)
		}
	}
	slices.Sort(revisions)
	c.floor = max(c.floor, revisions[len(revisions)/2])
	for key, r := range c.records {
		if r.Deleted && r.Revision <= c.floor {
			delete(c.records, key)
			c.tombstones--
		}
	}
}

// notify ends the waits of all callers of Wait.
func (c *Cache) notify() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Wait returns the records that changed after a revision, and the state. If there are none,
// it waits for a change of the revision or the state, until ctx ends or wait has passed. It
// does not wait while the node does not follow the store.
func (c *Cache) Wait(ctx context.Context, after int64, wait time.Duration) (Batch, State) {
	c.waitChange(ctx, after, wait)
	b, s, _ := c.since(after)
	return b, s
}

// waitChange waits as Wait does, without collecting the records.
func (c *Cache) waitChange(ctx context.Context, after int64, wait time.Duration) {
	p := c.position(after)
	if p.behind || !p.state.Following {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-p.changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// position is the state of a Cache as seen by a peer that has all records up to some revision.
type position struct {
	// revision and completeUntil are those of the Cache.
	revision      int64
	completeUntil time.Time
	state         State
	// behind is set if the Cache has later records, full if the peer needs all records.
	behind, full bool
	// changed is closed at the next change of the revision or the state.
	changed <-chan struct{}
}

// position returns the state of the Cache for a peer that has all records up to a revision.
func (c *Cache) position(after int64) position {
	c.mu.Lock()
	defer c.mu.Unlock()
	full := after < c.floor
	return position{
		revision: c.revision, completeUntil: c.completeUntil, state: c.state,
		behind: full || after < c.revision, full: full, changed: c.changed,
	}
}

// since returns the records that changed after a revision, ordered by revision and key, the
// state, and a channel that is closed at the next change of the revision or the state. The
// batch is full if the Cache lacks tombstones after that revision.
func (c *Cache) since(after int64) (Batch, State, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := Batch{Revision: max(after, c.revision), Full: after < c.floor, CompleteUntil: c.completeUntil}
	if after >= c.revision && !b.Full {
		return b, c.state, c.changed
	}
	for key, r := range c.records {
		if b.Full && r.Deleted || !b.Full && r.Revision <= after {
			continue
		}
		if r.compressed == nil {
			r.compress()
			c.records[key] = r
		}
		b.Records = append(b.Records, r)
	}
	slices.SortFunc(b.Records, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Key, y.Key))
	})
	return b, c.state, c.changed
}
