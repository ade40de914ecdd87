package inflight

import (
	"math"
	"slices"
	"strings"
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
	// maxUse bounds what is believed of a rate, in parts, and maxCovered of the weight that a
	// report speaks for.
	maxUse     = 1 << 27
	maxCovered = 1 << 24
)

// Limits is what an Exchange tells of the use of limits, and where it brings what it is told.
type Limits interface {
	// Usages returns the use by the own entry, and what the speakers tell that are asked for.
	Usages(own bool, from func(speaker string) bool, now time.Time) []quota.Usage
	// HasLimits reports whether there is anything to tell at all.
	HasLimits() bool
	// CoveredWeight returns the weight of the entries beside the own one that the speakers tell of.
	CoveredWeight(from func(speaker string) bool, now time.Time) int
	// HandleReport takes in what a speaker tells.
	HandleReport(t quota.Report, now time.Time)
	// SetSources sets the weight of the own entry, and which sources there are.
	SetSources(self int, sources []quota.Source, now time.Time)
}

func appendUses(b []byte, uses []quota.Usage) []byte {
	for _, u := range uses[:min(len(uses), maxUses)] {
		b = protowire.AppendFixed32(b, u.Organisation)
		b = protowire.AppendVarint(b, uint64(math.Round(u.Admitted/usePart)))
		b = protowire.AppendVarint(b, uint64(math.Round(u.Requested/usePart)))
	}
	return b
}

func decodeUses(b []byte) ([]quota.Usage, error) {
	var out []quota.Usage
	var h uint32
	var v [2]uint64
	var err error
	for len(b) > 0 {
		if h, b, err = consumeHash(b); err != nil {
			return nil, err
		}
		if b, err = consumeVarints(b, v[:]); err != nil {
			return nil, err
		}
		if v[0] > maxUse || v[1] > maxUse {
			return nil, errMalformed
		}
		out = append(out, quota.Usage{Organisation: h, Admitted: float64(v[0]) * usePart, Requested: float64(v[1]) * usePart})
	}
	return out, nil
}

// splitUses divides the uses into reports that fit a datagram.
func splitUses(r Report, uses []quota.Usage) []Report {
	return splitByHash(r, uses, maxUses, func(u quota.Usage) uint32 { return u.Organisation }, func(r *Report, part []quota.Usage) { r.Uses = part })
}

// tellUses tells peers the use of limits.
func (x *Exchange) tellUses(peers []Peer, scope Scope, own bool, from func(speaker string) bool, now time.Time) {
	if len(peers) == 0 {
		return
	}
	whole := Report{
		Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
		Scope: ScopeNone, HasUses: true, UsesScope: scope,
		Covered: x.opt.Limits.CoveredWeight(from, now), Idle: x.idle(now),
		Relayed: scope == ScopeOthers && x.relays,
	}
	if own {
		whole.Covered += x.weight
	}
	for _, r := range splitUses(whole, x.opt.Limits.Usages(own, from, now)) {
		x.buf = r.Append(x.buf[:0])
		for _, p := range peers {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
		}
	}
}

// limits reports whether the use of limits is to be told.
func (x *Exchange) limits() bool { return x.opt.Limits != nil && x.opt.Limits.HasLimits() }

// useToAll tells all peers of a small fleet.
func (x *Exchange) useToAll(fleet Fleet, now time.Time) {
	if !x.limits() {
		return
	}
	w := fleet.weigh()
	x.weight = w.self
	x.opt.Limits.SetSources(w.self, []quota.Source{{Name: peersSource, Weight: w.all()}}, now)
	x.tellUses(fleet.Peers, ScopeOwn, true, nobody, now)
}

// useByHubs tells by hubs: an entry tells its hub its own use; a hub the other hubs the sum
// of its failure domain, and each entry of it that carries requests the sum of all others.
//
// Entries may disagree for a while on who is hub. One that others take for theirs, but which
// has one itself, tells that one the sum of the others, and them what that one tells. No sum
// is made of sums that were made in the same way, or they would go round and grow.
func (x *Exchange) useByHubs(fleet Fleet, hub Peer, busy, idle, remote []Peer, now time.Time) {
	if !x.limits() {
		return
	}
	w := fleet.weigh()
	x.weight = w.self
	mine := make(map[string]bool, 2*len(fleet.HubCandidates))
	for _, p := range fleet.HubCandidates {
		mine[p.ID] = p.ID != hub.ID
	}
	below := func(speaker string) bool { return mine[speaker] }
	told := func(p Peer) func(string) bool {
		return func(speaker string) bool { return speaker != p.ID }
	}
	x.relays = hub.ID != x.opt.Entry
	if !x.relays {
		x.opt.Limits.SetSources(w.self, fleet.hubSources(w), now)
		domain := func(speaker string) bool { return mine[strings.TrimSuffix(speaker, sumMark)] }
		x.tellUses(remote, ScopeDomain, true, domain, now)
	} else {
		x.opt.Limits.SetSources(w.self, []quota.Source{{Name: others, Weight: w.all(), Complete: true}, {Name: peersSource}}, now)
		x.tellUses([]Peer{hub}, ScopeOwn, true, nobody, now)
		if len(busy)+len(idle) > 0 {
			x.tellUses([]Peer{hub}, ScopeDomain, false, below, now)
		}
		told = func(Peer) func(string) bool { return fromHub }
	}
	for _, p := range slices.Concat(busy, carriersAmong(idle)) {
		x.tellUses([]Peer{p}, ScopeOthers, true, told(p), now)
	}
}

// Names of speakers: an entry's own use goes by its id, a sum of others by that and a mark.
const (
	sumMark     = "+"
	wholeMark   = "*"
	relayedMark = "~"
)

// fromHub asks for the hub's word on all others, unless that is relayed itself.
func fromHub(speaker string) bool { return strings.HasSuffix(speaker, wholeMark) }

// peersSource names the entries that report to this one, as a source.
const peersSource = "peers"

// nobody asks for no speaker.
func nobody(string) bool { return false }

// sourceOf names what a report of uses speaks for, and who speaks.
func (x *Exchange) sourceOf(r *Report, from Peer, own map[string]bool) (source, speaker string) {
	switch {
	case r.UsesScope == ScopeOthers && r.Relayed:
		return others, from.ID + relayedMark
	case r.UsesScope == ScopeOthers:
		return others, from.ID + wholeMark
	case r.UsesScope == ScopeDomain && own[from.ID]:
		return peersSource, from.ID + sumMark
	case r.UsesScope == ScopeDomain:
		return others + from.Domain, from.ID + sumMark
	}
	return peersSource, from.ID
}

// carriersOf is 1 for a peer that carries requests.
func carriersOf(p Peer) int {
	if p.Advertised {
		return 1
	}
	return 0
}

// carriersAmong returns the peers that carry requests.
func carriersAmong(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !p.Advertised })
}

const (
	// carrierWeight is the weight of an entry that look-ups name in the limits.
	carrierWeight = 1000
	// weakShare is the part of the limits that the others have together while they are not
	// heard. They carry few requests, and some more while those that look-ups name are lost.
	weakShare = 0.25
)

// weights are the parts that entries have in the limits: what is set aside for each while
// it is not heard, and what it may admit while it hears nobody.
type weights struct {
	self, weak int
	peers      []Peer
}

// weigh returns the weights of a fleet's entries.
func (f *Fleet) weigh() weights {
	w := weights{self: carrierWeight, weak: carrierWeight, peers: f.Peers}
	weak := 0
	for _, p := range f.Peers {
		weak += 1 - carriersOf(p)
	}
	carriers := len(f.Peers) - weak
	if f.Advertised {
		carriers++
	} else {
		weak++
	}
	if carriers > 0 && weak > 0 {
		w.weak = max(1, int(weakShare/(1-weakShare)*carrierWeight*float64(carriers)/float64(weak)))
	}
	if !f.Advertised {
		w.self = w.weak
	}
	return w
}

// of is the weight of a peer.
func (w weights) of(p Peer) int {
	if p.Advertised {
		return carrierWeight
	}
	return w.weak
}

// all is the weight of all peers.
func (w weights) all() int {
	n := 0
	for _, p := range w.peers {
		n += w.of(p)
	}
	return n
}

// hubSources are the sources of a hub: the entries of its failure domain and the other
// failure domains.
func (f *Fleet) hubSources(w weights) []quota.Source {
	byDomain := make(map[string]int)
	own := make(map[string]bool, len(f.HubCandidates))
	for _, p := range f.HubCandidates {
		own[p.ID] = true
	}
	mine := 0
	for _, p := range f.Peers {
		if own[p.ID] {
			mine += w.of(p)
		} else {
			byDomain[p.Domain] += w.of(p)
		}
	}
	out := []quota.Source{{Name: peersSource, Weight: mine}}
	for domain, weight := range byDomain {
		out = append(out, quota.Source{Name: others + domain, Weight: weight})
	}
	return out
}

// takeUses brings in what a peer told of the use of limits.
func (x *Exchange) takeUses(r *Report, from Peer, fleet Fleet, now time.Time) {
	if x.opt.Limits == nil {
		return
	}
	own := make(map[string]bool, len(fleet.HubCandidates))
	for _, p := range fleet.HubCandidates {
		own[p.ID] = true
	}
	t := quota.Report{CoveredWeight: r.Covered, Idle: r.Idle, First: r.First, Last: r.Last, Usages: r.Uses}
	t.Source, t.Reporter = x.sourceOf(r, from, own)
	x.opt.Limits.HandleReport(t, now)
}
