package balance

import (
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Latency returns the mean latency over the upstreams of a region that have
// answered, or 0.
func (g *Balancer) Latency(region string) time.Duration {
	g.mu.Lock()
	defer g.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, m := range g.regions[region] {
		if m.latency > 0 {
			sum += m.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// LastReport returns when an upstream of a region last reported its load, or the zero
// time.
func (g *Balancer) LastReport(region string) time.Time {
	g.mu.Lock()
	defer g.mu.Unlock()
	var last time.Time
	for _, m := range g.regions[region] {
		if m.reported.After(last) {
			last = m.reported
		}
	}
	return last
}

// SelfDraining returns the ids of the upstreams that said that they drain.
func (g *Balancer) SelfDraining(now time.Time) []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var ids []string
	for _, m := range g.all {
		if now.Before(m.drainUntil) {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// InFlight returns the own requests in flight at a region's upstreams.
func (g *Balancer) InFlight(region string) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.inFlight[region]
}

// Status is the state of one upstream, for dumps.
type Status struct {
	model.Upstream
	InFlight int           `json:"in_flight"`
	Sent     int64         `json:"sent"`
	Estimate float64       `json:"estimate"`
	Latency  time.Duration `json:"latency_ns"`
	Failures int           `json:"failures"`
	Ejected  bool          `json:"ejected"`
	Draining bool          `json:"draining"`
}

// Dump returns the state of all upstreams.
func (g *Balancer) Dump(now time.Time) []Status {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Status
	for _, m := range g.byID {
		out = append(out, Status{m.Upstream, m.inFlight, m.sent, g.estimate(m, now), m.latency, m.failures, m.ejected(now), g.leaves(m, now)})
	}
	return out
}
