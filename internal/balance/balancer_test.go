package balance

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/loomkeel/loomkeel/internal/model"
)

var t0 = time.Unix(1_800_000_000, 0)

// serviceWith returns a service with perRegion upstreams in each region, each with a number of
// slots.
func serviceWith(perRegion, slots int, regions ...string) *model.Service {
	s := &model.Service{Name: "stock", Warmup: 10 * time.Second}
	for _, r := range regions {
		for i := range perRegion {
			s.Upstreams = append(s.Upstreams, model.Upstream{ID: fmt.Sprintf("%s-%d", r, i), Region: r, Slots: slots})
		}
	}
	return s
}

func notDraining(*model.Upstream, time.Time) bool { return false }

// testBalancer is a Balancer with its clock and random source.
type testBalancer struct {
	*Balancer
	now time.Time
	rnd *rand.Rand
}

func newTestBalancer(s *model.Service) *testBalancer {
	r := &testBalancer{Balancer: NewBalancer(), now: t0, rnd: rand.New(rand.NewPCG(1, 1))}
	r.Update(ServiceState{Service: s, Draining: notDraining}, r.now)
	return r
}

func (r *testBalancer) pick(t *testing.T, regions ...string) Choice {
	t.Helper()
	c, err := r.Pick(r.now, r.rnd, Request{Regions: regions})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (r *testBalancer) fail(c Choice) { r.Done(r.now, c, DoneInfo{Result: Failed}) }

func TestLocalFirstThenOverflow(t *testing.T) {
	r := newTestBalancer(serviceWith(2, 3, "muscat", "sohar"))
	for i := range 6 {
		if c := r.pick(t, "muscat", "sohar"); c.Region != "muscat" {
			t.Fatalf("request %d went to %s", i, c.Region)
		}
	}
	if c := r.pick(t, "muscat", "sohar"); c.Region != "sohar" {
		t.Errorf("overflow went to %s", c.Region)
	}
	for range 5 {
		r.pick(t, "muscat", "sohar")
	}
	if _, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"muscat", "sohar"}}); !errors.Is(err, ErrNoSlot) {
		t.Errorf("with all slots in use: got %v, want ErrNoSlot", err)
	}
	if _, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"salalah"}}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("without any upstream: got %v, want ErrNoUpstream", err)
	}
}

// TestShedAffectsOnlyOneUpstream checks that a shed by one upstream does not make another one,
// which has not reported any load, count as full.
func TestShedAffectsOnlyOneUpstream(t *testing.T) {
	r := newTestBalancer(serviceWith(2, 4, "muscat"))
	first := r.pick(t, "muscat")
	r.Done(r.now, first, DoneInfo{Result: Shed})
	second := r.pick(t, "muscat")
	if second.ID == first.ID {
		t.Error("the upstream that shed was picked again at once")
	}
}

// TestSubsetFirst checks that an entry uses the upstreams of its subset first, and others once
// these are full.
func TestSubsetFirst(t *testing.T) {
	s := serviceWith(4, 2, "muscat")
	entries := []string{"n2", "n1"}
	mine, theirs := Subset(s.Upstreams, "muscat", "n1", entries), Subset(s.Upstreams, "muscat", "n2", entries)
	if len(mine) != 2 || len(theirs) != 2 {
		t.Fatalf("subsets %v and %v, want two upstreams each", mine, theirs)
	}
	r := newTestBalancer(s)
	r.Update(ServiceState{Service: s, Draining: notDraining, Subset: mine}, r.now)
	for i := range 8 {
		if c := r.pick(t, "muscat"); mine[c.ID] != (i < 4) {
			t.Errorf("request %d went to %s", i, c.ID)
		}
	}
}

func TestReportedLoadCounts(t *testing.T) {
	r := newTestBalancer(serviceWith(2, 4, "muscat"))
	c := r.pick(t, "muscat")
	// The load of 5 is this entry's request and four of other entries.
	r.finish(r.now, c, Announcement{Load: 5}, DoneInfo{})
	for range 2 {
		if got := r.pick(t, "muscat"); got.ID == c.ID {
			t.Fatalf("%s was picked although it reported to be full", c.ID)
		}
	}
}

// TestFailingUpstreamReportingNoLoad has an upstream report no load while every request to it
// fails.
func TestFailingUpstreamReportingNoLoad(t *testing.T) {
	r := newTestBalancer(serviceWith(4, 4, "muscat"))
	bad := 0
	for range 400 {
		c := r.pick(t, "muscat")
		if c.ID == "muscat-0" {
			bad++
			r.finish(r.now, c, Announcement{Load: 0}, DoneInfo{Result: Failed})
		} else {
			r.finish(r.now, c, Announcement{Load: 2}, DoneInfo{})
		}
		r.now = r.now.Add(10 * time.Millisecond)
	}
	if bad > 20 {
		t.Errorf("the failing upstream got %d of 400 requests, want at most 20", bad)
	}
}

// TestEjectionIsBounded fails every request: at most half of the upstreams may be ejected, and each
// of the others gets one request at a time.
func TestEjectionIsBounded(t *testing.T) {
	r := newTestBalancer(serviceWith(6, 4, "muscat"))
	for range 100 {
		r.fail(r.pick(t, "muscat"))
	}
	out := 0
	for _, s := range r.Dump(r.now) {
		if s.Ejected {
			out++
		}
	}
	if out == 0 || out > 3 {
		t.Errorf("%d of 6 upstreams ejected, want 1 to 3", out)
	}
	for range 6 - out {
		r.pick(t, "muscat")
	}
	if _, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"muscat"}}); !errors.Is(err, ErrNoSlot) {
		t.Errorf("a failing upstream got a second request: got %v, want ErrNoSlot", err)
	}
}

// TestUnreachableRegionOverflows makes a region's upstreams unreachable: requests must go to the
// next region, except for those that probe whether the region has recovered.
func TestUnreachableRegionOverflows(t *testing.T) {
	r := newTestBalancer(serviceWith(6, 4, "muscat", "sohar"))
	local := 0
	for range 1000 {
		c := r.pick(t, "muscat", "sohar")
		if c.Region == "muscat" {
			local++
			r.Done(r.now, c, DoneInfo{Result: Unreachable})
		} else {
			r.finish(r.now, c, Announcement{Load: 1}, DoneInfo{})
		}
		r.now = r.now.Add(time.Millisecond)
	}
	// One request for each upstream, and then ten probes per second.
	if local > 6+10 {
		t.Errorf("%d of 1000 requests in a second went to the unreachable region", local)
	}
	for range 100 {
		c := r.pick(t, "muscat", "sohar")
		r.finish(r.now, c, Announcement{Load: 1}, DoneInfo{})
		r.now = r.now.Add(probeInterval)
	}
	if c := r.pick(t, "muscat", "sohar"); c.Region != "muscat" {
		t.Error("the region has recovered, but gets no requests")
	}
}

func TestColdUpstreamWarmsUp(t *testing.T) {
	s := serviceWith(1, 10, "muscat")
	r := newTestBalancer(s)
	s.Upstreams = append(s.Upstreams, model.Upstream{ID: "new", Region: "muscat", Slots: 10})
	r.Update(ServiceState{Service: s, Draining: notDraining}, r.now)
	count := func() int {
		var held []Choice
		n := 0
		for {
			c, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"muscat"}})
			if err != nil {
				break
			}
			if c.ID == "new" {
				n++
			}
			held = append(held, c)
		}
		for _, c := range held {
			r.Done(r.now, c, DoneInfo{Result: Abandoned})
		}
		return n
	}
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {5 * time.Second, 5}, {10 * time.Second, 10}} {
		r.now = t0.Add(tt.after)
		if got := count(); got != tt.want {
			t.Errorf("after %v the new upstream accepts %d requests, want %d", tt.after, got, tt.want)
		}
	}
}

// TestSlotLimits picks and ends requests at random: the requests in flight of an upstream are never
// negative and never exceed its slots, and they return to zero.
func TestSlotLimits(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(2)
	props := gopter.NewProperties(params)
	props.Property("slot limits hold", prop.ForAll(func(ops []int) bool {
		r := newTestBalancer(serviceWith(3, 2, "muscat", "sohar"))
		var held []Choice
		for _, op := range ops {
			r.now = r.now.Add(time.Duration(op) * time.Millisecond)
			if op%2 == 0 {
				if c, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"muscat", "sohar"}}); err == nil {
					held = append(held, c)
				}
			} else if len(held) > 0 {
				r.finish(r.now, held[0], Announcement{Load: op%7 - 1}, DoneInfo{Result: Result(op % 4)})
				held = held[1:]
			}
			for _, s := range r.Dump(r.now) {
				if s.InFlight < 0 || s.InFlight > 2 {
					return false
				}
			}
		}
		for _, c := range held {
			r.Done(r.now, c, DoneInfo{})
		}
		return r.InFlight("muscat") == 0 && r.InFlight("sohar") == 0
	}, gen.SliceOfN(60, gen.IntRange(0, 300))))
	props.TestingRun(t)
}

func TestRetryBudget(t *testing.T) {
	const budgetBurst = 10
	b := NewRetryBudget(budgetBurst)
	taken := 0
	for b.TryWithdraw() {
		taken++
	}
	if taken != budgetBurst {
		t.Errorf("%d retries before any success, want %d", taken, budgetBurst)
	}
	for range 100 {
		b.Deposit(0.1)
	}
	taken = 0
	for b.TryWithdraw() {
		taken++
	}
	if taken < 9 || taken > budgetBurst {
		t.Errorf("%d retries after 100 deposits of 0.1", taken)
	}
}
