// Package quota keeps the requests of each organisation within its limit, over all
// entries together and without a place that all of them ask.
//
// Entries tell each other at what rate they admit and are asked for the requests of each
// organisation. Each follows the one token bucket that an organisation has in the whole
// fleet and admits its part of what is there; see bucket. For entries that are not heard
// what they used is set aside, so that the halves of a fleet that is cut apart together
// admit no more than the whole. It does no I/O and reads no clock.
package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Use is what a source tells of one organisation.
type Use struct {
	// Organisation is the hash of its name; see HashName.
	Organisation uint32
	// Admitted and Asked are in requests per second.
	Admitted, Asked float64
}

// HashName names an organisation in reports.
func HashName(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Limiter has the limits of all organisations. It is safe for concurrent use; requests of
// different organisations share no lock.
type Limiter struct {
	buckets atomic.Pointer[map[string]*bucket]

	// mu guards what follows and the replacement of the buckets.
	mu      sync.Mutex
	sources sources
	byHash  map[uint32]*bucket
	names   map[uint32]string
	table   *model.Organisations
	slack   float64
}

// NewLimiter returns a Limiter that limits nobody.
func NewLimiter() *Limiter {
	l := &Limiter{sources: sources{self: 1}}
	l.buckets.Store(&map[string]*bucket{})
	return l
}

// Update takes in the organisations of a configuration, and the slack beyond each limit.
// An organisation that was not there begins with nothing: what was admitted before this
// entry started is not known.
func (l *Limiter) Update(table *model.Organisations, slack float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if table == l.table && slack == l.slack {
		return
	}
	l.table, l.slack = table, slack
	was := *l.buckets.Load()
	next := make(map[string]*bucket, len(table.All()))
	l.byHash = make(map[uint32]*bucket, len(table.All()))
	l.names = make(map[uint32]string, len(table.All()))
	for _, o := range table.All() {
		b := was[o.Name]
		if b == nil {
			b = &bucket{at: now}
		}
		b.set(o.Limit, slack, now)
		b.settle(now, &l.sources)
		next[o.Name] = b
		l.byHash[HashName(o.Name)], l.names[HashName(o.Name)] = b, o.Name
	}
	l.buckets.Store(&next)
}

// set changes the limit. What was admitted under the one before counts.
func (b *bucket) set(limit model.Limit, slack float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.Rate > 0 {
		b.advance(now)
	} else {
		b.at = now
	}
	b.limit, b.slack = limit, slack
	if limit.Rate > 0 {
		b.level = math.Min(b.level, b.capacity())
	}
}

// Take admits one request of an organisation, or returns after what time the caller may
// come back.
func (l *Limiter) Take(organisation string, now time.Time) (ok bool, retryAfter time.Duration) {
	b := (*l.buckets.Load())[organisation]
	if b == nil {
		return true, 0
	}
	return b.take(now)
}

// Charge counts one more request of an organisation, which is sent in any case: an
// upstream may have run the request already, and another is to.
func (l *Limiter) Charge(organisation string, now time.Time) {
	if b := (*l.buckets.Load())[organisation]; b != nil {
		b.charge(now, 1)
	}
}

// Return gives back a request that no upstream ran.
func (l *Limiter) Return(organisation string, now time.Time) {
	if b := (*l.buckets.Load())[organisation]; b != nil {
		b.charge(now, -1)
	}
}

// Expect sets which sources tell of the requests of other entries.
func (l *Limiter) Expect(list []Source, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.sources.expect(list)
	l.settle(now)
}

// Heard takes in what a source tells of the organisations whose hashes lie from first to
// last; one that it does not name it has no requests of.
func (l *Limiter) Heard(source string, first, last uint32, uses []Use, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sources.heard(source, now) {
		return
	}
	named := make(map[uint32]Use, len(uses))
	for _, u := range uses {
		named[u.Organisation] = u
	}
	for hash, b := range l.byHash {
		if hash >= first && hash <= last {
			b.hear(now, source, named[hash].Admitted, named[hash].Asked)
		}
	}
	l.settle(now)
}

// settle sums up what the sources tell, for all organisations. The caller holds the lock.
func (l *Limiter) settle(now time.Time) {
	for _, b := range l.byHash {
		b.settle(now, &l.sources)
	}
}

// Uses returns what to tell of the organisations that have requests: of those that this
// entry has itself if own is set, and of those that the named sources told of.
func (l *Limiter) Uses(own bool, from func(source string) bool, now time.Time) []Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Use
	for hash, b := range l.byHash {
		u := Use{Organisation: hash}
		if own {
			u.Admitted, u.Asked = b.own(now)
		}
		u.add(b, from)
		if u.Admitted > 0 || u.Asked > 0 {
			out = append(out, u)
		}
	}
	return out
}

// add counts in what the named sources told.
func (u *Use) add(b *bucket, from func(source string) bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for name, t := range b.told {
		if from != nil && from(name) {
			u.Admitted += t.admitted
			u.Asked += t.asked
		}
	}
}

// Status is the limit of one organisation as this entry sees it, for metrics and dumps.
type Status struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate_per_s"`
	Burst        float64 `json:"burst"`
	// Level is how many requests the whole fleet may admit at once, Part the share of this
	// entry in it.
	Level float64 `json:"level"`
	Part  float64 `json:"part"`
	// Own and Others are the rates at which this and the other entries admit requests,
	// Silent the rate that is set aside for those that are not heard, and Unknown the share
	// of the limit for those that never were.
	Own     float64 `json:"own_per_s"`
	Others  float64 `json:"others_per_s"`
	Silent  float64 `json:"silent_per_s"`
	Unknown float64 `json:"unknown_share"`
	// Refused counts the requests that this entry refused.
	Refused int64 `json:"refused"`
}

// Status returns the state of the organisations that have a limit and requests, at most n.
func (l *Limiter) Status(n int, now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Status
	for hash, b := range l.byHash {
		if s, ok := b.status(now); ok && len(out) < n {
			s.Organisation = l.names[hash]
			out = append(out, s)
		}
	}
	return out
}

func (b *bucket) status(now time.Time) (Status, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.Rate <= 0 {
		return Status{}, false
	}
	b.advance(now)
	own := b.admitted.sum(now, slotLength, slotLength+rateOver) / rateOver.Seconds()
	return Status{
		Rate: b.limit.Rate, Burst: b.limit.Burst, Level: b.level, Part: b.part(now),
		Own: own, Others: b.heard.admitted, Silent: b.silent, Unknown: b.unknown, Refused: b.refused,
	}, own > 0 || b.heard.admitted > 0 || b.refused > 0
}
