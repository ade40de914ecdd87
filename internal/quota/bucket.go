package quota

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// maxReportLag is the longest time until all other entries have counted a request: the
	// reports to the hub, from hub to hub and to the other entries, and the window over which
	// the reported rates are averaged.
	maxReportLag = 600 * time.Millisecond
	// admittedWindow is the window over which the reported rate of admitted requests is
	// averaged, requestedWindow that for the rate of all received requests.
	admittedWindow  = 200 * time.Millisecond
	requestedWindow = time.Second
	// averageReportAge is the average age of the rates that other entries report.
	averageReportAge = 300 * time.Millisecond
	// burstSlackShare is the part of the slack that is added to the burst. The rest of the
	// slack covers requests that the entries have not yet reported to each other.
	burstSlackShare = 0.4
	// minAllowance is the number of requests that an entry may admit within maxReportLag
	// regardless of its share, as long as there are tokensPerMinAllowance tokens for each of
	// them. Without it, one entry's share of a small organisation's limit is less than one
	// request.
	minAllowance          = 7.0
	tokensPerMinAllowance = 4.0
	// baselineDemandShare is the part of the rate that is added to the demand of the entries,
	// divided among them by weight. It gives an entry whose callers have just arrived a share
	// at once.
	baselineDemandShare = 0.3
	// maxDebt bounds how far the level falls below zero, in seconds of the rate, beyond the
	// burst.
	maxDebt = 2.0
	// minRetryAfter and maxRetryAfter bound the delay after which a refused caller is told to
	// retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// usage holds the rate of admitted requests and that of all received requests, in requests per
// second.
type usage struct {
	admitted, requested float64
}

// bucket is one entry's estimate of an organisation's token bucket, which all entries share.
//
// The level falls by each request that this entry admits, and by the rates at which the other
// entries report to admit requests. The other entries may not have counted the requests that
// this entry admitted within maxReportLag. Each entry therefore adds its own requests of that
// time back to the level, divides the sum in proportion to the demand of each entry, and admits
// no more than its share within maxReportLag. The shares of all entries add up to the level,
// whatever each entry admits meanwhile.
type bucket struct {
	name string
	hash uint32
	// active is set while the bucket is included in reports to other entries.
	active atomic.Bool

	mu    sync.Mutex
	limit model.Limit
	slack float64
	level float64
	// updated is the time that level is valid for.
	updated time.Time
	// admitted counts the requests that this entry admitted, requested all that it received.
	admitted, requested window
	// reported holds the last usage from each reporter.
	reported map[string]usage
	// others is the sum of the usage from the reporters that count at present.
	others usage
	// missing is the share of the limit that is reserved for entries without a current report.
	// These may go on to admit requests, and reserve the share of this entry in turn.
	missing float64
	// reserved is the number of tokens that were taken off the level for missing entries.
	reserved float64
	// selfShare is the share of this entry in the limit if all entries have the same demand
	// in proportion to their weight. withheld is the part of it that this entry must not use; see
	// shares.
	selfShare, withheld float64
	// aggregated is set once the shares have been computed.
	aggregated bool
	// nextRetry is the time at which the last refused caller was told to retry.
	nextRetry time.Time
	// refused counts the refused requests.
	refused int64
}

// availableShare returns the part of the limit that is neither reserved for missing entries nor
// withheld from this one, from 0 to 1.
func (b *bucket) availableShare() float64 { return math.Max(0, 1-b.missing-b.withheld) }

// availableRate returns the available part of the limit's rate, in requests per second.
func (b *bucket) availableRate() float64 { return b.limit.Rate * b.availableShare() }

// capacity returns the highest level, within the available part of the limit.
func (b *bucket) capacity() float64 {
	return (b.limit.Burst + burstSlackShare*b.slack) * b.availableShare()
}

// advance refills the bucket up to now.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.updated).Seconds()
	if elapsed <= 0 {
		return
	}
	b.updated = now
	if b.limit.Rate <= 0 {
		return
	}
	b.level += (b.availableRate() - b.others.admitted) * elapsed
	b.level = math.Max(-maxDebt*b.limit.Rate-b.limit.Burst, math.Min(b.level, b.capacity()))
}

// share returns this entry's share of the tokens that the reachable entries may use, by the
// demand of each. The demand of this entry is taken from averageReportAge ago, so that it is
// as old as the reports of the others: otherwise the shares would exceed the whole in a surge
// that reaches all entries at once.
func (b *bucket) share(now time.Time) float64 {
	baseline := baselineDemandShare * b.limit.Rate
	own := b.requested.sum(now, averageReportAge, averageReportAge+requestedWindow) + baseline*b.selfShare
	return own / (own + b.others.requested + baseline*(1-b.selfShare))
}

// allowance returns how many more requests this entry may admit now. A negative value is the
// number of tokens short.
func (b *bucket) allowance(now time.Time) float64 {
	unreported := b.admitted.sum(now, 0, maxReportLag)
	total := b.level + unreported
	if total <= 0 {
		return -unreported
	}
	floor := math.Min(minAllowance, total/tokensPerMinAllowance)
	return math.Max(b.share(now)*total, floor) - unreported
}

// take admits one request, or returns the delay after which the caller may retry.
func (b *bucket) take(now time.Time) (ok bool, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.Rate <= 0 {
		return true, 0
	}
	b.advance(now)
	b.requested.add(now, 1)
	if allowance := b.allowance(now); allowance <= 0 {
		b.refused++
		return false, b.retryAfter(now, -allowance)
	}
	b.spend(now, 1)
	return true, 0
}

// spend counts n admitted requests. The caller holds b.mu.
func (b *bucket) spend(now time.Time, n float64) {
	b.level -= n
	b.admitted.add(now, float32(n))
}

// charge counts n requests that are sent regardless of the limit. A negative n gives back
// requests that were not executed.
func (b *bucket) charge(now time.Time, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.Rate <= 0 {
		return
	}
	b.advance(now)
	b.spend(now, n)
}

// retryAfter returns the delay after which a refused caller may retry, for a bucket that is
// short of the given number of tokens. Retries are spaced at the rate at which this entry
// admits requests, after those of the callers that were refused before.
func (b *bucket) retryAfter(now time.Time, short float64) time.Duration {
	interval := time.Duration(float64(time.Second) / math.Max(b.share(now)*b.availableRate(), 1/maxRetryAfter.Seconds()))
	first := now.Add(min(time.Duration(short*float64(interval)), maxRetryAfter))
	if b.nextRetry.Before(first) {
		b.nextRetry = first
	}
	b.nextRetry = b.nextRetry.Add(interval)
	if latest := now.Add(maxRetryAfter); b.nextRetry.After(latest) {
		b.nextRetry = latest
	}
	return max(minRetryAfter, b.nextRetry.Sub(now))
}

// setReported stores the usage from a reporter, and reports whether it has changed.
func (b *bucket) setReported(reporter string, u usage) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.reported[reporter] == u {
		return false
	}
	if u == (usage{}) {
		delete(b.reported, reporter)
		return true
	}
	if b.reported == nil {
		b.reported = make(map[string]usage)
	}
	b.reported[reporter] = u
	return true
}

// aggregate recomputes the usage of the other entries and the shares of the limit from the reports
// that count at present.
func (b *bucket) aggregate(now time.Time, s *sources) {
	part := s.shares(now)
	current := s.currentReporters(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.aggregated {
		b.reserveFor(part.missing)
	}
	b.others, b.missing, b.selfShare, b.withheld, b.aggregated = usage{}, part.missing, part.self, part.withheld, true
	b.level = math.Min(b.level, b.capacity())
	for name, u := range b.reported {
		switch {
		case s.reporters[name] == nil:
			delete(b.reported, name)
		case current[name]:
			b.others.admitted += u.admitted
			b.others.requested += u.requested
		}
	}
}

// reserveFor adjusts the reserved tokens to a new missing share. Entries that have just gone
// missing may have admitted requests within maxReportLag that were never reported, so their
// share of that time is taken off the level. It is given back once they report again.
func (b *bucket) reserveFor(missing float64) {
	more := (missing - b.missing) * b.limit.Rate * maxReportLag.Seconds()
	more = math.Max(more, -b.reserved)
	b.level -= more
	b.reserved += more
}

// usage returns the usage at this entry, and the sum of the usage from the reporters for which
// include returns true.
func (b *bucket) usage(include func(reporter string) bool, now time.Time) (own, reported usage) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own.admitted = b.admitted.sum(now, slotLength, slotLength+admittedWindow) / admittedWindow.Seconds()
	own.requested = b.requested.sum(now, slotLength, slotLength+requestedWindow) / requestedWindow.Seconds()
	for name, u := range b.reported {
		if include(name) {
			reported.admitted += u.admitted
			reported.requested += u.requested
		}
	}
	return own, reported
}

// idle reports whether no entry has had a recent request.
func (b *bucket) idle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.reported) == 0 && b.requested.sum(now, 0, slots*slotLength) == 0 && b.admitted.sum(now, 0, slots*slotLength) == 0
}

// setLimit changes the limit. Requests that were admitted under the previous limit still count.
func (b *bucket) setLimit(limit model.Limit, slack float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.limit, b.slack = limit, slack
	b.level = math.Min(b.level, b.capacity())
}

// status returns the state for metrics and dumps, and whether the organisation has a limit.
func (b *bucket) status(now time.Time) (Status, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return Status{
		Organisation: b.name, Rate: b.limit.Rate, Burst: b.limit.Burst, Level: b.level, Share: b.share(now),
		OwnRate: b.admitted.sum(now, 0, requestedWindow) / requestedWindow.Seconds(), OthersRate: b.others.admitted, MissingShare: b.missing, WithheldShare: b.withheld, Refused: b.refused,
	}, b.limit.Rate > 0
}
