package relay

import (
	"context"
	"slices"
	"testing"
	"testing/synctest"
	"time"
)

func keysOf(b Batch) []string {
	var out []string
	for _, r := range b.Records {
		name := r.Key
		if r.Deleted {
			name = "-" + name
		}
		out = append(out, name)
	}
	return out
}

func put(key string, revision int64) Record { return Record{Key: key, Revision: revision} }

func gone(key string, revision int64) Record {
	return Record{Key: key, Revision: revision, Deleted: true}
}

// following returns a Cache whose entry follows the service.
func following(batches ...Batch) *Cache {
	c := NewCache()
	c.SetState(State{Following: true})
	c.SetCompleteUntil(time.Now().Add(time.Hour))
	for _, b := range batches {
		c.Apply(b)
	}
	return c
}

func TestSince(t *testing.T) {
	whole := Batch{Full: true, Records: []Record{put("a", 3), put("b", 5)}, Revision: 10}
	changes := Batch{Records: []Record{put("c", 11), gone("a", 12)}, Revision: 12}
	for _, tt := range []struct {
		name  string
		cache *Cache
		after int64
		whole bool
		want  []string
	}{
		{"one who knows nothing gets everything but ends", following(whole, changes), 0, true, []string{"b", "c"}},
		{"one behind the first listing gets everything", following(whole, changes), 9, true, []string{"b", "c"}},
		{"one behind gets the changes in order", following(whole, changes), 10, false, []string{"c", "-a"}},
		{"one partly behind gets the rest", following(whole, changes), 11, false, []string{"-a"}},
		{"one that is ahead gets nothing", following(whole, changes), 12, false, nil},
		{
			"a new listing ends what it does not name",
			following(whole, Batch{Full: true, Records: []Record{put("b", 5), put("d", 14)}, Revision: 15}),
			10, false, []string{"d", "-a"},
		},
		{
			"an older listing does not end what came after it",
			following(whole, Batch{Records: []Record{put("new", 20)}, Revision: 20}, Batch{Full: true, Records: []Record{put("a", 3), put("b", 5)}, Revision: 15}),
			10, false, []string{"new"},
		},
		{
			"an older value does not replace a newer one",
			following(whole, Batch{Records: []Record{put("a", 20)}, Revision: 20}, Batch{Records: []Record{gone("a", 15)}, Revision: 20}),
			10, false, []string{"a"},
		},
	} {
		t.Run(tt.name, func(t *testing.T) {
			b, _, _ := tt.cache.since(tt.after)
			if b.Full != tt.whole || !slices.Equal(keysOf(b), tt.want) {
				t.Errorf("whole %v, %v", b.Full, keysOf(b))
			}
		})
	}
}

// A peer that is behind the ends that were forgotten must get everything, or it
// would keep what is gone.
func TestForgottenEnds(t *testing.T) {
	c := following(Batch{Full: true, Records: []Record{put("stays", 1), put("goes", 1)}, Revision: 1})
	c.Apply(Batch{Records: []Record{gone("goes", 2)}, Revision: 2})
	for i := range maxDeleted + 1 {
		key := string(rune('A' + i))
		c.Apply(Batch{Records: []Record{gone(key, int64(3+i))}, Revision: int64(3 + i)})
	}
	b, _, _ := c.since(1)
	if !b.Full || !slices.Equal(keysOf(b), []string{"stays"}) {
		t.Errorf("whole %v, %v", b.Full, keysOf(b))
	}
}

func TestWaitEndsAtAChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := following(Batch{Full: true, Revision: 5})
		go func() {
			time.Sleep(time.Second)
			c.Apply(Batch{Records: []Record{put("a", 6)}, Revision: 6})
		}()
		began := time.Now()
		b, _ := c.Wait(context.Background(), 5, time.Minute)
		if time.Since(began) != time.Second || !slices.Equal(keysOf(b), []string{"a"}) {
			t.Errorf("%v after %v", keysOf(b), time.Since(began))
		}
	})
}

// Who waits at an entry that loses the service has to turn elsewhere at once.
func TestWaitEndsWithTheService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := following(Batch{Full: true, Revision: 5})
		go func() {
			time.Sleep(time.Second)
			c.SetState(State{})
		}()
		began := time.Now()
		_, s := c.Wait(context.Background(), 5, time.Minute)
		if time.Since(began) != time.Second || s.Following {
			t.Errorf("%+v after %v", s, time.Since(began))
		}
	})
}

func TestWaitRunsOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := following(Batch{Full: true, Revision: 5})
		b, s := c.Wait(context.Background(), 5, time.Second)
		if b.Revision != 5 || len(b.Records) > 0 || !s.Following {
			t.Errorf("%+v, %+v", b, s)
		}
	})
}
