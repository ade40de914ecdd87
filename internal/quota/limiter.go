// Package quota keeps the requests of each organisation within its limit, over all
// entries together and without a place that all of them ask.
//
// Entries tell each other at what rate they admit and are asked for the requests of each
// organisation. Each follows the one token bucket that an organisation has in the whole
// fleet and admits its part of what is there; see bucket. For entries that are not heard
// their part is set aside, so that the halves of a fleet that is cut apart together admit no
// more than the whole. It does no I/O and reads no clock.
package quota

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Usage is what a source tells of one organisation.
type Usage struct {
	// Organisation is the hash of its name; see HashName.
	Organisation uint32
	// Admitted and Requested are in requests per second.
	Admitted, Requested float64
}

// HashOrganisation names an organisation in reports.
func HashOrganisation(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Limiter has the limits of all organisations. It is safe for concurrent use; requests of
// different organisations share no lock.
type Limiter struct {
	buckets atomic.Pointer[map[string]*bucket]

	// mu guards what follows and the replacement of the buckets.
	mu      sync.Mutex
	sources sources
	byHash  map[uint32]*bucket
	// active are the buckets that have requests, here or elsewhere.
	active map[*bucket]bool
	table  *model.Organisations
	slack  float64
}

// NewLimiter returns a Limiter that limits nobody.
func NewLimiter() *Limiter {
	l := &Limiter{active: make(map[*bucket]bool)}
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
	for _, o := range table.All() {
		b := was[o.Name]
		if b == nil {
			b = &bucket{name: o.Name, hash: HashOrganisation(o.Name), at: now}
		}
		b.set(o.Limit, slack, now)
		b.settle(now, &l.sources)
		next[o.Name], l.byHash[b.hash] = b, b
	}
	for b := range l.active {
		if next[b.name] != b {
			delete(l.active, b)
		}
	}
	l.buckets.Store(&next)
}

// HasLimits reports whether there are organisations at all.
func (l *Limiter) HasLimits() bool { return len(*l.buckets.Load()) > 0 }

// Take admits one request of an organisation, or returns after what time the caller may
// come back.
func (l *Limiter) Take(organisation string, now time.Time) (ok bool, retryAfter time.Duration) {
	b := l.bucket(organisation)
	if b == nil {
		return true, 0
	}
	return b.take(now)
}

// Charge counts one more request of an organisation, which is sent in any case: an
// upstream may have run the request already, and another is to.
func (l *Limiter) Charge(organisation string, now time.Time) {
	if b := l.bucket(organisation); b != nil {
		b.charge(now, 1)
	}
}

// Refund gives back a request that no upstream ran.
func (l *Limiter) Refund(organisation string, now time.Time) {
	if b := l.bucket(organisation); b != nil {
		b.charge(now, -1)
	}
}

// bucket returns the bucket of an organisation that has a request, or nil.
func (l *Limiter) bucket(organisation string) *bucket {
	b := (*l.buckets.Load())[organisation]
	if b != nil && !b.active.Load() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.activate(b)
	}
	return b
}

// activate has a bucket told of to others. The caller holds the lock.
func (l *Limiter) activate(b *bucket) {
	if !b.active.Swap(true) {
		l.active[b] = true
	}
}

// SetSources sets the weight of the own entry, and which sources tell of the requests of others.
func (l *Limiter) SetSources(self int, list []Source, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sources.expect(self, list, now) {
		return
	}
	for _, b := range l.byHash {
		b.settle(now, &l.sources)
	}
}

// CoveredWeight returns the weight of the entries beside the own one that the speakers tell of that
// are asked for.
func (l *Limiter) CoveredWeight(from func(speaker string) bool, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sources.covered(from, now)
}

// Report is what a speaker tells of the organisations whose hashes lie from First to Last; one
// that it does not name it has no requests of.
type Report struct {
	// Reporter is the entry that tells, Source what it speaks for.
	Reporter, Source string
	// CoveredWeight is the weight of the entries that it speaks for.
	CoveredWeight int
	// Idle is set if it has few requests, and so tells each half second only.
	Idle        bool
	First, Last uint32
	Usages      []Usage
}

// HandleReport takes in what a speaker tells.
func (l *Limiter) HandleReport(t Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sources.heard(t, now) {
		return
	}
	named := make(map[*bucket]use, len(t.Usages))
	for _, u := range t.Usages {
		if b := l.byHash[u.Organisation]; b != nil {
			l.activate(b)
			named[b] = use{u.Admitted, u.Requested}
		}
	}
	for b := range l.active {
		if b.hash >= t.First && b.hash <= t.Last && b.hear(t.Reporter, named[b]) {
			b.settle(now, &l.sources)
		}
	}
}

// Usages returns what to tell of the organisations that have requests: of those that this
// entry has itself if own is set, and of those that the speakers told of that are asked for.
func (l *Limiter) Usages(own bool, from func(speaker string) bool, now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	voices := l.sources.voices(now)
	fresh := func(speaker string) bool { return voices[speaker] && from(speaker) }
	var out []Usage
	for b := range l.active {
		mine, told := b.uses(fresh, now)
		if mine == (use{}) && b.idle(now) {
			b.active.Store(false)
			delete(l.active, b)
		}
		if own {
			told.admitted += mine.admitted
			told.asked += mine.asked
		}
		if told != (use{}) {
			out = append(out, Usage{Organisation: b.hash, Admitted: told.admitted, Requested: told.asked})
		}
	}
	return out
}

// someRequests is from how many requests in a second on an entry is one that others have to
// hear of at once.
const someRequests = 2

// InUse reports whether organisations have more than a stray request at this entry.
func (l *Limiter) InUse(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	asked := 0.0
	for b := range l.active {
		own, _ := b.uses(func(string) bool { return false }, now)
		asked += own.asked
	}
	return asked >= someRequests
}

// Status is the limit of one organisation as this entry sees it, for metrics and dumps.
type Status struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate_per_s"`
	Burst        float64 `json:"burst"`
	// Level is how many requests the whole fleet may admit at once, Part the share of this
	// entry in it.
	Level float64 `json:"level"`
	Share float64 `json:"part"`
	// OwnRate and Others are the rates at which this and the other entries admit requests, and
	// Missing the share of the limit that is set aside for entries that are not heard.
	OwnRate      float64 `json:"own_per_s"`
	OthersRate   float64 `json:"others_per_s"`
	MissingShare float64 `json:"missing_share"`
	// Refused counts the requests that this entry refused.
	Refused int64 `json:"refused"`
}

// Status returns the state of the organisations that have a limit and requests, at most n.
func (l *Limiter) Status(n int, now time.Time) []Status {
	l.mu.Lock()
	defer l.mu.Unlock()
	var out []Status
	for b := range l.active {
		if len(out) == n {
			break
		}
		if s, ok := b.status(now); ok {
			out = append(out, s)
		}
	}
	return out
}
