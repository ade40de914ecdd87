package sim

import (
	"fmt"
	"time"
)

// Scenarios holds the constructors of the named scenarios, each of which tests one situation.
var Scenarios = map[string]func() *Scenario{
	"calm":           func() *Scenario { return regionalScenario(0.4) },
	"heavy":          func() *Scenario { return regionalScenario(0.75) },
	"emptied-domain": emptiedDomainScenario,
	"idle-sheds":     idleShedsScenario,
	"burst":          burstScenario,
	"limits-some":    func() *Scenario { return limitScenario(0.5) },
	"limits-all":     func() *Scenario { return limitScenario(1) },
}

// regionalScenario returns a deployment of three regions with two failure domains each. One
// region has only 2 upstreams, the others have 8 and 10. load is relative to what all slots
// could serve if all objects were cached.
func regionalScenario(load float64) *Scenario {
	s := &Scenario{
		Name: fmt.Sprint("regional-", load), InterRegionLatency: 20 * time.Millisecond, IntraRegionLatency: time.Millisecond, ClientLatency: 5 * time.Millisecond,
		Duration: 20 * time.Second,
	}
	for _, name := range []string{"east", "north", "west"} {
		for _, letter := range []string{"a", "b"} {
			s.Domains = append(s.Domains, Domain{name + "-" + letter, name, 2})
		}
	}
	svc := Service{Name: "catalogue", Upstreams: []int{1, 1, 4, 4, 5, 5}, Slots: 5, QueueLimit: 15, CacheSize: 50}
	c := Class{
		Name: "look-up", Objects: 80, Skew: 0.2, ServiceTime: 360 * time.Millisecond, CacheGain: 0.7, ServiceTimeSigma: 0.15,
		Objective: 250 * time.Millisecond, Timeout: 800 * time.Millisecond, Deadline: 2 * time.Second, Value: 1, LateValue: 0.2,
	}
	slots := 0
	for _, n := range svc.Upstreams {
		slots += n * svc.Slots
	}
	c.Rate = load * float64(slots) / ((1 - c.CacheGain) * c.ServiceTime.Seconds()) / float64(len(s.Domains))
	s.Services, s.Classes = []Service{svc}, []Class{c}
	return s
}

// emptiedDomainScenario returns a scenario that drains a failure domain with a quarter of the
// upstreams, in a region with 2.5 times the capacity that its own callers need.
func emptiedDomainScenario() *Scenario {
	s := regionalScenario(0.6)
	s.Events = []Event{{At: 6 * time.Second, Duration: 10 * time.Second, Kind: Drain, Domain: 4}}
	return s
}

// idleShedsScenario returns a scenario in which every second upstream refuses half of its
// requests although it has free slots.
func idleShedsScenario() *Scenario {
	s := regionalScenario(0.5)
	s.Events = []Event{{At: 6 * time.Second, Duration: 10 * time.Second, Kind: ShedIdle, UpstreamShare: 0.5, Factor: 0.5}}
	return s
}

// burstScenario returns a scenario that raises the load to 1.5 times its rate for 6 s.
func burstScenario() *Scenario {
	s := regionalScenario(0.6)
	s.Events = []Event{{At: 6 * time.Second, Duration: 6 * time.Second, Kind: Burst, Factor: 1.5}}
	return s
}

// limitScenario returns a scenario in which a share of the upstreams report rate limits
// below half of their load. The other upstreams have slots for the remaining requests, but
// their caches can't hold the objects of these as well.
func limitScenario(share float64) *Scenario {
	s := &Scenario{
		Name: fmt.Sprint("limits-", share), InterRegionLatency: 50 * time.Millisecond, IntraRegionLatency: time.Millisecond, ClientLatency: time.Millisecond,
		Duration: 30 * time.Second,
		Services: []Service{{Name: "history", Upstreams: []int{3, 3, 3, 3, 3, 3}, Slots: 6, QueueLimit: 18, CacheSize: 30}},
		Classes: []Class{{
			Name: "look-up", Objects: 100, Skew: 0.3, ServiceTime: 640 * time.Millisecond, CacheGain: 0.7, ServiceTimeSigma: 0.15, Rate: 34,
			Objective: 500 * time.Millisecond, Timeout: 3 * time.Second, Deadline: 3 * time.Second, Value: 1, LateValue: 0.2,
		}},
		Events: []Event{{At: 8 * time.Second, Duration: 18 * time.Second, Kind: Limit, UpstreamShare: share, Factor: 0.45}},
	}
	for _, name := range []string{"east", "north", "west"} {
		for _, letter := range []string{"a", "b"} {
			s.Domains = append(s.Domains, Domain{name + "-" + letter, name, 2})
		}
	}
	return s
}
