// Package balance decides which upstream carries a request.
//
// A Group holds what one entry knows of the upstreams of one service: its own
// requests in flight, the load that the upstreams report, their failures. It
// does no I/O; time and randomness are passed in.
package balance

import (
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

const (
	// reportDecay is the time constant by which a load report loses its weight.
	reportDecay = 2 * time.Second
	// ejectAfter is how many failures in a row eject an upstream.
	ejectionThreshold = 3
	// ejectFirst and ejectLongest bound how long an ejection lasts; it doubles
	// each time.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// maxEjected is the share of a region's upstreams that may be ejected. When
	// most look bad, the measurement is more likely wrong than the upstreams.
	maxEjectionShare = 0.5
	// latencyWeight is the weight of a new sample in the mean latency.
	latencyWeight = 0.1
	// probeEvery is the time between requests that look whether a region most of
	// which failed is well again.
	probeInterval = 100 * time.Millisecond
	// silentAfter is after what time without any answer, beside the expected wait, an
	// upstream with requests under way is taken for dead. It leaves room for cold work
	// of a second: whoever gives an upstream up too soon makes its objects cold elsewhere.
	unresponsiveTimeout = 1200 * time.Millisecond
	// shedFor is how long an upstream that shed load is taken for full. It says
	// nothing about the others.
	shedBackoff = 50 * time.Millisecond
	// peerFresh is after what time without a report a peer counts for nothing.
	peerReportTTL = time.Second
	// drainingFor is how long an upstream's own word that it drains is believed.
	drainTTL = 5 * time.Minute
)

// Errors of Pick.
var (
	// ErrNoSlot reports that every allowed upstream is full.
	ErrNoSlot = errors.New("balance: no free slot")
	// ErrNoUpstream reports that no upstream may be used at all.
	ErrNoUpstream = errors.New("balance: no upstream")
)

// member is the state of one upstream. The Group's lock guards it.
type upstreamState struct {
	model.Upstream
	inFlight int
	// sent counts the own requests.
	sent int64
	// others is the load by other entries at the last report, and reported when
	// that was.
	otherLoad  float64
	reportedAt time.Time
	latency    time.Duration
	failures   int
	// ejections counts ejections without a success between them.
	ejections    int
	ejectedUntil time.Time
	drainUntil   time.Time
	// heardAt is when the upstream last answered, or when the first of the requests
	// under way was sent if that was later.
	lastAnswer time.Time
	// shedUntil is until when an upstream that shed load is taken for full.
	shedUntil time.Time
	// coldSince is when the upstream appeared; zero for one that was there first.
	coldSince time.Time
	// owned is set if the entry is the one that uses the upstream first.
	inSubset bool
	removed  bool
	// restarted is set if the upstream has started again since, with a state of its own.
	restarted bool

	// hash and weight order the upstreams of an object; see place.
	idHash uint64
	weight float64
	// key names the upstream in reports of entries.
	incarnationKey uint32
	// served is when objects were last served, as far as this entry knows.
	lastServed map[uint64]time.Time
	// byPeer is how many requests each peer has at the upstream, atPeers their sum.
	peerRequests map[string]int
	peerTotal    int
	// outcomes are those of the own requests, peerOutcomes those that peers told of.
	outcomes     decayedOutcomes
	peerOutcomes map[string]Outcomes
	// outlierUntil is until when the upstream is passed over for its failures.
	outlierUntil time.Time
	// coldTokens are the requests that may be sent now while the upstream is
	// cold, as of coldAt.
	coldTokens float64
	coldAt     time.Time
	// sender is whether this entry is one of those that send to the upstream while it is
	// cold; nil until it was worked out for the present entries.
	coldSender *bool
	// rate is what is known of the upstream's own limit, bucket keeps to it; nil if there is
	// none. lastBucket is that of the limit before: entries do not see each end of a limit, and
	// go on with the counts of their requests.
	limit              ratelimit.Register
	bucket, lastBucket *ratelimit.Bucket
	// rateUntold is set while others have not been told of what has changed, limitUntold if that
	// is the limit. The last request was counted at spentAt, and all are told of the limit until
	// limitNewsUntil.
	unsent        bool
	limitUnsent   bool
	lastSpent     time.Time
	announceUntil time.Time
}

// Balancer balances one service. It is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	warmup    time.Duration
	byID      map[string]*upstreamState
	upstreams []*upstreamState
	byRegion  map[string][]*upstreamState
	draining  func(u *model.Upstream, now time.Time) bool
	// meanOthers is the mean of others over slots, for upstreams without a
	// fresh report.
	meanOtherLoad float64
	// inFlight counts the own requests per region.
	inFlight map[string]int
	// probeAt is when a region most of which fails may next be tried first.
	nextProbe map[string]time.Time

	// self, home and domain are the id, region and failure domain of this entry, entries those that
	// carry requests.
	self    string
	region  string
	domain  string
	entries []model.Member
	// coldRate bounds the requests to a cold upstream per second from all entries.
	coldRate float64
	// byClass are the times that classes of requests take, meanWork that of all.
	classes         map[string]*classStats
	meanServiceTime time.Duration
	// roundTrip is the time to a region and back.
	roundTrip map[string]time.Duration
	// heard is when each peer last told of its requests.
	lastPeerReport map[string]time.Time

	// limited counts the upstreams with a limit, limitNewsUntil is until when all others are
	// told of one or of its end, and notify is called when some are to hear at once.
	limitedCount  atomic.Int32
	announceUntil time.Time
	notify        func()
	// retired is set once the entry is about to leave.
	retired bool

	scratch scratch
}

// NewBalancer returns an empty Group.
func NewBalancer() *Balancer {
	return &Balancer{
		byID:           make(map[string]*upstreamState),
		inFlight:       make(map[string]int),
		nextProbe:      make(map[string]time.Time),
		classes:        make(map[string]*classStats),
		roundTrip:      make(map[string]time.Duration),
		lastPeerReport: make(map[string]time.Time),
	}
}

// ServiceState is what a Group is brought up to date with.
type ServiceState struct {
	Service *model.Service
	// Draining reports whether an upstream is to get no new work.
	Draining func(*model.Upstream, time.Time) bool
	// Subset are the ids of the upstreams that this entry uses first; see Subset.
	Subset map[string]bool
	// Self is the id of this entry, Home its region, Domain its failure domain,
	// and Entries are those that carry requests.
	Self    string
	Region  string
	Domain  string
	Entries []model.Member
}

// Update takes in a new snapshot of the service. Upstreams that were not in the
// one before are cold, unless it is the first, and so are those that have started again:
// nothing that was known of the earlier life holds. It returns the addresses of these.
func (b *Balancer) Update(in ServiceState, now time.Time) (restarted []string) {
	svc := in.Service
	b.mu.Lock()
	defer b.mu.Unlock()
	first := len(b.byID) == 0
	b.warmup, b.coldRate, b.draining = svc.Warmup, svc.ColdRate, in.Draining
	b.self, b.region, b.domain, b.entries = in.Self, in.Region, in.Domain, in.Entries
	b.byRegion, b.upstreams = make(map[string][]*upstreamState), nil
	seen := make(map[string]bool)
	for _, up := range svc.Upstreams {
		seen[up.ID] = true
		u := b.byID[up.ID]
		if u != nil && up.RestartOf(&u.Upstream) {
			u.restarted = true
			restarted = append(restarted, u.Address)
			b.dropLimit(u)
			u = nil
		}
		if u == nil {
			u = &upstreamState{idHash: xxhash.Sum64String(up.ID), incarnationKey: IncarnationKey(&up)}
			if !first {
				u.coldSince = now
			}
			b.byID[up.ID] = u
		}
		u.Upstream, u.removed, u.inSubset = up, false, in.Subset[up.ID]
		u.coldSender = nil
		b.upstreams = append(b.upstreams, u)
		b.byRegion[up.Region] = append(b.byRegion[up.Region], u)
	}
	for id, u := range b.byID {
		if !seen[id] {
			u.removed = true
			b.dropLimit(u)
			b.removeIfIdle(id, u)
		}
	}
	b.updateLimitSenders(now)
	b.updateWeights(now, in.Region, demandByRegion(in.Entries))
	return restarted
}

// forget drops an upstream that is gone once its last request has ended.
func (b *Balancer) removeIfIdle(id string, u *upstreamState) {
	if u.removed && u.inFlight == 0 {
		delete(b.byID, id)
	}
}

// Request says what a pick has to obey.
type Request struct {
	// Regions are tried in order; the first is the own one.
	Regions []string
	// Allowed reports whether one more request may go to a region where inFlight
	// of this entry are now; nil allows all. It is called with the Group locked.
	Allowed func(region string, inFlight int) bool
	// Tried holds the ids of upstreams that must not be picked again.
	Tried []string
}

// Choice is a picked upstream. Every Choice must be given to Done once.
type Choice struct {
	model.Upstream
	PickedAt time.Time
	// Warm is set if this entry knows that the upstream has the object at hand.
	Warm bool

	// Rank is the upstream's place among those of the object, from 0.
	Rank int
	// Outstanding is how many requests were thought to be at the upstream, and Expected
	// after what time its answer was expected.
	Outstanding     float64
	ExpectedLatency time.Duration

	// class and object are those of an ObjectRequest.
	class  string
	object uint64
	// unqueued is set if the request should have got a slot at once.
	immediate bool
	// to is the upstream's state when it was picked, that of an earlier life if it has
	// started again since.
	state *upstreamState
}

// Pick chooses an upstream and takes one of its slots.
func (b *Balancer) Pick(now time.Time, rnd *rand.Rand, req Request) (Choice, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	usable := false
	for _, region := range b.orderRegions(req.Regions, now) {
		candidates := b.availableInRegion(region, req.Tried, now)
		usable = usable || len(candidates) > 0
		if len(candidates) == 0 || req.Allowed != nil && !req.Allowed(region, b.inFlight[region]) {
			continue
		}
		if u := b.pickPreferred(candidates, now, rnd); u != nil {
			u.inFlight++
			u.sent++
			b.spendLimit(u, now)
			b.inFlight[region]++
			return Choice{Upstream: u.Upstream, PickedAt: now, state: u}, nil
		}
	}
	if usable {
		return Choice{}, ErrNoSlot
	}
	return Choice{}, ErrNoUpstream
}

// candidates returns the upstreams of a region that may get work.
func (b *Balancer) availableInRegion(region string, tried []string, now time.Time) []*upstreamState {
	all := b.byRegion[region]
	out := make([]*upstreamState, 0, len(all))
	for _, u := range all {
		if !u.ejected(now) && !slices.Contains(tried, u.ID) && !b.isDraining(u, now) {
			out = append(out, u)
		}
	}
	return out
}

func (b *Balancer) isDraining(u *upstreamState, now time.Time) bool {
	return now.Before(u.drainUntil) || b.draining(&u.Upstream, now)
}

// choose takes one of the entry's own upstreams that has a free slot, else one of
// the others; nil if all are full. Entries that each begin with different
// upstreams seldom meet at the last slot of one.
func (b *Balancer) pickPreferred(ms []*upstreamState, now time.Time, rnd *rand.Rand) *upstreamState {
	others := ms[:0:0]
	owned := ms[:0:0]
	for _, u := range ms {
		if u.inSubset {
			owned = append(owned, u)
		} else {
			others = append(others, u)
		}
	}
	if u := b.pickLeastLoaded(owned, now, rnd); u != nil {
		return u
	}
	return b.pickLeastLoaded(others, now, rnd)
}

// chooseAmong takes the less loaded of two random upstreams, or the least loaded
// of all if both are full.
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

// Result is how a request at an upstream ended.
type Result uint8

// The results.
const (
	// OK means an answer came.
	OK Result = iota
	// Shed means the upstream refused for load; it is healthy, but full.
	Shed
	// ShedIdle means the upstream refused as if for load, though it had slots to spare.
	// Done finds out. The request may be sent there again.
	ShedIdle
	// Failed means no answer came, or a broken one.
	Failed
	// Unreachable means that not even a connection was to be had. Once is enough
	// for an ejection.
	Unreachable
	// Abandoned means the caller went away or ran out of time with no fault of
	// the upstream to be seen.
	Abandoned
)

// DoneInfo is what one request told of its upstream.
type DoneInfo struct {
	Result Result
	// Load is the requests in flight that the upstream reported, or -1.
	Load int
	// Waiting is how many requests wait there for a slot, or -1.
	Waiting int
	// Draining is set if the upstream said that it drains.
	Draining bool
	// ServerError is set if the answer is the upstream's own failure.
	ServerError bool
	// Bytes is the size of the bodies of the request and the answer, 0 if unknown.
	Bytes int64
	// ConnectTime is how long the connection took to be made; 0 if it was there.
	ConnectTime time.Duration
}

// Done ends a Choice and frees its slot. It returns the result as it counts.
func (b *Balancer) Done(now time.Time, c Choice, r DoneInfo) Result {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := c.state
	if u.restarted {
		b.inFlight[c.Region]--
		return r.Result
	}
	if r.Load >= 0 {
		u.otherLoad = float64(max(0, r.Load-u.inFlight))
		u.reportedAt = now
	}
	u.inFlight--
	b.inFlight[c.Region]--
	if r.Draining {
		u.drainUntil = now.Add(drainTTL)
	}
	if best := b.roundTrip[c.Region]; r.ConnectTime > 0 && (best == 0 || r.ConnectTime < best) {
		b.roundTrip[c.Region] = r.ConnectTime
	}
	if r.Result == Shed && b.shedWithSpareSlots(u, now, c, r) {
		r.Result = ShedIdle
	}
	if r.Result == OK || r.Result == Unreachable {
		u.recordOutcome(now, r.ServerError || r.Result == Unreachable)
	}
	b.recordServiceTime(u, now, c, r)
	b.recordResult(u, now, now.Sub(c.PickedAt), r.Result)
	b.updateMeanLoad(now)
	b.removeIfIdle(c.ID, u)
	return r.Result
}
