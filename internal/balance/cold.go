package balance

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// cold reports whether an upstream has not warmed up since its start.
func (g *Group) cold(m *member, now time.Time) bool {
	if now.Before(m.ColdUntil) {
		return true
	}
	return !m.coldSince.IsZero() && now.Sub(m.coldSince) < g.warmup
}

// takesCold reports whether this entry may send one more request to a cold
// upstream. The upstream's bound is divided among a few entries that all work
// out alike; each may send one request at once and the rest at its part of the
// rate, so that the sum in any second stays under the bound.
func (g *Group) takesCold(m *member, now time.Time) bool {
	if g.coldRate <= 0 {
		return true
	}
	senders := min(len(g.entries), int(g.coldRate/2))
	if senders < 1 || !g.sendsCold(m.ID, senders) {
		return false
	}
	rate := (g.coldRate - float64(senders)) / float64(senders)
	m.coldTokens = math.Min(1, m.coldTokens+rate*now.Sub(m.coldAt).Seconds())
	m.coldAt = now
	return m.coldTokens >= 1
}

// sendsCold reports whether this entry is among the first of all entries in the
// order that the upstream's id gives them.
func (g *Group) sendsCold(id string, senders int) bool {
	order := slices.Clone(g.entries)
	h := xxhash.Sum64String(id)
	slices.SortFunc(order, func(a, b string) int {
		return cmp.Compare(mix(h^xxhash.Sum64String(a)), mix(h^xxhash.Sum64String(b)))
	})
	return slices.Contains(order[:senders], g.self)
}
