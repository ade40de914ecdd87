package balance

import (
	"errors"
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// limitSeeds is the number of seeds of each simulation; with more than one, more rates of demand
// are simulated.
var limitSeeds = flag.Uint64("limit-seeds", 1, "number of seeds for each simulation of upstream limits")

// limitEntries replaces the fleet sizes of the simulations by one with this number of entries.
var limitEntries = flag.Int("limit-entries", 0, "number of entries in simulations of upstream limits; 0 simulates fleets of several sizes")

// fleetSize is the size of a simulated fleet.
type fleetSize struct{ entries, upstreams int }

// fleetSizes returns the sizes of the fleets to simulate.
func fleetSizes() []fleetSize {
	if *limitEntries > 0 {
		return []fleetSize{{*limitEntries, max(6, *limitEntries/3)}}
	}
	return []fleetSize{{11, 12}, {18, 18}, {48, 24}}
}

const (
	// limitWindow is the length of the windows in which a limit must hold. It must hold from
	// settleTime after its first announcement.
	limitWindow = 4 * time.Second
	settleTime  = time.Second
	// overshoot is the allowed factor over the limit, and slackRequests the number of requests
	// allowed in addition. minUtilisation is the share of the limit that must be used while demand
	// exceeds it.
	overshoot      = 1.1
	slackRequests  = 3.0
	minUtilisation = 0.9
	// limitStart and limitStop delimit the time in which the upstream announces its limit.
	limitStart = 5 * time.Second
	limitStop  = 25 * time.Second
	// runEnd is the end of a simulation, pollInterval the time between checks of the entries.
	runEnd       = 28 * time.Second
	pollInterval = 50 * time.Millisecond
)

// limitOnFirst returns a limitOf function with which the first upstream announces a limit from
// limitStart to limitStop.
func limitOnFirst(perSecond float64) func(string, time.Duration) float64 {
	return func(upstream string, at time.Duration) float64 {
		if upstream == "u0" && at >= limitStart && at < limitStop {
			return perSecond
		}
		return ratelimit.Unlimited
	}
}

// constantDemand returns a demand function with a constant rate.
func constantDemand(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// checkWithinLimit checks that the first upstream got no more requests in any limitWindow than its
// limit allows, within overshoot and slackRequests.
func checkWithinLimit(t *testing.T, f *simFleet, seed uint64, perSecond float64) {
	t.Helper()
	checkUpstreamWithinLimit(t, f, "u0", seed, perSecond)
}

// checkAllWithinLimit checks the same for all upstreams, which have the same limit.
func checkAllWithinLimit(t *testing.T, f *simFleet, seed uint64, perSecond float64) {
	t.Helper()
	for _, u := range f.service.Upstreams {
		checkUpstreamWithinLimit(t, f, u.ID, seed, perSecond)
	}
}

func checkUpstreamWithinLimit(t *testing.T, f *simFleet, upstream string, seed uint64, perSecond float64) {
	t.Helper()
	got, at := f.maxInWindow(upstream, limitWindow, limitStart+settleTime, limitStop)
	if most := overshoot*perSecond*limitWindow.Seconds() + slackRequests; float64(got) > most {
		t.Errorf("seed %d: %s got %d requests in %v before %v at a limit of %v per second; allowed: %.1f", seed, upstream, got, limitWindow, at, perSecond, most)
	}
}

// forEachLimit simulates fleets of several sizes with several limits, each of which is a fraction
// of the demand at the upstream. prepare schedules events of a simulation before its start, check
// runs after its end.
func forEachLimit(t *testing.T, prepare func(f *simFleet), check func(t *testing.T, f *simFleet, u *utilisation, seed uint64, perSecond float64)) {
	demands := []float64{12}
	if *limitSeeds > 1 {
		demands = []float64{4, 12, 60}
	}
	for _, size := range fleetSizes() {
		for _, perUpstream := range demands {
			for _, part := range []float64{0.2, 0.5} {
				perSecond := part * perUpstream
				t.Run(fmt.Sprintf("%d entries, limit %v at demand %v per second", size.entries, perSecond, perUpstream), func(t *testing.T) {
					t.Parallel()
					u := &utilisation{}
					for seed := range *limitSeeds {
						f := newSimFleet(seed, size.entries, size.upstreams)
						f.demand = constantDemand(perUpstream * float64(size.upstreams))
						f.limitOf = limitOnFirst(perSecond)
						prepare(f)
						f.run(runEnd)
						check(t, f, u, seed, perSecond)
					}
					if u.sent < minUtilisation*u.allowed {
						t.Errorf("a share of %.3f of a limit of %v per second was used; allowed: at least %v", u.sent/u.allowed, perSecond, minUtilisation)
					}
				})
			}
		}
	}
}

// utilisation sums up over the seeds of a simulation how much of a limit was used.
type utilisation struct{ sent, allowed float64 }

func (u *utilisation) add(f *simFleet, perSecond float64) {
	u.sent += float64(f.countBetween("u0", limitStart+settleTime, limitStop))
	u.allowed += perSecond * (limitStop - limitStart - settleTime).Seconds()
}

func TestUpstreamLimitIsKeptAndUsed(t *testing.T) {
	forEachLimit(t, func(*simFleet) {}, func(t *testing.T, f *simFleet, u *utilisation, seed uint64, perSecond float64) {
		checkWithinLimit(t, f, seed, perSecond)
		u.add(f, perSecond)
		if f.refused > 0 {
			t.Errorf("seed %d: %d of %d requests were refused although other upstreams had room", seed, f.refused, f.requests)
		}
	})
}

// TestLimitIsUsedByEntriesOfRegion simulates a fleet with 24 or 25 entries in each region and a low
// limit. With only minLimitSenders senders, the other entries' requests would go elsewhere, and the
// limit would not be used.
func TestLimitIsUsedByEntriesOfRegion(t *testing.T) {
	const perSecond, demandPerUpstream = 2.0, 4.0
	u := &utilisation{}
	for seed := range uint64(2) {
		f := newSimFleet(seed, 74, 24)
		f.demand = constantDemand(demandPerUpstream * float64(len(f.service.Upstreams)))
		f.limitOf = limitOnFirst(perSecond)
		f.run(runEnd)
		checkWithinLimit(t, f, seed, perSecond)
		u.add(f, perSecond)
	}
	if u.sent < minUtilisation*u.allowed {
		t.Errorf("a share of %.3f of the limit was used; allowed: at least %v", u.sent/u.allowed, minUtilisation)
	}
}

// TestEndOfLimitReachesAllEntries checks that every entry drops a limit within a second after the
// first request that reaches the upstream once the limit has ended.
func TestEndOfLimitReachesAllEntries(t *testing.T) {
	forEachLimit(t, func(f *simFleet) {
		for at := limitStop; at < runEnd; at += pollInterval {
			f.at(at, func() {
				for _, e := range f.entries {
					if e.balancer.limitedCount.Load() != 0 {
						f.lastLimited = f.since()
					}
				}
			})
		}
	}, func(t *testing.T, f *simFleet, _ *utilisation, seed uint64, perSecond float64) {
		first := f.firstAfter("u0", limitStop)
		if late := f.lastLimited - first; late >= settleTime {
			t.Errorf("seed %d: an entry still keeps a limit of %v per second %v after the first request since its end", seed, perSecond, late)
		}
	})
}

// faults are faults of the entries while an upstream announces its limit. None of them loses so
// much of the demand that less than half of the limit would be used.
var faults = map[string]func(f *simFleet){
	"entries crash": func(f *simFleet) {
		for i := range len(f.entries) / 3 {
			f.at(limitStart+time.Duration(3+i)*time.Second/2, func() { f.crash(f.entries[3*i]) })
		}
	},
	"rolling restart of the entries": func(f *simFleet) {
		for i, e := range f.entries {
			at := limitStart + 2*time.Second + time.Duration(i)*17*time.Second/time.Duration(len(f.entries))
			f.at(at, func() { f.crash(e) })
			f.at(at+400*time.Millisecond, func() { f.restart(e) })
		}
	},
	"half of the entries restart at once": func(f *simFleet) {
		for _, e := range f.entries[:len(f.entries)/2] {
			f.at(limitStart+5*time.Second, func() { f.crash(e) })
			f.at(limitStart+6*time.Second, func() { f.restart(e) })
		}
	},
	"entries freeze": func(f *simFleet) {
		for i := range 9 {
			e := f.entries[f.rnd.IntN(len(f.entries))]
			f.at(limitStart+time.Duration(2+2*i)*time.Second, func() { f.freeze(e, time.Duration(200+f.rnd.IntN(3000))*time.Millisecond) })
		}
	},
	"network partition": func(f *simFleet) {
		for i, e := range f.entries {
			if f.rnd.IntN(2) == 0 || i == 0 {
				f.at(limitStart+6*time.Second, func() { e.partition = 1 })
				f.at(limitStart+12*time.Second, func() { e.partition = 0 })
			}
		}
	},
	"crashes, freezes and a partition together": func(f *simFleet) {
		for i, e := range f.entries {
			switch f.rnd.IntN(5) {
			case 0:
				f.at(limitStart+time.Duration(i%7)*time.Second, func() { f.crash(e) })
				f.at(limitStart+time.Duration(i%7)*time.Second+time.Duration(f.rnd.IntN(6000))*time.Millisecond, func() { f.restart(e) })
			case 1:
				f.at(limitStart+time.Duration(2+i%9)*time.Second, func() { f.freeze(e, time.Duration(100+f.rnd.IntN(2000))*time.Millisecond) })
			case 2:
				f.at(limitStart+7*time.Second, func() { e.partition = 1 })
				f.at(limitStart+11*time.Second, func() { e.partition = 0 })
			}
		}
	},
}

func TestUpstreamLimitIsKeptUnderFaults(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.Run(name, func(t *testing.T) {
			forEachLimit(t, faults[name], func(t *testing.T, f *simFleet, _ *utilisation, seed uint64, perSecond float64) {
				checkWithinLimit(t, f, seed, perSecond)
			})
		})
	}
}

// TestLimitsOfAllUpstreamsAreUsed has all upstreams accept half of the demand. The rest is refused
// at once.
func TestLimitsOfAllUpstreamsAreUsed(t *testing.T) {
	const perUpstream, perSecond = 12.0, 6.0
	for seed := range *limitSeeds {
		f := newSimFleet(seed, 11, 12)
		f.demand = constantDemand(perUpstream * float64(len(f.service.Upstreams)))
		f.limitOf = func(_ string, at time.Duration) float64 { return limitOnFirst(perSecond)("u0", at) }
		f.run(runEnd)
		checkAllWithinLimit(t, f, seed, perSecond)
		span := (limitStop - limitStart - settleTime).Seconds()
		for _, u := range f.service.Upstreams {
			if used := float64(f.countBetween(u.ID, limitStart+settleTime, limitStop)) / span / perSecond; used < minUtilisation {
				t.Errorf("seed %d: a share of %.3f of the limit of %s was used; allowed: at least %v", seed, used, u.ID, minUtilisation)
			}
		}
	}
}

// TestShortWaitsEvenOutArrivals has all upstreams accept slightly more than the demand. Few requests
// are refused, because those that arrive shortly before the limit has room for them wait.
func TestShortWaitsEvenOutArrivals(t *testing.T) {
	const perSecond, demandShare, maxRefused, seeds = 6.0, 0.9, 0.035, 3
	refused, requests := 0, 0
	for seed := range uint64(seeds) {
		f := newSimFleet(seed, 12, 18)
		f.demand = constantDemand(demandShare * perSecond * float64(len(f.service.Upstreams)))
		f.limitOf = func(_ string, at time.Duration) float64 { return limitOnFirst(perSecond)("u0", at) }
		f.run(limitStart + settleTime)
		refused, requests = refused-f.refused, requests-f.requests
		f.run(limitStop)
		refused, requests = refused+f.refused, requests+f.requests
	}
	if share := float64(refused) / float64(requests); share > maxRefused {
		t.Errorf("%.3f of the requests were refused at a demand of %v of the limits, want at most %v", share, demandShare, maxRefused)
	}
}

// TestWaitingRequestsReserveTheLimit picks an upstream whose limit has no room for some
// milliseconds. The requests that wait must be sent one after the other, at the rate of the limit,
// and the first one that would wait too long must be refused at once.
func TestWaitingRequestsReserveTheLimit(t *testing.T) {
	const perSecond = 40
	lb, now := balancerWithLimit(t, perSecond)
	var last time.Time
	waiting := 0
	for i := range 20 {
		c, err := lb.PickObject(now, ObjectRequest{Object: uint64(i), Class: "c", Tried: []string{"muscat-b-0"}})
		if err != nil {
			break
		}
		if !c.SendAt.After(now) {
			continue
		}
		waiting++
		if gap := c.SendAt.Sub(last); waiting > 1 && gap < time.Second/perSecond-time.Millisecond {
			t.Errorf("request %d is sent %v after the one before, want %v", i, gap, time.Second/perSecond)
		}
		if wait := c.SendAt.Sub(now); wait > maxLimitWait {
			t.Errorf("request %d waits %v, want at most %v", i, wait, maxLimitWait)
		}
		last = c.SendAt
	}
	if want := int(maxLimitWait.Seconds() * perSecond); waiting < want-1 || waiting > want+1 {
		t.Errorf("%d requests wait, want about %d", waiting, want)
	}
}

// TestLimitsOfAllUpstreamsAreKeptUnderFaults has all upstreams accept half of the demand, so that
// requests wait in entries that crash, freeze or are partitioned.
func TestLimitsOfAllUpstreamsAreKeptUnderFaults(t *testing.T) {
	const perUpstream, perSecond = 12.0, 6.0
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range *limitSeeds {
				f := newSimFleet(seed, 11, 12)
				f.demand = constantDemand(perUpstream * float64(len(f.service.Upstreams)))
				f.limitOf = func(_ string, at time.Duration) float64 { return limitOnFirst(perSecond)("u0", at) }
				faults[name](f)
				f.run(runEnd)
				checkAllWithinLimit(t, f, seed, perSecond)
			}
		})
	}
}

// TestLimitsThatChangeEachSecond has a third of the upstreams announce a different limit each
// second, with demand that doubles for a while. A lowered limit must hold one second later.
func TestLimitsThatChangeEachSecond(t *testing.T) {
	limit := func(upstream string, second int) float64 {
		return 2 + float64(HashObject(upstream, fmt.Sprint(second))%8)
	}
	for seed := range *limitSeeds {
		f := newSimFleet(seed, 11, 12)
		f.demand = func(at time.Duration) float64 {
			if at > 12*time.Second && at < 16*time.Second {
				return 288
			}
			return 144
		}
		limited := map[string]bool{"u0": true, "u3": true, "u7": true, "u11": true}
		f.limitOf = func(upstream string, at time.Duration) float64 {
			if !limited[upstream] || at < limitStart || at >= limitStop {
				return ratelimit.Unlimited
			}
			return limit(upstream, int(at/time.Second))
		}
		f.run(limitStop)
		for id := range limited {
			for second := int((limitStart + settleTime) / time.Second); second+4 <= int(limitStop/time.Second); second++ {
				allowed := slackRequests
				for s := second; s < second+4; s++ {
					allowed += overshoot * max(limit(id, s), limit(id, s-1))
				}
				from := time.Duration(second) * time.Second
				if got := f.countBetween(id, from, from+limitWindow); float64(got) > allowed {
					t.Errorf("seed %d: %s got %d requests from %v to %v; allowed: %.1f", seed, id, got, from, from+limitWindow, allowed)
				}
			}
		}
	}
}

// balancerWithLimit returns a Balancer with two upstreams of one region, of which the first has a
// limit, and a time at which its bucket is full.
func balancerWithLimit(t *testing.T, perSecond float64) (*Balancer, time.Time) {
	t.Helper()
	s, _ := twoRegionService(1, 8)
	s.Upstreams = s.Upstreams[:2]
	self := model.Member{ID: "self", Region: "muscat", Domain: "muscat-a"}
	lb := balancerAt(s, []model.Member{self}, self)
	announceLimit(t, lb, s.Upstreams[0].ID, perSecond, t0)
	return lb, t0.Add(time.Hour)
}

// announceLimit has an upstream announce a limit in an answer.
func announceLimit(t *testing.T, lb *Balancer, upstream string, perSecond float64, now time.Time) {
	t.Helper()
	u := lb.byID[upstream]
	lb.observeLimitOf(now, Choice{Upstream: u.Upstream, SendAt: now, state: u}, RateLimit{Known: true, PerSecond: perSecond})
}

// TestAllPickMethodsKeepLimit sends as many requests as allowed at one moment, with each way to
// pick an upstream.
func TestAllPickMethodsKeepLimit(t *testing.T) {
	object := func(change func(*ObjectRequest)) func(*Balancer, time.Time, int) (Choice, error) {
		return func(lb *Balancer, now time.Time, i int) (Choice, error) {
			req := ObjectRequest{Object: HashObject("c", fmt.Sprint(i)), Class: "c", Objective: time.Second}
			change(&req)
			return lb.PickObject(now, req)
		}
	}
	for name, pick := range map[string]func(*Balancer, time.Time, int) (Choice, error){
		"by object":       object(func(*ObjectRequest) {}),
		"no affinity":     object(func(r *ObjectRequest) { r.NoAffinity = true }),
		"other one tried": object(func(r *ObjectRequest) { r.Tried = []string{"muscat-b-0"} }),
		"by service": func(lb *Balancer, now time.Time, _ int) (Choice, error) {
			return lb.Pick(now, rand.New(rand.NewPCG(1, 2)), Request{Regions: []string{"muscat"}})
		},
	} {
		lb, now := balancerWithLimit(t, 2)
		sent := 0
		for i := range 200 {
			c, err := pick(lb, now, i)
			if err != nil {
				continue
			}
			if c.ID == "muscat-a-0" {
				sent++
			}
			// The request was refused without being executed, but it has reached the upstream and
			// counts.
			lb.finish(now, c, Announcement{Load: 0, Waiting: 0}, DoneInfo{Result: ShedIdle})
		}
		if sent == 0 || sent > 2 {
			t.Errorf("%s: %d requests at one moment at a limit of 2 per second, want 1 or 2", name, sent)
		}
	}
}

// TestExhaustedLimitIsRefusedAtOnce sends more requests than the only usable upstream accepts.
// Callers must get increasing times after which to retry.
func TestExhaustedLimitIsRefusedAtOnce(t *testing.T) {
	lb, now := balancerWithLimit(t, 2)
	var refused *LimitError
	var last time.Duration
	for i := range 20 {
		_, err := lb.PickObject(now, ObjectRequest{Object: uint64(i), Class: "c", Tried: []string{"muscat-b-0"}})
		if err == nil {
			continue
		}
		if !errors.As(err, &refused) || !errors.Is(err, ErrNoSlot) {
			t.Fatalf("got error %v, want a LimitError", err)
		}
		if refused.RetryAfter <= last && last < 5*time.Second {
			t.Errorf("RetryAfter is %v after %v for the previous caller, want an increase", refused.RetryAfter, last)
		}
		last = refused.RetryAfter
	}
	if refused == nil {
		t.Fatal("no request was refused")
	}
	if _, err := lb.PickObject(now.Add(time.Second), ObjectRequest{Object: 1, Class: "c", Tried: []string{"muscat-b-0"}}); err != nil {
		t.Errorf("one second later: %v, want no error", err)
	}
}

// TestLimitBelongsToOneIncarnation has an upstream that announced a limit restart under its ID.
func TestLimitBelongsToOneIncarnation(t *testing.T) {
	now := t0
	lb := NewBalancer()
	lb.Update(stateStartedAt(1000), now)
	earlier := lb.byID["u1"]
	announceLimit(t, lb, "u1", 0.1, now)
	lb.Update(stateStartedAt(2000), now)
	if lb.byID["u1"].limit.Limited() || lb.limitedCount.Load() != 0 {
		t.Error("the new incarnation has a limit")
	}
	lb.observeLimitOf(now, Choice{Upstream: earlier.Upstream, SendAt: now, state: earlier}, RateLimit{Known: true, PerSecond: 0.2})
	lb.ApplyLimitUpdates(now, "e2", 1, []LimitUpdate{{Upstream: earlier.incarnationKey, PerSecond: 0.1, Version: 9}})
	if lb.byID["u1"].limit.Limited() || lb.limitedCount.Load() != 0 {
		t.Error("a limit of the earlier incarnation applies to the new one")
	}
}

// TestLeavingEntrySendsNothingToLimitedUpstreams retires an entry: other entries no longer receive
// updates about its requests.
func TestLeavingEntrySendsNothingToLimitedUpstreams(t *testing.T) {
	lb, now := balancerWithLimit(t, 100)
	lb.SetMember(false, now)
	for i := range 100 {
		c, err := lb.PickObject(now.Add(time.Duration(i)*time.Second), ObjectRequest{Object: uint64(i), Class: "c"})
		if err != nil || c.ID != "muscat-b-0" {
			t.Fatalf("picked %s, %v", c.ID, err)
		}
		lb.Done(now, c, DoneInfo{Result: Abandoned})
	}
}

// TestExcludedEntrySendsNothingToColdUpstreams guards against a cold upstream that gets requests from
// more entries than divide its rate limit: from one that the others do not count as a member.
func TestExcludedEntrySendsNothingToColdUpstreams(t *testing.T) {
	s, _ := twoRegionService(1, 8)
	s.Upstreams, s.ColdRate = s.Upstreams[:1], 20
	s.Upstreams[0].ColdUntil = t0.Add(time.Minute)
	self := model.Member{ID: "a", Region: "muscat", Domain: "muscat-a"}
	lb := balancerAt(s, []model.Member{self}, self)
	for _, member := range []bool{true, false, true} {
		lb.SetMember(member, t0)
		if got := lb.allowCold(lb.upstreams[0], t0.Add(time.Second)); got != member {
			t.Errorf("as a member %v, the entry may send to a cold upstream: %v", member, got)
		}
	}
}

// TestLimitThatEndsAndReturnsIsShared has one of two senders observe the end of a limit and then a
// new limit, while the other one gets a single update after both. Later requests must still count
// at the other sender.
func TestLimitThatEndsAndReturnsIsShared(t *testing.T) {
	s, _ := twoRegionService(1, 8)
	s.Upstreams = s.Upstreams[:1]
	entries := []model.Member{{ID: "a", Region: "muscat", Domain: "muscat-a"}, {ID: "b", Region: "muscat", Domain: "muscat-a"}}
	a, b := balancerAt(s, entries, entries[0]), balancerAt(s, entries, entries[1])
	id := s.Upstreams[0].ID
	now := t0
	// Each entry receives empty messages from the other one throughout, so that neither counts as
	// unreachable.
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			a.ApplyLimitUpdates(now, "b", 1, nil)
			b.ApplyLimitUpdates(now, "a", 1, nil)
		}
	}
	sendUpdates := func() {
		a.VisitLimitUpdates(now, AllUpdates, func(n LimitUpdate) { b.ApplyLimitUpdates(now, "a", 1, []LimitUpdate{n}) })
	}
	send := func() {
		if c, err := a.PickObject(now, ObjectRequest{Object: 1, Class: "c"}); err == nil {
			a.Done(now, c, DoneInfo{Result: Abandoned})
		} else {
			t.Fatal(err)
		}
	}
	announceLimit(t, a, id, 5, now)
	sendUpdates()
	for range 4 {
		tick(time.Second)
		send()
		sendUpdates()
	}
	announceLimit(t, a, id, ratelimit.Unlimited, now)
	tick(100 * time.Millisecond)
	announceLimit(t, a, id, 4, now)
	sendUpdates()
	tick(2 * time.Second)
	sendUpdates()
	before := b.LimitStatuses(now, 1)[0].Level
	send()
	sendUpdates()
	if got := b.LimitStatuses(now, 1)[0].Level; got > before-1 {
		t.Errorf("level %v at the other sender after a request, %v before", got, before)
	}
}
