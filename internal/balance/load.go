package balance

import (
	"math"
	"time"
)

// estimate is the number of requests at an upstream: the own ones, and those of
// other entries. Those are known if the entries tell each other; else they are
// taken from what the upstream last reported, which gives way to the mean as it
// ages.
func (b *Balancer) outstanding(u *upstreamState, now time.Time) float64 {
	if len(b.lastPeerReport) > 0 {
		return float64(u.inFlight + u.peerTotal)
	}
	w := 0.0
	if !u.reportedAt.IsZero() {
		w = math.Exp(-float64(now.Sub(u.reportedAt)) / float64(reportDecay))
	}
	others := w*u.otherLoad + (1-w)*b.meanOtherLoad*float64(u.Slots)
	return float64(u.inFlight) + others
}

// load is the estimate as a share of the slots that may be used. Failures in a
// row count as load, so that one that claims to be idle while requests fail is
// passed over.
func (b *Balancer) load(u *upstreamState, now time.Time) float64 {
	return (b.outstanding(u, now) + float64(u.failures)) / b.usableSlots(u, now)
}

func (b *Balancer) hasSlot(u *upstreamState, now time.Time) bool {
	if now.Before(u.shedUntil) || !u.withinLimit(now) {
		return false
	}
	return b.outstanding(u, now)+1 <= b.usableSlots(u, now)+0.5
}

// slots is how many requests an upstream may have now: fewer while it is cold,
// at least one. One that fails again and again, but may not be ejected because
// too many others are, gets one at a time: enough to see when it is well again,
// while the rest goes to other regions.
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

// updateMean keeps the mean load by others. An upstream without a fresh report
// counts as idle, so that one report of a full one does not fill them all.
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
