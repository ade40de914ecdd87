package balance

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Request holds the constraints of a Pick.
type Request struct {
	// Regions are tried in order; the first is this entry's own region.
	Regions []string
	// Allowed reports whether one more request may go to a region at which this entry has inFlight
	// requests; nil allows all. It is called with the Balancer locked.
	Allowed func(region string, inFlight int) bool
	// Tried holds the IDs of upstreams that must not be picked again.
	Tried []string
}

// Choice is a picked upstream. Every Choice must be passed to Done exactly once.
type Choice struct {
	model.Upstream
	// SendAt is the time at which the request may be sent: the time of the pick, or a later time at
	// which the limit of the upstream has room for it.
	SendAt time.Time
	// Warm is set if the upstream has recently served the object for this entry.
	Warm bool

	// Rank is the upstream's position among the replicas of the object, from 0.
	Rank int
	// Outstanding is the estimated number of requests at the upstream when it was picked, and
	// ExpectedLatency the expected time until its answer.
	Outstanding     float64
	ExpectedLatency time.Duration

	// class and object are those of the ObjectRequest; empty after Pick.
	class  string
	object uint64
	// wait is the expected wait for a slot at the time of the pick.
	wait time.Duration
	// immediate is set if the request was expected to get a slot without waiting.
	immediate bool
	// state is the upstream's state when it was picked. If the upstream has restarted since, this
	// is the state of the earlier incarnation.
	state *upstreamState
}

// Pick chooses an upstream and takes one of its slots. It returns ErrNoSlot if all usable upstreams
// are full, ErrNoUpstream if there is none, or a BackoffError.
func (b *Balancer) Pick(now time.Time, rnd *rand.Rand, req Request) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	choice, usable := b.pickInRegions(now, rnd, req, b.isDraining)
	if !usable {
		choice, usable = b.pickInRegions(now, rnd, req, b.drainedForGood)
	}
	switch {
	case choice.state != nil:
		return choice, nil
	case usable:
		return Choice{}, ErrNoSlot
	}
	return Choice{}, b.noUpstreamError(now, func(u *upstreamState) bool {
		return slices.Contains(req.Regions, u.Region) && !u.ejected(now) && !slices.Contains(req.Tried, u.ID)
	})
}

// pickInRegions picks among the upstreams that excluded does not report. usable is false if there is
// none, and the Choice is empty if none has a free slot.
func (b *Balancer) pickInRegions(now time.Time, rnd *rand.Rand, req Request, excluded func(*upstreamState, time.Time) bool) (choice Choice, usable bool) {
	for _, region := range b.orderRegions(req.Regions, now) {
		candidates := b.availableInRegion(region, req.Tried, now, excluded)
		usable = usable || len(candidates) > 0
		if len(candidates) == 0 || req.Allowed != nil && !req.Allowed(region, b.inFlight[region]) {
			continue
		}
		if u := b.pickPreferred(candidates, now, rnd); u != nil {
			u.inFlight++
			u.sent++
			b.countSend(u, now)
			b.spendLimit(u, now)
			b.inFlight[region]++
			return Choice{Upstream: u.Upstream, SendAt: now, state: u}, true
		}
	}
	return Choice{}, usable
}

// availableInRegion returns the upstreams of a region that may get new requests, without those that
// were tried or are excluded.
func (b *Balancer) availableInRegion(region string, tried []string, now time.Time, excluded func(*upstreamState, time.Time) bool) []*upstreamState {
	all := b.byRegion[region]
	out := make([]*upstreamState, 0, len(all))
	for _, u := range all {
		if !u.ejected(now) && !u.backingOff(now) && !slices.Contains(tried, u.ID) && !excluded(u, now) {
			out = append(out, u)
		}
	}
	return out
}

// isDraining reports whether an upstream drains, by its own announcement or by the configuration.
func (b *Balancer) isDraining(u *upstreamState, now time.Time) bool {
	return b.announcedDrain(u, now) || b.draining(&u.Upstream, now)
}

// drainedForGood reports whether a draining upstream may not even get the requests that no other one
// can take.
func (b *Balancer) drainedForGood(u *upstreamState, now time.Time) bool {
	return b.isDraining(u, now) && !b.inDrainGrace(u, now)
}

// pickPreferred returns an upstream of this entry's subset that has a free slot, else another one;
// nil if all are full. Entries with different subsets seldom compete for the last slot of an
// upstream.
func (b *Balancer) pickPreferred(ms []*upstreamState, now time.Time, rnd *rand.Rand) *upstreamState {
	others := ms[:0:0]
	preferred := ms[:0:0]
	for _, u := range ms {
		if u.inSubset {
			preferred = append(preferred, u)
		} else {
			others = append(others, u)
		}
	}
	if u := b.pickLeastLoaded(preferred, now, rnd); u != nil {
		return u
	}
	return b.pickLeastLoaded(others, now, rnd)
}

// pickLeastLoaded returns the less loaded of two random upstreams (power of two choices). If that
// one is full, it returns the least loaded upstream with a free slot; nil if there is none.
func (b *Balancer) pickLeastLoaded(ms []*upstreamState, now time.Time, rnd *rand.Rand) *upstreamState {
	if len(ms) == 0 {
		return nil
	}
	x, y := ms[rnd.IntN(len(ms))], ms[rnd.IntN(len(ms))]
	if b.load(y, now) < b.load(x, now) {
		x = y
	}
	if b.hasSlot(x, now) {
		return x
	}
	var best *upstreamState
	for _, u := range ms {
		if b.hasSlot(u, now) && (best == nil || b.load(u, now) < b.load(best, now)) {
			best = u
		}
	}
	return best
}
