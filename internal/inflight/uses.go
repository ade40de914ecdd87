package inflight

import (
	"math"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/quota"
)

// This file has the reports of the use of organisations' limits; see package quota. They go to
// the peers that also get the reports of requests in flight, as separate reports: UsesScope
// selects the entries whose use is reported, First and Last bound the hashes of the
// organisations.

const (
	// maxUses bounds the organisations of one report, so that it fits a datagram; an
	// organisation takes up to 12 bytes.
	maxUses = 110
	// useUnit is the unit in which rates are encoded, in requests per second.
	useUnit = 0.1
	// maxUseUnits bounds the rates accepted from a report, in units of useUnit, and
	// maxCovered the weight that a report may cover.
	maxUseUnits = 1 << 27
	maxCovered  = 1 << 24
)

// Limits holds the use of organisations' limits that an Exchange reports, and takes what
// peers report. Reports are kept under the name of their speaker; see sourceOf.
type Limits interface {
	// Usages returns the sum of the use reported by the speakers that from selects, and,
	// if own is set, the use by the own entry.
	Usages(own bool, from func(speaker string) bool, now time.Time) []quota.Usage
	// HasLimits reports whether any organisation has a limit whose use is to be reported.
	HasLimits() bool
	// CoveredWeight returns the weight of the other entries whose use is reported by the
	// speakers that from selects.
	CoveredWeight(from func(speaker string) bool, now time.Time) int
	// HandleReport takes the report of a speaker.
	HandleReport(t quota.Report, now time.Time)
	// SetSources sets the weight of the own entry and the sources from which reports are
	// expected.
	SetSources(self int, sources []quota.Source, now time.Time)
}

// appendUses appends the encoding of the use of up to maxUses organisations.
func appendUses(b []byte, uses []quota.Usage) []byte {
	for _, u := range uses[:min(len(uses), maxUses)] {
		b = protowire.AppendFixed32(b, u.Organisation)
		b = protowire.AppendVarint(b, uint64(math.Round(u.Admitted/useUnit)))
		b = protowire.AppendVarint(b, uint64(math.Round(u.Requested/useUnit)))
	}
	return b
}

// decodeUses decodes the output of appendUses.
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
		if v[0] > maxUseUnits || v[1] > maxUseUnits {
			return nil, errMalformed
		}
		out = append(out, quota.Usage{Organisation: h, Admitted: float64(v[0]) * useUnit, Requested: float64(v[1]) * useUnit})
	}
	return out, nil
}

// splitUses divides uses into copies of a report that fit a datagram.
func splitUses(r Report, uses []quota.Usage) []Report {
	return splitByHash(r, uses, maxUses, func(u quota.Usage) uint32 { return u.Organisation }, func(r *Report, part []quota.Usage) { r.Uses = part })
}

// sendUses reports the use of limits to peers: the use by the speakers that fromSpeaker
// selects, and, if own is set, by the own entry.
func (x *Exchange) sendUses(peers []Peer, scope Scope, own bool, fromSpeaker func(speaker string) bool, now time.Time) {
	if len(peers) == 0 {
		return
	}
	template := Report{
		Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
		Scope: ScopeNone, HasUses: true, UsesScope: scope,
		Covered: x.opt.Limits.CoveredWeight(fromSpeaker, now), Idle: x.idle(now),
		Relayed: scope == ScopeOthers && x.hasHub,
	}
	if own {
		template.Covered += x.weight
	}
	for _, r := range splitUses(template, x.opt.Limits.Usages(own, fromSpeaker, now)) {
		x.buf = r.Append(x.buf[:0])
		for _, p := range peers {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
		}
	}
}

// hasLimits reports whether the use of limits is to be reported.
func (x *Exchange) hasLimits() bool { return x.opt.Limits != nil && x.opt.Limits.HasLimits() }

// sendUsesToAll reports the own entry's use to all peers of a small fleet.
func (x *Exchange) sendUsesToAll(fleet Fleet, now time.Time) {
	if !x.hasLimits() {
		return
	}
	w := fleet.weigh()
	x.weight = w.self
	x.opt.Limits.SetSources(w.self, []quota.Source{{Name: peersSource, Weight: w.all()}}, now)
	x.sendUses(fleet.Peers, ScopeOwn, true, noSpeaker, now)
}

// sendUsesByHubs reports the use of limits in a fleet with hubs. An entry reports its own use
// to its hub; a hub reports the sum of its failure domain to the other hubs, and the sum of
// all other entries to each entry of the domain that is busy or advertised.
//
// Entries may disagree for a while on which entry is the hub. An entry that some use as their
// hub, but which has a hub itself, reports to its hub the sum of these entries, and to them
// the sum that its hub reported. No sum includes sums that were made in the same way: such
// sums would go round between hubs and grow.
func (x *Exchange) sendUsesByHubs(fleet Fleet, hub Peer, busy, idle, remote []Peer, now time.Time) {
	if !x.hasLimits() {
		return
	}
	w := fleet.weigh()
	x.weight = w.self
	inDomain := make(map[string]bool, 2*len(fleet.HubCandidates))
	for _, p := range fleet.HubCandidates {
		inDomain[p.ID] = p.ID != hub.ID
	}
	fromDomain := func(speaker string) bool { return inDomain[speaker] }
	speakersFor := func(p Peer) func(string) bool {
		return func(speaker string) bool { return speaker != p.ID }
	}
	x.hasHub = hub.ID != x.opt.Entry
	if !x.hasHub {
		x.opt.Limits.SetSources(w.self, fleet.hubSources(w), now)
		fromDomainOrSum := func(speaker string) bool { return inDomain[strings.TrimSuffix(speaker, sumSuffix)] }
		x.sendUses(remote, ScopeDomain, true, fromDomainOrSum, now)
	} else {
		x.opt.Limits.SetSources(w.self, []quota.Source{{Name: allOthers, Weight: w.all(), Complete: true}, {Name: peersSource}}, now)
		x.sendUses([]Peer{hub}, ScopeOwn, true, noSpeaker, now)
		if len(busy)+len(idle) > 0 {
			x.sendUses([]Peer{hub}, ScopeDomain, false, fromDomain, now)
		}
		speakersFor = func(Peer) func(string) bool { return fromHub }
	}
	for _, p := range slices.Concat(busy, advertisedAmong(idle)) {
		x.sendUses([]Peer{p}, ScopeOthers, true, speakersFor(p), now)
	}
}

// Suffixes of speaker names. The own use of an entry has the entry's id as its name; a sum
// over several entries has the id of the entry that reports it and one of these suffixes.
const (
	sumSuffix     = "+"
	wholeSuffix   = "*"
	relayedSuffix = "~"
)

// fromHub selects the hub's sum over all other entries, except a relayed one.
func fromHub(speaker string) bool { return strings.HasSuffix(speaker, wholeSuffix) }

// peersSource is the name of the source for the entries that report to this one.
const peersSource = "peers"

// noSpeaker selects no speaker.
func noSpeaker(string) bool { return false }

// sourceOf returns the source that a report of uses covers, and the name of its speaker.
// own has the ids of the entries of the own failure domain.
func (x *Exchange) sourceOf(r *Report, from Peer, own map[string]bool) (source, speaker string) {
	switch {
	case r.UsesScope == ScopeOthers && r.Relayed:
		return allOthers, from.ID + relayedSuffix
	case r.UsesScope == ScopeOthers:
		return allOthers, from.ID + wholeSuffix
	case r.UsesScope == ScopeDomain && own[from.ID]:
		return peersSource, from.ID + sumSuffix
	case r.UsesScope == ScopeDomain:
		return allOthers + from.Domain, from.ID + sumSuffix
	}
	return peersSource, from.ID
}

// advertisedCount returns 1 for an advertised peer and 0 for others.
func advertisedCount(p Peer) int {
	if p.Advertised {
		return 1
	}
	return 0
}

// advertisedAmong returns the peers that are advertised.
func advertisedAmong(peers []Peer) []Peer {
	return slices.DeleteFunc(slices.Clone(peers), func(p Peer) bool { return !p.Advertised })
}

const (
	// advertisedWeight is the weight of an advertised entry in the limits.
	advertisedWeight = 1000
	// unadvertisedShare is the part of the limits that is reserved for all other entries
	// together while none of them reports. They serve few requests, and more while
	// advertised entries are lost.
	unadvertisedShare = 0.25
)

// weights has the weights of entries in the limits. The weight of an entry decides which part
// of a limit the others reserve for it while it does not report, and which part it may admit
// itself while it gets no reports.
type weights struct {
	self, unadvertised int
	peers              []Peer
}

// weigh returns the weights of the entries of a fleet.
func (f *Fleet) weigh() weights {
	w := weights{self: advertisedWeight, unadvertised: advertisedWeight, peers: f.Peers}
	unadvertised := 0
	for _, p := range f.Peers {
		unadvertised += 1 - advertisedCount(p)
	}
	advertised := len(f.Peers) - unadvertised
	if f.Advertised {
		advertised++
	} else {
		unadvertised++
	}
	if advertised > 0 && unadvertised > 0 {
		w.unadvertised = max(1, int(unadvertisedShare/(1-unadvertisedShare)*advertisedWeight*float64(advertised)/float64(unadvertised)))
	}
	if !f.Advertised {
		w.self = w.unadvertised
	}
	return w
}

// of returns the weight of a peer.
func (w weights) of(p Peer) int {
	if p.Advertised {
		return advertisedWeight
	}
	return w.unadvertised
}

// all returns the sum of the weights of all peers.
func (w weights) all() int {
	n := 0
	for _, p := range w.peers {
		n += w.of(p)
	}
	return n
}

// hubSources returns the sources of a hub: the entries of its failure domain together, and
// each of the other failure domains.
func (f *Fleet) hubSources(w weights) []quota.Source {
	byDomain := make(map[string]int)
	own := make(map[string]bool, len(f.HubCandidates))
	for _, p := range f.HubCandidates {
		own[p.ID] = true
	}
	ownWeight := 0
	for _, p := range f.Peers {
		if own[p.ID] {
			ownWeight += w.of(p)
		} else {
			byDomain[p.Domain] += w.of(p)
		}
	}
	out := []quota.Source{{Name: peersSource, Weight: ownWeight}}
	for domain, weight := range byDomain {
		out = append(out, quota.Source{Name: allOthers + domain, Weight: weight})
	}
	return out
}

// handleUses passes a peer's report of uses to Limits.
func (x *Exchange) handleUses(r *Report, from Peer, fleet Fleet, now time.Time) {
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
