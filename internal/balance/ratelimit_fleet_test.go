package balance

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/agenda"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// This file has a fleet in virtual time: entries with their Groups, upstreams that name limits
// in their answers, and what the entries tell each other over links that delay and lose it.

const (
	fleetNear    = time.Millisecond
	fleetFar     = 35 * time.Millisecond
	fleetLost    = 0.01
	fleetUrgent  = 5 * time.Millisecond
	fleetChanges = 50 * time.Millisecond
	fleetReport  = 100 * time.Millisecond
	fleetTell    = 200 * time.Millisecond
	fleetTellAll = 5
	// fleetLapse is after what time the registration of a dead entry lapses, fleetLearn the
	// longest time until an entry knows of a change of the members.
	fleetLapse = 4 * time.Second
	fleetLearn = 600 * time.Millisecond
	// fleetDirect is up to how many entries tell all others of limits.
	fleetDirect = 25
)

// limitedEntry is one entry of a fleet.
type limitedEntry struct {
	model.Member
	group *Balancer
	life  uint64
	dead  bool
	// frozen is until when the entry stands still; what comes meanwhile waits.
	frozen time.Time
	// island is which part of a cut fleet it is in, registered is set while others list it.
	island     int
	registered bool
	urgent     bool
	// changesTold is when it last told of changed limits at once.
	changesTold time.Time
	told        int
}

// limitFleet is a fleet of entries and upstreams of one service.
type limitFleet struct {
	rnd     *rand.Rand
	agenda  *agenda.Agenda
	entries []*limitedEntry
	service *model.Service
	// limitOf is the limit that an upstream names at a time.
	limitOf func(upstream string, at time.Duration) float64
	// rate is the demand in requests per second, over all entries.
	rate   func(at time.Duration) float64
	weight func(e *limitedEntry) float64
	// arrivals are the times at which requests reach each upstream.
	arrivals map[string][]time.Duration
	refused  int
	asked    int
	work     time.Duration
	objects  int
	messages int
	// lastLimited is when an entry last kept to a limit that had ended.
	lastLimited time.Duration
}

// newLimitFleet returns a fleet with a number of entries and upstreams, spread over six failure
// domains of three regions.
func newLimitFleet(seed uint64, entries, upstreams int) *limitFleet {
	f := &limitFleet{
		rnd: rand.New(rand.NewPCG(seed, 3)), agenda: agenda.New(t0), arrivals: make(map[string][]time.Duration),
		service: &model.Service{Name: "s", Routed: true}, work: 150 * time.Millisecond, objects: 40 * upstreams,
	}
	place := func(i int) (region, domain string) {
		region = fmt.Sprint("r", i%3)
		return region, fmt.Sprint(region, "-", i/3%2)
	}
	for i := range upstreams {
		region, domain := place(i)
		f.service.Upstreams = append(f.service.Upstreams, model.Upstream{ID: fmt.Sprint("u", i), Service: "s", Region: region, Domain: domain, Slots: 8})
	}
	for i := range entries {
		region, domain := place(i)
		e := &limitedEntry{Member: model.Member{ID: fmt.Sprint("e", i), Region: region, Domain: domain}, registered: true}
		f.entries = append(f.entries, e)
	}
	f.limitOf = func(string, time.Duration) float64 { return ratelimit.Unlimited }
	f.weight = func(*limitedEntry) float64 { return 1 }
	for _, e := range f.entries {
		f.start(e)
	}
	f.after(0, f.arrive)
	return f
}

func (f *limitFleet) after(d time.Duration, do func()) { f.agenda.After(d, do) }

// at schedules something at a time since the beginning.
func (f *limitFleet) at(d time.Duration, do func()) { f.agenda.At(t0.Add(d), do) }

func (f *limitFleet) since() time.Duration { return f.agenda.Now().Sub(t0) }

func (f *limitFleet) run(until time.Duration) { f.agenda.RunUntil(t0.Add(until)) }

// start begins a life of an entry, which knows nothing of limits.
func (f *limitFleet) start(e *limitedEntry) {
	e.life = uint64(f.agenda.Now().UnixMilli())
	e.dead, e.frozen, e.urgent = false, time.Time{}, false
	e.group = NewBalancer()
	life := e.life
	e.group.OnLimitUpdate(func() {
		if e.urgent {
			return
		}
		e.urgent = true
		f.after(fleetUrgent, func() { f.whenAwake(e, life, func() { f.tellUrgent(e) }) })
	})
	f.update(e)
	f.after(time.Duration(f.rnd.Int64N(int64(fleetTell))), func() { f.periodic(e, life) })
	f.after(time.Duration(f.rnd.Int64N(int64(fleetReport))), func() { f.greet(e, life) })
}

// greet has an entry that has started heard for the first time, and told all limits.
func (f *limitFleet) greet(e *limitedEntry, life uint64) {
	for _, to := range f.entries {
		if to == e || !f.listens(e, to) || e.island != to.island {
			continue
		}
		toLife := to.life
		f.after(delay(e.Region, to.Region), func() {
			f.whenAwake(to, toLife, func() {
				if e.life == life {
					f.send(to, e, f.news(to, AllUpdates))
				}
			})
		})
	}
}

// update tells an entry the members.
func (f *limitFleet) update(e *limitedEntry) {
	var members []model.Member
	for _, o := range f.entries {
		if o.registered || o == e {
			members = append(members, o.Member)
		}
	}
	e.group.Update(ServiceState{Service: f.service, Draining: never, Self: e.ID, Region: e.Region, Domain: e.Domain, Entries: members}, f.agenda.Now())
}

// membersChanged has all entries that are not cut off from the store learn the members.
func (f *limitFleet) membersChanged() {
	for _, e := range f.entries {
		life := e.life
		f.after(time.Duration(f.rnd.Int64N(int64(fleetLearn))), func() {
			f.whenAwake(e, life, func() {
				if e.island == 0 {
					f.update(e)
				}
			})
		})
	}
}

// whenAwake does something in a life of an entry, once the entry does not stand still.
func (f *limitFleet) whenAwake(e *limitedEntry, life uint64, do func()) {
	switch {
	case e.dead || e.life != life:
	case f.agenda.Now().Before(e.frozen):
		f.after(e.frozen.Sub(f.agenda.Now()), func() { f.whenAwake(e, life, do) })
	default:
		do()
	}
}

func (f *limitFleet) kill(e *limitedEntry) {
	e.dead = true
	life := e.life
	f.after(fleetLapse, func() {
		if e.dead && e.life == life {
			e.registered = false
			f.membersChanged()
		}
	})
}

func (f *limitFleet) restart(e *limitedEntry) {
	f.start(e)
	e.registered = true
	f.membersChanged()
}

func (f *limitFleet) freeze(e *limitedEntry, d time.Duration) { e.frozen = f.agenda.Now().Add(d) }

// delay is the one-way time between two regions.
func delay(a, b string) time.Duration {
	if a == b {
		return fleetNear
	}
	return fleetFar
}

func (f *limitFleet) send(from, to *limitedEntry, news []LimitUpdate) {
	f.messages++
	if f.rnd.Float64() < fleetLost || from.island != to.island || to.dead {
		return
	}
	life, fromLife := to.life, from.life
	f.after(delay(from.Region, to.Region), func() {
		f.whenAwake(to, life, func() { to.group.ApplyPeerLimits(f.agenda.Now(), from.ID, fromLife, news) })
	})
}

func (f *limitFleet) tellUrgent(e *limitedEntry) {
	e.urgent = false
	news := f.news(e, UnsentUpdates)
	f.tellSenders(e, news, nil)
	changed := slices.DeleteFunc(news, func(n LimitUpdate) bool { return !n.Changed })
	if len(changed) > 0 && f.agenda.Now().Sub(e.changesTold) >= fleetChanges {
		e.changesTold = f.agenda.Now()
		f.tellListeners(e, changed)
	}
}

func (f *limitFleet) news(e *limitedEntry, scope UpdateScope) (out []LimitUpdate) {
	e.group.VisitLimitUpdates(f.agenda.Now(), scope, func(n LimitUpdate) { out = append(out, n) })
	return out
}

func (f *limitFleet) tellSenders(e *limitedEntry, news []LimitUpdate, always map[string]bool) {
	for _, to := range f.entries {
		var shared []LimitUpdate
		for _, n := range news {
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

// periodic tells again what may be lost. In a large fleet the first entry that lives in each
// failure domain is its hub.
func (f *limitFleet) periodic(e *limitedEntry, life uint64) {
	if e.dead || e.life != life {
		return
	}
	f.after(fleetTell, func() { f.periodic(e, life) })
	if f.agenda.Now().Before(e.frozen) {
		return
	}
	scope := RecentUpdates
	if e.told++; e.told%fleetTellAll == 0 {
		scope = AllUpdates
	}
	news := f.news(e, scope)
	always := make(map[string]bool)
	e.group.VisitLimitSenders(func(id string) { always[id] = true })
	f.tellSenders(e, news, always)
	if len(news) > 0 {
		f.tellListeners(e, news)
	}
}

func (f *limitFleet) tellListeners(e *limitedEntry, news []LimitUpdate) {
	for _, to := range f.entries {
		if to != e && f.listens(e, to) {
			f.send(e, to, news)
		}
	}
}

// listens reports whether an entry hears of limits from another.
func (f *limitFleet) listens(from, to *limitedEntry) bool {
	if len(f.entries) <= fleetDirect {
		return true
	}
	fromHub, toHub := f.hub(from) == from, f.hub(to) == to
	if from.Domain == to.Domain {
		return fromHub || toHub
	}
	return fromHub && toHub
}

func (f *limitFleet) hub(of *limitedEntry) *limitedEntry {
	for _, e := range f.entries {
		if e.Domain == of.Domain && !e.dead && e.island == of.island {
			return e
		}
	}
	return of
}

// arrive has one request come, and the next one after it.
func (f *limitFleet) arrive() {
	rate := f.rate(f.since())
	if rate <= 0 {
		f.after(10*time.Millisecond, f.arrive)
		return
	}
	f.after(time.Duration(f.rnd.ExpFloat64()/rate*float64(time.Second)), f.arrive)
	total := 0.0
	for _, e := range f.entries {
		if !e.dead && !f.agenda.Now().Before(e.frozen) {
			total += f.weight(e)
		}
	}
	x := f.rnd.Float64() * total
	for _, e := range f.entries {
		if e.dead || f.agenda.Now().Before(e.frozen) {
			continue
		}
		if x -= f.weight(e); x < 0 {
			f.request(e)
			return
		}
	}
}

func (f *limitFleet) request(e *limitedEntry) {
	f.asked++
	lb, life := e.group, e.life
	c, err := lb.PickObject(f.agenda.Now(), ObjectRequest{
		Object: HashObject("c", fmt.Sprint(f.rnd.IntN(f.objects), e.Region)), Class: "c", Objective: 10 * time.Second,
	})
	if err != nil {
		f.refused++
		return
	}
	way := delay(e.Region, c.Region)
	work := time.Duration((0.5 + f.rnd.Float64()) * float64(f.work))
	f.after(way, func() { f.arrivals[c.ID] = append(f.arrivals[c.ID], f.since()) })
	f.after(way+work, func() {
		rate := RateLimit{Known: true, PerSecond: f.limitOf(c.ID, f.since())}
		f.after(way, func() {
			f.whenAwake(e, life, func() {
				lb.ObserveLimit(f.agenda.Now(), c, rate)
				lb.Done(f.agenda.Now(), c, DoneInfo{Result: OK, Load: -1, Waiting: -1})
			})
		})
	})
}

// most returns the most requests that reach an upstream in any window that begins after from
// and ends before to.
func (f *limitFleet) most(upstream string, window, from, to time.Duration) (most int, at time.Duration) {
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

// firstAfter returns when the first request since a time reaches an upstream.
func (f *limitFleet) firstAfter(upstream string, from time.Duration) time.Duration {
	for _, t := range f.arrivals[upstream] {
		if t >= from {
			return t
		}
	}
	return from
}

// between counts the requests that reach an upstream in a span.
func (f *limitFleet) between(upstream string, from, to time.Duration) (n int) {
	for _, t := range f.arrivals[upstream] {
		if t >= from && t < to {
			n++
		}
	}
	return n
}
