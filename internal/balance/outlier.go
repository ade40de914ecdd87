package balance

import (
	"math"
	"time"
)

const (
	// outcomeDecay is the time constant with which the weight of outcomes decays exponentially.
	outcomeDecay = 2 * time.Second
	// outlierMinFailures is the number of recent failures over all entries, and outlierFailureShare
	// the share of failures in all outcomes, from which an upstream is an outlier. Healthy
	// upstreams fail one request in a thousand.
	outlierMinFailures  = 2.5
	outlierFailureShare = 0.2
	// outlierDuration is how long an outlier is skipped before requests try it again.
	outlierDuration = 3 * time.Second
)

// Outcomes counts how recent requests to an upstream ended; the counts decay over time. Missing or
// incomplete answers do not count: they may be lost on the way from a healthy upstream, and
// skipping it would move its objects to upstreams that are cold for them.
type Outcomes struct {
	// Failed counts answers with a failure of the upstream itself and failed connections, Total
	// these and all other answers.
	Failed, Total float64
}

// plus returns the sum of two counts.
func (o Outcomes) plus(p Outcomes) Outcomes {
	return Outcomes{o.Failed + p.Failed, o.Total + p.Total}
}

// decayedOutcomes holds outcomes as of a point in time.
type decayedOutcomes struct {
	Outcomes
	at time.Time
}

// decayedTo returns the outcomes weighted for a later time.
func (r decayedOutcomes) decayedTo(now time.Time) Outcomes {
	w := math.Exp(-float64(now.Sub(r.at)) / float64(outcomeDecay))
	return Outcomes{w * r.Failed, w * r.Total}
}

// recordOutcome adds the outcome of one of this entry's requests.
func (u *upstreamState) recordOutcome(now time.Time, failed bool) {
	sum := u.outcomes.decayedTo(now).plus(Outcomes{Total: 1})
	if failed {
		sum.Failed++
	}
	u.outcomes = decayedOutcomes{sum, now}
	u.detectOutlier(now)
}

// detectOutlier marks an upstream as an outlier for outlierDuration if too many requests of all
// entries failed at it. An entry of a large fleet sends too few requests to each upstream to detect
// this from its own outcomes, and health checks may succeed all the while.
func (u *upstreamState) detectOutlier(now time.Time) {
	sum := u.outcomes.decayedTo(now)
	for _, o := range u.peerOutcomes {
		sum = sum.plus(o)
	}
	if sum.Failed >= outlierMinFailures && sum.Failed >= outlierFailureShare*sum.Total {
		u.outlierUntil = now.Add(outlierDuration)
	}
}

// isOutlier reports whether the upstream is skipped for its failures.
func (u *upstreamState) isOutlier(now time.Time) bool { return now.Before(u.outlierUntil) }

// setPeerOutcomes replaces the outcomes that a peer reported; if it reports no failure any more, they
// are removed.
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

// filteredOutcomes returns the sum of the outcomes of the selected entries.
func (u *upstreamState) filteredOutcomes(filter EntryFilter, now time.Time) Outcomes {
	var sum Outcomes
	if filter.Own && !filter.OmitOwnOutcomes {
		sum = u.outcomes.decayedTo(now)
	}
	if filter.Peers == nil {
		return sum
	}
	for peer, o := range u.peerOutcomes {
		if filter.Peers(peer) {
			sum = sum.plus(o)
		}
	}
	return sum
}
