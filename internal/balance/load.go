package balance

import (
	"math"
	"time"
)

// estimate is the number of requests at an upstream: the own ones, and those of
// other entries. Those are known if the entries tell each other; else they are
// taken from what the upstream last reported, which gives way to the mean as it
// ages.
func (g *Balancer) estimate(m *member, now time.Time) float64 {
	if len(g.heard) > 0 {
		return float64(m.inFlight + m.atPeers)
	}
	w := 0.0
	if !m.reported.IsZero() {
		w = math.Exp(-float64(now.Sub(m.reported)) / float64(reportDecay))
	}
	others := w*m.others + (1-w)*g.meanOthers*float64(m.Slots)
	return float64(m.inFlight) + others
}

// load is the estimate as a share of the slots that may be used. Failures in a
// row count as load, so that one that claims to be idle while requests fail is
// passed over.
func (g *Balancer) load(m *member, now time.Time) float64 {
	return (g.estimate(m, now) + float64(m.failures)) / g.slots(m, now)
}

func (g *Balancer) hasSlot(m *member, now time.Time) bool {
	if now.Before(m.shedUntil) || !m.withinRate(now) {
		return false
	}
	return g.estimate(m, now)+1 <= g.slots(m, now)+0.5
}

// slots is how many requests an upstream may have now: fewer while it is cold,
// at least one. One that fails again and again, but may not be ejected because
// too many others are, gets one at a time: enough to see when it is well again,
// while the rest goes to other regions.
func (g *Balancer) slots(m *member, now time.Time) float64 {
	if m.failures >= ejectAfter {
		return 1
	}
	full := float64(max(m.Slots, 1))
	if m.coldSince.IsZero() || g.warmup <= 0 {
		return full
	}
	warm := float64(now.Sub(m.coldSince)) / float64(g.warmup)
	return max(1, full*min(warm, 1))
}

// updateMean keeps the mean load by others. An upstream without a fresh report
// counts as idle, so that one report of a full one does not fill them all.
func (g *Balancer) updateMean(now time.Time) {
	var others, slots float64
	for _, m := range g.all {
		slots += float64(max(m.Slots, 1))
		if !m.reported.IsZero() && now.Sub(m.reported) < reportDecay {
			others += m.others
		}
	}
	g.meanOthers = 0
	if slots > 0 {
		g.meanOthers = others / slots
	}
}
