package tree

import (
	"math"
	"slices"
	"strings"
	"time"
)

// Drain is a scheduled drain of an upstream, a failure domain or a region. Empty
// fields are not set: a drain without Service applies to all services, a drain
// without End lasts until it is removed.
type Drain struct {
	Path                              string
	Service, Region, Domain, Upstream string
	Start, End                        time.Time
}

// Active reports whether the drain is in effect at a time.
func (d Drain) Active(at time.Time) bool { return d.covers(at) }

// MatchesUpstream reports whether the drain applies to an upstream, given its
// service, region, failure domain and ID.
func (d Drain) MatchesUpstream(service, region, domain, upstream string) bool {
	if d.Service != "" && d.Service != service {
		return false
	}
	if d.Upstream != "" {
		return d.Upstream == upstream
	}
	return d.Region == region && (d.Domain == "" || d.Domain == domain)
}

// Move is a scheduled move of a share of a service's traffic from one region to
// another. Fraction and Step are shares of the service's traffic in region From.
type Move struct {
	Path              string
	Service, From, To string
	Start             time.Time
	Duration          time.Duration
	Fraction, Step    float64
}

// Share returns the share of the region's traffic to be moved at a time. The share
// rises from zero at Start to Fraction at Start plus Duration, in multiples of Step
// or, if Step is 0, linearly. Every instance computes the share from its own clock,
// so a move continues while the configuration store is unavailable.
func (m Move) Share(at time.Time) float64 {
	elapsed := at.Sub(m.Start)
	switch {
	case elapsed < 0:
		return 0
	case elapsed >= m.Duration:
		return m.Fraction
	}
	share := m.Fraction * float64(elapsed) / float64(m.Duration)
	if m.Step <= 0 {
		return share
	}
	return math.Floor(share/m.Step) * m.Step
}

// Drains returns all drains in the tree, including past ones, in order of their
// paths.
func (t *Tree) Drains() []Drain {
	var drains []Drain
	for _, p := range t.pathsUnder("/drains/") {
		drains = append(drains, Drain{
			Path:     p,
			Service:  t.String(p, KeyService),
			Region:   t.String(p, KeyRegion),
			Domain:   t.String(p, KeyDomain),
			Upstream: t.String(p, KeyUpstream),
			Start:    t.Time(p, KeyStart),
			End:      t.Time(p, KeyEnd),
		})
	}
	return drains
}

// Moves returns all moves in the tree, including past ones, in order of their
// paths.
func (t *Tree) Moves() []Move {
	var moves []Move
	for _, p := range t.pathsUnder("/moves/") {
		moves = append(moves, Move{
			Path:     p,
			Service:  t.String(p, KeyService),
			From:     t.String(p, KeyFrom),
			To:       t.String(p, KeyTo),
			Start:    t.Time(p, KeyStart),
			Duration: t.Duration(p, KeyDuration),
			Fraction: t.Float(p, KeyFraction),
			Step:     t.Float(p, KeyStep),
		})
	}
	return moves
}

// pathsUnder returns the sorted paths with a prefix at which a key is set.
func (t *Tree) pathsUnder(prefix string) []string {
	var paths []string
	for p, n := range t.nodes {
		if strings.HasPrefix(p, prefix) && n.isSet() {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	return paths
}
