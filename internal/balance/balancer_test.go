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

// service has upstreams per region, each with a number of slots.
func service(perRegion, slots int, regions ...string) *model.Service {
	s := &model.Service{Name: "stock", Warmup: 10 * time.Second}
	for _, r := range regions {
		for i := range perRegion {
			s.Upstreams = append(s.Upstreams, model.Upstream{ID: fmt.Sprintf("%s-%d", r, i), Region: r, Slots: slots})
		}
	}
	return s
}

func never(*model.Upstream, time.Time) bool { return false }

// rig is a Group with its clock and randomness.
type rig struct {
	*Balancer
	now time.Time
	rnd *rand.Rand
}

func newRig(s *model.Service) *rig {
	r := &rig{Balancer: NewBalancer(), now: t0, rnd: rand.New(rand.NewPCG(1, 1))}
	r.Update(ServiceState{Service: s, Draining: never}, r.now)
	return r
}

func (r *rig) pick(t *testing.T, regions ...string) Choice {
	t.Helper()
	c, err := r.Pick(r.now, r.rnd, Request{Regions: regions})
	if err != nil {
		t.Fatal(err)
	}
	return c
}

func (r *rig) fail(c Choice) { r.Done(r.now, c, DoneInfo{Result: Failed, Load: -1}) }

func TestLocalFirstThenOverflow(t *testing.T) {
	r := newRig(service(2, 3, "muscat", "sohar"))
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
		t.Errorf("with all slots taken: %v", err)
	}
	if _, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"salalah"}}); !errors.Is(err, ErrNoUpstream) {
		t.Errorf("without an upstream: %v", err)
	}
}

// TestShedIsNotContagious keeps an upstream that shed from making another, of
// which nothing was reported, look full.
func TestShedIsNotContagious(t *testing.T) {
	r := newRig(service(2, 4, "muscat"))
	first := r.pick(t, "muscat")
	r.Done(r.now, first, DoneInfo{Result: Shed, Load: -1})
	second := r.pick(t, "muscat")
	if second.ID == first.ID {
		t.Error("the upstream that shed was picked again at once")
	}
}

// TestOwnedFirst lets an entry begin with its own upstreams and borrow the
// others' when those are full.
func TestOwnedFirst(t *testing.T) {
	s := service(4, 2, "muscat")
	entries := []string{"n2", "n1"}
	mine, theirs := Subset(s.Upstreams, "muscat", "n1", entries), Subset(s.Upstreams, "muscat", "n2", entries)
	if len(mine) != 2 || len(theirs) != 2 {
		t.Fatalf("owned %v and %v", mine, theirs)
	}
	r := newRig(s)
	r.Update(ServiceState{Service: s, Draining: never, Subset: mine}, r.now)
	for i := range 8 {
		if c := r.pick(t, "muscat"); mine[c.ID] != (i < 4) {
			t.Errorf("request %d went to %s", i, c.ID)
		}
	}
}

func TestReportsOfOthersCount(t *testing.T) {
	r := newRig(service(2, 4, "muscat"))
	c := r.pick(t, "muscat")
	// Its own request and four of other entries.
	r.Done(r.now, c, DoneInfo{Load: 5})
	for range 2 {
		if got := r.pick(t, "muscat"); got.ID == c.ID {
			t.Fatalf("%s was picked, though it reports to be full", c.ID)
		}
	}
}

// TestIdleLiarIsPassedOver has an upstream that claims to be idle while every
// request to it fails.
func TestIdleLiarIsPassedOver(t *testing.T) {
	r := newRig(service(4, 4, "muscat"))
	bad := 0
	for range 400 {
		c := r.pick(t, "muscat")
		if c.ID == "muscat-0" {
			bad++
			r.Done(r.now, c, DoneInfo{Result: Failed, Load: 0})
		} else {
			r.Done(r.now, c, DoneInfo{Load: 2})
		}
		r.now = r.now.Add(10 * time.Millisecond)
	}
	if bad > 20 {
		t.Errorf("the liar got %d of 400 requests", bad)
	}
}

// TestEjectionIsBounded fails every request: at most half of the upstreams may
// be out, and the others get one request at a time.
func TestEjectionIsBounded(t *testing.T) {
	r := newRig(service(6, 4, "muscat"))
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
		t.Errorf("%d of 6 ejected", out)
	}
	for range 6 - out {
		r.pick(t, "muscat")
	}
	if _, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"muscat"}}); !errors.Is(err, ErrNoSlot) {
		t.Errorf("a failing upstream got a second request: %v", err)
	}
}

// TestDeadRegionOverflows makes a region's upstreams unreachable: requests must
// go on to the next region, but for those that look whether it is well again.
func TestDeadRegionOverflows(t *testing.T) {
	r := newRig(service(6, 4, "muscat", "sohar"))
	local := 0
	for range 1000 {
		c := r.pick(t, "muscat", "sohar")
		if c.Region == "muscat" {
			local++
			r.Done(r.now, c, DoneInfo{Result: Unreachable, Load: -1})
		} else {
			r.Done(r.now, c, DoneInfo{Load: 1})
		}
		r.now = r.now.Add(time.Millisecond)
	}
	// Once for each upstream, and then ten times a second.
	if local > 6+10 {
		t.Errorf("%d of 1000 requests in a second went to the dead region", local)
	}
	for range 100 {
		c := r.pick(t, "muscat", "sohar")
		r.Done(r.now, c, DoneInfo{Load: 1})
		r.now = r.now.Add(probeInterval)
	}
	if c := r.pick(t, "muscat", "sohar"); c.Region != "muscat" {
		t.Error("the region is well, but gets no requests")
	}
}

func TestColdUpstreamWarmsUp(t *testing.T) {
	s := service(1, 10, "muscat")
	r := newRig(s)
	s.Upstreams = append(s.Upstreams, model.Upstream{ID: "new", Region: "muscat", Slots: 10})
	r.Update(ServiceState{Service: s, Draining: never}, r.now)
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
			r.Done(r.now, c, DoneInfo{Result: Abandoned, Load: -1})
		}
		return n
	}
	for _, tt := range []struct {
		after time.Duration
		want  int
	}{{0, 1}, {5 * time.Second, 5}, {10 * time.Second, 10}} {
		r.now = t0.Add(tt.after)
		if got := count(); got != tt.want {
			t.Errorf("after %v the new upstream takes %d, want %d", tt.after, got, tt.want)
		}
	}
}

// TestSlotsAreKept picks and ends requests at random: the group never counts
// below zero nor beyond an upstream's slots, and ends at zero.
func TestSlotsAreKept(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(2)
	props := gopter.NewProperties(params)
	props.Property("slots are kept", prop.ForAll(func(ops []int) bool {
		r := newRig(service(3, 2, "muscat", "sohar"))
		var held []Choice
		for _, op := range ops {
			r.now = r.now.Add(time.Duration(op) * time.Millisecond)
			if op%2 == 0 {
				if c, err := r.Pick(r.now, r.rnd, Request{Regions: []string{"muscat", "sohar"}}); err == nil {
					held = append(held, c)
				}
			} else if len(held) > 0 {
				r.Done(r.now, held[0], DoneInfo{Result: Result(op % 4), Load: op%7 - 1})
				held = held[1:]
			}
			for _, s := range r.Dump(r.now) {
				if s.InFlight < 0 || s.InFlight > 2 {
					return false
				}
			}
		}
		for _, c := range held {
			r.Done(r.now, c, DoneInfo{Load: -1})
		}
		return r.InFlight("muscat") == 0 && r.InFlight("sohar") == 0
	}, gen.SliceOfN(60, gen.IntRange(0, 300))))
	props.TestingRun(t)
}

func TestBudget(t *testing.T) {
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
		t.Errorf("%d retries after 100 successes at 0.1", taken)
	}
}
