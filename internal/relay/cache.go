package relay

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"
)

// maxDeleted bounds how many ends of keys are remembered. A peer that is further
// behind gets everything.
const maxDeleted = 4096

// Cache holds all records of a key-value service up to a revision. It is safe for
// concurrent use.
type Cache struct {
	mu      sync.Mutex
	records map[string]Record
	deleted int
	// floor is the revision from which on all ends of keys are remembered.
	floor    int64
	revision int64
	// complete is until when every change is certainly known; zero if it never was.
	complete time.Time
	state    State
	// changed is closed at the next change of the revision or the state.
	changed chan struct{}
}

// State says how the own entry stands to the service.
type State struct {
	// Following is set while the entry follows the service itself and reaches it.
	// Only then others may follow the entry, so that no two follow each other.
	Following bool
	// Unreachable is set while the entry cannot reach the service.
	Unreachable bool
	// RecoveredAt is when the service was last reached again after a loss.
	RecoveredAt time.Time
}

// NewCache returns an empty Cache.
func NewCache() *Cache {
	return &Cache{records: make(map[string]Record), changed: make(chan struct{})}
}

// Revision returns the revision up to which the Cache is complete; 0 if it is empty.
func (c *Cache) Revision() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.revision
}

// CompleteUntil returns until when the Cache certainly holds every change of the service; zero if
// that was never certain.
func (c *Cache) CompleteUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

// SetCompleteUntil records that the Cache holds every change until a time. An earlier time than
// is known changes nothing.
func (c *Cache) SetCompleteUntil(until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if until.After(c.complete) {
		c.complete = until
	}
}

// SetState records how the own entry stands to the service.
func (c *Cache) SetState(s State) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.state != s {
		c.state = s
		c.wake()
	}
}

// Apply brings a batch in.
func (c *Cache) Apply(b Batch) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.revision == 0 {
		c.floor = b.Revision
	}
	if b.Full {
		c.endMissing(b)
	}
	for _, r := range b.Records {
		c.put(r)
	}
	if c.deleted > maxDeleted {
		c.forgetDeleted(max(c.revision, b.Revision))
	}
	if b.CompleteUntil.After(c.complete) {
		c.complete = b.CompleteUntil
	}
	if b.Revision > c.revision {
		c.revision = b.Revision
		c.wake()
	}
}

// endMissing ends the keys that a whole batch does not name. When each of them
// ended is not known, but it was no later than the batch's revision.
func (c *Cache) endMissing(b Batch) {
	named := make(map[string]bool, len(b.Records))
	for _, r := range b.Records {
		named[r.Key] = true
	}
	for key, r := range c.records {
		if !named[key] && !r.Deleted && r.Revision <= b.Revision {
			c.put(Record{Key: key, Revision: b.Revision, Deleted: true})
		}
	}
}

// put takes in a record unless a later one is known.
func (c *Cache) put(r Record) {
	known, ok := c.records[r.Key]
	if ok && known.Revision > r.Revision {
		return
	}
	if known.Deleted {
		c.deleted--
	}
	if r.Deleted {
		c.deleted++
	}
	c.records[r.Key] = r
}

func (c *Cache) forgetDeleted(floor int64) {
	for key, r := range c.records {
		if r.Deleted {
			delete(c.records, key)
		}
	}
	c.deleted, c.floor = 0, floor
}

func (c *Cache) wake() {
	close(c.changed)
	c.changed = make(chan struct{})
}

// Wait returns what changed after a revision. If nothing did, it waits for that,
// for a change of the state, or until wait has passed.
func (c *Cache) Wait(ctx context.Context, after int64, wait time.Duration) (Batch, State) {
	b, s, changed := c.since(after)
	if len(b.Records) > 0 || !s.Following {
		return b, s
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
	b, s, _ = c.since(after)
	return b, s
}

func (c *Cache) since(after int64) (Batch, State, <-chan struct{}) {
	c.mu.Lock()
	defer c.mu.Unlock()
	b := Batch{Revision: max(after, c.revision), Full: after < c.floor, CompleteUntil: c.complete}
	if after >= c.revision && !b.Full {
		return b, c.state, c.changed
	}
	for key, r := range c.records {
		if b.Full && r.Deleted || !b.Full && r.Revision <= after {
			continue
		}
		if r.packed == nil {
			r.pack()
			c.records[key] = r
		}
		b.Records = append(b.Records, r)
	}
	slices.SortFunc(b.Records, func(x, y Record) int {
		return cmp.Or(cmp.Compare(x.Revision, y.Revision), cmp.Compare(x.Key, y.Key))
	})
	return b, c.state, c.changed
}
