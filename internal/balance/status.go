package balance

import (
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Latency returns the mean latency over the upstreams of a region that have answered, or 0 if none
// has.
func (b *Balancer) Latency(region string) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	var sum time.Duration
	n := 0
	for _, u := range b.byRegion[region] {
		if u.latency > 0 {
			sum += u.latency
			n++
		}
	}
	if n == 0 {
		return 0
	}
	return sum / time.Duration(n)
}

// LastReport returns the time of the last load report of any upstream of a region, or the zero
// time.
func (b *Balancer) LastReport(region string) time.Time {
	b.mu.Lock()
	defer b.mu.Unlock()
	var last time.Time
	for _, u := range b.byRegion[region] {
		if u.reportedAt.After(last) {
			last = u.reportedAt
		}
	}
	return last
}

// SelfDraining returns the IDs of the upstreams that have announced that they drain.
func (b *Balancer) SelfDraining(now time.Time) []string {
	b.mu.Lock()
	defer b.mu.Unlock()
	var ids []string
	for _, u := range b.upstreams {
		if b.announcedDrain(u, now) {
			ids = append(ids, u.ID)
		}
	}
	return ids
}

// InFlight returns the number of this entry's requests in flight at a region's upstreams.
func (b *Balancer) InFlight(region string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.inFlight[region]
}

// Status is the state of one upstream, for dumps.
type Status struct {
	model.Upstream
	// InFlight and Sent count this entry's requests. Estimate is the estimated number of requests
	// of all entries at the upstream.
	InFlight int           `json:"in_flight"`
	Sent     int64         `json:"sent"`
	Estimate float64       `json:"estimate"`
	Latency  time.Duration `json:"latency_ns"`
	Failures int           `json:"failures"`
	Ejected  bool          `json:"ejected"`
	Draining bool          `json:"draining"`
	// BackoffMillis is the time in milliseconds for which the upstream wants no requests from this
	// entry, Recovering is set until it has served one after that.
	BackoffMillis int64 `json:"backoff_ms,omitempty"`
	Recovering    bool  `json:"recovering,omitempty"`
}

// Dump returns the state of all upstreams, in no particular order.
func (b *Balancer) Dump(now time.Time) []Status {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []Status
	for _, u := range b.byID {
		out = append(out, Status{u.Upstream, u.inFlight, u.sent, b.outstanding(u, now), u.latency, u.failures, u.ejected(now), b.isDraining(u, now),
			max(0, u.announced.backoffUntil.Sub(now).Milliseconds()), u.recovering(now)})
	}
	return out
}
