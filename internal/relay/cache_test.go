package relay

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

// keysOf returns the keys of a batch, with a "-" before those that are deleted.
func keysOf(b Batch) []string {
	var out []string
	for _, r := range b.Records {
		key := r.Key
		if r.Deleted {
			key = "-" + key
		}
		out = append(out, key)
	}
	return out
}

func record(key string, revision int64) Record { return Record{Key: key, Revision: revision} }

func tombstone(key string, revision int64) Record {
	return Record{Key: key, Revision: revision, Deleted: true}
}

// newFollowingCache returns a Cache with some batches whose node follows the store.
func newFollowingCache(batches ...Batch) *Cache {
	c := NewCache()
	c.SetState(State{Following: true})
	c.SetCompleteUntil(time.Now().Add(time.Hour))
	for _, b := range batches {
		c.Apply(b)
	}
	return c
}

// TestSince checks which records a peer gets, by the revision that it has.
func TestSince(t *testing.T) {
	full := Batch{Full: true, Records: []Record{record("a", 3), record("b", 5)}, Revision: 10}
	changes := Batch{Records: []Record{record("c", 11), tombstone("a", 12)}, Revision: 12}
	for _, tt := range []struct {
		name  string
		cache *Cache
		after int64
		full  bool
		want  []string
	}{
		{"an empty peer gets a full batch without tombstones", newFollowingCache(full, changes), 0, true, []string{"b", "c"}},
		{"a peer behind the first listing gets a full batch", newFollowingCache(full, changes), 9, true, []string{"b", "c"}},
		{"a peer behind gets the changes in order", newFollowingCache(full, changes), 10, false, []string{"c", "-a"}},
		{"a peer that has some of the changes gets the rest", newFollowingCache(full, changes), 11, false, []string{"-a"}},
		{"a peer that is not behind gets nothing", newFollowingCache(full, changes), 12, false, nil},
		{
			"a new listing deletes the keys that it lacks",
			newFollowingCache(full, Batch{Full: true, Records: []Record{record("b", 5), record("d", 14)}, Revision: 15}),
			10, false, []string{"d", "-a"},
		},
		{
			"an older listing does not delete later records",
			newFollowingCache(full, Batch{Records: []Record{record("new", 20)}, Revision: 20}, Batch{Full: true, Records: []Record{record("a", 3), record("b", 5)}, Revision: 15}),
			10, false, []string{"new"},
		},
		{
			"an older record does not replace a newer one",
			newFollowingCache(full, Batch{Records: []Record{record("a", 20)}, Revision: 20}, Batch{Records: []Record{tombstone("a", 15)}, Revision: 20}),
			10, false, []string{"a"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, _, _ := tt.cache.since(tt.after)
			if b.Full != tt.full || !slices.Equal(keysOf(b), tt.want) {
				t.Errorf("full %v, %v", b.Full, keysOf(b))
			}
		})
	}
}

// TestFullBatchAfterDroppedTombstones has a peer that is behind tombstones that were dropped.
// It must get a full batch, or it would keep deleted keys.
func TestFullBatchAfterDroppedTombstones(t *testing.T) {
	c := newFollowingCache(Batch{Full: true, Records: []Record{record("present", 1), record("deleted", 1)}, Revision: 1})
	c.Apply(Batch{Records: []Record{tombstone("deleted", 2)}, Revision: 2})
	for i := range maxTombstones + 1 {
		key := string(rune('A' + i))
		c.Apply(Batch{Records: []Record{tombstone(key, int64(3+i))}, Revision: int64(3 + i)})
	}
	b, _, _ := c.since(1)
	if !b.Full || !slices.Equal(keysOf(b), []string{"present"}) {
		t.Errorf("full %v, %v", b.Full, keysOf(b))
	}
}

// TestWaitEndsOnChange applies a change during a wait.
func TestWaitEndsOnChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFollowingCache(Batch{Full: true, Revision: 5})
		go func() {
			time.Sleep(time.Second)
			c.Apply(Batch{Records: []Record{record("a", 6)}, Revision: 6})
		}()
		start := time.Now()
		b, _ := c.Wait(context.Background(), 5, time.Minute)
		if time.Since(start) != time.Second || !slices.Equal(keysOf(b), []string{"a"}) {
			t.Errorf("%v after %v", keysOf(b), time.Since(start))
		}
	})
}

// TestWaitEndsWhenStoreLost has a node lose the store while a peer waits for its reply. The
// peer must be able to pick another source at once.
func TestWaitEndsWhenStoreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFollowingCache(Batch{Full: true, Revision: 5})
		go func() {
			time.Sleep(time.Second)
			c.SetState(State{})
		}()
		start := time.Now()
		_, s := c.Wait(context.Background(), 5, time.Minute)
		if time.Since(start) != time.Second || s.Following {
			t.Errorf("%+v after %v", s, time.Since(start))
		}
	})
}

// TestWaitTimeout waits without a change.
func TestWaitTimeout(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFollowingCache(Batch{Full: true, Revision: 5})
		b, s := c.Wait(context.Background(), 5, time.Second)
		if b.Revision != 5 || len(b.Records) > 0 || !s.Following {
			t.Errorf("%+v, %+v", b, s)
		}
	})
}

// TestDroppedTombstonesSpareCurrentPeers deletes keys one after the other until tombstones are dropped. A
// peer that has all changes but the last must never get a full batch, and the number of tombstones
// must stay bounded.
func TestDroppedTombstonesSpareCurrentPeers(t *testing.T) {
	const keys = 3 * maxTombstones
	c := NewCache()
	c.Apply(Batch{Full: true, Revision: 1})
	for i := range int64(keys) {
		c.Apply(Batch{Records: []Record{{Key: fmt.Sprint(i), Revision: i + 2, Deleted: true}}, Revision: i + 2})
		if full := c.position(i + 1).full; full || c.tombstones > maxTombstones {
			t.Fatalf("after %d deletions: full batch %v for a peer one change behind, %d tombstones", i+1, full, c.tombstones)
		}
	}
	if !c.position(1).full {
		t.Error("a peer from before the first deletions gets no full batch")
	}
}
