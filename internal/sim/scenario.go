// Package sim simulates load on the decisions of package balance: which upstream gets a
// request, and when a request is refused. There is no network, store or wire format. Time
// is virtual and randomness is seeded, so that a simulation repeats exactly.
//
// Upstreams have slots, a queue and a cache of objects, and are faster for an object in
// their cache. Entries exchange their loads with a delay. A caller whose request is refused
// retries once. The result of a simulation is what callers got; policies are compared on
// the same load.
package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Scenario describes a deployment, its load and the events that disturb it.
type Scenario struct {
	Name string
	// Domains are the failure domains.
	Domains []Domain
	// InterRegionLatency is the one-way latency between regions, IntraRegionLatency that
	// between failure domains of a region, and ClientLatency that between callers and
	// entries.
	InterRegionLatency, IntraRegionLatency, ClientLatency time.Duration
	Services                                              []Service
	Classes                                               []Class
	Events                                                []Event
	// Duration is for how long callers send requests.
	Duration time.Duration
	// WaveAmplitude is the amplitude of the sine wave that the rate of a region follows,
	// relative to its mean, and WavePeriod the period. The phases of the regions are evenly
	// spaced.
	WaveAmplitude float64
	WavePeriod    time.Duration
}

// Domain is a failure domain with its entries.
type Domain struct {
	Name, Region string
	Entries      int
}

// Service is a set of upstreams with the same parameters.
type Service struct {
	Name string
	// Upstreams is the number of upstreams in each failure domain.
	Upstreams []int
	// Slots is how many requests an upstream processes at once, QueueLimit how many may
	// wait.
	Slots, QueueLimit int
	// CacheSize is how many objects the cache of an upstream holds.
	CacheSize int
}

// Class is a kind of request.
type Class struct {
	Name string
	// Service is the index of the service that handles the requests.
	Service int
	// Rate is the mean number of requests per second from the callers of each failure
	// domain.
	Rate float64
	// Objects is how many objects the callers of a region request. The rate of the nth
	// object is proportional to n to the power of minus Skew.
	Objects int
	Skew    float64
	// ServiceTime is the mean time at an upstream without the object in its cache.
	// CacheGain is the part of that time that a cached object saves. ServiceTimeSigma is
	// the standard deviation of the logarithm of the time.
	ServiceTime                 time.Duration
	CacheGain, ServiceTimeSigma float64
	// Objective is the latency within which an answer has its full value. Timeout is the
	// longest time of a request at the entry, Deadline that of a caller including a retry.
	Objective, Timeout, Deadline time.Duration
	// Value is the value of an answer within the objective; a later answer has the part
	// LateValue of it.
	Value, LateValue float64
}

// Event is a disturbance of a deployment or a change of its load.
type Event struct {
	// At is the time from the start of the simulation to the start of the event, Duration
	// that from there to its end.
	At, Duration time.Duration
	Kind         EventKind
	// Service is the index of the affected service, Domain that of the affected failure
	// domain.
	Service, Domain int
	// UpstreamShare is the affected part of the service's upstreams.
	UpstreamShare float64
	// Factor multiplies the service time (Slow) or the load (Burst), or is the part of the
	// requests that is refused (ShedIdle) or allowed (Limit).
	Factor float64
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds of events.
const (
	// Drain takes the upstreams of a failure domain out of use.
	Drain EventKind = iota
	// Slow raises the service time of some upstreams.
	Slow
	// ShedIdle makes some upstreams refuse requests although they have free slots.
	ShedIdle
	// Burst multiplies the load.
	Burst
	// Limit makes some upstreams report a rate limit: the part Factor of the requests per
	// second that each of them got before.
	Limit

	// randomKinds is the number of kinds that RandomScenario chooses from, the ones before
	// Limit.
	randomKinds = Limit
)

// RandomScenario returns the scenario of a seed: one to four regions, mean service times of
// 0.1 s to 1 s, and a load between a fifth and nine tenths of what the slots could serve if
// all objects were cached.
func RandomScenario(seed uint64) *Scenario {
	rng := rand.New(rand.NewPCG(seed, 17))
	s := &Scenario{
		Name:               fmt.Sprint("random-", seed),
		InterRegionLatency: randomDuration(rng, 10*time.Millisecond, 80*time.Millisecond),
		IntraRegionLatency: randomDuration(rng, 500*time.Microsecond, 2*time.Millisecond),
		ClientLatency:      randomDuration(rng, time.Millisecond, 10*time.Millisecond),
		Duration:           20 * time.Second,
		WaveAmplitude:      0.6 * rng.Float64(),
		WavePeriod:         randomDuration(rng, 20*time.Second, 60*time.Second),
	}
	for region := range 1 + rng.IntN(4) {
		for d := range 1 + rng.IntN(3) {
			name := fmt.Sprintf("r%d", region)
			s.Domains = append(s.Domains, Domain{fmt.Sprintf("%s-%c", name, 'a'+d), name, 1 + rng.IntN(3)})
		}
	}
	for i := range 1 + rng.IntN(3) {
		s.addService(rng, i)
	}
	for range rng.IntN(3) {
		s.addEvent(rng)
	}
	return s
}

// randomDuration returns a random duration from low to high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Float64()*float64(high-low))
}

// addService adds a random service, with index i, and a class of requests for it.
func (s *Scenario) addService(rng *rand.Rand, i int) {
	svc := Service{Name: fmt.Sprint("s", i), Slots: 2 + rng.IntN(8), CacheSize: 20 + rng.IntN(80)}
	svc.QueueLimit = 3 * svc.Slots
	total := 0
	for range s.Domains {
		n := 1 + rng.IntN(5)
		svc.Upstreams = append(svc.Upstreams, n)
		total += n
	}
	serviceTime := randomDuration(rng, 100*time.Millisecond, time.Second)
	c := Class{
		Name: fmt.Sprint("c", i), Service: i, Objects: 10 + rng.IntN(100), Skew: 0.8 * rng.Float64(),
		ServiceTime: serviceTime, CacheGain: 0.3 + 0.5*rng.Float64(), ServiceTimeSigma: 0.1 + 0.3*rng.Float64(), Value: float64(1 + rng.IntN(3)), LateValue: 0.2,
	}
	c.Objective = time.Duration((0.6+0.4*rng.Float64())*float64(serviceTime)) + 2*s.ClientLatency
	c.Timeout = time.Duration(2.5 * float64(serviceTime))
	c.Deadline = time.Duration((4 + 3*rng.Float64()) * float64(serviceTime))
	cachedSeconds := (1 - c.CacheGain) * serviceTime.Seconds()
	c.Rate = (0.2 + 0.7*rng.Float64()) * float64(total*svc.Slots) / cachedSeconds / float64(len(s.Domains))
	// More requests make a simulation longer without showing anything else.
	c.Rate = math.Min(c.Rate, 400/float64(len(s.Domains)))
	s.Services = append(s.Services, svc)
	s.Classes = append(s.Classes, c)
}

// addEvent adds a random event.
func (s *Scenario) addEvent(rng *rand.Rand) {
	e := Event{
		At: randomDuration(rng, 3*time.Second, 10*time.Second), Duration: randomDuration(rng, 3*time.Second, 8*time.Second),
		Kind: EventKind(rng.IntN(int(randomKinds))), Service: rng.IntN(len(s.Services)), Domain: rng.IntN(len(s.Domains)),
		UpstreamShare: 0.1 + 0.4*rng.Float64(),
	}
	switch e.Kind {
	case Slow:
		e.Factor = 2 + 6*rng.Float64()
	case ShedIdle:
		e.Factor = 0.3 + 0.4*rng.Float64()
	case Burst:
		e.Factor = 1.2 + rng.Float64()
	}
	s.Events = append(s.Events, e)
}
