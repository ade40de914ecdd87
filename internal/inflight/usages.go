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
// the peers that also get the reports of requests in flight, as separate reports: UsagesScope
// selects the entries whose use is reported, First and Last bound the hashes of the
// organisations.

const (
	// maxUsages bounds the organisations of one report, so that it fits a datagram; an
	// organisation takes up to 12 bytes.
	maxUsages = 110
	// usageUnit is the unit in which rates are encoded, in requests per second.
	usageUnit = 0.1
	// maxUsageUnits bounds the rates accepted from a report, in units of usageUnit, and
	// maxCovered the weight that a report may cover.
	maxUsageUnits = 1 << 27
	maxCovered    = 1 << 24
)

// OrganisationLimits holds the use of organisations' limits that an Exchange reports, and applies
// the reports of peers. Reports are kept under the name of their reporter; see sourceOf.
type OrganisationLimits interface {
	// Usages returns the sum of the use that the reporters selected by from have reported,
	// plus the use by the own entry if own is set.
	Usages(own bool, from func(reporter string) bool, now time.Time) []quota.Usage
	// HasLimits reports whether any organisation has a limit whose use is to be reported.
	HasLimits() bool
	// CoveredWeight returns the weight of the other entries whose use is reported by the
	// reporters that from selects.
	CoveredWeight(from func(reporter string) bool, now time.Time) int
	// ApplyReport applies the report of a reporter.
	ApplyReport(r quota.Report, now time.Time)
	// SetSources sets the place of the own entry in the limits and the sources from which reports
	// are expected.
	SetSources(self quota.Self, sources []quota.Source, now time.Time)
}

// appendUsages appends the encoding of the use of up to maxUsages organisations.
func appendUsages(b []byte, usages []quota.Usage) []byte {
	for _, u := range usages[:min(len(usages), maxUsages)] {
		b = protowire.AppendFixed32(b, u.Organisation)
		b = protowire.AppendVarint(b, uint64(math.Round(u.Admitted/usageUnit)))
		b = protowire.AppendVarint(b, uint64(math.Round(u.Requested/usageUnit)))
	}
	return b
}

// decodeUsages decodes the output of appendUsages.
func decodeUsages(b []byte) ([]quota.Usage, error) {
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
		if v[0] > maxUsageUnits || v[1] > maxUsageUnits {
			return nil, errMalformed
		}
		out = append(out, quota.Usage{Organisation: h, Admitted: float64(v[0]) * usageUnit, Requested: float64(v[1]) * usageUnit})
	}
	return out, nil
}

// splitUsages divides usages into copies of a report that fit a datagram.
func splitUsages(r Report, usages []quota.Usage) []Report {
	return splitByHash(r, usages, maxUsages, func(u quota.Usage) uint32 { return u.Organisation }, func(r *Report, part []quota.Usage) { r.Usages = part })
}

// sendUsages reports the use of limits to peers: the use by the reporters that fromReporter
// selects, and, if own is set, by the own entry.
func (x *Exchange) sendUsages(peers []Peer, scope Scope, own bool, fromReporter func(reporter string) bool, now time.Time) {
	if len(peers) == 0 {
		return
	}
	template := Report{
		Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
		Scope: ScopeNone, HasUsages: true, UsagesScope: scope,
		CoveredWeight: x.opt.OrganisationLimits.CoveredWeight(fromReporter, now), Idle: x.idle(now),
		Relayed: scope == ScopeOthers && x.hasHub,
	}
	if own {
		template.CoveredWeight += x.weight
	}
	for _, r := range splitUsages(template, x.opt.OrganisationLimits.Usages(own, fromReporter, now)) {
		x.write(&r, peers)
	}
}

// setSources sets the place of the own entry in the limits and the sources that report on the other
// entries, with those that have just left.
func (x *Exchange) setSources(w weights, sources []quota.Source, now time.Time) {
	self := quota.Self{Weight: w.self}
	if x.opt.Registration != nil {
		r := x.opt.Registration()
		self.Registration = &r
	}
	x.departures.update(w, now)
	x.opt.OrganisationLimits.SetSources(self, append(sources, x.departures.source(now)), now)
}

// hasOrganisationLimits reports whether the use of limits is to be reported.
func (x *Exchange) hasOrganisationLimits() bool {
	return x.opt.OrganisationLimits != nil && x.opt.OrganisationLimits.HasLimits()
}

// sendUsagesToAll reports the own entry's use to all peers of a small fleet.
func (x *Exchange) sendUsagesToAll(fleet Fleet, now time.Time) {
	if !x.hasOrganisationLimits() {
		return
	}
	w := fleet.weights()
	x.weight = w.self
	x.setSources(w, []quota.Source{{Name: peersSource, Weight: w.all()}}, now)
	x.sendUsages(fleet.Peers, ScopeOwn, true, noReporter, now)
}

// sendUsagesByHubs reports the use of limits in a fleet with hubs. An entry reports its own use
// to its hub; a hub reports the sum of its failure domain to the other hubs, and the sum of
// all other entries to each entry of the domain that is busy or advertised.
//
// Entries may disagree for a while on which entry is the hub. An entry that some use as their
// hub, but which has a hub itself, reports to its hub the sum of these entries, and to them
// the sum that its hub reported. No sum includes another sum that was made in the same
// way: such sums would circulate between hubs and grow.
func (x *Exchange) sendUsagesByHubs(fleet Fleet, hub Peer, busy, idle, remote []Peer, now time.Time) {
	if !x.hasOrganisationLimits() {
		return
	}
	w := fleet.weights()
	x.weight = w.self
	inDomain := make(map[string]bool, 2*len(fleet.HubCandidates))
	for _, p := range fleet.HubCandidates {
		inDomain[p.ID] = p.ID != hub.ID
	}
	fromDomain := func(reporter string) bool { return inDomain[reporter] }
	reportersFor := func(p Peer) func(string) bool {
		return func(reporter string) bool { return reporter != p.ID }
	}
	x.hasHub = hub.ID != x.opt.Entry
	if !x.hasHub {
		x.setSources(w, fleet.hubSources(w), now)
		fromDomainOrSum := func(reporter string) bool { return inDomain[strings.TrimSuffix(reporter, domainSuffix)] }
		x.sendUsages(remote, ScopeDomain, true, fromDomainOrSum, now)
	} else {
		x.setSources(w, []quota.Source{{Name: allOthers, Weight: w.all(), Complete: true}, {Name: peersSource}}, now)
		x.sendUsages([]Peer{hub}, ScopeOwn, true, noReporter, now)
		if len(busy)+len(idle) > 0 {
			x.sendUsages([]Peer{hub}, ScopeDomain, false, fromDomain, now)
		}
		reportersFor = func(Peer) func(string) bool { return fromHub }
	}
	for _, p := range slices.Concat(busy, advertisedAmong(idle)) {
		x.sendUsages([]Peer{p}, ScopeOthers, true, reportersFor(p), now)
	}
}

// Suffixes of reporter names. The name of an entry's own use is the entry's ID. The name of a sum
// over several entries is the ID of the entry that reports it with a suffix: domainSuffix for a
// sum over the reporter's failure domain, othersSuffix and relayedSuffix for a sum over all
// other entries, which a hub has computed or another entry relays.
const (
	domainSuffix  = "+"
	othersSuffix  = "*"
	relayedSuffix = "~"
)

// fromHub selects the hub's sum over all other entries, except a relayed one.
func fromHub(reporter string) bool { return strings.HasSuffix(reporter, othersSuffix) }

// peersSource is the name of the source for the entries that report to this one.
const peersSource = "peers"

// noReporter selects no reporter.
func noReporter(string) bool { return false }

// sourceOf returns the source that a report of usages covers, and the name of its reporter.
// own has the IDs of the entries of the own failure domain.
func (x *Exchange) sourceOf(r *Report, from Peer, own map[string]bool) (source, reporter string) {
	switch {
	case r.UsagesScope == ScopeOthers && r.Relayed:
		return allOthers, from.ID + relayedSuffix
	case r.UsagesScope == ScopeOthers:
		return allOthers, from.ID + othersSuffix
	case r.UsagesScope == ScopeDomain && own[from.ID]:
		return peersSource, from.ID + domainSuffix
	case r.UsagesScope == ScopeDomain:
		return allOthers + from.Domain, from.ID + domainSuffix
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

// weights returns the weights of the entries of a fleet.
func (f *Fleet) weights() weights {
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

// handleUsages passes a peer's report of usages to OrganisationLimits.
func (x *Exchange) handleUsages(r *Report, from Peer, fleet Fleet, now time.Time) {
	if x.opt.OrganisationLimits == nil {
		return
	}
	own := make(map[string]bool, len(fleet.HubCandidates))
	for _, p := range fleet.HubCandidates {
		own[p.ID] = true
	}
	report := quota.Report{CoveredWeight: r.CoveredWeight, Idle: r.Idle, First: r.First, Last: r.Last, Usages: r.Usages}
	report.Source, report.Reporter = x.sourceOf(r, from, own)
	x.opt.OrganisationLimits.ApplyReport(report, now)
}
