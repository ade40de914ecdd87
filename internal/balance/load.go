package balance

import (
	"math"
	"time"
)

// outstanding returns the estimated number of requests at an upstream: those of this entry and
// those of other entries. The latter are the sum of the peers' reports if there are any. Otherwise
// they are taken from the upstream's last load report, which gives way to the mean load as it ages.
func (b *Balancer) outstanding(u *upstreamState, now time.Time) float64 {
	if len(b.lastPeerReport) > 0 {
		return float64(u.inFlight + u.peerRequests.total)
	}
	w := 0.0
	if !u.reportedAt.IsZero() {
		w = math.Exp(-float64(now.Sub(u.reportedAt)) / float64(reportDecay))
	}
	others := w*u.otherLoad + (1-w)*b.meanOtherLoad*float64(u.Slots)
	return float64(u.inFlight) + others
}

// OutstandingOutside returns the estimated number of requests at the upstreams of all versions but
// one.
func (b *Balancer) OutstandingOutside(version string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, u := range b.byID {
		if u.Version != version {
			n += u.inFlight + u.peerRequests.total
		}
	}
	return n
}

// load returns the estimated requests as a share of the usable slots. Consecutive failures count as
// load, so that an upstream that reports no load while its requests fail is avoided.
func (b *Balancer) load(u *upstreamState, now time.Time) float64 {
	return (b.outstanding(u, now) + float64(u.failures)) / b.usableSlots(u, now)
}

// hasSlot reports whether an upstream has a free slot, and room in its limit, for one more
// request.
func (b *Balancer) hasSlot(u *upstreamState, now time.Time) bool {
	if now.Before(u.shedUntil) || u.awaitsRecovery(now) || !u.withinLimit(now) {
		return false
	}
	return b.outstanding(u, now)+1 <= b.usableSlots(u, now)+0.5
}

// usableSlots returns how many requests an upstream may have now: at least one, and fewer than its
// slots while it warms up. An upstream that fails repeatedly, but may not be ejected because too
// many others are, gets one request at a time. That detects its recovery while the other requests
// go to other regions.
func (b *Balancer) usableSlots(u *upstreamState, now time.Time) float64 {
	if u.failures >= ejectionThreshold {
		return 1
	}
	full := float64(max(u.Slots, 1))
	if u.coldSince.IsZero() || b.warmup <= 0 {
		return full
	}
	warm := float64(now.Sub(u.coldSince)) / float64(b.warmup)
	return max(1, full*min(warm, 1))
}

// updateMeanLoad recomputes the mean load by other entries. An upstream without a recent report
// counts as idle, so that the report of a single full upstream does not make all others seem full.
func (b *Balancer) updateMeanLoad(now time.Time) {
	var others, slots float64
	for _, u := range b.upstreams {
		slots += float64(max(u.Slots, 1))
		if !u.reportedAt.IsZero() && now.Sub(u.reportedAt) < reportDecay {
			others += u.otherLoad
		}
	}
	b.meanOtherLoad = 0
	if slots > 0 {
		b.meanOtherLoad = others / slots
	}
}
