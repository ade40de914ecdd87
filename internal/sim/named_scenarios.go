package sim

import (
	"fmt"
	"time"
)

// Scenarios are the loads by name that each answer one question.
var Scenarios = map[string]func() *Scenario{
	"calm":           func() *Scenario { return regional(0.4) },
	"heavy":          func() *Scenario { return regional(0.75) },
	"emptied-domain": emptiedDomain,
	"idle-sheds":     idleSheds,
	"burst":          burst,
	"limits-some":    func() *Scenario { return limits(0.5) },
	"limits-all":     func() *Scenario { return limits(1) },
}

// regional is a deployment of three regions of two failure domains each, one of which
// has only a fifth of the upstreams of the others. Load is a part of what all slots
// could bear if all work were warm.
func regional(load float64) *Scenario {
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

// emptiedDomain empties a failure domain with a quarter of the upstreams, in a region
// that has twice the capacity that it asks for.
func emptiedDomain() *Scenario {
	s := regional(0.6)
	s.Events = []Event{{At: 6 * time.Second, Duration: 10 * time.Second, Kind: Drain, Domain: 4}}
	return s
}

// idleSheds has every second upstream refuse half of its requests for no reason.
func idleSheds() *Scenario {
	s := regional(0.5)
	s.Events = []Event{{At: 6 * time.Second, Duration: 10 * time.Second, Kind: ShedIdle, UpstreamShare: 0.5, Factor: 0.5}}
	return s
}

// burst has half as many requests again for a while.
func burst() *Scenario {
	s := regional(0.6)
	s.Events = []Event{{At: 6 * time.Second, Duration: 6 * time.Second, Kind: Burst, Factor: 1.5}}
	return s
}

// limits has a share of the upstreams take less than half of what they get. The others have
// slots for the rest, but not for its objects as well.
func limits(share float64) *Scenario {
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
