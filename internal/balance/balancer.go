// Package balance decides which upstream carries a request.
//
// A Balancer holds what one entry has measured and received about the upstreams of one service: its
// own requests in flight, the load that the upstreams and the other entries report, and failures.
// The package does no I/O; callers pass in time and randomness.
package balance

import (
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

const (
	// reportDecay is the time constant with which the weight of a load report decays exponentially.
	reportDecay = 2 * time.Second
	// ejectionThreshold is the number of consecutive failures that ejects an upstream.
	ejectionThreshold = 3
	// baseEjectionTime is the length of the first ejection. Each further ejection without a success
	// in between lasts twice as long, up to maxEjectionTime.
	baseEjectionTime = time.Second
	maxEjectionTime  = 30 * time.Second
	// maxEjectionShare is the largest share of a region's upstreams that may be ejected. When most
	// upstreams seem to fail, the measurement is more likely wrong than the upstreams.
	maxEjectionShare = 0.5
	// latencyWeight is the weight of a new sample in the moving average of the latency.
	latencyWeight = 0.1
	// probeInterval is the time between requests that probe whether a region whose upstreams mostly
	// fail has recovered.
	probeInterval = 100 * time.Millisecond
	// unresponsiveTimeout is the time without any answer, in addition to the expected wait for a
	// slot, after which an upstream with requests in flight is treated as unresponsive. It allows
	// for one second of work on a cold object: giving up an upstream too early moves its objects to
	// upstreams that are cold for them.
	unresponsiveTimeout = 1200 * time.Millisecond
	// shedBackoff is how long an upstream is treated as full after it shed a request. Other
	// upstreams are not affected.
	shedBackoff = 50 * time.Millisecond
	// peerReportTTL is the time without a report after which the reports of a peer are dropped.
	peerReportTTL = time.Second
)

// Errors of Pick and PickObject. BackoffError is another.
var (
	// ErrNoSlot reports that every allowed upstream is full.
	ErrNoSlot = errors.New("balance: no free slot")
	// ErrNoUpstream reports that no upstream may be used at all.
	ErrNoUpstream = errors.New("balance: no upstream")
)

// upstreamState is the state of one upstream. The lock of the Balancer guards it.
type upstreamState struct {
	model.Upstream
	inFlight int
	// endedAt is when a request of this entry ended that no other has replaced yet.
	endedAt time.Time
	// sent counts the requests that this entry has sent.
	sent int64
	// otherLoad is the number of requests of other entries as of the last load report, which came
	// at reportedAt.
	otherLoad  float64
	reportedAt time.Time
	// latency is the moving average of the latency, 0 before the first answer. failures counts the
	// consecutive failures.
	latency  time.Duration
	failures int
	// ejections counts the ejections since the last success.
	ejections    int
	ejectedUntil time.Time
	// announced is what the upstream has announced about whether it accepts requests.
	announced availability
	// lastAnswer is the time of the last answer, or the time at which the oldest request in flight
	// was sent if that is later.
	lastAnswer time.Time
	// shedUntil is the time until which the upstream is treated as full after it shed load.
	shedUntil time.Time
	// coldSince is when the upstream was added; zero for upstreams of the first update.
	coldSince time.Time
	// updatedIn is the number of the last update that held the upstream.
	updatedIn uint64
	// inSubset is set if the upstream is in this entry's subset, which the entry uses first.
	inSubset bool
	removed  bool
	// restarted is set if the upstream has restarted since. The new incarnation has an
	// upstreamState of its own.
	restarted bool

	// idHash is the hash of the upstream's ID. Together with weight it determines the upstream's
	// position in the order of each object; see score.
	idHash uint64
	weight float64
	// incarnationKey identifies the upstream's incarnation in reports of entries.
	incarnationKey uint32
	// lastServed holds the last time at which the upstream served an object for this entry, by hash
	// of the object.
	lastServed map[uint64]time.Time
	// peerRequests holds the number of requests that each peer has in flight at the upstream,
	// peerBackoffs, by the reporting peer, that of entries that the upstream has asked to send nothing.
	peerRequests, peerBackoffs peerCounts
	// outcomes counts the outcomes of this entry's requests, peerOutcomes those that peers
	// reported.
	outcomes     decayedOutcomes
	peerOutcomes map[string]Outcomes
	// outlierUntil is the time until which the upstream is skipped because of its failures.
	outlierUntil time.Time
	// slowdown is how many times as long as usual work took at slowdownAt, by the upstream's report.
	slowdown   float64
	slowdownAt time.Time
	// relativeTime is the mean of how many times as long as usual this entry's requests took at the
	// upstream, 0 before the first.
	relativeTime float64
	// coldTokens is the number of requests that may be sent while the upstream is cold, as of
	// coldAt.
	coldTokens float64
	coldAt     time.Time
	// coldSender says whether this entry may send to the upstream while the upstream is cold; nil
	// until computed for the current entries.
	coldSender *bool
	// limit is the limit that the upstream announced, and bucket enforces it; bucket is nil if
	// there is no limit. lastBucket is the bucket of the previous limit: entries do not observe
	// every end of a limit and continue with the counts of their earlier requests.
	limit              ratelimit.Register
	bucket, lastBucket *ratelimit.Bucket
	// unsent is set while a change has not been sent to other entries, limitUnsent if that change
	// is one of the limit. lastSpent is when a request was last counted against the limit. The
	// limit is sent to all entries until announceUntil.
	unsent        bool
	limitUnsent   bool
	lastSpent     time.Time
	announceUntil time.Time
}

// Balancer balances the requests of one service at one entry. It is safe for concurrent use.
type Balancer struct {
	mu        sync.Mutex
	warmup    time.Duration
	byID      map[string]*upstreamState
	upstreams []*upstreamState
	byRegion  map[string][]*upstreamState
	// updates counts the calls of Update.
	updates  uint64
	draining func(u *model.Upstream, now time.Time) bool
	// meanOtherLoad is the mean load by other entries per slot. It stands in for upstreams without
	// a recent report.
	meanOtherLoad float64
	// inFlight counts this entry's requests in flight per region.
	inFlight map[string]int
	// nextProbe is the earliest time of the next probe of a region whose upstreams mostly fail.
	nextProbe map[string]time.Time

	// self, region and domain are the ID, region and failure domain of this entry. entries are the
	// entries that carry requests.
	self string
	// selfHash is the hash of self.
	selfHash uint64
	region   string
	domain   string
	entries  []model.Member
	// coldRate is the limit on the requests per second that all entries together send to a cold
	// upstream.
	coldRate float64
	// classes holds the statistics of each class of requests. meanServiceTime is the mean service
	// time over all classes.
	classes         map[string]*classStats
	meanServiceTime time.Duration
	// roundTrip is the shortest measured network round trip to each region.
	roundTrip map[string]time.Duration
	// lastPeerReport is the time of the last report of each peer.
	lastPeerReport map[string]time.Time

	// limitedCount counts the upstreams with a limit. Until announceUntil there is a new or ended
	// limit to send to all entries. notify is called when other entries must be sent an update at
	// once.
	limitedCount  atomic.Int32
	announceUntil time.Time
	notify        func()
	// excluded is set while the other entries do not count this one as a member; see SetMember.
	excluded bool

	// routed is set if requests select the service by a route. weightsStale is set if the weights of
	// the upstreams are to be computed again.
	routed       bool
	weightsStale bool
	// turningAwayUntil is the time until which some upstreams are expected to turn requests away.
	turningAwayUntil time.Time
	// retained holds the announcements of upstreams that have left the service, by incarnation.
	retained      map[uint32]retainedAvailability
	announcements AnnouncementCounts

	// plan is the decision about the shares of regions. hasObjects is set once a request has had an
	// object.
	plan       sharePlan
	hasObjects bool
	// measuredWork is the time for which measuredRequests requests held slots since TakeWork.
	measuredWork     time.Duration
	measuredRequests int
	// lastRoom is the room as of lastRoomAt; fullUntil is the time until which the service counts as
	// full.
	lastRoom   Room
	lastRoomAt time.Time
	fullUntil  time.Time
	// pressedUntil is the time until which the demand for the service is reported; see Pressed.
	pressedUntil time.Time

	scratch scratch
}

// NewBalancer returns a Balancer without upstreams.
func NewBalancer() *Balancer {
	return &Balancer{
		byID:           make(map[string]*upstreamState),
		inFlight:       make(map[string]int),
		nextProbe:      make(map[string]time.Time),
		classes:        make(map[string]*classStats),
		roundTrip:      make(map[string]time.Duration),
		lastPeerReport: make(map[string]time.Time),
		retained:       make(map[uint32]retainedAvailability),
	}
}

// ServiceState is the configuration of a service and its entries, as passed to Balancer.Update.
type ServiceState struct {
	Service *model.Service
	// Draining reports whether an upstream must get no new requests.
	Draining func(*model.Upstream, time.Time) bool
	// Subset holds the IDs of the upstreams that this entry uses first; see the function Subset.
	Subset map[string]bool
	// Self, Region and Domain are the ID, region and failure domain of this entry. Entries are the
	// entries that carry requests.
	Self    string
	Region  string
	Domain  string
	Entries []model.Member
	// JoinedSince is the earliest time at which upstreams that the last update did not hold may have
	// joined; zero if they have joined now.
	JoinedSince time.Time
}

// Update applies a new snapshot of the service. Upstreams that the previous snapshot did not hold
// are cold, except in the first update. Restarted upstreams are cold as well, and their earlier
// state is dropped. Update returns the addresses of the restarted upstreams.
func (b *Balancer) Update(in ServiceState, now time.Time) (restarted []string) {
	svc := in.Service
	b.mu.Lock()
	defer b.mu.Unlock()
	first := len(b.byID) == 0
	b.warmup, b.coldRate, b.draining = svc.Warmup, svc.ColdRate, in.Draining
	b.routed = svc.Routed
	b.selfHash = xxhash.Sum64String(in.Self)
	b.self, b.region, b.domain, b.entries = in.Self, in.Region, in.Domain, in.Entries
	b.upstreams = make([]*upstreamState, 0, len(svc.Upstreams))
	b.byRegion = emptyLists(b.byRegion)
	b.updates++
	for i := range svc.Upstreams {
		up := &svc.Upstreams[i]
		u := b.byID[up.ID]
		if u != nil && up.RestartOf(&u.Upstream) {
			u.restarted = true
			restarted = append(restarted, u.Address)
			b.dropLimit(u)
			u = nil
		}
		if u == nil {
			u = &upstreamState{idHash: xxhash.Sum64String(up.ID), incarnationKey: IncarnationKey(up)}
			u.announced = b.restore(u.incarnationKey)
			if !first {
				u.coldSince = in.joinedSince(now)
			}
			b.byID[up.ID] = u
		}
		u.Upstream, u.removed, u.inSubset = *up, false, in.Subset[up.ID]
		u.updatedIn = b.updates
		u.coldSender = nil
		b.upstreams = append(b.upstreams, u)
		b.byRegion[up.Region] = append(b.byRegion[up.Region], u)
	}
	for id, u := range b.byID {
		if u.updatedIn != b.updates {
			u.removed = true
			b.dropLimit(u)
			b.removeIfIdle(id, u, now)
		}
	}
	b.expireRetained(now)
	b.updateLimitSenders(now)
	b.updateWeights(now)
	return restarted
}

// joinedSince returns JoinedSince, or now if it is zero. Whether an upstream that may have joined a
// while ago is still cold, its own entry says.
func (in *ServiceState) joinedSince(now time.Time) time.Time {
	if in.JoinedSince.IsZero() {
		return now
	}
	return in.JoinedSince
}

// emptyLists returns empty lists by region, each with the capacity for as many upstreams as before.
func emptyLists(before map[string][]*upstreamState) map[string][]*upstreamState {
	out := make(map[string][]*upstreamState, len(before))
	for region, list := range before {
		out[region] = make([]*upstreamState, 0, len(list)+1)
	}
	return out
}

// removeIfIdle deletes an upstream that has left the service once its last request has ended.
func (b *Balancer) removeIfIdle(id string, u *upstreamState, now time.Time) {
	if u.removed && u.inFlight == 0 {
		b.retain(u, now)
		delete(b.byID, id)
	}
}
