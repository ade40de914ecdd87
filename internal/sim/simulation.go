package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/loomkeel/loomkeel/internal/eventsim"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

const (
	// maxAttempts is how many upstreams a request may be sent to after refusals by
	// others.
	maxAttempts = 2
	// waitPart is up to what part of the time that is left callers wait as told before
	// they come back.
	waitPart = 1.0 / 3
	// cutSpread is at how many standard deviations the spread of work is cut.
	cutSpread = 3.0
)

// Policy decides for all entries. Its methods are called in the order of time.
type Policy interface {
	// Pick returns the upstream for a request at an entry, or whether it is refused
	// and when it should come back.
	Pick(now time.Time, entry int, r *Request) Decision
	// Done tells how the attempt ended.
	Done(now time.Time, entry int, r *Request, e AttemptResult)
	// Tick is called every tickEvery.
	Tick(now time.Time)
}

// tickEvery is the time between ticks of a policy.
const tickEvery = 100 * time.Millisecond

// Decision is what becomes of a request.
type Decision struct {
	// Upstream is an index, or -1 if the request is refused.
	Upstream   int
	RetryAfter time.Duration
	// Token is the policy's own, given back to Done.
	Token any
}

// AttemptResult is how an attempt ended.
type AttemptResult struct {
	Token any
	// Shed is set if the upstream refused it, TimedOut if no answer came in time.
	Shed, TimedOut bool
	// Load and Queued are the requests at the upstream, and those that wait there.
	Load, Queued int
	// RoundTrip is the time to the upstream and back.
	RoundTrip time.Duration
	// RateLimit is the limit that the upstream names, or ratelimit.Unlimited.
	RateLimit float64
}

// Request is one try of a caller.
type Request struct {
	Class  int
	Object uint64
	// Region is the caller's, as an index of the play's regions.
	Region int
	// Tried are the upstreams that refused it.
	Tried []int

	first    time.Time
	cold     time.Duration
	again    bool
	deadline time.Time
	timeout  time.Time
	attempts int
	// entry is the one that has the request.
	entry int
	// over is set once nobody waits for the answer any more.
	over bool
}

// attempt is a request on its way to, or at, an upstream.
type attempt struct {
	*Request
	token    any
	upstream int
	// ended is set once the policy was told how the attempt ended.
	ended bool
}

// Simulation is one play of a site. It is not safe for concurrent use.
type Simulation struct {
	site      *Scenario
	policy    Policy
	rnd       *rand.Rand
	agenda    *eventsim.Scheduler
	upstreams []*upstream
	entries   []entry
	// regionOf is the index of a region, entriesOf the indexes of its entries.
	regionOf  map[string]int
	entriesOf [][]int
	// drained are the failure domains that are out of use, burst multiplies the load.
	drained []bool
	burst   float64
	// popularity has the cumulative shares of the objects of each class.
	popularity [][]float64
	result     *Result
}

// entry is one entry of a failure domain.
type entry struct {
	id     string
	domain int
}

// epoch is when every play begins.
var epoch = time.Unix(1_700_000_000, 0)

// New returns a play of a site under the policy that newPolicy returns.
func New(site *Scenario, seed uint64, newPolicy func(*Simulation) Policy) *Simulation {
	p := &Simulation{
		site: site, rnd: rand.New(rand.NewPCG(seed, 1)), agenda: eventsim.New(epoch), burst: 1,
		regionOf: make(map[string]int), result: newResult(site),
	}
	p.addEntries()
	p.addUpstreams()
	for _, c := range site.Classes {
		p.popularity = append(p.popularity, popularity(c))
	}
	p.policy = newPolicy(p)
	return p
}

// addEntries sets up the failure domains with their entries.
func (p *Simulation) addEntries() {
	site := p.site
	for i, d := range site.Domains {
		if _, ok := p.regionOf[d.Region]; !ok {
			p.regionOf[d.Region] = len(p.entriesOf)
			p.entriesOf = append(p.entriesOf, nil)
		}
		region := p.regionOf[d.Region]
		for e := range d.Entries {
			p.entriesOf[region] = append(p.entriesOf[region], len(p.entries))
			p.entries = append(p.entries, entry{fmt.Sprintf("e-%s-%d", d.Name, e), i})
		}
		p.drained = append(p.drained, false)
	}
}

func (p *Simulation) addUpstreams() {
	for i, s := range p.site.Services {
		for d, n := range s.Upstreams {
			for k := range n {
				id := fmt.Sprintf("u-%s-%s-%d", s.Name, p.site.Domains[d].Name, k)
				p.upstreams = append(p.upstreams, newUpstream(id, i, d, s))
			}
		}
	}
}

// popularity returns the cumulative shares of a class's objects.
func popularity(c Class) []float64 {
	out := make([]float64, c.Objects)
	sum := 0.0
	for i := range out {
		sum += math.Pow(float64(i+1), -c.Skew)
		out[i] = sum
	}
	for i := range out {
		out[i] /= sum
	}
	return out
}

// Run plays to the end and returns what callers got.
func (p *Simulation) Run() *Result {
	for d := range p.site.Domains {
		for c := range p.site.Classes {
			p.nextArrival(d, c, rand.New(rand.NewPCG(uint64(d)<<16|uint64(c), p.rnd.Uint64())))
		}
	}
	for _, e := range p.site.Events {
		p.plan(e)
	}
	p.tick()
	p.agenda.Run()
	return p.result
}

func (p *Simulation) at(t time.Time, do func()) { p.agenda.At(t, do) }

func (p *Simulation) after(d time.Duration, do func()) { p.agenda.After(d, do) }

func (p *Simulation) over() bool { return p.agenda.Now().Sub(epoch) >= p.site.Duration }

func (p *Simulation) tick() {
	p.policy.Tick(p.agenda.Now())
	if !p.over() {
		p.after(tickEvery, p.tick)
	}
}

// nextArrival plans the next request of a class from a failure domain. Each such
// stream has a source of its own, so that all policies get the same load.
func (p *Simulation) nextArrival(domain, class int, rnd *rand.Rand) {
	c := &p.site.Classes[class]
	region := p.regionOf[p.site.Domains[domain].Region]
	rate := c.Rate * p.burst * p.swing(region)
	p.after(time.Duration(rnd.ExpFloat64()/rate*float64(time.Second)), func() {
		if p.over() {
			return
		}
		p.arrive(c, class, region, rnd)
		p.nextArrival(domain, class, rnd)
	})
}

// swing is the part of its mean rate that a region has now.
func (p *Simulation) swing(region int) float64 {
	if p.site.WaveAmplitude == 0 {
		return 1
	}
	phase := p.agenda.Now().Sub(epoch).Seconds()/p.site.WavePeriod.Seconds() + float64(region)/float64(len(p.entriesOf))
	return 1 + p.site.WaveAmplitude*math.Sin(2*math.Pi*phase)
}

func (p *Simulation) arrive(c *Class, class, region int, rnd *rand.Rand) {
	object := drawObject(p.popularity[class], rnd.Float64())
	spread := math.Max(-cutSpread, math.Min(cutSpread, rnd.NormFloat64())) * c.ServiceTimeSigma
	r := &Request{
		Class: class, Region: region, first: p.agenda.Now(), deadline: p.agenda.Now().Add(c.Deadline),
		Object: uint64(class)<<40 | uint64(region)<<32 | uint64(object),
		cold:   time.Duration(float64(c.ServiceTime) * math.Exp(spread-c.ServiceTimeSigma*c.ServiceTimeSigma/2)),
	}
	p.result.asked(class, p.agenda.Now())
	p.send(r, rnd)
}

// drawObject returns the object at a point of the cumulative shares.
func drawObject(shares []float64, at float64) int {
	object := 0
	for object < len(shares)-1 && shares[object] < at {
		object++
	}
	return object
}

// send brings a request to one of the entries of the caller's region.
func (p *Simulation) send(r *Request, rnd *rand.Rand) {
	near := p.entriesOf[r.Region]
	r.entry = near[rnd.IntN(len(near))]
	p.after(p.site.ClientLatency, func() {
		r.timeout = p.agenda.Now().Add(min(p.site.Classes[r.Class].Timeout, r.deadline.Sub(p.agenda.Now())))
		p.decide(r)
	})
}

func (p *Simulation) decide(r *Request) {
	d := p.policy.Pick(p.agenda.Now(), r.entry, r)
	if d.Upstream < 0 {
		p.refuse(r, d.RetryAfter)
		return
	}
	r.attempts++
	a := &attempt{Request: r, token: d.Token, upstream: d.Upstream}
	p.after(p.way(a), func() { p.reach(a) })
	p.at(r.timeout, func() { p.expire(a) })
}

// way is the one-way latency of an attempt between entry and upstream.
func (p *Simulation) way(a *attempt) time.Duration {
	from, to := p.entries[a.entry].domain, p.upstreams[a.upstream].domain
	switch {
	case from == to:
		return 0
	case p.site.Domains[from].Region == p.site.Domains[to].Region:
		return p.site.IntraRegionLatency
	}
	return p.site.InterRegionLatency
}

// refuse sends a caller away, who comes back once.
func (p *Simulation) refuse(r *Request, retryAfter time.Duration) {
	p.after(p.site.ClientLatency, func() {
		left := r.deadline.Sub(p.agenda.Now())
		if r.again || left <= 0 {
			p.result.refused(r)
			return
		}
		next := &Request{Class: r.Class, Object: r.Object, Region: r.Region, first: r.first, cold: r.cold, again: true, deadline: r.deadline}
		pause := min(retryAfter, time.Duration(waitPart*float64(left)))
		p.after(pause, func() { p.send(next, p.rnd) })
	})
}

// reach brings an attempt to its upstream.
func (p *Simulation) reach(a *attempt) {
	u := p.upstreams[a.upstream]
	u.arrive(p.agenda.Now())
	if u.sheds > 0 && p.rnd.Float64() < u.sheds || u.running >= u.slots && len(u.queue) >= u.limit {
		p.after(p.way(a), func() { p.shed(a) })
		return
	}
	if u.running >= u.slots {
		u.queue = append(u.queue, a)
		return
	}
	p.start(u, a)
}

func (p *Simulation) start(u *upstream, a *attempt) {
	c := &p.site.Classes[a.Class]
	u.running++
	p.after(u.work(c, a.Object, a.cold), func() {
		u.running--
		u.touch(a.Object)
		end := AttemptResult{Token: a.token, Load: u.load(), Queued: len(u.queue), RoundTrip: 2 * p.way(a), RateLimit: u.perSecond}
		p.after(p.way(a), func() { p.answer(a, end) })
		p.startNext(u)
	})
}

// startNext takes the next one from the queue that still has somebody waiting for it.
func (p *Simulation) startNext(u *upstream) {
	for len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if !next.over {
			p.start(u, next)
			return
		}
	}
}

func (p *Simulation) answer(a *attempt, end AttemptResult) {
	if a.ended {
		return
	}
	a.ended, a.over = true, true
	p.policy.Done(p.agenda.Now(), a.entry, a.Request, end)
	p.after(p.site.ClientLatency, func() { p.result.served(a.Request, p.agenda.Now()) })
}

func (p *Simulation) shed(a *attempt) {
	if a.ended {
		return
	}
	a.ended = true
	u := p.upstreams[a.upstream]
	p.policy.Done(p.agenda.Now(), a.entry, a.Request, AttemptResult{Token: a.token, Shed: true, Load: u.load(), Queued: len(u.queue), RateLimit: u.perSecond})
	a.Tried = append(a.Tried, a.upstream)
	if a.attempts >= maxAttempts {
		a.over = true
		p.refuse(a.Request, 0)
		return
	}
	p.decide(a.Request)
}

// expire ends an attempt whose time has run out; what an upstream works on it is lost.
func (p *Simulation) expire(a *attempt) {
	if a.ended {
		return
	}
	a.ended, a.over = true, true
	p.policy.Done(p.agenda.Now(), a.entry, a.Request, AttemptResult{Token: a.token, TimedOut: true, Load: -1, Queued: -1})
	p.result.failed(a.Request)
}

// plan has an event begin and end.
func (p *Simulation) plan(e Event) {
	set := func(on bool) {
		switch e.Kind {
		case Drain:
			p.drained[e.Domain] = on
		case Burst:
			p.burst = choose(on, e.Factor, 1)
		case Slow:
			p.each(e, func(u *upstream) { u.slow = choose(on, e.Factor, 1) })
		case Limit:
			p.each(e, func(u *upstream) { u.perSecond = choose(on, e.Factor*u.rate(), ratelimit.Unlimited) })
		case ShedIdle:
			p.each(e, func(u *upstream) { u.sheds = choose(on, e.Factor, 0) })
		}
	}
	p.at(epoch.Add(e.At), func() { set(true) })
	p.at(epoch.Add(e.At+e.Duration), func() { set(false) })
}

func choose(on bool, a, b float64) float64 {
	if on {
		return a
	}
	return b
}

// each visits the upstreams that an event concerns.
func (p *Simulation) each(e Event, visit func(*upstream)) {
	var of []*upstream
	for _, u := range p.upstreams {
		if u.service == e.Service {
			of = append(of, u)
		}
	}
	step := math.Max(1, 1/e.UpstreamShare)
	for x := 0.0; int(x) < len(of); x += step {
		visit(of[int(x)])
	}
}
