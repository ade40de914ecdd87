package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/eventsim"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// This file simulates a fleet in virtual time: entries with their Balancers, upstreams that
// announce limits in their answers, and the messages between entries over links with delay and
// loss.

const (
	delayWithinRegion   = time.Millisecond
	delayBetweenRegions = 35 * time.Millisecond
	// messageLoss is the share of messages that are lost.
	messageLoss = 0.01
	// unsentUpdateDelay is the time for which an entry collects updates before it sends them.
	unsentUpdateDelay = 5 * time.Millisecond
	// minChangeInterval is the shortest time between an entry's messages about changed limits to all
	// its listeners, outside of its periodic updates.
	minChangeInterval = 50 * time.Millisecond
	// firstContactWithin is the longest time until a started entry exchanges limits with others.
	firstContactWithin = 100 * time.Millisecond
	// updateInterval is the time between periodic updates; every allUpdatesEvery-th of them holds
	// all limits.
	updateInterval  = 200 * time.Millisecond
	allUpdatesEvery = 5
	// registrationTTL is the time after which the registration of a crashed entry expires.
	// maxMembersDelay is the longest time until an entry receives a change of the members.
	registrationTTL = 4 * time.Second
	maxMembersDelay = 600 * time.Millisecond
	// maxDirectEntries is the largest fleet in which each entry sends limits to all others; larger
	// fleets use hubs.
	maxDirectEntries = 25
)

// simEntry is one entry of a fleet.
type simEntry struct {
	model.Member
	balancer    *Balancer
	incarnation uint64
	crashed     bool
	// frozenUntil is the end of a pause of the entry; messages that arrive during the pause are
	// processed after it.
	frozenUntil time.Time
	// partition is the part of a partitioned network that the entry is in. registered is set while
	// other entries list it.
	partition       int
	registered      bool
	updateScheduled bool
	// lastChangesSent is when the entry last sent changed limits outside of its periodic updates.
	lastChangesSent time.Time
	periods         int
}

// simFleet is a simulated fleet of entries and upstreams of one service.
type simFleet struct {
	rnd       *rand.Rand
	scheduler *eventsim.Scheduler
	entries   []*simEntry
	service   *model.Service
	// limitOf returns the limit that an upstream announces at a time since the start.
	limitOf func(upstream string, at time.Duration) float64
	// demand returns the requests per second over all entries.
	demand func(at time.Duration) float64
	weight func(e *simEntry) float64
	// arrivals holds the times at which requests reach each upstream.
	arrivals    map[string][]time.Duration
	refused     int
	requests    int
	serviceTime time.Duration
	objects     int
	messages    int
	// lastLimited is when an entry was last observed to keep a limit.
	lastLimited time.Duration
}

// newSimFleet returns a fleet with a number of entries and upstreams, spread over six failure
// domains in three regions.
func newSimFleet(seed uint64, entries, upstreams int) *simFleet {
	f := &simFleet{
		rnd: rand.New(rand.NewPCG(seed, 3)), scheduler: eventsim.New(t0), arrivals: make(map[string][]time.Duration),
		service: &model.Service{Name: "s", Routed: true}, serviceTime: 150 * time.Millisecond, objects: 40 * upstreams,
	}
	location := func(i int) (region, domain string) {
		region = fmt.Sprint("r", i%3)
		return region, fmt.Sprint(region, "-", i/3%2)
	}
	for i := range upstreams {
		region, domain := location(i)
		f.service.Upstreams = append(f.service.Upstreams, model.Upstream{ID: fmt.Sprint("u", i), Service: "s", Region: region, Domain: domain, Slots: 8})
	}
	for i := range entries {
		region, domain := location(i)
		e := &simEntry{Member: model.Member{ID: fmt.Sprint("e", i), Region: region, Domain: domain}, registered: true}
		f.entries = append(f.entries, e)
	}
	f.limitOf = func(string, time.Duration) float64 { return ratelimit.Unlimited }
	f.weight = func(*simEntry) float64 { return 1 }
	for _, e := range f.entries {
		f.start(e)
	}
	f.after(0, f.generateRequests)
	return f
}

func (f *simFleet) after(d time.Duration, do func()) { f.scheduler.After(d, do) }

// at schedules do at a time since the start.
func (f *simFleet) at(d time.Duration, do func()) { f.scheduler.At(t0.Add(d), do) }

func (f *simFleet) since() time.Duration { return f.scheduler.Now().Sub(t0) }

func (f *simFleet) run(until time.Duration) { f.scheduler.RunUntil(t0.Add(until)) }

// start begins a new incarnation of an entry, which has no information about limits.
func (f *simFleet) start(e *simEntry) {
	e.incarnation = uint64(f.scheduler.Now().UnixMilli())
	e.crashed, e.frozenUntil, e.updateScheduled = false, time.Time{}, false
	e.balancer = NewBalancer()
	incarnation := e.incarnation
	e.balancer.OnLimitUpdate(func() {
		if e.updateScheduled {
			return
		}
		e.updateScheduled = true
		f.after(unsentUpdateDelay, func() { f.whenRunning(e, incarnation, func() { f.sendUnsent(e) }) })
	})
	f.updateEntry(e)
	f.after(time.Duration(f.rnd.Int64N(int64(updateInterval))), func() { f.sendPeriodically(e, incarnation) })
	f.after(time.Duration(f.rnd.Int64N(int64(firstContactWithin))), func() { f.exchangeOnStart(e, incarnation) })
}

// exchangeOnStart has the entries that exchange limits with a newly started entry send it all of
// theirs.
func (f *simFleet) exchangeOnStart(e *simEntry, incarnation uint64) {
	for _, to := range f.entries {
		if to == e || !f.sendsTo(e, to) || e.partition != to.partition {
			continue
		}
		toIncarnation := to.incarnation
		f.after(oneWayDelay(e.Region, to.Region), func() {
			f.whenRunning(to, toIncarnation, func() {
				if e.incarnation == incarnation {
					f.send(to, e, f.updates(to, AllUpdates))
				}
			})
		})
	}
}

// updateEntry passes the current members to an entry's Balancer.
func (f *simFleet) updateEntry(e *simEntry) {
	var members []model.Member
	for _, o := range f.entries {
		if o.registered || o == e {
			members = append(members, o.Member)
		}
	}
	e.balancer.Update(ServiceState{Service: f.service, Draining: notDraining, Self: e.ID, Region: e.Region, Domain: e.Domain, Entries: members}, f.scheduler.Now())
}

// propagateMembers passes the current members to all entries that can reach the store, each after a
// random delay.
func (f *simFleet) propagateMembers() {
	for _, e := range f.entries {
		incarnation := e.incarnation
		f.after(time.Duration(f.rnd.Int64N(int64(maxMembersDelay))), func() {
			f.whenRunning(e, incarnation, func() {
				if e.partition == 0 {
					f.updateEntry(e)
				}
			})
		})
	}
}

// whenRunning calls do unless the given incarnation of an entry has ended; if the entry is frozen,
// it calls do at the end of the pause.
func (f *simFleet) whenRunning(e *simEntry, incarnation uint64, do func()) {
	switch {
	case e.crashed || e.incarnation != incarnation:
	case f.scheduler.Now().Before(e.frozenUntil):
		f.after(e.frozenUntil.Sub(f.scheduler.Now()), func() { f.whenRunning(e, incarnation, do) })
	default:
		do()
	}
}

// crash stops an entry without notice; its registration expires after registrationTTL.
func (f *simFleet) crash(e *simEntry) {
	e.crashed = true
	incarnation := e.incarnation
	f.after(registrationTTL, func() {
		if e.crashed && e.incarnation == incarnation {
			e.registered = false
			f.propagateMembers()
		}
	})
}

func (f *simFleet) restart(e *simEntry) {
	f.start(e)
	e.registered = true
	f.propagateMembers()
}

func (f *simFleet) freeze(e *simEntry, d time.Duration) { e.frozenUntil = f.scheduler.Now().Add(d) }

// oneWayDelay returns the network delay between two regions in one direction.
func oneWayDelay(a, b string) time.Duration {
	if a == b {
		return delayWithinRegion
	}
	return delayBetweenRegions
}

func (f *simFleet) send(from, to *simEntry, updates []LimitUpdate) {
	f.messages++
	if f.rnd.Float64() < messageLoss || from.partition != to.partition || to.crashed {
		return
	}
	incarnation, fromIncarnation := to.incarnation, from.incarnation
	f.after(oneWayDelay(from.Region, to.Region), func() {
		f.whenRunning(to, incarnation, func() { to.balancer.ApplyLimitUpdates(f.scheduler.Now(), from.ID, fromIncarnation, updates) })
	})
}

// sendUnsent sends an entry's unsent updates to the senders that share the limits, and changed
// limits also to the entry's listeners.
func (f *simFleet) sendUnsent(e *simEntry) {
	e.updateScheduled = false
	updates := f.updates(e, UnsentUpdates)
	f.sendToSenders(e, updates, nil)
	changed := slices.DeleteFunc(updates, func(n LimitUpdate) bool { return !n.Changed })
	if len(changed) > 0 && f.scheduler.Now().Sub(e.lastChangesSent) >= minChangeInterval {
		e.lastChangesSent = f.scheduler.Now()
		f.sendToListeners(e, changed)
	}
}

func (f *simFleet) updates(e *simEntry, scope UpdateScope) (out []LimitUpdate) {
	e.balancer.VisitLimitUpdates(f.scheduler.Now(), scope, func(n LimitUpdate) { out = append(out, n) })
	return out
}

// sendToSenders sends each update to the senders that share its limit. Entries in always get a
// message even if there is no update for them.
func (f *simFleet) sendToSenders(e *simEntry, updates []LimitUpdate, always map[string]bool) {
	for _, to := range f.entries {
		var shared []LimitUpdate
		for _, n := range updates {
			for _, id := range n.Senders {
				if id == to.ID {
					shared = append(shared, n)
				}
			}
		}
		if len(shared) > 0 || always[to.ID] {
			f.send(e, to, shared)
		}
	}
}

// sendPeriodically repeats updates, since messages may be lost. In a large fleet the first
// running entry of each failure domain is its hub.
func (f *simFleet) sendPeriodically(e *simEntry, incarnation uint64) {
	if e.crashed || e.incarnation != incarnation {
		return
	}
	f.after(updateInterval, func() { f.sendPeriodically(e, incarnation) })
	if f.scheduler.Now().Before(e.frozenUntil) {
		return
	}
	scope := RecentUpdates
	if e.periods++; e.periods%allUpdatesEvery == 0 {
		scope = AllUpdates
	}
	updates := f.updates(e, scope)
	always := make(map[string]bool)
	e.balancer.VisitLimitSenders(func(id string) { always[id] = true })
	f.sendToSenders(e, updates, always)
	if len(updates) > 0 {
		f.sendToListeners(e, updates)
	}
}

// sendToListeners sends updates to all entries to which an entry sends limits; see sendsTo.
func (f *simFleet) sendToListeners(e *simEntry, updates []LimitUpdate) {
	for _, to := range f.entries {
		if to != e && f.sendsTo(e, to) {
			f.send(e, to, updates)
		}
	}
}

// sendsTo reports whether the entry from sends limits to the entry to.
func (f *simFleet) sendsTo(from, to *simEntry) bool {
	if len(f.entries) <= maxDirectEntries {
		return true
	}
	fromHub, toHub := f.hub(from) == from, f.hub(to) == to
	if from.Domain == to.Domain {
		return fromHub || toHub
	}
	return fromHub && toHub
}

// hub returns the first running entry in the failure domain and network partition of an entry.
func (f *simFleet) hub(of *simEntry) *simEntry {
	for _, e := range f.entries {
		if e.Domain == of.Domain && !e.crashed && e.partition == of.partition {
			return e
		}
	}
	return of
}

// generateRequests sends one request from a random entry and schedules the next one.
func (f *simFleet) generateRequests() {
	rate := f.demand(f.since())
	if rate <= 0 {
		f.after(10*time.Millisecond, f.generateRequests)
		return
	}
	f.after(time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), f.generateRequests)
	total := 0.0
	for _, e := range f.entries {
		if !e.crashed && !f.scheduler.Now().Before(e.frozenUntil) {
			total += f.weight(e)
		}
	}
	x := f.rnd.Float64() * total
	for _, e := range f.entries {
		if e.crashed || f.scheduler.Now().Before(e.frozenUntil) {
			continue
		}
		if x -= f.weight(e); x < 0 {
			f.request(e)
			return
		}
	}
}

// request sends one request from an entry and simulates its way, service and answer.
func (f *simFleet) request(e *simEntry) {
	f.requests++
	incarnation := e.incarnation
	c, err := e.balancer.PickObject(f.scheduler.Now(), ObjectRequest{
		Object: HashObject("c", fmt.Sprint(f.rnd.IntN(f.objects), e.Region)), Class: "c", Objective: 10 * time.Second,
	})
	if err != nil {
		f.refused++
		return
	}
	if wait := c.SendAt.Sub(f.scheduler.Now()); wait > 0 {
		f.after(wait, func() { f.whenRunning(e, incarnation, func() { f.sendTo(e, c) }) })
		return
	}
	f.sendTo(e, c)
}

// sendTo sends a request to a picked upstream and simulates its way, service and answer.
func (f *simFleet) sendTo(e *simEntry, c Choice) {
	lb, incarnation := e.balancer, e.incarnation
	way := oneWayDelay(e.Region, c.Region)
	work := time.Duration((0.5 + f.rnd.Float64()) * float64(f.serviceTime))
	f.after(way, func() { f.arrivals[c.ID] = append(f.arrivals[c.ID], f.since()) })
	f.after(way+work, func() {
		rate := RateLimit{Known: true, PerSecond: f.limitOf(c.ID, f.since())}
		f.after(way, func() {
			f.whenRunning(e, incarnation, func() {
				lb.observeLimitOf(f.scheduler.Now(), c, rate)
				lb.Done(f.scheduler.Now(), c, DoneInfo{Result: OK})
			})
		})
	})
}

// maxInWindow returns the largest number of requests that reach an upstream in any window that
// begins after from and ends before to, and the end of that window.
func (f *simFleet) maxInWindow(upstream string, window, from, to time.Duration) (most int, at time.Duration) {
	times := f.arrivals[upstream]
	first := 0
	for last, t := range times {
		for t-times[first] > window || times[first] < from && first < last {
			first++
		}
		if t >= from && t < to && times[first] >= from && last-first+1 > most {
			most, at = last-first+1, t
		}
	}
	return most, at
}

// firstAfter returns when the first request since from reaches an upstream, or from if there is
// none.
func (f *simFleet) firstAfter(upstream string, from time.Duration) time.Duration {
	for _, t := range f.arrivals[upstream] {
		if t >= from {
			return t
		}
	}
	return from
}

// countBetween returns the number of requests that reach an upstream between two times.
func (f *simFleet) countBetween(upstream string, from, to time.Duration) (n int) {
	for _, t := range f.arrivals[upstream] {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
