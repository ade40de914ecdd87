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

// limitSeeds is how many seeds each play of limits has; with more than one, more rates are played.
var limitSeeds = flag.Uint64("limit-seeds", 1, "how many seeds each play of upstreams' limits has")

const (
	// limitWindow is the length of the windows in which a limit binds, limitSettle after what
	// time from its first naming.
	limitWindow = 4 * time.Second
	limitSettle = time.Second
	// limitOver and limitSlack are what share of the limit, and how many requests, may come
	// beyond it; limitUse is what part of it is used at the least where callers ask for more.
	limitOver  = 1.1
	limitSlack = 3.0
	limitUse   = 0.9
	// limitFrom and limitTo are when the upstream names its limit.
	limitFrom = 5 * time.Second
	limitTo   = 25 * time.Second
	// limitEnd is the end of a play, limitPoll the time between looks at the entries.
	limitEnd  = 28 * time.Second
	limitPoll = 50 * time.Millisecond
)

// limitedFrom has the first upstream name a limit for a time.
func limitedFrom(perSecond float64) func(string, time.Duration) float64 {
	return func(upstream string, at time.Duration) float64 {
		if upstream == "u0" && at >= limitFrom && at < limitTo {
			return perSecond
		}
		return ratelimit.Unlimited
	}
}

// constant is a demand that stays as it is.
func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// withinLimit checks that the first upstream got no more than its limit allows.
func withinLimit(t *testing.T, f *limitFleet, seed uint64, perSecond float64) {
	t.Helper()
	got, at := f.most("u0", limitWindow, limitFrom+limitSettle, limitTo)
	if most := limitOver*perSecond*limitWindow.Seconds() + limitSlack; float64(got) > most {
		t.Errorf("seed %d: %d requests in %v before %v at a limit of %v a second; allowed: %.1f", seed, got, limitWindow, at, perSecond, most)
	}
}

// eachLimit plays fleets of several sizes at several limits, which each are a part of what the
// upstream would get.
func eachLimit(t *testing.T, play func(f *limitFleet), check func(t *testing.T, f *limitFleet, u *usage, seed uint64, perSecond float64)) {
	rates := []float64{12}
	if *limitSeeds > 1 {
		rates = []float64{4, 12, 60}
	}
	for _, size := range []struct{ entries, upstreams int }{{11, 12}, {18, 18}, {48, 24}} {
		for _, perUpstream := range rates {
			for _, part := range []float64{0.2, 0.5} {
				perSecond := part * perUpstream
				t.Run(fmt.Sprintf("%d entries, %v of %v a second", size.entries, perSecond, perUpstream), func(t *testing.T) {
					t.Parallel()
					u := &usage{}
					for seed := range *limitSeeds {
						f := newLimitFleet(seed, size.entries, size.upstreams)
						f.rate = constant(perUpstream * float64(size.upstreams))
						f.limitOf = limitedFrom(perSecond)
						play(f)
						f.run(limitEnd)
						check(t, f, u, seed, perSecond)
					}
					if u.got < limitUse*u.whole {
						t.Errorf("%.3f of a limit of %v a second was used; allowed: at least %v", u.got/u.whole, perSecond, limitUse)
					}
				})
			}
		}
	}
}

// usage sums up over the seeds of a play what part of a limit was used.
type usage struct{ got, whole float64 }

func (u *usage) add(f *limitFleet, perSecond float64) {
	u.got += float64(f.between("u0", limitFrom+limitSettle, limitTo))
	u.whole += perSecond * (limitTo - limitFrom - limitSettle).Seconds()
}

func TestUpstreamsOwnLimitIsKeptAndUsed(t *testing.T) {
	eachLimit(t, func(*limitFleet) {}, func(t *testing.T, f *limitFleet, u *usage, seed uint64, perSecond float64) {
		withinLimit(t, f, seed, perSecond)
		u.add(f, perSecond)
		if f.refused > 0 {
			t.Errorf("seed %d: %d of %d requests were refused though other upstreams had room", seed, f.refused, f.asked)
		}
	})
}

// TestUpstreamsLimitEndsEverywhere checks that all entries use an upstream as before within a
// second of the first request that reaches it after the end of its limit.
func TestUpstreamsLimitEndsEverywhere(t *testing.T) {
	eachLimit(t, func(f *limitFleet) {
		for at := limitTo; at < limitEnd; at += limitPoll {
			f.at(at, func() {
				for _, e := range f.entries {
					if e.group.limitedCount.Load() != 0 {
						f.lastLimited = f.since()
					}
				}
			})
		}
	}, func(t *testing.T, f *limitFleet, _ *usage, seed uint64, perSecond float64) {
		first := f.firstAfter("u0", limitTo)
		if late := f.lastLimited - first; late >= limitSettle {
			t.Errorf("seed %d: an entry keeps to a limit of %v a second %v after the first request since its end", seed, perSecond, late)
		}
	})
}

// faults are troubles of the entries while an upstream names its limit. None of them loses
// enough of the demand for less than half of the limit to be used.
var faults = map[string]func(f *limitFleet){
	"entries die": func(f *limitFleet) {
		for i := range len(f.entries) / 3 {
			f.at(limitFrom+time.Duration(3+i)*time.Second/2, func() { f.kill(f.entries[3*i]) })
		}
	},
	"entries are restarted one after the other": func(f *limitFleet) {
		for i, e := range f.entries {
			at := limitFrom + 2*time.Second + time.Duration(i)*17*time.Second/time.Duration(len(f.entries))
			f.at(at, func() { f.kill(e) })
			f.at(at+400*time.Millisecond, func() { f.restart(e) })
		}
	},
	"half of the entries are restarted at once": func(f *limitFleet) {
		for _, e := range f.entries[:len(f.entries)/2] {
			f.at(limitFrom+5*time.Second, func() { f.kill(e) })
			f.at(limitFrom+6*time.Second, func() { f.restart(e) })
		}
	},
	"entries stand still": func(f *limitFleet) {
		for i := range 9 {
			e := f.entries[f.rnd.IntN(len(f.entries))]
			f.at(limitFrom+time.Duration(2+2*i)*time.Second, func() { f.freeze(e, time.Duration(200+f.rnd.IntN(3000))*time.Millisecond) })
		}
	},
	"the fleet is cut in two": func(f *limitFleet) {
		for i, e := range f.entries {
			if f.rnd.IntN(2) == 0 || i == 0 {
				f.at(limitFrom+6*time.Second, func() { e.island = 1 })
				f.at(limitFrom+12*time.Second, func() { e.island = 0 })
			}
		}
	},
	"all at once": func(f *limitFleet) {
		for i, e := range f.entries {
			switch f.rnd.IntN(5) {
			case 0:
				f.at(limitFrom+time.Duration(i%7)*time.Second, func() { f.kill(e) })
				f.at(limitFrom+time.Duration(i%7)*time.Second+time.Duration(f.rnd.IntN(6000))*time.Millisecond, func() { f.restart(e) })
			case 1:
				f.at(limitFrom+time.Duration(2+i%9)*time.Second, func() { f.freeze(e, time.Duration(100+f.rnd.IntN(2000))*time.Millisecond) })
			case 2:
				f.at(limitFrom+7*time.Second, func() { e.island = 1 })
				f.at(limitFrom+11*time.Second, func() { e.island = 0 })
			}
		}
	},
}

func TestUpstreamsOwnLimitIsKeptBesideFaults(t *testing.T) {
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		t.Run(name, func(t *testing.T) {
			eachLimit(t, faults[name], func(t *testing.T, f *limitFleet, _ *usage, seed uint64, perSecond float64) {
				withinLimit(t, f, seed, perSecond)
			})
		})
	}
}

// TestLimitsOfAllUpstreamsAreUsed has all upstreams take half of what callers ask for. The rest is
// refused at once.
func TestLimitsOfAllUpstreamsAreUsed(t *testing.T) {
	const perUpstream, perSecond = 12.0, 6.0
	for seed := range *limitSeeds {
		f := newLimitFleet(seed, 11, 12)
		f.rate = constant(perUpstream * float64(len(f.service.Upstreams)))
		f.limitOf = func(_ string, at time.Duration) float64 { return limitedFrom(perSecond)("u0", at) }
		f.run(limitEnd)
		span := (limitTo - limitFrom - limitSettle).Seconds()
		for _, u := range f.service.Upstreams {
			got, at := f.most(u.ID, limitWindow, limitFrom+limitSettle, limitTo)
			if most := limitOver*perSecond*limitWindow.Seconds() + limitSlack; float64(got) > most {
				t.Errorf("seed %d: %s got %d requests in %v before %v; allowed: %.1f", seed, u.ID, got, limitWindow, at, most)
			}
			if used := float64(f.between(u.ID, limitFrom+limitSettle, limitTo)) / span / perSecond; used < limitUse {
				t.Errorf("seed %d: %.3f of the limit of %s was used; allowed: at least %v", seed, used, u.ID, limitUse)
			}
		}
	}
}

// TestLimitsThatChangeEachSecond has a third of the upstreams name another limit each second,
// under a load that doubles for a while. A limit that has just been lowered binds a second later.
func TestLimitsThatChangeEachSecond(t *testing.T) {
	limit := func(upstream string, second int) float64 {
		return 2 + float64(HashObject(upstream, fmt.Sprint(second))%8)
	}
	for seed := range *limitSeeds {
		f := newLimitFleet(seed, 11, 12)
		f.rate = func(at time.Duration) float64 {
			if at > 12*time.Second && at < 16*time.Second {
				return 288
			}
			return 144
		}
		limited := map[string]bool{"u0": true, "u3": true, "u7": true, "u11": true}
		f.limitOf = func(upstream string, at time.Duration) float64 {
			if !limited[upstream] || at < limitFrom || at >= limitTo {
				return ratelimit.Unlimited
			}
			return limit(upstream, int(at/time.Second))
		}
		f.run(limitTo)
		for id := range limited {
			for second := int((limitFrom + limitSettle) / time.Second); second+4 <= int(limitTo/time.Second); second++ {
				allowed := limitSlack
				for s := second; s < second+4; s++ {
					allowed += limitOver * max(limit(id, s), limit(id, s-1))
				}
				from := time.Duration(second) * time.Second
				if got := f.between(id, from, from+limitWindow); float64(got) > allowed {
					t.Errorf("seed %d: %s got %d requests from %v to %v; allowed: %.1f", seed, id, got, from, from+limitWindow, allowed)
				}
			}
		}
	}
}

// limitedPair is a Group with two upstreams of one region of which the first takes a number of
// requests a second, and the time at which its bucket is full.
func limitedPair(t *testing.T, perSecond float64) (*Balancer, time.Time) {
	t.Helper()
	s, _ := site(1, 8)
	s.Upstreams = s.Upstreams[:2]
	self := model.Member{ID: "self", Region: "muscat", Domain: "muscat-a"}
	lb := groupAt(s, []model.Member{self}, self)
	name(t, lb, s.Upstreams[0].ID, perSecond, t0)
	return lb, t0.Add(time.Hour)
}

// name has an upstream name a limit in an answer.
func name(t *testing.T, lb *Balancer, upstream string, perSecond float64, now time.Time) {
	t.Helper()
	u := lb.byID[upstream]
	lb.ObserveLimit(now, Choice{Upstream: u.Upstream, PickedAt: now, state: u}, RateLimit{Known: true, PerSecond: perSecond})
}

// TestEveryWayToSendKeepsToTheLimit sends as much as it may, in each way, at one moment.
func TestEveryWayToSendKeepsToTheLimit(t *testing.T) {
	object := func(change func(*ObjectRequest)) func(*Balancer, time.Time, int) (Choice, error) {
		return func(lb *Balancer, now time.Time, i int) (Choice, error) {
			req := ObjectRequest{Object: HashObject("c", fmt.Sprint(i)), Class: "c", Objective: time.Second}
			change(&req)
			return lb.PickObject(now, req)
		}
	}
	for name, pick := range map[string]func(*Balancer, time.Time, int) (Choice, error){
		"by object":       object(func(*ObjectRequest) {}),
		"spread":          object(func(r *ObjectRequest) { r.NoAffinity = true }),
		"after the other": object(func(r *ObjectRequest) { r.Tried = []string{"muscat-b-0"} }),
		"by service": func(lb *Balancer, now time.Time, _ int) (Choice, error) {
			return lb.Pick(now, rand.New(rand.NewPCG(1, 2)), Request{Regions: []string{"muscat"}})
		},
	} {
		lb, now := limitedPair(t, 2)
		sent := 0
		for i := range 200 {
			c, err := pick(lb, now, i)
			if err != nil {
				continue
			}
			if c.ID == "muscat-a-0" {
				sent++
			}
			// Refused without having run, it has reached the upstream all the same.
			lb.Done(now, c, DoneInfo{Result: ShedIdle, Load: 0, Waiting: 0})
		}
		if sent == 0 || sent > 2 {
			t.Errorf("%s: %d requests at one moment at a limit of 2 a second", name, sent)
		}
	}
}

// TestLimitsLeaveNothingIsRefusedAtOnce asks for more than the only upstream takes: callers are
// told when the next request may go, one after the other.
func TestLimitsLeaveNothingIsRefusedAtOnce(t *testing.T) {
	lb, now := limitedPair(t, 2)
	var refused *LimitError
	var last time.Duration
	for i := range 20 {
		_, err := lb.PickObject(now, ObjectRequest{Object: uint64(i), Class: "c", Tried: []string{"muscat-b-0"}})
		if err == nil {
			continue
		}
		if !errors.As(err, &refused) || !errors.Is(err, ErrNoSlot) {
			t.Fatalf("refused with %v", err)
		}
		if refused.RetryAfter <= last && last < 5*time.Second {
			t.Errorf("told to come back after %v, the one before after %v", refused.RetryAfter, last)
		}
		last = refused.RetryAfter
	}
	if refused == nil {
		t.Fatal("nothing was refused")
	}
	if _, err := lb.PickObject(now.Add(time.Second), ObjectRequest{Object: 1, Class: "c", Tried: []string{"muscat-b-0"}}); err != nil {
		t.Errorf("a second later: %v", err)
	}
}

// TestLimitBelongsToOneLife has an upstream that named a limit start again under its id.
func TestLimitBelongsToOneLife(t *testing.T) {
	now := t0
	lb := NewBalancer()
	lb.Update(restartable(1000), now)
	earlier := lb.byID["u1"]
	name(t, lb, "u1", 0.1, now)
	lb.Update(restartable(2000), now)
	if lb.byID["u1"].limit.Limited() || lb.limitedCount.Load() != 0 {
		t.Error("the new life is limited")
	}
	lb.ObserveLimit(now, Choice{Upstream: earlier.Upstream, PickedAt: now, state: earlier}, RateLimit{Known: true, PerSecond: 0.2})
	lb.ApplyPeerLimits(now, "e2", 1, []LimitUpdate{{Upstream: earlier.incarnationKey, PerSecond: 0.1, Version: 9}})
	if lb.byID["u1"].limit.Limited() || lb.limitedCount.Load() != 0 {
		t.Error("word of the earlier life limits the new one")
	}
}

// TestLeavingEntrySendsNothingToLimitedUpstreams retires an entry: the others do not hear of its
// requests any more.
func TestLeavingEntrySendsNothingToLimitedUpstreams(t *testing.T) {
	lb, now := limitedPair(t, 100)
	lb.Retire(now)
	for i := range 100 {
		c, err := lb.PickObject(now.Add(time.Duration(i)*time.Second), ObjectRequest{Object: uint64(i), Class: "c"})
		if err != nil || c.ID != "muscat-b-0" {
			t.Fatalf("picked %s, %v", c.ID, err)
		}
		lb.Done(now, c, DoneInfo{Result: Abandoned, Load: -1, Waiting: -1})
	}
}

// TestLimitThatEndsAndReturnsIsShared has one of two senders see the end of a limit and the next
// one, of which the other hears only together: it still hears of each request.
func TestLimitThatEndsAndReturnsIsShared(t *testing.T) {
	s, _ := site(1, 8)
	s.Upstreams = s.Upstreams[:1]
	entries := []model.Member{{ID: "a", Region: "muscat", Domain: "muscat-a"}, {ID: "b", Region: "muscat", Domain: "muscat-a"}}
	a, b := groupAt(s, entries, entries[0]), groupAt(s, entries, entries[1])
	id := s.Upstreams[0].ID
	now := t0
	// b tells a all the while that it is there.
	tick := func(d time.Duration) {
		for end := now.Add(d); now.Before(end); now = now.Add(100 * time.Millisecond) {
			a.ApplyPeerLimits(now, "b", 1, nil)
			b.ApplyPeerLimits(now, "a", 1, nil)
		}
	}
	tell := func() {
		a.VisitLimitUpdates(now, AllUpdates, func(n LimitUpdate) { b.ApplyPeerLimits(now, "a", 1, []LimitUpdate{n}) })
	}
	send := func() {
		if c, err := a.PickObject(now, ObjectRequest{Object: 1, Class: "c"}); err == nil {
			a.Done(now, c, DoneInfo{Result: Abandoned, Load: -1, Waiting: -1})
		} else {
			t.Fatal(err)
		}
	}
	name(t, a, id, 5, now)
	tell()
	for range 4 {
		tick(time.Second)
		send()
		tell()
	}
	name(t, a, id, ratelimit.Unlimited, now)
	tick(100 * time.Millisecond)
	name(t, a, id, 4, now)
	tell()
	tick(2 * time.Second)
	tell()
	before := b.LimitStatuses(now, 1)[0].Level
	send()
	tell()
	if got := b.LimitStatuses(now, 1)[0].Level; got > before-1 {
		t.Errorf("level %v at the other sender after a request, %v before", got, before)
	}
}
