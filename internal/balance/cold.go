package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

// coldRatePerSender is the part of a cold upstream's rate limit, in requests per second, that each
// of the entries sharing it gets at least. With less, the one request that each entry may send at
// once would use up the limit; with more, too few entries could send.
const coldRatePerSender = 3.0

// cold reports whether an upstream is still warming up after its start.
func (b *Balancer) cold(u *upstreamState, now time.Time) bool {
	if now.Before(u.ColdUntil) {
		return true
	}
	return !u.coldSince.IsZero() && now.Sub(u.coldSince) < b.warmup
}

// allowCold reports whether this entry may send one more request to a cold upstream. The upstream's
// rate limit is divided evenly among a few entries; every entry computes the same few. Each of them
// may send one request at once and further ones at its part of the rate, so that the total in any
// second stays within the limit.
func (b *Balancer) allowCold(u *upstreamState, now time.Time) bool {
	if b.coldRate <= 0 {
		return true
	}
	if b.excluded {
		return false
	}
	senders := min(len(b.entries), max(1, int(b.coldRate/coldRatePerSender)))
	if !b.isColdSender(u, senders) {
		return false
	}
	rate := math.Max(0, b.coldRate-float64(senders)) / float64(senders)
	u.coldTokens = math.Min(1, u.coldTokens+rate*now.Sub(u.coldAt).Seconds())
	u.coldAt = now
	return u.coldTokens >= 1
}

// isColdSender returns the result of computeColdSender, cached until the next Update.
func (b *Balancer) isColdSender(u *upstreamState, senders int) bool {
	if u.coldSender == nil {
		is := b.computeColdSender(u, senders)
		u.coldSender = &is
	}
	return *u.coldSender
}

// computeColdSender reports whether this entry is among the entries that share a cold upstream's
// rate limit: the first ones in the order of nearestEntries, as many as senders.
func (b *Balancer) computeColdSender(u *upstreamState, senders int) bool {
	return slices.ContainsFunc(b.nearestEntries(u)[:senders], func(e model.Member) bool { return e.ID == b.self })
}

// nearestEntries returns the entries in an order that is the same at every entry: those in the
// upstream's failure domain, then those in its region, then the others; within each group, ordered
// by a hash of both IDs.
func (b *Balancer) nearestEntries(u *upstreamState) []model.Member {
	distance := func(e model.Member) int {
		switch {
		case e.Domain == u.Domain:
			return 0
		case e.Region == u.Region:
			return 1
		}
		return 2
	}
	order := slices.Clone(b.entries)
	slices.SortFunc(order, func(x, y model.Member) int {
		return cmp.Or(
			cmp.Compare(distance(x), distance(y)),
			cmp.Compare(mix(u.idHash^xxhash.Sum64String(x.ID)), mix(u.idHash^xxhash.Sum64String(y.ID))),
		)
	})
	return order
}
