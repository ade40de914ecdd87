package rollout

import (
	"fmt"
	"math"
	"time"
)

const (
	// badThreshold is the log-likelihood ratio from which a version is bad. By Wald's bound a
	// version with the tolerated rate of bad answers reaches it once in 10,000 times.
	badThreshold = 9.21
	// minTolerated is the least rate of bad answers that is tolerated: single failures occur at
	// healthy upstreams.
	minTolerated = 0.01
	// toleratedFactor is how many times the rate of bad answers of the other versions is
	// tolerated.
	toleratedFactor = 1.5
	// badExcess is the excess of the rate of bad answers over the tolerated one that must be found.
	badExcess = 0.06
	// minSpread is how many upstreams must have given bad answers: failures of a single upstream
	// say nothing about its version.
	minSpread = 3
	// fastDecay and slowDecay are the time constants with which the weight of the other versions'
	// answers decays. The larger of the two rates counts: the fast one shows at once that all
	// versions fail, the slow one does not forget it before the last such answer of the new
	// version has arrived.
	fastDecay = 500 * time.Millisecond
	slowDecay = 3 * time.Second
	// assumedGood is a number of good answers that is added to those of the other versions, so
	// that a bad one among few is no high rate.
	assumedGood = 10
)

// Judge decides from evidence whether the new version of a rollout is bad. For each route, and for
// all routes together, it makes a cumulative sum test (Page, 1954): it adds up the log-likelihood
// ratio of the new version's answers between a bad and a tolerated rate of bad answers, and starts
// again where the sum is negative, so that a version that turns bad late is found as quickly as one
// that is bad from the start.
type Judge struct {
	routes map[uint32]*cusum
	total  cusum
	reason string
}

// NewJudge returns a Judge without evidence.
func NewJudge() *Judge { return &Judge{routes: make(map[uint32]*cusum)} }

// Observe evaluates the evidence of all entries. upstreams is the number of upstreams of the new
// version. It reports whether the new version is bad; once it is, it stays so.
func (j *Judge) Observe(e Evidence, upstreams int, now time.Time) bool {
	spread := min(minSpread, upstreams)
	j.observe(&j.total, "all routes", e.Total(), spread, now)
	for route, c := range e {
		if j.routes[route] == nil {
			j.routes[route] = new(cusum)
		}
		j.observe(j.routes[route], fmt.Sprintf("route %08x", route), c, spread, now)
	}
	return j.reason != ""
}

// Reason returns the evidence by which the version was found to be bad; empty if it was not.
func (j *Judge) Reason() string { return j.reason }

func (j *Judge) observe(s *cusum, name string, c Counts, spread int, now time.Time) {
	s.add(c, now)
	if j.reason == "" && s.sum >= badThreshold && c.Spread() >= spread {
		j.reason = fmt.Sprintf("%s: %d of %d answers bad, %d of %d at other versions", name, c.NewBad, c.New, c.OldBad, c.Old)
	}
}

// cusum is the state of one cumulative sum test.
type cusum struct {
	sum float64
	// seen holds the largest counts so far. Sums over reporters fall for a while when a reporter
	// is replaced.
	seen Counts
	// fast and slow are the decayed counts of the other versions as of at.
	fast, slow decayed
	at         time.Time
}

// decayed counts answers, whose weight decays exponentially.
type decayed struct{ total, bad float64 }

// add adds answers after a time, and lets the earlier ones decay with a time constant.
func (d *decayed) add(total, bad float64, after, constant time.Duration) {
	w := math.Exp(-float64(after) / float64(constant))
	d.total, d.bad = w*d.total+total, w*d.bad+bad
}

// rate returns the rate of bad answers.
func (d *decayed) rate() float64 { return d.bad / (d.total + assumedGood) }

// add adds the answers since the last call.
func (s *cusum) add(c Counts, now time.Time) {
	news, bad := rise(&s.seen.New, c.New), rise(&s.seen.NewBad, c.NewBad)
	old, oldBad := rise(&s.seen.Old, c.Old), rise(&s.seen.OldBad, c.OldBad)
	s.fast.add(old, oldBad, now.Sub(s.at), fastDecay)
	s.slow.add(old, oldBad, now.Sub(s.at), slowDecay)
	s.at = now
	tolerated := s.toleratedRate()
	excessive := tolerated + badExcess
	good := math.Max(0, news-bad)
	s.sum = math.Max(0, s.sum+bad*math.Log(excessive/tolerated)+good*math.Log((1-excessive)/(1-tolerated)))
}

// toleratedRate returns the rate of bad answers that is tolerated of the new version.
func (s *cusum) toleratedRate() float64 {
	const maxTolerated = 0.9
	rate := max(s.fast.rate(), s.slow.rate())
	return min(maxTolerated, max(minTolerated, toleratedFactor*rate))
}

// rise raises seen to a count and returns the difference, 0 if the count is smaller.
func rise(seen *uint64, count uint64) float64 {
	if count <= *seen {
		return 0
	}
	d := count - *seen
	*seen = count
	return float64(d)
}
