package view

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
)

var t0 = time.Unix(1_800_000_000, 0)

func at(seconds float64) time.Time { return t0.Add(time.Duration(seconds * float64(time.Second))) }

func newView() *View {
	v := New(Options{
		Self:    model.Member{ID: "n1", State: membership.Alive, Region: "muscat", Entry: "10.0.0.1:80"},
		Regions: map[string]string{"mus-a": "muscat", "soh-a": "sohar"},
		Rejoin:  2 * time.Second,
	})
	v.SetConfig(&model.Config{Version: 3, Services: map[string]model.ServiceConfig{"stock": {Warmup: 3 * time.Second}}})
	return v
}

func upstream(id, domain string) model.Upstream {
	return model.Upstream{ID: id, Service: "stock", Domain: domain, Address: "10.0.1.1:80", Slots: 4}
}

func has(v *View, id string) bool {
	_, ok := v.upstreams[id]
	return ok
}

func TestConfigurationOnlyRises(t *testing.T) {
	v := newView()
	for _, tt := range []struct {
		version uint64
		taken   bool
	}{{2, false}, {3, false}, {7, true}, {5, false}} {
		if got := v.SetConfig(&model.Config{Version: tt.version}); got != tt.taken {
			t.Errorf("version %d taken: %v", tt.version, got)
		}
	}
	if v.Config().Version != 7 {
		t.Errorf("version %d in force", v.Config().Version)
	}
}

// TestLapsedEntriesHaveTimeToComeBack keeps what lapsed while the service was
// away until its owners had time to write it again.
func TestLapsedEntriesHaveTimeToComeBack(t *testing.T) {
	v := newView()
	v.PutUpstream(upstream("u1", "mus-a"))
	v.PutUpstream(upstream("u2", "mus-a"))
	v.ServiceLost()
	v.ServiceReached(at(10))
	v.ReplaceUpstreams(nil, at(10))
	if !has(v, "u1") || !has(v, "u2") {
		t.Fatal("an entry that lapsed is gone at once")
	}
	v.PutUpstream(upstream("u1", "mus-a"))
	v.Tick(at(11.9))
	if !has(v, "u2") {
		t.Error("gone before its owner had time")
	}
	if !v.Tick(at(12)) || has(v, "u2") || !has(v, "u1") {
		t.Error("after the time only the one that came back is to stay")
	}
}

// TestReturnCountsFromTheFirstAnswer lets a second caller of the service notice
// its return late. A node that had been cut off once sent to a target for three
// seconds too long because of it.
func TestReturnCountsFromTheFirstAnswer(t *testing.T) {
	v := newView()
	v.PutUpstream(upstream("u1", "mus-a"))
	v.ServiceLost()
	v.ServiceReached(at(10))
	v.ReplaceUpstreams(nil, at(10))
	v.ServiceReached(at(11.5))
	if !v.Tick(at(12)) || has(v, "u1") {
		t.Error("still there two seconds after the return")
	}
}

// TestLeavingUpstreamIsNotWaitedFor drops one that had said that it leaves, also
// while the service was away.
func TestLeavingUpstreamIsNotWaitedFor(t *testing.T) {
	v := newView()
	u := upstream("u1", "mus-a")
	u.Leaving = true
	v.PutUpstream(u)
	v.ServiceLost()
	if !v.RemoveUpstream("u1", at(1)) {
		t.Error("kept")
	}
}

func TestGoneInCalmTimesIsGone(t *testing.T) {
	v := newView()
	v.PutUpstream(upstream("u1", "mus-a"))
	if !v.RemoveUpstream("u1", at(1)) || has(v, "u1") {
		t.Error("kept")
	}
}

// TestDrainEndsCold warms up the upstreams of a failure domain that is back in
// use: they may have turned cold.
func TestDrainEndsCold(t *testing.T) {
	v := newView()
	v.PutUpstream(upstream("u1", "mus-a"))
	v.PutUpstream(upstream("u2", "soh-a"))
	v.PutDrain("mus-a", at(1))
	s := v.Snapshot()
	for _, u := range s.Services["stock"].Upstreams {
		if s.Draining(&u, at(2)) != (u.ID == "u1") {
			t.Errorf("%s draining: %v", u.ID, s.Draining(&u, at(2)))
		}
	}
	v.RemoveDrain("mus-a", at(9))
	if got := v.upstreams["u1"].ColdUntil; !got.Equal(at(12)) {
		t.Errorf("cold until %v", got)
	}
	if !v.upstreams["u2"].ColdUntil.IsZero() {
		t.Error("another domain's upstream turned cold")
	}
}

// TestNewerRegistrationCounts lets a restarted node's earlier registration
// outlive its start.
func TestNewerRegistrationCounts(t *testing.T) {
	v := newView()
	old := model.Member{ID: "n2", Incarnation: 1, State: membership.Alive, Entry: "10.0.0.2:80"}
	v.PutNode("k1", old)
	newer := old
	newer.Incarnation, newer.Entry = 2, "10.0.0.9:80"
	v.PutNode("k2", newer)
	ms := v.Members()
	if len(ms) != 2 || ms[1].Entry != "10.0.0.9:80" {
		t.Errorf("members %v", ms)
	}
	v.RemoveNode("k1", at(1))
	if ms := v.Members(); len(ms) != 2 {
		t.Errorf("members %v after the older one lapsed", ms)
	}
	if others := v.Others(ms); len(others) != 1 || others[0].ID != "n2" {
		t.Errorf("others %v", others)
	}
}

// TestEarlierLifeBringsNothingBack has entries of earlier lives of an upstream arrive
// late: a write that its writer gave up on may be done seconds afterwards.
func TestEarlierLifeBringsNothingBack(t *testing.T) {
	v := newView()
	life := func(born int64, address string) model.Upstream {
		u := upstream("u1", "mus-a")
		u.StartedAt, u.Address = born, address
		return u
	}
	v.PutUpstream(life(2000, "second"))
	if v.PutUpstream(life(1000, "first")) || v.upstreams["u1"].Address != "second" {
		t.Error("an earlier life takes the place of the present one")
	}
	if !v.PutUpstream(life(3000, "third")) || v.upstreams["u1"].Address != "third" {
		t.Error("a later life is not taken in")
	}
	v.RemoveUpstream("u1", at(10))
	if v.PutUpstream(life(2000, "second")); has(v, "u1") {
		t.Error("an earlier life comes back after the last has ended")
	}
	if v.PutUpstream(life(3000, "third")); !has(v, "u1") {
		t.Error("the last life may not come back")
	}
}

// TestWithoutBirthAsBefore takes in entries that do not tell when their upstream started.
func TestWithoutBirthAsBefore(t *testing.T) {
	v := newView()
	born := upstream("u1", "mus-a")
	born.StartedAt = 1000
	v.PutUpstream(born)
	if !v.PutUpstream(upstream("u1", "mus-a")) || v.upstreams["u1"].StartedAt != 0 {
		t.Error("an entry without a birth is not taken in")
	}
}

// TestListsFollowChanges compares what a view compiles, from lists that it keeps between
// changes, with what a view without any such list compiles, after each of many changes.
func TestListsFollowChanges(t *testing.T) {
	rnd := rand.New(rand.NewPCG(5, 6))
	v := newView()
	for i := range 2000 {
		now := at(float64(i) / 10)
		id := fmt.Sprint("u", rnd.IntN(12))
		switch rnd.IntN(12) {
		case 0, 1, 2:
			u := upstream(id, []string{"mus-a", "soh-a"}[rnd.IntN(2)])
			u.StartedAt, u.Leaving = int64(rnd.IntN(5)), rnd.IntN(3) == 0
			v.PutUpstream(u)
		case 3:
			v.RemoveUpstream(id, now)
		case 4:
			v.DropUpstream(id, now)
		case 5:
			v.ReplaceUpstreams([]model.Upstream{upstream(id, "mus-a")}, now)
		case 6:
			v.PutNode(id, model.Member{ID: id, Incarnation: uint64(rnd.IntN(3)), State: membership.Alive})
		case 7:
			v.RemoveNode(id, now)
		case 8:
			v.DropNode(id)
		case 9:
			v.ServiceLost()
			v.ServiceReached(now)
		case 10:
			v.PutDrain("mus-a", now)
			v.RemoveDrain("mus-a", now.Add(time.Second))
			v.Tick(now)
		case 11:
			v.SetConfig(&model.Config{Version: uint64(i), Services: v.config.Services, Routes: []*model.Route{{Name: id, Host: id, Prefix: "/"}}})
		}
		got := v.Snapshot()
		v.sorted = sorted{}
		if want := v.Snapshot(); !reflect.DeepEqual(got, want) {
			t.Fatalf("change %d: %+v, want %+v", i, got, want)
		}
	}
}
