package inflight

import (
	"math"
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/demand"
)

// This file has the reports of the demand for services; see package demand. An entry reports its own
// demand to its hub, a hub the sum of its failure domain to the other hubs and the sum of all entries
// to those of its domain. Each report is about one service.

const (
	// demandPeriod is the time between reports of the demand.
	demandPeriod = 400 * time.Millisecond
	// idleDemandRounds is the number of rounds of reports of which a hub sends one to idle entries.
	idleDemandRounds = 3
	// maxDemandServices bounds the services that are reported at one time; more are reported in turn.
	maxDemandServices = 4
	// maxDemandRows bounds the rows of one report, so that it fits a datagram; a row takes up to 12
	// bytes.
	maxDemandRows = 90
	// maxDemandRegions bounds the regions of one report, and maxNameLength the names in it.
	maxDemandRegions = 32
	maxNameLength    = 100
	// demandUnit is the unit in which rates are encoded, in requests per second.
	demandUnit = 0.1
	// workUnit is the unit in which the measured work is encoded, in slots.
	workUnit = 0.01
	// maxDemandUnits bounds the rates accepted from a report, maxDemandEntries the entries.
	maxDemandUnits   = 1 << 27
	maxDemandEntries = 1 << 16
	// maxRank bounds the ranks accepted from a report.
	maxRank = 1 << 10
)

// Demand holds the demand that an Exchange reports, and applies the reports of peers.
type Demand interface {
	// Services returns the services whose demand is to be reported now.
	Services(now time.Time) []string
	// Sum returns the demand reported by the reporters that from selects, plus that at the own entry
	// if own is set.
	Sum(service string, own bool, from func(reporter string) bool, now time.Time) demand.Summary
	// Apply replaces what a reporter has reported about a service.
	Apply(reporter, service string, s demand.Summary, now time.Time)
}

// ServiceDemand is the demand for a service at a number of entries.
type ServiceDemand struct {
	Service string
	demand.Summary
}

// dueDemand returns the services whose demand is to be reported in this period.
func (x *Exchange) dueDemand(now time.Time) []string {
	if x.opt.Demand == nil || now.Sub(x.demandSentAt) < demandPeriod-localPeriod/2 {
		return nil
	}
	x.demandSentAt = now
	x.demandRounds++
	services := x.opt.Demand.Services(now)
	if len(services) <= maxDemandServices {
		return services
	}
	slices.Sort(services)
	first := x.firstDemand % len(services)
	x.firstDemand = first + maxDemandServices
	return slices.Concat(services[first:], services[:first])[:maxDemandServices]
}

// sendDemand reports the demand for a service at the selected entries to peers.
func (x *Exchange) sendDemand(peers []Peer, scope Scope, service string, own bool, from func(reporter string) bool, now time.Time) {
	if len(peers) > 0 {
		x.writeDemand(peers, scope, &ServiceDemand{service, x.opt.Demand.Sum(service, own, from, now)}, maxDemandRows)
	}
}

// writeDemand sends a report of demand with about a number of rows to peers.
func (x *Exchange) writeDemand(peers []Peer, scope Scope, d *ServiceDemand, rows int) {
	d.Rows = demand.Fit(d.Rows, rows)
	r := Report{
		Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
		Scope: ScopeNone, Last: allUpstreams, DemandScope: scope, Demand: d,
	}
	x.write(&r, peers)
}

// sendDemandToAll reports the own demand to all peers of a small fleet.
func (x *Exchange) sendDemandToAll(fleet Fleet, now time.Time) {
	for _, service := range x.dueDemand(now) {
		x.sendDemand(fleet.Peers, ScopeOwn, service, true, noReporter, now)
	}
}

// sendDemandByHubs reports the demand in a fleet with hubs. busy and idle are the entries that report to
// this one, remote the hubs of the other failure domains. Idle entries get the demand less often, and
// without organisations. An entry that has a hub itself passes no sum of all entries on: that would
// circulate between hubs.
func (x *Exchange) sendDemandByHubs(hub Peer, busy, idle, remote []Peer, now time.Time) {
	isHub := hub.ID == x.opt.Entry
	all := func(string) bool { return true }
	for _, service := range x.dueDemand(now) {
		if !isHub {
			x.sendDemand([]Peer{hub}, ScopeOwn, service, true, noReporter, now)
			continue
		}
		x.sendDemand(remote, ScopeDomain, service, true, isEntry, now)
		total := x.opt.Demand.Sum(service, true, all, now)
		x.writeDemand(busy, ScopeOthers, &ServiceDemand{service, total}, maxDemandRows)
		if x.demandRounds%idleDemandRounds == 0 {
			x.writeDemand(idle, ScopeOthers, &ServiceDemand{service, total}, 1)
		}
	}
}

// handleDemand applies a peer's report of demand. The sums of a failure domain are kept by the hub that
// reports them: while its entries disagree on their hub, each of the hubs reports a part of them.
func (x *Exchange) handleDemand(r *Report, from Peer, now time.Time) {
	if x.opt.Demand == nil {
		return
	}
	reporter := from.ID
	switch r.DemandScope {
	case ScopeDomain:
		reporter = allOthers + from.ID
	case ScopeOthers:
		reporter = demand.Total
	}
	x.opt.Demand.Apply(reporter, r.Demand.Service, r.Demand.Summary, now)
}

// appendDemand appends the encoding of up to maxDemandRows rows. Regions are encoded by their index in
// a list of their names.
func appendDemand(b []byte, d *ServiceDemand) []byte {
	rows := d.Rows[:min(len(d.Rows), maxDemandRows)]
	var regions []string
	for _, r := range rows {
		if !slices.Contains(regions, r.Region) && len(regions) < maxDemandRegions {
			regions = append(regions, r.Region)
		}
	}
	b = protowire.AppendString(b, d.Service)
	b = protowire.AppendVarint(b, uint64(d.Entries))
	b = protowire.AppendVarint(b, uint64(math.Round(d.Work.Busy/workUnit)))
	b = protowire.AppendVarint(b, uint64(math.Round(d.Work.Rate/demandUnit)))
	b = protowire.AppendString(b, strings.Join(regions, "\x00"))
	for _, r := range rows {
		i := slices.Index(regions, r.Region)
		if i < 0 {
			continue
		}
		b = protowire.AppendVarint(b, uint64(i))
		b = protowire.AppendVarint(b, uint64(max(0, r.Rank)))
		b = protowire.AppendFixed32(b, r.Organisation)
		b = protowire.AppendVarint(b, uint64(math.Round(r.Arrived/demandUnit)))
		b = protowire.AppendVarint(b, uint64(math.Round(r.Admitted/demandUnit)))
	}
	return b
}

// decodeDemand decodes the output of appendDemand.
func decodeDemand(b []byte) (*ServiceDemand, error) {
	d := new(ServiceDemand)
	var v [3]uint64
	var names string
	var err error
	if d.Service, b, err = consumeName(b, maxNameLength); err != nil {
		return nil, err
	}
	if b, err = consumeVarints(b, v[:]); err != nil || v[0] > maxDemandEntries || max(v[1], v[2]) > maxDemandUnits {
		return nil, errMalformed
	}
	d.Entries = int(v[0])
	d.Work = demand.Work{Busy: float64(v[1]) * workUnit, Rate: float64(v[2]) * demandUnit}
	if names, b, err = consumeName(b, maxDatagram); err != nil {
		return nil, err
	}
	regions := strings.Split(names, "\x00")
	for len(b) > 0 {
		r := demand.Row{Key: demand.Key{Service: d.Service}}
		if b, err = consumeVarints(b, v[:2]); err != nil || v[0] >= uint64(len(regions)) || v[1] > maxRank {
			return nil, errMalformed
		}
		r.Region, r.Rank = regions[v[0]], int(v[1])
		if r.Organisation, b, err = consumeHash(b); err != nil {
			return nil, err
		}
		if b, err = consumeVarints(b, v[:2]); err != nil || v[0] > maxDemandUnits || v[1] > maxDemandUnits {
			return nil, errMalformed
		}
		r.Arrived, r.Admitted = float64(v[0])*demandUnit, float64(v[1])*demandUnit
		d.Rows = append(d.Rows, r)
	}
	return d, nil
}

// consumeName decodes a string of at most a number of bytes and returns the bytes after it.
func consumeName(b []byte, most int) (name string, rest []byte, err error) {
	name, n := protowire.ConsumeString(b)
	if n < 0 || len(name) > most {
		return "", nil, errMalformed
	}
	return name, b[n:], nil
}
