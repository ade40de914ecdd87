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
	maxSenders = 16
	// rateNewsFor is how long a change is told again and again.
	rateNewsFor = time.Second
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
func (g *Balancer) OnLimitUpdate(notify func()) { g.notify = notify }

// ObserveLimit takes in what the answer to a Choice says of its upstream's limit. It reports whether
// that has changed.
func (g *Balancer) ObserveLimit(now time.Time, c Choice, r RateLimit) bool {
	if !r.Known || r.PerSecond == ratelimit.Unlimited && g.limited.Load() == 0 {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	m := c.to
	if m.restarted || m.gone || !m.rate.Answered(ratelimit.Round(r.PerSecond), c.PickedAt, now) {
		return false
	}
	g.limitChanged(m, now)
	return true
}

// limitChanged brings the bucket of an upstream up to its limit.
func (g *Balancer) limitChanged(m *member, now time.Time) {
	limited := m.rate.Limited()
	switch {
	case !limited && m.bucket != nil:
		m.bucket, m.lastBucket = nil, m.bucket
		g.limited.Add(-1)
	case limited && m.bucket == nil:
		m.bucket = m.lastBucket
		if m.bucket == nil {
			m.bucket = ratelimit.NewBucket(now)
		}
		m.bucket.SetRate(m.rate.PerSecond(), now)
		m.bucket.SetSenders(g.self, g.senders(m), now)
		m.bucket.Empty(now)
		g.limited.Add(1)
	case limited:
		m.bucket.SetRate(m.rate.PerSecond(), now)
	}
	g.tellLimit(m, now)
	m.limitUntold = true
	g.hasRateNews(m)
}

// tellLimit has all others told of a limit for a while.
func (g *Balancer) tellLimit(m *member, now time.Time) {
	m.limitNewsUntil = now.Add(rateNewsFor)
	g.limitNewsUntil = m.limitNewsUntil
}

// hasRateNews has others told of an upstream at once.
func (g *Balancer) hasRateNews(m *member) {
	m.rateUntold = true
	if g.notify != nil {
		g.notify()
	}
}

// dropLimit forgets the limit of a life that is over.
func (g *Balancer) dropLimit(m *member) {
	if m.bucket != nil {
		m.bucket = nil
		g.limited.Add(-1)
	}
}

// setSenders brings the senders of the upstreams with limits up to date.
func (g *Balancer) setSenders(now time.Time) {
	if g.limited.Load() == 0 {
		return
	}
	for _, m := range g.all {
		if m.bucket != nil {
			m.bucket.SetSenders(g.self, g.senders(m), now)
		}
	}
}

// senders returns the ids of the entries that share the limit of an upstream, the nearest. All
// entries work out the same.
func (g *Balancer) senders(m *member) []string {
	if g.retired {
		return nil
	}
	order := g.nearest(m)
	var ids []string
	for _, e := range order[:min(len(order), maxSenders)] {
		ids = append(ids, e.ID)
	}
	return ids
}

// Retire takes this entry from the senders of all upstreams with limits, as it is about to
// leave and others do not hear of its requests any more.
func (g *Balancer) Retire(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.retired = true
	g.setSenders(now)
}

// withinRate reports whether the limit of an upstream leaves room for one more request of this
// entry.
func (m *member) withinRate(now time.Time) bool { return m.bucket == nil || m.bucket.Wait(now) == 0 }

// markHome marks which of the candidates of an object, in its order, is its home: the first, if it
// is in the region of this entry. A request without an object is at home in the whole region.
func (g *Balancer) markHome(cs []candidate, spread bool) []candidate {
	for i := range cs {
		cs[i].spills = i > 0 && !spread || cs[i].m.Region != g.home
	}
	return cs
}

// rateWait returns after what time the limit of a candidate leaves room for a request of this
// entry; 0 if it does now. A request that belongs elsewhere gets only what the upstream's own
// objects leave: it would take the place of one of these, and its object would be at hand at
// neither.
func (c candidate) rateWait(now time.Time) time.Duration {
	switch {
	case c.m.bucket == nil:
		return 0
	case c.spills:
		return c.m.bucket.WaitSpare(now)
	}
	return c.m.bucket.Wait(now)
}

// spendRate counts a request against the limit of its upstream.
func (g *Balancer) spendRate(m *member, now time.Time) {
	if m.bucket == nil {
		return
	}
	m.bucket.Spend(now)
	m.spentAt = now
	g.hasRateNews(m)
}

// limitError returns the error for a request that the limits of all candidates leave no room
// for.
func (g *Balancer) limitError(now time.Time, ranked []candidate) error {
	var first *member
	least := time.Duration(math.MaxInt64)
	for _, c := range ranked {
		if w := c.rateWait(now); w < least {
			first, least = c.m, w
		}
	}
	if first == nil {
		// Others have the room that there is.
		return ErrNoSlot
	}
	return &LimitError{Upstream: first.ID, PerSecond: first.rate.PerSecond(), RetryAfter: first.bucket.Reserve(least, now)}
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
func (g *Balancer) VisitLimitUpdates(now time.Time, scope UpdateScope, visit func(LimitUpdate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.limited.Load() == 0 && !now.Before(g.limitNewsUntil) {
		return
	}
	for _, m := range g.all {
		if !g.isNews(m, now, scope) {
			continue
		}
		n := LimitUpdate{Upstream: m.key, PerSecond: m.rate.PerSecond(), Version: m.rate.Version(), Changed: m.limitUntold}
		m.rateUntold, m.limitUntold = false, false
		if m.bucket != nil && m.bucket.Sender() {
			n.Sent = m.bucket.Sent()
			m.bucket.Peers(func(id string) { n.Senders = append(n.Senders, id) })
		}
		visit(n)
	}
}

func (g *Balancer) isNews(m *member, now time.Time, scope UpdateScope) bool {
	if scope == UnsentUpdates {
		return m.rateUntold
	}
	return m.rateUntold || now.Before(m.limitNewsUntil) || m.bucket != nil && (scope == AllUpdates || now.Sub(m.spentAt) < rateNewsFor)
}

// VisitLimitSenders calls visit with the ids of the other senders of upstreams to which this entry
// may send.
func (g *Balancer) VisitLimitSenders(visit func(id string)) {
	if g.limited.Load() == 0 {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, m := range g.all {
		if m.bucket != nil && m.bucket.Sender() {
			m.bucket.Peers(visit)
		}
	}
}

// ApplyPeerLimits takes in what a peer told of limits, in one of its lives.
func (g *Balancer) ApplyPeerLimits(now time.Time, peer string, life uint64, told []LimitUpdate) {
	g.mu.Lock()
	defer g.mu.Unlock()
	byKey := make(map[uint32]LimitUpdate, len(told))
	for _, n := range told {
		byKey[n.Upstream] = n
	}
	for _, m := range g.all {
		if n, ok := byKey[m.key]; ok {
			g.heardRate(m, now, peer, life, n)
		} else if m.bucket != nil {
			m.bucket.Alive(peer, now)
		}
	}
}

func (g *Balancer) heardRate(m *member, now time.Time, peer string, life uint64, n LimitUpdate) {
	switch m.rate.Merge(n.PerSecond, n.Version, now) {
	case ratelimit.Newer:
		g.limitChanged(m, now)
	case ratelimit.Older:
		// Told again, as the peer does not know it.
		g.tellLimit(m, now)
	}
	if m.bucket != nil {
		m.bucket.Heard(peer, life, n.Sent, now)
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
func (g *Balancer) LimitStatuses(now time.Time, n int) []LimitStatus {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []LimitStatus
	for _, m := range g.all {
		if m.bucket == nil || len(out) == n {
			continue
		}
		out = append(out, LimitStatus{m.ID, m.rate.PerSecond(), m.rate.Version(), m.bucket.Level(now), m.bucket.Sender(), m.bucket.Sent()})
	}
	return out
}
