package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/model"
)

// coldPerSender is how many requests in a second each of the entries may send that
// share the bound of a cold upstream. With fewer each the one that an entry may
// send at once would use up the bound; with more too few entries could send.
const coldRatePerSender = 3.0

// cold reports whether an upstream has not warmed up since its start.
func (b *Balancer) cold(u *upstreamState, now time.Time) bool {
	if now.Before(u.ColdUntil) {
		return true
	}
	return !u.coldSince.IsZero() && now.Sub(u.coldSince) < b.warmup
}

// takesCold reports whether this entry may send one more request to a cold
// upstream. The upstream's bound is divided evenly among a few entries that all
// work out alike; each may send one request at once and the rest at its part of
// the rate, so that the sum in any second stays under the bound.
func (b *Balancer) allowCold(u *upstreamState, now time.Time) bool {
	if b.coldRate <= 0 {
		return true
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

// isSender is sendsCold, worked out once for the present entries.
func (b *Balancer) isColdSender(u *upstreamState, senders int) bool {
	if u.coldSender == nil {
		is := b.computeColdSender(u, senders)
		u.coldSender = &is
	}
	return *u.coldSender
}

// sendsCold reports whether this entry is among the first to send to a cold
// upstream: those of its failure domain come before those of its region and these
// before others, each in the order that the upstream's id gives them.
func (b *Balancer) computeColdSender(u *upstreamState, senders int) bool {
	return slices.ContainsFunc(b.nearestEntries(u)[:senders], func(e model.Member) bool { return e.ID == b.self })
}

// nearest returns the entries in an order that is the same at all of them: those of the
// upstream's failure domain, those of its region, and the others.
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
