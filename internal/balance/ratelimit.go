package balance

import (
	"fmt"
	"math"
	"time"

	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

const (
	// maxSenders is how many entries at most share the limit of an upstream. Each tells each
	// other one of its requests.
	maxLimitSenders = 16
	// rateNewsFor is how long a change is told again and again.
	announcePeriod = time.Second
)

// RateLimit is what an answer says of the requests that its upstream takes.
type RateLimit struct {
	// Known is set if the answer tells, by naming a limit or by naming none.
	Known bool
	// PerSecond is the limit over all entries, or ratelimit.Unlimited.
	PerSecond float64
}

// LimitError reports that upstreams might take the request but for the limits that they name.
type LimitError struct {
	// Upstream is the one that may take a request first, PerSecond its limit.
	Upstream   string
	PerSecond  float64
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("balance: limit of %v requests a second at %s, the next in %v", e.PerSecond, e.Upstream, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrNoSlot, of which a LimitError is a kind.
func (e *LimitError) Unwrap() error { return ErrNoSlot }

// LimitUpdate is what an entry knows of the limit of an upstream.
type LimitUpdate struct {
	// Upstream is as LifeKey gives it.
	Upstream uint32
	// PerSecond is the limit, or ratelimit.Unlimited, and Version that of the value.
	PerSecond float64
	Version   uint32
	// Sent is how many requests the entry has sent there since it has known a limit.
	Sent uint32
	// Senders are the ids of the other entries that may send, and Changed is set if nobody was
	// told of the limit yet. They are not told to others.
	Senders []string
	Changed bool
}

// OnLimitUpdate has a function called when others are to hear at once of a request to an upstream
// with a limit, or of a limit that has changed. It must be quick.
func (b *Balancer) OnLimitUpdate(notify func()) { b.notify = notify }

// ObserveLimit takes in what the answer to a Choice says of its upstream's limit. It reports whether
// that has changed.
func (b *Balancer) ObserveLimit(now time.Time, c Choice, r RateLimit) bool {
	if !r.Known || r.PerSecond == ratelimit.Unlimited && b.limitedCount.Load() == 0 {
		return false
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	u := c.state
	if u.restarted || u.removed || !u.limit.Observe(ratelimit.Round(r.PerSecond), c.PickedAt, now) {
		return false
	}
	b.applyLimit(u, now)
	return true
}

// limitChanged brings the bucket of an upstream up to its limit.
func (b *Balancer) applyLimit(u *upstreamState, now time.Time) {
	limited := u.limit.Limited()
	switch {
	case !limited && u.bucket != nil:
		u.bucket, u.lastBucket = nil, u.bucket
		b.limitedCount.Add(-1)
	case limited && u.bucket == nil:
		u.bucket = u.lastBucket
		if u.bucket == nil {
			u.bucket = ratelimit.NewBucket(now)
		}
		u.bucket.SetRate(u.limit.PerSecond(), now)
		u.bucket.SetSenders(b.self, b.limitSenders(u), now)
		u.bucket.DiscardTokens(now)
		b.limitedCount.Add(1)
	case limited:
		u.bucket.SetRate(u.limit.PerSecond(), now)
	}
	b.announceLimit(u, now)
	u.limitUnsent = true
	b.notifyUpdate(u)
}

// tellLimit has all others told of a limit for a while.
func (b *Balancer) announceLimit(u *upstreamState, now time.Time) {
	u.announceUntil = now.Add(announcePeriod)
	b.announceUntil = u.announceUntil
}

// hasRateNews has others told of an upstream at once.
func (b *Balancer) notifyUpdate(u *upstreamState) {
	u.unsent = true
	if b.notify != nil {
		b.notify()
	}
}

// dropLimit forgets the limit of a life that is over.
func (b *Balancer) dropLimit(u *upstreamState) {
	if u.bucket != nil {
		u.bucket = nil
		b.limitedCount.Add(-1)
	}
}

// setSenders brings the senders of the upstreams with limits up to date.
func (b *Balancer) updateLimitSenders(now time.Time) {
	if b.limitedCount.Load() == 0 {
		return
	}
	for _, u := range b.upstreams {
		if u.bucket != nil {
			u.bucket.SetSenders(b.self, b.limitSenders(u), now)
		}
	}
}

// senders returns the ids of the entries that share the limit of an upstream, the nearest. All
// entries work out the same.
func (b *Balancer) limitSenders(u *upstreamState) []string {
	if b.retired {
		return nil
	}
	order := b.nearestEntries(u)
	var ids []string
	for _, e := range order[:min(len(order), maxLimitSenders)] {
		ids = append(ids, e.ID)
	}
	return ids
}

// Retire takes this entry from the senders of all upstreams with limits, as it is about to
// leave and others do not hear of its requests any more.
func (b *Balancer) Retire(now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.retired = true
	b.updateLimitSenders(now)
}

// withinRate reports whether the limit of an upstream leaves room for one more request of this
// entry.
func (u *upstreamState) withinLimit(now time.Time) bool {
	return u.bucket == nil || u.bucket.Wait(now) == 0
}

// markHome marks which of the candidates of an object, in its order, is its home: the first, if it
// is in the region of this entry. A request without an object is at home in the whole region.
func (b *Balancer) markSpillover(cs []candidate, spread bool) []candidate {
	for i := range cs {
		cs[i].spills = i > 0 && !spread || cs[i].state.Region != b.region
	}
	return cs
}

// rateWait returns after what time the limit of a candidate leaves room for a request of this
// entry; 0 if it does now. A request that belongs elsewhere gets only what the upstream's own
// objects leave: it would take the place of one of these, and its object would be at hand at
// neither.
func (c candidate) limitWait(now time.Time) time.Duration {
	switch {
	case c.state.bucket == nil:
		return 0
	case c.spills:
		return c.state.bucket.WaitFull(now)
	}
	return c.state.bucket.Wait(now)
}

// spendRate counts a request against the limit of its upstream.
func (b *Balancer) spendLimit(u *upstreamState, now time.Time) {
	if u.bucket == nil {
		return
	}
	u.bucket.Spend(now)
	u.lastSpent = now
	b.notifyUpdate(u)
}

// limitError returns the error for a request that the limits of all candidates leave no room
// for.
func (b *Balancer) limitError(now time.Time, ranked []candidate) error {
	var first *upstreamState
	least := time.Duration(math.MaxInt64)
	for _, c := range ranked {
		if w := c.limitWait(now); w < least {
			first, least = c.state, w
		}
	}
	if first == nil {
		// Others have the room that there is.
		return ErrNoSlot
	}
	return &LimitError{Upstream: first.ID, PerSecond: first.limit.PerSecond(), RetryAfter: first.bucket.RetryAfter(least, now)}
}

// UpdateScope says of which limits others are told.
type UpdateScope int

// The scopes.
const (
	// UnsentUpdates is what has not been told to anyone.
	UnsentUpdates UpdateScope = iota
	// RecentUpdates is what has changed of late.
	RecentUpdates
	// AllUpdates is all limits, and what has changed of late.
	AllUpdates
)

// VisitLimitUpdates calls visit with what others are to be told.
func (b *Balancer) VisitLimitUpdates(now time.Time, scope UpdateScope, visit func(LimitUpdate)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limitedCount.Load() == 0 && !now.Before(b.announceUntil) {
		return
	}
	for _, u := range b.upstreams {
		if !b.needsUpdate(u, now, scope) {
			continue
		}
		n := LimitUpdate{Upstream: u.incarnationKey, PerSecond: u.limit.PerSecond(), Version: u.limit.Version(), Changed: u.limitUnsent}
		u.unsent, u.limitUnsent = false, false
		if u.bucket != nil && u.bucket.IsSender() {
			n.Sent = u.bucket.Sent()
			u.bucket.VisitPeers(func(id string) { n.Senders = append(n.Senders, id) })
		}
		visit(n)
	}
}

func (b *Balancer) needsUpdate(u *upstreamState, now time.Time, scope UpdateScope) bool {
	if scope == UnsentUpdates {
		return u.unsent
	}
	return u.unsent || now.Before(u.announceUntil) || u.bucket != nil && (scope == AllUpdates || now.Sub(u.lastSpent) < announcePeriod)
}

// VisitLimitSenders calls visit with the ids of the other senders of upstreams to which this entry
// may send.
func (b *Balancer) VisitLimitSenders(visit func(id string)) {
	if b.limitedCount.Load() == 0 {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, u := range b.upstreams {
		if u.bucket != nil && u.bucket.IsSender() {
			u.bucket.VisitPeers(visit)
		}
	}
}

// ApplyPeerLimits takes in what a peer told of limits, in one of its lives.
func (b *Balancer) ApplyPeerLimits(now time.Time, peer string, life uint64, told []LimitUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byKey := make(map[uint32]LimitUpdate, len(told))
	for _, n := range told {
		byKey[n.Upstream] = n
	}
	for _, u := range b.upstreams {
		if n, ok := byKey[u.incarnationKey]; ok {
			b.applyPeerLimit(u, now, peer, life, n)
		} else if u.bucket != nil {
			u.bucket.MarkPeerAlive(peer, now)
		}
	}
}

func (b *Balancer) applyPeerLimit(u *upstreamState, now time.Time, peer string, life uint64, n LimitUpdate) {
	switch u.limit.Merge(n.PerSecond, n.Version, now) {
	case ratelimit.MergeAdopted:
		b.applyLimit(u, now)
	case ratelimit.MergeStale:
		// Told again, as the peer does not know it.
		b.announceLimit(u, now)
	}
	if u.bucket != nil {
		u.bucket.RecordPeerSent(peer, life, n.Sent, now)
	}
}

// LimitStatus is the limit of one upstream as this entry sees it, for metrics and dumps.
type LimitStatus struct {
	Upstream  string  `json:"upstream"`
	PerSecond float64 `json:"per_s"`
	Version   uint32  `json:"version"`
	// Level is how many requests all senders together may send now.
	Level float64 `json:"level"`
	// Sender is set if this entry may send, Sent counts what it has sent.
	Sender bool   `json:"sender"`
	Sent   uint32 `json:"sent"`
}

// LimitStatuses returns the limits of upstreams, at most n.
func (b *Balancer) LimitStatuses(now time.Time, n int) []LimitStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	var out []LimitStatus
	for _, u := range b.upstreams {
		if u.bucket == nil || len(out) == n {
			continue
		}
		out = append(out, LimitStatus{u.ID, u.limit.PerSecond(), u.limit.Version(), u.bucket.Level(now), u.bucket.IsSender(), u.bucket.Sent()})
	}
	return out
}
