package balance

import (
	"math"
	"time"
)

const (
	// outcomeDecay is the time constant by which outcomes are forgotten.
	outcomeDecay = 2 * time.Second
	// outlierFailures is how many recent failures, as counted by all entries together,
	// and outlierShare what share of the outcomes they must be, for an upstream to be
	// passed over. Healthy ones fail a request in a thousand.
	outlierMinFailures  = 2.5
	outlierFailureShare = 0.2
	// outlierFor is how long it is passed over before requests try it again.
	outlierDuration = 3 * time.Second
)

// Outcomes counts how recent requests to an upstream ended. Answers that broke off or
// never came do not count: they may be lost on the way, at an upstream that is well,
// and its objects would be cold elsewhere.
type Outcomes struct {
	// Failed are those that got the upstream's own failure or no connection, Total
	// all.
	Failed, Total float64
}

func (o Outcomes) plus(p Outcomes) Outcomes {
	return Outcomes{o.Failed + p.Failed, o.Total + p.Total}
}

// recent are outcomes as of a time.
type decayedOutcomes struct {
	Outcomes
	at time.Time
}

// now returns the outcomes as they count at a later time.
func (r decayedOutcomes) decayedTo(now time.Time) Outcomes {
	w := math.Exp(-float64(now.Sub(r.at)) / float64(outcomeDecay))
	return Outcomes{w * r.Failed, w * r.Total}
}

// countOutcome adds one outcome of the own requests.
func (u *upstreamState) recordOutcome(now time.Time, failed bool) {
	sum := u.outcomes.decayedTo(now).plus(Outcomes{Total: 1})
	if failed {
		sum.Failed++
	}
	u.outcomes = decayedOutcomes{sum, now}
	u.detectOutlier(now)
}

// judgeOutcomes passes an upstream over for a while if too many requests of all
// entries failed there. An entry of a large fleet sends so few to each upstream that
// its own would not show it, and a health check may be good all the while.
func (u *upstreamState) detectOutlier(now time.Time) {
	sum := u.outcomes.decayedTo(now)
	for _, o := range u.peerOutcomes {
		sum = sum.plus(o)
	}
	if sum.Failed >= outlierMinFailures && sum.Failed >= outlierFailureShare*sum.Total {
		u.outlierUntil = now.Add(outlierDuration)
	}
}

func (u *upstreamState) isOutlier(now time.Time) bool { return now.Before(u.outlierUntil) }

// hearOutcomes takes in what a peer told of its outcomes.
func (u *upstreamState) setPeerOutcomes(now time.Time, peer string, o Outcomes) {
	if o.Failed == 0 {
		delete(u.peerOutcomes, peer)
		return
	}
	if u.peerOutcomes == nil {
		u.peerOutcomes = make(map[string]Outcomes)
	}
	u.peerOutcomes[peer] = o
	u.detectOutlier(now)
}

// countedOutcomes sums up the outcomes of the entries that are asked for.
func (u *upstreamState) filteredOutcomes(whose EntryFilter, now time.Time) Outcomes {
	var sum Outcomes
	if whose.Own {
		sum = u.outcomes.decayedTo(now)
	}
	if whose.Peers == nil {
		return sum
	}
	for peer, o := range u.peerOutcomes {
		if whose.Peers(peer) {
			sum = sum.plus(o)
		}
	}
	return sum
}
