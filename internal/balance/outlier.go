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
	outlierFailures = 2.5
	outlierShare    = 0.2
	// outlierFor is how long it is passed over before requests try it again.
	outlierFor = 3 * time.Second
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
type recent struct {
	Outcomes
	at time.Time
}

// now returns the outcomes as they count at a later time.
func (r recent) now(now time.Time) Outcomes {
	w := math.Exp(-float64(now.Sub(r.at)) / float64(outcomeDecay))
	return Outcomes{w * r.Failed, w * r.Total}
}

// countOutcome adds one outcome of the own requests.
func (m *member) countOutcome(now time.Time, failed bool) {
	sum := m.outcomes.now(now).plus(Outcomes{Total: 1})
	if failed {
		sum.Failed++
	}
	m.outcomes = recent{sum, now}
	m.judgeOutcomes(now)
}

// judgeOutcomes passes an upstream over for a while if too many requests of all
// entries failed there. An entry of a large fleet sends so few to each upstream that
// its own would not show it, and a health check may be good all the while.
func (m *member) judgeOutcomes(now time.Time) {
	sum := m.outcomes.now(now)
	for _, o := range m.peerOutcomes {
		sum = sum.plus(o)
	}
	if sum.Failed >= outlierFailures && sum.Failed >= outlierShare*sum.Total {
		m.outlierUntil = now.Add(outlierFor)
	}
}

func (m *member) outlying(now time.Time) bool { return now.Before(m.outlierUntil) }

// hearOutcomes takes in what a peer told of its outcomes.
func (m *member) hearOutcomes(now time.Time, peer string, o Outcomes) {
	if o.Failed == 0 {
		delete(m.peerOutcomes, peer)
		return
	}
	if m.peerOutcomes == nil {
		m.peerOutcomes = make(map[string]Outcomes)
	}
	m.peerOutcomes[peer] = o
	m.judgeOutcomes(now)
}

// countedOutcomes sums up the outcomes of the entries that are asked for.
func (m *member) countedOutcomes(whose EntryFilter, now time.Time) Outcomes {
	var sum Outcomes
	if whose.Own {
		sum = m.outcomes.now(now)
	}
	if whose.Peers == nil {
		return sum
	}
	for peer, o := range m.peerOutcomes {
		if whose.Peers(peer) {
			sum = sum.plus(o)
		}
	}
	return sum
}
