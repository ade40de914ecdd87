package inflight

import (
	"cmp"
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/quota"
)

// This file has what entries tell each other of the use of organisations' limits. It goes
// the ways of the reports of requests under way, in reports of its own: whose requests are
// counted says UsesScope, and First and Last bound the organisations that are covered.

const (
	// maxUses bounds the organisations of one report, so that it fits a datagram; one takes
	// up to 12 bytes.
	maxUses = 110
	// usePart is the part of a request per second that is told.
	usePart = 0.1
	// maxUse bounds what is believed of a rate, in parts, and maxCovered of how many
	// carriers a report speaks for.
	maxUse     = 1 << 27
	maxCovered = 1 << 20
)

// Limits is what an Exchange tells of the use of limits, and where it brings what it is told.
type Limits interface {
	// Uses returns the use by the own entry, and by the sources that are asked for.
	Uses(own bool, from func(source string) bool, now time.Time) []quota.Use
	// Covered returns for how many carriers beside the own entry the named sources speak.
	Covered(from func(source string) bool, now time.Time) int
	// Heard takes in what a source tells, which speaks for a number of carriers.
	Heard(source string, covered int, first, last uint32, uses []quota.Use, now time.Time)
	// Expect sets which sources there are.
	Expect(sources []quota.Source, now time.Time)
}

func appendUses(b []byte, uses []quota.Use) []byte {
	for _, u := range uses[:min(len(uses), maxUses)] {
		b = protowire.AppendFixed32(b, u.Organisation)
		b = protowire.AppendVarint(b, uint64(math.Round(u.Admitted/usePart)))
		b = protowire.AppendVarint(b, uint64(math.Round(u.Asked/usePart)))
	}
	return b
}

func decodeUses(b []byte) ([]quota.Use, error) {
	var out []quota.Use
	for len(b) > 0 {
		h, n := protowire.ConsumeFixed32(b)
		if n < 0 {
			return nil, errMalformed
		}
		b = b[n:]
		var v [2]uint64
		for i := range v {
			if v[i], n = protowire.ConsumeVarint(b); n < 0 || v[i] > maxUse {
				return nil, errMalformed
			}
			b = b[n:]
		}
		out = append(out, quota.Use{Organisation: h, Admitted: float64(v[0]) * usePart, Asked: float64(v[1]) * usePart})
	}
	return out, nil
}

// splitUses divides the uses into reports that fit a datagram.
func splitUses(r Report, uses []quota.Use) []Report {
	slices.SortFunc(uses, func(a, b quota.Use) int { return cmp.Compare(a.Organisation, b.Organisation) })
	var out []Report
	r.First = 0
	for len(uses) > maxUses {
		r.Uses, uses = uses[:maxUses], uses[maxUses:]
		r.Last = uses[0].Organisation - 1
		out = append(out, r)
		r.First = uses[0].Organisation
	}
	r.Uses, r.Last = uses, allUpstreams
	return append(out, r)
}

// tellUses tells peers the use of limits.
func (x *Exchange) tellUses(peers []Peer, scope Scope, own bool, from func(source string) bool, now time.Time) {
	if len(peers) == 0 {
		return
	}
	whole := Report{
		Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
		Scope: ScopeNone, HasUses: true, UsesScope: scope,
		Covered: x.opt.Limits.Covered(from, now),
	}
	if own {
		whole.Covered++
	}
	for _, r := range splitUses(whole, x.opt.Limits.Uses(own, from, now)) {
		x.buf = r.Append(x.buf[:0])
		for _, p := range peers {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
		}
	}
}

// useToAll tells all peers of a small fleet.
func (x *Exchange) useToAll(fleet Fleet, now time.Time) {
	if x.opt.Limits == nil {
		return
	}
	var sources []quota.Source
	for _, p := range fleet.Peers {
		sources = append(sources, quota.Source{Name: p.ID, Carriers: carriersOf(p)})
	}
	x.opt.Limits.Expect(sources, now)
	x.tellUses(fleet.Peers, ScopeOwn, true, nobody, now)
}

// useByHubs tells by hubs: an entry its hub; a hub each entry of its failure domain that
// carries requests the sum of all others, and the other hubs the sum of its own.
func (x *Exchange) useByHubs(fleet Fleet, hub Peer, busy, idle, remote []Peer, now time.Time) {
	if x.opt.Limits == nil {
		return
	}
	isHub := hub.ID == x.opt.Entry
	if !isHub && len(busy)+len(idle) == 0 {
		x.opt.Limits.Expect([]quota.Source{{Name: others, Carriers: fleet.carriers()}}, now)
		x.tellUses([]Peer{hub}, ScopeOwn, true, nobody, now)
		return
	}
	x.opt.Limits.Expect(fleet.hubSources(x.opt.Entry), now)
	mine := make(map[string]bool, len(fleet.Hubs))
	for _, p := range fleet.Hubs {
		mine[p.ID] = true
	}
	x.tellUses(remote, ScopeDomain, isHub, func(source string) bool { return mine[source] }, now)
	for _, p := range busy {
		x.tellUses([]Peer{p}, ScopeOthers, true, func(source string) bool { return source != p.ID }, now)
	}
	if !isHub {
		x.tellUses([]Peer{hub}, ScopeOwn, true, nobody, now)
	}
}

// nobody is no source at all.
func nobody(string) bool { return false }

// sourceOf names who a report of uses speaks for.
func sourceOf(r *Report, from Peer) string {
	switch r.UsesScope {
	case ScopeOthers:
		return others
	case ScopeDomain:
		return others + from.Domain
	}
	return from.ID
}

// carriersOf is 1 for a peer that carries requests.
func carriersOf(p Peer) int {
	if p.Carries {
		return 1
	}
	return 0
}

// carriers is how many peers carry requests.
func (f *Fleet) carriers() int {
	n := 0
	for _, p := range f.Peers {
		n += carriersOf(p)
	}
	return n
}

// hubSources are the sources of a hub: the entries of its failure domain and the other
// failure domains.
func (f *Fleet) hubSources(self string) []quota.Source {
	byDomain := make(map[string]int)
	own := make(map[string]bool, len(f.Hubs))
	for _, p := range f.Hubs {
		own[p.ID] = true
	}
	var out []quota.Source
	for _, p := range f.Peers {
		if !own[p.ID] {
			byDomain[p.Domain] += carriersOf(p)
		} else if p.ID != self {
			out = append(out, quota.Source{Name: p.ID, Carriers: carriersOf(p)})
		}
	}
	for domain, n := range byDomain {
		out = append(out, quota.Source{Name: others + domain, Carriers: n})
	}
	return out
}

// takeUses brings in what a peer told of the use of limits.
func (x *Exchange) takeUses(r *Report, from Peer, now time.Time) {
	if x.opt.Limits != nil {
		x.opt.Limits.Heard(sourceOf(r, from), r.Covered, r.First, r.Last, r.Uses, now)
	}
}
