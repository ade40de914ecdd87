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
const coldPerSender = 3.0

// cold reports whether an upstream has not warmed up since its start.
func (g *Balancer) cold(m *member, now time.Time) bool {
	if now.Before(m.ColdUntil) {
		return true
	}
	return !m.coldSince.IsZero() && now.Sub(m.coldSince) < g.warmup
}

// takesCold reports whether this entry may send one more request to a cold
// upstream. The upstream's bound is divided evenly among a few entries that all
// work out alike; each may send one request at once and the rest at its part of
// the rate, so that the sum in any second stays under the bound.
func (g *Balancer) takesCold(m *member, now time.Time) bool {
	if g.coldRate <= 0 {
		return true
	}
	senders := min(len(g.entries), max(1, int(g.coldRate/coldPerSender)))
	if !g.isSender(m, senders) {
		return false
	}
	rate := math.Max(0, g.coldRate-float64(senders)) / float64(senders)
	m.coldTokens = math.Min(1, m.coldTokens+rate*now.Sub(m.coldAt).Seconds())
	m.coldAt = now
	return m.coldTokens >= 1
}

// isSender is sendsCold, worked out once for the present entries.
func (g *Balancer) isSender(m *member, senders int) bool {
	if m.sender == nil {
		is := g.sendsCold(m, senders)
		m.sender = &is
	}
	return *m.sender
}

// sendsCold reports whether this entry is among the first to send to a cold
// upstream: those of its failure domain come before those of its region and these
// before others, each in the order that the upstream's id gives them.
func (g *Balancer) sendsCold(m *member, senders int) bool {
	return slices.ContainsFunc(g.nearest(m)[:senders], func(e model.Member) bool { return e.ID == g.self })
}

// nearest returns the entries in an order that is the same at all of them: those of the
// upstream's failure domain, those of its region, and the others.
func (g *Balancer) nearest(m *member) []model.Member {
	distance := func(e model.Member) int {
		switch {
		case e.Domain == m.Domain:
			return 0
		case e.Region == m.Region:
			return 1
		}
		return 2
	}
	order := slices.Clone(g.entries)
	slices.SortFunc(order, func(a, b model.Member) int {
		return cmp.Or(
			cmp.Compare(distance(a), distance(b)),
			cmp.Compare(mix(m.hash^xxhash.Sum64String(a.ID)), mix(m.hash^xxhash.Sum64String(b.ID))),
		)
	})
	return order
}
