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
	// maxAttempts is the number of upstreams that an entry sends a request to, if the
	// earlier ones refuse it.
	maxAttempts = 2
	// maxWaitFraction is the part of the time left until its deadline that a caller waits
	// at most before it retries, even if RetryAfter is longer.
	maxWaitFraction = 1.0 / 3
	// maxDeviations truncates the distribution of the logarithm of service times, in
	// standard deviations.
	maxDeviations = 3.0
)

// Policy selects upstreams on behalf of all entries. Its methods are called in the order of
// virtual time.
type Policy interface {
	// Pick returns the upstream for a request at an entry, or a refusal with the time
	// after which the caller should retry.
	Pick(now time.Time, entry int, r *Request) Decision
	// Done reports the result of an attempt.
	Done(now time.Time, entry int, r *Request, result AttemptResult)
	// Tick is called every tickPeriod.
	Tick(now time.Time)
}

// tickPeriod is the time between calls of Policy.Tick.
const tickPeriod = 100 * time.Millisecond

// Decision is the result of Policy.Pick.
type Decision struct {
	// Upstream is the index of the upstream, or -1 if the request is refused.
	Upstream int
	// Wait is the time for which the entry waits before it sends the request.
	Wait time.Duration
	// RetryAfter is set with a refusal.
	RetryAfter time.Duration
	// Token is a value of the policy's own that is passed back to Done.
	Token any
}

// AttemptResult describes how an attempt ended.
type AttemptResult struct {
	// Token is that of the Decision.
	Token any
	// Shed is set if the upstream refused the request, TimedOut if no response came in
	// time.
	Shed, TimedOut bool
	// Load is the number of requests at the upstream, Queued the number of those that
	// wait there. Both are -1 after a timeout.
	Load, Queued int
	// RoundTrip is the network time to the upstream and back.
	RoundTrip time.Duration
	// RateLimit is the limit that the upstream reports, in requests per second, or
	// ratelimit.Unlimited.
	RateLimit float64
}

// Request is a request that a caller sends to an entry, the first time or as a retry.
type Request struct {
	// Class is an index of the scenario's classes.
	Class  int
	Object uint64
	// Region is the index of the caller's region.
	Region int
	// Tried are the indexes of the upstreams that refused the request.
	Tried []int

	firstSent    time.Time
	uncachedTime time.Duration
	isRetry      bool
	deadline     time.Time
	timeout      time.Time
	attempts     int
	// entry is the index of the entry that the request was sent to.
	entry int
	// finished is set once the entry waits for no response any more.
	finished bool
}

// attempt is one transmission of a request to an upstream.
type attempt struct {
	*Request
	token    any
	upstream int
	// reported is set once the result was passed to Policy.Done.
	reported bool
}

// Simulation is one run of a scenario under a policy. It is not safe for concurrent use.
type Simulation struct {
	scenario  *Scenario
	policy    Policy
	rng       *rand.Rand
	scheduler *eventsim.Scheduler
	upstreams []*upstream
	entries   []entry
	// regionOf maps the name of a region to its index, entriesOf holds the indexes of the
	// entries of each region.
	regionOf  map[string]int
	entriesOf [][]int
	// drained holds, for each failure domain, whether its upstreams are out of use.
	// loadFactor multiplies the request rates.
	drained    []bool
	loadFactor float64
	// popularity holds, for each class, the cumulative shares of its objects.
	popularity [][]float64
	result     *Result
}

// entry is one entry of a failure domain.
type entry struct {
	id     string
	domain int
}

// epoch is the virtual time at which every simulation starts.
var epoch = time.Unix(1_700_000_000, 0)

// New returns a simulation of a scenario under the policy that newPolicy returns. The same
// seed repeats the same run.
func New(scenario *Scenario, seed uint64, newPolicy func(*Simulation) Policy) *Simulation {
	s := &Simulation{
		scenario: scenario, rng: rand.New(rand.NewPCG(seed, 1)), scheduler: eventsim.New(epoch), loadFactor: 1,
		regionOf: make(map[string]int), result: newResult(scenario),
	}
	s.addEntries()
	s.addUpstreams()
	for _, c := range scenario.Classes {
		s.popularity = append(s.popularity, popularity(c))
	}
	s.policy = newPolicy(s)
	return s
}

// addEntries sets up the regions, the failure domains and their entries.
func (s *Simulation) addEntries() {
	scenario := s.scenario
	for i, d := range scenario.Domains {
		if _, ok := s.regionOf[d.Region]; !ok {
			s.regionOf[d.Region] = len(s.entriesOf)
			s.entriesOf = append(s.entriesOf, nil)
		}
		region := s.regionOf[d.Region]
		for e := range d.Entries {
			s.entriesOf[region] = append(s.entriesOf[region], len(s.entries))
			s.entries = append(s.entries, entry{fmt.Sprintf("e-%s-%d", d.Name, e), i})
		}
		s.drained = append(s.drained, false)
	}
}

// addUpstreams sets up the upstreams of all services.
func (s *Simulation) addUpstreams() {
	for i, svc := range s.scenario.Services {
		for d, n := range svc.Upstreams {
			for k := range n {
				id := fmt.Sprintf("u-%s-%s-%d", svc.Name, s.scenario.Domains[d].Name, k)
				s.upstreams = append(s.upstreams, newUpstream(id, i, d, svc))
			}
		}
	}
}

// popularity returns the cumulative shares of a class's objects in its requests. The last
// one is 1.
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

// Run runs the simulation to its end and returns the results of all requests.
func (s *Simulation) Run() *Result {
	for d := range s.scenario.Domains {
		for c := range s.scenario.Classes {
			s.scheduleArrival(d, c, rand.New(rand.NewPCG(uint64(d)<<16|uint64(c), s.rng.Uint64())))
		}
	}
	for _, e := range s.scenario.Events {
		s.scheduleEvent(e)
	}
	s.tick()
	s.scheduler.Run()
	return s.result
}

// at runs fn at a virtual time.
func (s *Simulation) at(t time.Time, fn func()) { s.scheduler.At(t, fn) }

// after runs fn after a virtual delay.
func (s *Simulation) after(d time.Duration, fn func()) { s.scheduler.After(d, fn) }

// pastEnd reports whether callers send no new requests any more.
func (s *Simulation) pastEnd() bool { return s.scheduler.Now().Sub(epoch) >= s.scenario.Duration }

// tick calls Policy.Tick now and every tickPeriod until the end.
func (s *Simulation) tick() {
	s.policy.Tick(s.scheduler.Now())
	if !s.pastEnd() {
		s.after(tickPeriod, s.tick)
	}
}

// scheduleArrival schedules the next request of a class from a failure domain. Each stream
// of requests has its own random source, so that all policies get the same load.
func (s *Simulation) scheduleArrival(domain, class int, rng *rand.Rand) {
	c := &s.scenario.Classes[class]
	region := s.regionOf[s.scenario.Domains[domain].Region]
	rate := c.Rate * s.loadFactor * s.rateFactor(region)
	s.after(time.Duration(rng.ExpFloat64()/rate*float64(time.Second)), func() {
		if s.pastEnd() {
			return
		}
		s.newRequest(c, class, region, rng)
		s.scheduleArrival(domain, class, rng)
	})
}

// rateFactor returns the present rate of a region relative to its mean.
func (s *Simulation) rateFactor(region int) float64 {
	if s.scenario.WaveAmplitude == 0 {
		return 1
	}
	phase := s.scheduler.Now().Sub(epoch).Seconds()/s.scenario.WavePeriod.Seconds() + float64(region)/float64(len(s.entriesOf))
	return 1 + s.scenario.WaveAmplitude*math.Sin(2*math.Pi*phase)
}

// newRequest sends a new request with a random object and service time.
func (s *Simulation) newRequest(c *Class, class, region int, rng *rand.Rand) {
	object := drawObject(s.popularity[class], rng.Float64())
	spread := math.Max(-maxDeviations, math.Min(maxDeviations, rng.NormFloat64())) * c.ServiceTimeSigma
	r := &Request{
		Class: class, Region: region, firstSent: s.scheduler.Now(), deadline: s.scheduler.Now().Add(c.Deadline),
		Object:       uint64(class)<<40 | uint64(region)<<32 | uint64(object),
		uncachedTime: time.Duration(float64(c.ServiceTime) * math.Exp(spread-c.ServiceTimeSigma*c.ServiceTimeSigma/2)),
	}
	s.result.recordSent(class, s.scheduler.Now())
	s.send(r, rng)
}

// drawObject returns the object to which a number from 0 to 1 belongs by the cumulative
// shares.
func drawObject(shares []float64, at float64) int {
	object := 0
	for object < len(shares)-1 && shares[object] < at {
		object++
	}
	return object
}

// send sends a request to a random entry of the caller's region.
func (s *Simulation) send(r *Request, rng *rand.Rand) {
	local := s.entriesOf[r.Region]
	r.entry = local[rng.IntN(len(local))]
	s.after(s.scenario.ClientLatency, func() {
		r.timeout = s.scheduler.Now().Add(min(s.scenario.Classes[r.Class].Timeout, r.deadline.Sub(s.scheduler.Now())))
		s.dispatch(r)
	})
}

// dispatch asks the policy for an upstream and sends the request there, or refuses it.
func (s *Simulation) dispatch(r *Request) {
	d := s.policy.Pick(s.scheduler.Now(), r.entry, r)
	if d.Upstream < 0 {
		s.reject(r, d.RetryAfter)
		return
	}
	r.attempts++
	a := &attempt{Request: r, token: d.Token, upstream: d.Upstream}
	s.after(d.Wait+s.latency(a), func() { s.deliver(a) })
	s.at(r.timeout, func() { s.handleTimeout(a) })
}

// latency returns the one-way latency between the entry and the upstream of an attempt.
func (s *Simulation) latency(a *attempt) time.Duration {
	from, to := s.entries[a.entry].domain, s.upstreams[a.upstream].domain
	switch {
	case from == to:
		return 0
	case s.scenario.Domains[from].Region == s.scenario.Domains[to].Region:
		return s.scenario.IntraRegionLatency
	}
	return s.scenario.InterRegionLatency
}

// reject refuses a request. The caller retries once.
func (s *Simulation) reject(r *Request, retryAfter time.Duration) {
	s.after(s.scenario.ClientLatency, func() {
		left := r.deadline.Sub(s.scheduler.Now())
		if r.isRetry || left <= 0 {
			s.result.recordRefused(r)
			return
		}
		next := &Request{Class: r.Class, Object: r.Object, Region: r.Region, firstSent: r.firstSent, uncachedTime: r.uncachedTime, isRetry: true, deadline: r.deadline}
		pause := min(retryAfter, time.Duration(maxWaitFraction*float64(left)))
		s.after(pause, func() { s.send(next, s.rng) })
	})
}

// deliver handles the arrival of an attempt at its upstream, which starts, queues or refuses
// it.
func (s *Simulation) deliver(a *attempt) {
	u := s.upstreams[a.upstream]
	u.recordArrival(s.scheduler.Now())
	if u.shedProbability > 0 && s.rng.Float64() < u.shedProbability || u.running >= u.slots && len(u.queue) >= u.queueLimit {
		s.after(s.latency(a), func() { s.handleShed(a) })
		return
	}
	if u.running >= u.slots {
		u.queue = append(u.queue, a)
		return
	}
	s.start(u, a)
}

// start runs an attempt in a slot of its upstream, and schedules its response.
func (s *Simulation) start(u *upstream, a *attempt) {
	c := &s.scenario.Classes[a.Class]
	u.running++
	s.after(u.serviceTime(c, a.Object, a.uncachedTime), func() {
		u.running--
		u.touch(a.Object)
		result := AttemptResult{Token: a.token, Load: u.load(), Queued: len(u.queue), RoundTrip: 2 * s.latency(a), RateLimit: u.rateLimit}
		s.after(s.latency(a), func() { s.handleAnswer(a, result) })
		s.startNext(u)
	})
}

// startNext starts the first queued attempt whose request is not finished, and drops the
// attempts before it.
func (s *Simulation) startNext(u *upstream) {
	for len(u.queue) > 0 {
		next := u.queue[0]
		u.queue = u.queue[1:]
		if !next.finished {
			s.start(u, next)
			return
		}
	}
}

// handleAnswer handles the arrival of a response at the entry.
func (s *Simulation) handleAnswer(a *attempt, result AttemptResult) {
	if a.reported {
		return
	}
	a.reported, a.finished = true, true
	s.policy.Done(s.scheduler.Now(), a.entry, a.Request, result)
	s.after(s.scenario.ClientLatency, func() { s.result.recordAnswered(a.Request, s.scheduler.Now()) })
}

// handleShed handles the arrival of an upstream's refusal at the entry, which tries another
// upstream or refuses the request.
func (s *Simulation) handleShed(a *attempt) {
	if a.reported {
		return
	}
	a.reported = true
	u := s.upstreams[a.upstream]
	s.policy.Done(s.scheduler.Now(), a.entry, a.Request, AttemptResult{Token: a.token, Shed: true, Load: u.load(), Queued: len(u.queue), RateLimit: u.rateLimit})
	a.Tried = append(a.Tried, a.upstream)
	if a.attempts >= maxAttempts {
		a.finished = true
		s.reject(a.Request, 0)
		return
	}
	s.dispatch(a.Request)
}

// handleTimeout ends an attempt that has timed out. Work that an upstream has begun on it
// continues, but its result is discarded.
func (s *Simulation) handleTimeout(a *attempt) {
	if a.reported {
		return
	}
	a.reported, a.finished = true, true
	s.policy.Done(s.scheduler.Now(), a.entry, a.Request, AttemptResult{Token: a.token, TimedOut: true, Load: -1, Queued: -1})
	s.result.recordFailed(a.Request)
}

// scheduleEvent schedules the start and the end of an event.
func (s *Simulation) scheduleEvent(e Event) {
	set := func(on bool) {
		switch e.Kind {
		case Drain:
			s.drained[e.Domain] = on
		case Burst:
			s.loadFactor = ifElse(on, e.Factor, 1)
		case Slow:
			s.visitUpstreams(e, func(u *upstream) { u.slowdown = ifElse(on, e.Factor, 1) })
		case Limit:
			s.visitUpstreams(e, func(u *upstream) { u.rateLimit = ifElse(on, e.Factor*u.arrivalRate(), ratelimit.Unlimited) })
		case ShedIdle:
			s.visitUpstreams(e, func(u *upstream) { u.shedProbability = ifElse(on, e.Factor, 0) })
		}
	}
	s.at(epoch.Add(e.At), func() { set(true) })
	s.at(epoch.Add(e.At+e.Duration), func() { set(false) })
}

// ifElse returns a if the condition holds, else b.
func ifElse(condition bool, a, b float64) float64 {
	if condition {
		return a
	}
	return b
}

// visitUpstreams calls visit for the share of a service's upstreams that an event concerns,
// evenly spaced.
func (s *Simulation) visitUpstreams(e Event, visit func(*upstream)) {
	var ofService []*upstream
	for _, u := range s.upstreams {
		if u.service == e.Service {
			ofService = append(ofService, u)
		}
	}
	step := math.Max(1, 1/e.UpstreamShare)
	for x := 0.0; int(x) < len(ofService); x += step {
		visit(ofService[int(x)])
	}
}
