// Package quota enforces the request limits of organisations across all entries, without a
// central service that each request has to ask.
//
// Entries report to each other the rates at which they receive and admit the requests of each
// organisation. Each entry keeps its own estimate of the one token bucket that an organisation
// has in the whole fleet, and admits its share of the tokens; see bucket. The share of entries
// that cannot be reached is reserved for them, so that the parts of a partitioned fleet
// together keep to the limit. The package does no I/O and reads no clock.
package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Usage is the reported usage of one organisation.
type Usage struct {
	// Organisation is the hash of the organisation's name; see HashOrganisation.
	Organisation uint32
	// Admitted and Requested are the rates of admitted and of all requests, per second.
	Admitted, Requested float64
}

// HashOrganisation returns the hash that identifies an organisation in reports.
func HashOrganisation(name string) uint32 { return uint32(xxhash.Sum64String(name)) }

// Limiter enforces the limits of all organisations. It is safe for concurrent use; requests of
// different organisations share no lock.
type Limiter struct {
	buckets atomic.Pointer[map[string]*bucket]
	// refreshAt is when the shares must be computed anew before the next request, in Unix
	// nanoseconds.
	refreshAt atomic.Int64

	// mu guards the fields below and the replacement of buckets.
	mu      sync.Mutex
	sources sources
	byHash  map[uint32]*bucket
	// active holds the buckets of organisations with requests, here or at other entries.
	active map[*bucket]bool
	table  *model.Organisations
	slack  float64
}

// NewLimiter returns a Limiter without limits.
func NewLimiter() *Limiter {
	l := &Limiter{active: make(map[*bucket]bool)}
	l.buckets.Store(&map[string]*bucket{})
	l.refreshAt.Store(math.MaxInt64)
	return l
}

// Update replaces the organisations and the slack, the number of requests that may exceed each
// limit. The bucket of a new organisation starts empty, because the requests that were admitted
// before this entry started are unknown.
func (l *Limiter) Update(table *model.Organisations, slack float64, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if table == l.table && slack == l.slack {
		return
	}
	l.table, l.slack = table, slack
	previous := *l.buckets.Load()
	next := make(map[string]*bucket, len(table.All()))
	l.byHash = make(map[uint32]*bucket, len(table.All()))
	for _, o := range table.All() {
		b := previous[o.Name]
		if b == nil {
			b = &bucket{name: o.Name, hash: HashOrganisation(o.Name), updated: now}
		}
		b.setLimit(o.Limit, slack, now)
		b.aggregate(now, &l.sources)
		next[o.Name], l.byHash[b.hash] = b, b
	}
	for b := range l.active {
		if next[b.name] != b {
			delete(l.active, b)
		}
	}
	l.buckets.Store(&next)
}

// HasLimits reports whether there are any organisations.
func (l *Limiter) HasLimits() bool { return len(*l.buckets.Load()) > 0 }

// Take admits one request of an organisation, or returns the delay after which the caller may
// retry.
func (l *Limiter) Take(organisation string, now time.Time) (ok bool, retryAfter time.Duration) {
	l.refreshIfDue(now)
	b := l.bucket(organisation)
	if b == nil {
		return true, 0
	}
	return b.take(now)
}

// Charge counts one more request of an organisation without checking the limit, for an attempt
// that is sent in any case after an upstream may already have executed the request.
func (l *Limiter) Charge(organisation string, now time.Time) {
	if b := l.bucket(organisation); b != nil {
		b.charge(now, 1)
	}
}

// Refund gives back one request that no upstream executed.
func (l *Limiter) Refund(organisation string, now time.Time) {
	if b := l.bucket(organisation); b != nil {
		b.charge(now, -1)
	}
}

// bucket returns the bucket of an organisation that has a request and marks it as active, or
// returns nil if the organisation is unknown.
func (l *Limiter) bucket(organisation string) *bucket {
	b := (*l.buckets.Load())[organisation]
	if b != nil && !b.active.Load() {
		l.mu.Lock()
		defer l.mu.Unlock()
		l.activate(b)
	}
	return b
}

// activate includes a bucket in reports to other entries. The caller holds l.mu.
func (l *Limiter) activate(b *bucket) {
	if !b.active.Swap(true) {
		l.active[b] = true
	}
}

// SetSources sets this entry's place in the limits and the sources that report on the other entries.
func (l *Limiter) SetSources(self Self, list []Source, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	changed := l.sources.set(self, list, now)
	l.scheduleRefresh(now)
	if !changed {
		return
	}
	l.aggregate(now)
}

// aggregate updates all buckets from the sources. The caller holds l.mu.
func (l *Limiter) aggregate(now time.Time) {
	for _, b := range l.byHash {
		b.aggregate(now, &l.sources)
	}
}

// scheduleRefresh sets the time from which on this entry must verify before a request that it still
// has its part of the limits. The caller holds l.mu.
func (l *Limiter) scheduleRefresh(now time.Time) {
	r := l.sources.self.Registration
	switch {
	case r == nil:
		l.refreshAt.Store(math.MaxInt64)
	case l.sources.self.holdsPart(now):
		l.refreshAt.Store(r.Until.Add(DepartureHold).UnixNano())
	default:
		l.refreshAt.Store(now.Add(reportTimeout).UnixNano())
	}
}

// refreshIfDue computes the shares anew if the time for that has come. SetSources does so regularly,
// but not while the process is suspended, and the first request after that may come before it.
func (l *Limiter) refreshIfDue(now time.Time) {
	if now.UnixNano() < l.refreshAt.Load() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.scheduleRefresh(now)
	if l.sources.refresh(now) {
		l.aggregate(now)
	}
}

// CoveredWeight returns the weight of the other entries that are covered by the current
// reporters for which include returns true.
func (l *Limiter) CoveredWeight(include func(reporter string) bool, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.sources.coveredWeight(include, now)
}

// Report is the usage that an entry reports of the organisations whose hashes lie from First
// to Last. An organisation of that range that is not in Usages has no requests.
type Report struct {
	// Reporter is the entry that sent the report, Source the source that it reports for.
	Reporter, Source string
	// CoveredWeight is the weight of the entries that the report covers.
	CoveredWeight int
	// Idle is set if the reporter has few requests and therefore reports every half second
	// only.
	Idle        bool
	First, Last uint32
	Usages      []Usage
}

// ApplyReport replaces the usage from a reporter by that in its report. It ignores reports for
// sources that are not set.
func (l *Limiter) ApplyReport(report Report, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.sources.record(report, now) {
		return
	}
	reported := make(map[*bucket]usage, len(report.Usages))
	for _, u := range report.Usages {
		if b := l.byHash[u.Organisation]; b != nil {
			l.activate(b)
			reported[b] = usage{u.Admitted, u.Requested}
		}
	}
	for b := range l.active {
		if b.hash >= report.First && b.hash <= report.Last && b.setReported(report.Reporter, reported[b]) {
			b.aggregate(now, &l.sources)
		}
	}
}

// Usages returns the usage to report of each organisation with requests: the usage at this
// entry if own is set, plus that from the current reporters for which include returns true.
// Organisations without recent requests are no longer active afterwards.
func (l *Limiter) Usages(own bool, include func(reporter string) bool, now time.Time) []Usage {
	l.mu.Lock()
	defer l.mu.Unlock()
	current := l.sources.currentReporters(now)
	includeCurrent := func(reporter string) bool { return current[reporter] && include(reporter) }
	var out []Usage
	for b := range l.active {
		local, sum := b.usage(includeCurrent, now)
		if local == (usage{}) && b.idle(now) {
			b.active.Store(false)
			delete(l.active, b)
		}
		if own {
			sum.admitted += local.admitted
			sum.requested += local.requested
		}
		if sum != (usage{}) {
			out = append(out, Usage{Organisation: b.hash, Admitted: sum.admitted, Requested: sum.requested})
		}
	}
	return out
}

// inUseRate is the rate of requests at an entry, per second, from which on the entry counts as
// in use.
const inUseRate = 2

// InUse reports whether this entry receives enough requests of organisations with limits that
// other entries need its reports at the short interval.
func (l *Limiter) InUse(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	requested := 0.0
	for b := range l.active {
		own, _ := b.usage(func(string) bool { return false }, now)
		requested += own.requested
	}
	return requested >= inUseRate
}

// Status is the state of one organisation's limit at this entry, for metrics and dumps.
type Status struct {
	Organisation string  `json:"organisation"`
	Rate         float64 `json:"rate_per_s"`
	Burst        float64 `json:"burst"`
	// Level is the estimated number of tokens of the whole fleet, Share the part of them that
	// this entry may use.
	Level float64 `json:"level"`
	Share float64 `json:"part"`
	// OwnRate and OthersRate are the rates at which this entry and the others admit requests,
	// per second. MissingShare is the share of the limit that is reserved for entries without
	// a current report, WithheldShare the part of this entry's own share that it must not use
	// while its registration has ended and not all others report to it.
	OwnRate       float64 `json:"own_per_s"`
	OthersRate    float64 `json:"others_per_s"`
	MissingShare  float64 `json:"missing_share"`
	WithheldShare float64 `json:"withheld_share"`
	// Refused counts the requests that this entry refused.
	Refused int64 `json:"refused"`
}

// Status returns the state of up to n organisations that have a limit and requests.
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
