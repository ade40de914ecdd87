// Package sim plays load against the decisions of package balance alone: which
// upstream gets a request, and when it is refused. There is no network, store or wire;
// time is virtual and randomness is seeded, so that a play repeats exactly.
//
// Upstreams have slots, a queue and a memory of objects, and work faster on an object
// that they have at hand. Entries hear of each other's requests with a delay. Callers
// that are refused come back once. A play tells what callers get; policies are
// compared on the same load.
package sim

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"
)

// Scenario is a deployment with its load.
type Scenario struct {
	Name string
	// Domains are the failure domains.
	Domains []Domain
	// InterRegionLatency is the one-way latency between regions, IntraRegionLatency that between failure
	// domains of a region, and ClientLatency that to callers.
	InterRegionLatency, IntraRegionLatency, ClientLatency time.Duration
	Services                                              []Service
	Classes                                               []Class
	Events                                                []Event
	// Duration is for how long callers send requests.
	Duration time.Duration
	// WaveAmplitude is by what part the rate of a region swings about its mean, with the given
	// period; regions follow each other.
	WaveAmplitude float64
	WavePeriod    time.Duration
}

// Domain is a failure domain with its entries.
type Domain struct {
	Name, Region string
	Entries      int
}

// Service is a set of upstreams that are alike.
type Service struct {
	Name string
	// Upstreams is how many there are in each failure domain.
	Upstreams []int
	// Slots is how many requests an upstream works on at once, QueueLimit how many may wait.
	Slots, QueueLimit int
	// CacheSize is how many objects an upstream has at hand.
	CacheSize int
}

// Class is a kind of request.
type Class struct {
	Name    string
	Service int
	// Rate is the requests per second from each failure domain.
	Rate float64
	// Objects is how many objects the callers of a region ask for; the rate of the nth
	// falls as n to the power of minus Skew.
	Objects int
	Skew    float64
	// ServiceTime is the mean time at an upstream without the object at hand; with it Gain of
	// that is saved. Spread is the standard deviation of its logarithm.
	ServiceTime                 time.Duration
	CacheGain, ServiceTimeSigma float64
	// Objective is the latency within which an answer has its whole worth; a later one
	// has Late of it. Timeout is the longest time at the entry, Deadline that of the
	// caller.
	Objective, Timeout, Deadline time.Duration
	Value, LateValue             float64
}

// Event is a trouble that begins at At and lasts For.
type Event struct {
	At, Duration time.Duration
	Kind         EventKind
	// Service is the index of the service concerned, Domain that of the failure domain.
	Service, Domain int
	// UpstreamShare is the part of the upstreams concerned.
	UpstreamShare float64
	// Factor is by how much work is slower, or the part of the requests refused or taken.
	Factor float64
}

// EventKind is the kind of an Event.
type EventKind uint8

// The kinds.
const (
	// Drain takes the upstreams of a failure domain out of use.
	Drain EventKind = iota
	// Slow makes the work of some upstreams slower.
	Slow
	// ShedIdle has some upstreams refuse requests although they have slots to spare.
	ShedIdle
	// Burst multiplies the load.
	Burst
	// Limit has some upstreams name a limit: the part Factor of the requests a second that
	// each got before.
	Limit

	// randomKinds bounds the kinds that Random draws from.
	randomKinds = Limit
)

// RandomScenario returns a deployment drawn from a seed: of one to four regions, with work of
// 0.1 s to 1 s, and with load between a fifth and nine tenths of what the slots could
// bear if all work were warm.
func RandomScenario(seed uint64) *Scenario {
	r := rand.New(rand.NewPCG(seed, 17))
	s := &Scenario{
		Name:               fmt.Sprint("random-", seed),
		InterRegionLatency: between(r, 10*time.Millisecond, 80*time.Millisecond),
		IntraRegionLatency: between(r, 500*time.Microsecond, 2*time.Millisecond),
		ClientLatency:      between(r, time.Millisecond, 10*time.Millisecond),
		Duration:           20 * time.Second,
		WaveAmplitude:      0.6 * r.Float64(),
		WavePeriod:         between(r, 20*time.Second, 60*time.Second),
	}
	for region := range 1 + r.IntN(4) {
		for d := range 1 + r.IntN(3) {
			name := fmt.Sprintf("r%d", region)
			s.Domains = append(s.Domains, Domain{fmt.Sprintf("%s-%c", name, 'a'+d), name, 1 + r.IntN(3)})
		}
	}
	for i := range 1 + r.IntN(3) {
		s.addService(r, i)
	}
	for range r.IntN(3) {
		s.addEvent(r)
	}
	return s
}

func between(r *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(r.Float64()*float64(most-least))
}

// addService adds a service and a class of requests for it.
func (s *Scenario) addService(r *rand.Rand, i int) {
	svc := Service{Name: fmt.Sprint("s", i), Slots: 2 + r.IntN(8), CacheSize: 20 + r.IntN(80)}
	svc.QueueLimit = 3 * svc.Slots
	total := 0
	for range s.Domains {
		n := 1 + r.IntN(5)
		svc.Upstreams = append(svc.Upstreams, n)
		total += n
	}
	work := between(r, 100*time.Millisecond, time.Second)
	c := Class{
		Name: fmt.Sprint("c", i), Service: i, Objects: 10 + r.IntN(100), Skew: 0.8 * r.Float64(),
		ServiceTime: work, CacheGain: 0.3 + 0.5*r.Float64(), ServiceTimeSigma: 0.1 + 0.3*r.Float64(), Value: float64(1 + r.IntN(3)), LateValue: 0.2,
	}
	c.Objective = time.Duration((0.6+0.4*r.Float64())*float64(work)) + 2*s.ClientLatency
	c.Timeout = time.Duration(2.5 * float64(work))
	c.Deadline = time.Duration((4 + 3*r.Float64()) * float64(work))
	warm := (1 - c.CacheGain) * work.Seconds()
	c.Rate = (0.2 + 0.7*r.Float64()) * float64(total*svc.Slots) / warm / float64(len(s.Domains))
	// Plays of many thousand requests show nothing that shorter ones do not.
	c.Rate = math.Min(c.Rate, 400/float64(len(s.Domains)))
	s.Services = append(s.Services, svc)
	s.Classes = append(s.Classes, c)
}

func (s *Scenario) addEvent(r *rand.Rand) {
	e := Event{
		At: between(r, 3*time.Second, 10*time.Second), Duration: between(r, 3*time.Second, 8*time.Second),
		Kind: EventKind(r.IntN(int(randomKinds))), Service: r.IntN(len(s.Services)), Domain: r.IntN(len(s.Domains)),
		UpstreamShare: 0.1 + 0.4*r.Float64(),
	}
	switch e.Kind {
	case Slow:
		e.Factor = 2 + 6*r.Float64()
	case ShedIdle:
		e.Factor = 0.3 + 0.4*r.Float64()
	case Burst:
		e.Factor = 1.2 + r.Float64()
	}
	s.Events = append(s.Events, e)
}
