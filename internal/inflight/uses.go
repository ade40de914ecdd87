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
	// maxUse bounds what is believed of a rate, in parts.
	maxUse = 1 << 27
)

// Limits is what an Exchange tells of the use of limits, and where it brings what it is told.
type Limits interface {
	// Uses returns the use by the own entry, and by the sources that are asked for.
	Uses(own bool, from func(source string) bool, now time.Time) []quota.Use
	// Heard takes in what a source tells.
	Heard(source string, first, last uint32, uses []quota.Use, now time.Time)
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
		sources = append(sources, quota.Source{Name: p.ID, Weight: fleet.weight(p)})
	}
	x.opt.Limits.Expect(sources, now)
	x.tellUses(fleet.Peers, ScopeOwn, true, nil, now)
}

// useByHubs tells by hubs: an entry its hub; a hub each entry of its failure domain that
// carries requests the sum of all others, and the other hubs the sum of its own.
func (x *Exchange) useByHubs(fleet Fleet, hub Peer, busy, idle, remote []Peer, now time.Time) {
	if x.opt.Limits == nil {
		return
	}
	isHub := hub.ID == x.opt.Entry
	if !isHub && len(busy)+len(idle) == 0 {
		x.opt.Limits.Expect([]quota.Source{{Name: others, Weight: fleet.weightOfAll()}}, now)
		x.tellUses([]Peer{hub}, ScopeOwn, true, nil, now)
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
		x.tellUses([]Peer{hub}, ScopeOwn, true, nil, now)
	}
}

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

// carriers is how many entries carry requests, the own one among them.
func (f *Fleet) carriers() float64 {
	n := 1.0
	for _, p := range f.Peers {
		if p.Carries {
			n++
		}
	}
	return n
}

// weight is the share of the limits that is set aside for a peer until it tells its use.
func (f *Fleet) weight(p Peer) float64 {
	if !p.Carries {
		return 0
	}
	return 1 / f.carriers()
}

// weightOfAll is the same for all peers together.
func (f *Fleet) weightOfAll() float64 { return 1 - 1/f.carriers() }

// hubSources are the sources of a hub: the entries of its failure domain and the other
// failure domains.
func (f *Fleet) hubSources(self string) []quota.Source {
	carriers := f.carriers()
	byDomain := make(map[string]float64)
	own := make(map[string]bool, len(f.Hubs))
	for _, p := range f.Hubs {
		own[p.ID] = true
	}
	var out []quota.Source
	for _, p := range f.Peers {
		share := 0.0
		if p.Carries {
			share = 1 / carriers
		}
		if own[p.ID] && p.ID != self {
			out = append(out, quota.Source{Name: p.ID, Weight: share})
			continue
		}
		byDomain[p.Domain] += share
	}
	for domain, weight := range byDomain {
		out = append(out, quota.Source{Name: others + domain, Weight: weight})
	}
	return out
}

// takeUses brings in what a peer told of the use of limits.
func (x *Exchange) takeUses(r *Report, from Peer, now time.Time) {
	if x.opt.Limits != nil {
		x.opt.Limits.Heard(sourceOf(r, from), r.First, r.Last, r.Uses, now)
	}
}
