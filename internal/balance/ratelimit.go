package balance

import (
	"fmt"
	"math"
	"time"

	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

const (
	// minLimitSenders and maxLimitSenders bound the number of entries that share the limit of an
	// upstream; between them, these are the entries of its region. Each sends an update to every
	// other one for each of its requests. Entries in other regions, which receive updates later,
	// only make up the smallest number.
	minLimitSenders = 16
	maxLimitSenders = 32
	// announcePeriod is how long a changed limit, or a request counted against a limit, is sent
	// repeatedly.
	announcePeriod = time.Second
	// maxLimitWait is the longest time for which a request waits for the limit of an upstream. It
	// evens out arrivals; against a demand above the limit no wait helps, and a long one makes all
	// answers late.
	maxLimitWait = 100 * time.Millisecond
)

// RateLimit is what an answer says about the limit of its upstream.
type RateLimit struct {
	// Known is set if the answer says whether there is a limit.
	Known bool
	// PerSecond is the limit in requests per second over all entries, or ratelimit.Unlimited.
	PerSecond float64
}

// LimitError reports that only the limits of the upstreams prevent the request from being
// sent.
type LimitError struct {
	// Upstream is the ID of the upstream whose limit has room first, PerSecond this limit in
	// requests per second, and RetryAfter the time after which the caller may retry.
	Upstream   string
	PerSecond  float64
	RetryAfter time.Duration
}

// Error implements error.
func (e *LimitError) Error() string {
	return fmt.Sprintf("balance: limit of %v requests a second at %s, the next in %v", e.PerSecond, e.Upstream, e.RetryAfter.Round(time.Millisecond))
}

// Unwrap returns ErrNoSlot; a LimitError is a special case of it.
func (e *LimitError) Unwrap() error { return ErrNoSlot }

// LimitUpdate is what one entry reports to others about the limit of an upstream.
type LimitUpdate struct {
	// Upstream identifies the upstream by its IncarnationKey.
	Upstream uint32
	// PerSecond is the limit in requests per second, or ratelimit.Unlimited, and Version the
	// version of this value.
	PerSecond float64
	Version   uint32
	// Sent is the number of requests that the entry has sent to the upstream since it first
	// received a limit.
	Sent uint32
	// Senders are the IDs of the other entries that may send to the upstream. Changed is set if the
	// limit has not been sent to any entry yet. Neither is part of the message to other entries.
	Senders []string
	Changed bool
}

// OnLimitUpdate sets the function that is called when other entries must be sent a limit update at
// once: after a request to an upstream with a limit, or a change of a limit. The function is called
// with the Balancer locked and must return quickly. OnLimitUpdate must be called before the
// Balancer is used.
func (b *Balancer) OnLimitUpdate(notify func()) { b.notify = notify }

// observeLimit applies what the answer to a Choice says about its upstream's limit. It reports
// whether the limit has changed.
func (b *Balancer) observeLimit(now time.Time, c Choice, r RateLimit) bool {
	if !r.Known || r.PerSecond == ratelimit.Unlimited && b.limitedCount.Load() == 0 {
		return false
	}
	u := c.state
	if u.removed || !u.limit.Observe(ratelimit.Round(r.PerSecond), c.SendAt, now) {
		return false
	}
	b.applyLimit(u, now)
	return true
}

// applyLimit adapts the bucket of an upstream to its current limit and announces the limit.
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

// announceLimit marks an upstream's limit to be sent to all other entries for announcePeriod.
func (b *Balancer) announceLimit(u *upstreamState, now time.Time) {
	u.announceUntil = now.Add(announcePeriod)
	b.announceUntil = u.announceUntil
}

// notifyUpdate marks an upstream as having unsent changes and calls the notify function.
func (b *Balancer) notifyUpdate(u *upstreamState) {
	u.unsent = true
	if b.notify != nil {
		b.notify()
	}
}

// dropLimit removes the bucket of an upstream's incarnation that has ended.
func (b *Balancer) dropLimit(u *upstreamState) {
	if u.bucket != nil {
		u.bucket = nil
		b.limitedCount.Add(-1)
	}
}

// updateLimitSenders recomputes which entries share the limit of each upstream that has one.
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

// limitSenders returns the IDs of the entries that share the limit of an upstream: the nearest
// ones, which are those of its region within minLimitSenders and maxLimitSenders. All entries
// compute the same result. While this entry is not a member for the others, it gets none.
func (b *Balancer) limitSenders(u *upstreamState) []string {
	if b.excluded {
		return nil
	}
	order := b.nearestEntries(u)
	local := 0
	for _, e := range order {
		if e.Region == u.Region {
			local++
		}
	}
	n := min(max(local, minLimitSenders), maxLimitSenders, len(order))
	ids := make([]string, 0, n)
	for _, e := range order[:n] {
		ids = append(ids, e.ID)
	}
	return ids
}

// SetMember sets whether the other entries count this one as a member. While they do not, it sends
// nothing to cold upstreams and to upstreams with limits: the others divide these limits among
// themselves and receive no updates about its requests. An entry is a member until SetMember says
// otherwise.
func (b *Balancer) SetMember(member bool, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.excluded == !member {
		return
	}
	b.excluded = !member
	b.updateLimitSenders(now)
}

// withinLimit reports whether the limit of an upstream leaves room for one more request of this
// entry.
func (u *upstreamState) withinLimit(now time.Time) bool {
	return u.bucket == nil || u.bucket.Wait(now) == 0
}

// markSpillover marks the candidates for which a request is spillover: all but the first one in the
// object's order, and all outside this entry's region. A request without affinity is spillover only
// outside this entry's region.
func (b *Balancer) markSpillover(cs []candidate, noAffinity bool) []candidate {
	for i := range cs {
		cs[i].spills = i > 0 && !noAffinity || cs[i].state.Region != b.region
	}
	return cs
}

// limitWait returns the time until the limit of a candidate leaves room for a request of this
// entry; 0 if it does now. A spillover request gets only the part of the limit that the upstream's
// own objects leave unused: otherwise it would take the place of a request for one of these
// objects, and neither request would reach an upstream that is warm for its object.
func (c candidate) limitWait(now time.Time) time.Duration {
	switch {
	case c.state.bucket == nil:
		return 0
	case c.spills:
		return c.state.bucket.WaitFull(now)
	}
	return c.state.bucket.Wait(now)
}

// firstWithinLimit returns the candidate whose limit leaves room first, its rank and the time until
// then; nil if there is none within maxLimitWait. Since the request is counted against the limit at
// once, no other request takes its place while it waits. Spillover requests do not wait.
func (b *Balancer) firstWithinLimit(now time.Time, req ObjectRequest, ranked []candidate) (first *upstreamState, rank int, least time.Duration) {
	for i, c := range ranked {
		wait := c.limitWait(now)
		if c.spills || wait == 0 || wait > maxLimitWait || !b.hasCapacity(c.state, now, req) || b.missesObjective(c.state, now, req) {
			continue
		}
		if first == nil || wait < least {
			first, rank, least = c.state, i, wait
		}
	}
	return first, rank, least
}

// spendLimit counts a request against the limit of its upstream.
func (b *Balancer) spendLimit(u *upstreamState, now time.Time) {
	if u.bucket == nil {
		return
	}
	u.bucket.Spend(now)
	u.lastSpent = now
	b.notifyUpdate(u)
}

// limitError returns the error for a request for which the limits of all candidates leave no room:
// a LimitError, or ErrNoSlot if no candidate will have room for this entry.
func (b *Balancer) limitError(now time.Time, ranked []candidate) error {
	var first *upstreamState
	least := time.Duration(math.MaxInt64)
	for _, c := range ranked {
		if w := c.limitWait(now); w < least {
			first, least = c.state, w
		}
	}
	if first == nil {
		// This entry is no sender of any candidate; other entries use the limits.
		return ErrNoSlot
	}
	return &LimitError{Upstream: first.ID, PerSecond: first.limit.PerSecond(), RetryAfter: first.bucket.RetryAfter(least, now)}
}

// UpdateScope selects the limits for which updates are sent.
type UpdateScope int

// The scopes.
const (
	// UnsentUpdates selects changes that have not been sent to any entry.
	UnsentUpdates UpdateScope = iota
	// RecentUpdates selects changes of limits, and requests counted against them, of the last
	// announcePeriod.
	RecentUpdates
	// AllUpdates selects all limits, and changes of the last announcePeriod.
	AllUpdates
)

// VisitLimitUpdates calls visit with the updates of a scope, and marks these as sent.
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
		update := LimitUpdate{Upstream: u.incarnationKey, PerSecond: u.limit.PerSecond(), Version: u.limit.Version(), Changed: u.limitUnsent}
		u.unsent, u.limitUnsent = false, false
		if u.bucket != nil && u.bucket.IsSender() {
			update.Sent = u.bucket.Sent()
			u.bucket.VisitPeers(func(id string) { update.Senders = append(update.Senders, id) })
		}
		visit(update)
	}
}

// needsUpdate reports whether a scope includes an update for an upstream.
func (b *Balancer) needsUpdate(u *upstreamState, now time.Time, scope UpdateScope) bool {
	if scope == UnsentUpdates {
		return u.unsent
	}
	return u.unsent || now.Before(u.announceUntil) || u.bucket != nil && (scope == AllUpdates || now.Sub(u.lastSpent) < announcePeriod)
}

// VisitLimitSenders calls visit with the IDs of the entries that share an upstream's limit with
// this entry, once for each such upstream.
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

// ApplyLimitUpdates applies the updates that a peer has sent. Limits without an update are
// unchanged, but the peer counts as reachable for them. incarnation identifies the peer's process.
func (b *Balancer) ApplyLimitUpdates(now time.Time, peer string, incarnation uint64, updates []LimitUpdate) {
	b.mu.Lock()
	defer b.mu.Unlock()
	byKey := make(map[uint32]LimitUpdate, len(updates))
	for _, update := range updates {
		byKey[update.Upstream] = update
	}
	for _, u := range b.upstreams {
		if update, ok := byKey[u.incarnationKey]; ok {
			b.applyLimitUpdate(u, now, peer, incarnation, update)
		} else if u.bucket != nil {
			u.bucket.MarkPeerAlive(peer, now)
		}
	}
}

// applyLimitUpdate applies a peer's limit update for one upstream.
func (b *Balancer) applyLimitUpdate(u *upstreamState, now time.Time, peer string, incarnation uint64, update LimitUpdate) {
	switch u.limit.Merge(update.PerSecond, update.Version, now) {
	case ratelimit.MergeAdopted:
		b.applyLimit(u, now)
	case ratelimit.MergeStale:
		// The peer lacks the newer value, so it is sent again.
		b.announceLimit(u, now)
	}
	if u.bucket != nil {
		u.bucket.RecordPeerSent(peer, incarnation, update.Sent, now)
	}
}

// LimitStatus is the limit of one upstream as known to this entry, for metrics and dumps.
type LimitStatus struct {
	Upstream  string  `json:"upstream"`
	PerSecond float64 `json:"per_s"`
	Version   uint32  `json:"version"`
	// Level is how many requests all senders together may send now.
	Level float64 `json:"level"`
	// Sender is set if this entry may send requests to the upstream. Sent counts the requests that
	// it has sent.
	Sender bool   `json:"sender"`
	Sent   uint32 `json:"sent"`
}

// LimitStatuses returns the status of at most n limits of upstreams.
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
