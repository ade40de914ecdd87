package inflight

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// This file has the reports of the rate limits that upstreams announce; see package ratelimit.
// The senders of an upstream report the number of their requests to each other at once. The
// limits themselves go to the peers that also get the reports of requests in flight.

const (
	// maxRates bounds the upstreams of one report, so that it fits a datagram; an upstream
	// takes up to 16 bytes.
	maxRates = 75
	// maxRateUnits bounds the limits accepted from a report, in units of
	// ratelimit.Resolution.
	maxRateUnits = 1 << 50
	// ratesPeriods is the number of periods (localPeriod) between two reports that confirm to other
	// senders that this entry is present, allRatesPeriods the number between two reports of
	// all limits.
	ratesPeriods    = 2
	allRatesPeriods = 10
	// urgentGap is the shortest time between two urgent reports.
	urgentGap = 5 * time.Millisecond
	// maxStarted bounds the queue of started peers that are to get all limits.
	maxStarted = 64
	// changesGap is the shortest time between two urgent reports of changed limits.
	changesGap = 50 * time.Millisecond
)

// Rates holds the limits of upstreams that an Exchange reports, and takes the limits and
// counts that peers report.
type Rates interface {
	// UrgentUpdates returns a channel that has a value when a report is to be sent at once.
	UrgentUpdates() <-chan struct{}
	// LimitUpdates returns the limits and request counts to report.
	LimitUpdates(scope balance.UpdateScope) []balance.LimitUpdate
	// LimitSenders returns the ids of the entries that share the limit of an upstream with
	// this entry.
	LimitSenders() map[string]bool
	// ApplyPeerLimits applies the limits and request counts that an incarnation of a peer
	// has reported.
	ApplyPeerLimits(peer string, incarnation uint64, rates []balance.LimitUpdate)
}

// appendRates appends the encoding of up to maxRates limits. A limit is encoded as its units
// plus one, where 0 means no limit.
func appendRates(b []byte, rates []balance.LimitUpdate) []byte {
	for _, n := range rates[:min(len(rates), maxRates)] {
		units := uint64(0)
		if n.PerSecond < ratelimit.Unlimited {
			units = 1 + uint64(math.Round(n.PerSecond/ratelimit.Resolution))
		}
		b = protowire.AppendFixed32(b, n.Upstream)
		b = protowire.AppendVarint(b, units)
		b = protowire.AppendVarint(b, uint64(n.Version))
		b = protowire.AppendVarint(b, uint64(n.Sent))
	}
	return b
}

// decodeRates decodes the output of appendRates.
func decodeRates(b []byte) ([]balance.LimitUpdate, error) {
	var out []balance.LimitUpdate
	var upstream uint32
	var v [3]uint64
	var err error
	for len(b) > 0 {
		if upstream, b, err = consumeHash(b); err != nil {
			return nil, err
		}
		if b, err = consumeVarints(b, v[:]); err != nil {
			return nil, err
		}
		if v[0] > maxRateUnits || v[1] > math.MaxUint32 || v[2] > math.MaxUint32 || len(out) == maxRates {
			return nil, errMalformed
		}
		r := balance.LimitUpdate{Upstream: upstream, PerSecond: ratelimit.Unlimited, Version: uint32(v[1]), Sent: uint32(v[2])}
		if v[0] > 0 {
			r.PerSecond = ratelimit.Round(float64(v[0]-1) * ratelimit.Resolution)
		}
		out = append(out, r)
	}
	return out, nil
}

// sendRates sends limits to peers, in as many reports as needed. It sends an empty report if
// there are no limits, as this still confirms that the entry is present.
func (x *Exchange) sendRates(peers []Peer, updates []balance.LimitUpdate) {
	for first := true; first || len(updates) > 0; first = false {
		n := min(len(updates), maxRates)
		r := Report{
			Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
			Scope: ScopeNone, Last: allUpstreams, HasRates: true, Rates: updates[:n],
		}
		updates = updates[n:]
		x.buf = r.Append(x.buf[:0])
		for _, p := range peers {
			_, _ = x.conn.WriteToUDPAddrPort(x.buf, p.Address)
		}
	}
}

// sendUrgentRates sends unsent request counts to the other senders of their upstreams, and
// changed limits to the peers of the periodic reports.
func (x *Exchange) sendUrgentRates(now time.Time) {
	updates := x.opt.Rates.LimitUpdates(balance.UnsentUpdates)
	x.sendRatesToSenders(x.opt.Fleet(), updates, nil)
	changed := slices.DeleteFunc(updates, func(n balance.LimitUpdate) bool { return !n.Changed })
	if len(changed) > 0 && now.Sub(x.changesSentAt) >= changesGap {
		x.changesSentAt = now
		x.sendRates(x.ratePeers, changed)
	}
}

// noteIncarnation queues a peer of which a new incarnation is seen, so that it gets all limits
// at once. If the queue is full the peer gets them by the next periodic report.
func (x *Exchange) noteIncarnation(p Peer, incarnation uint64, fleet Fleet) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.opt.Rates == nil || incarnation <= x.incarnations[p.ID] {
		return
	}
	if len(x.incarnations) > 2*len(fleet.Peers) {
		// Most of these entries are no longer in the fleet.
		clear(x.incarnations)
	}
	x.incarnations[p.ID] = incarnation
	select {
	case x.started <- p:
	default:
	}
}

// sendRatesToStarted sends all limits to a peer that has started.
func (x *Exchange) sendRatesToStarted(p Peer) {
	if updates := x.opt.Rates.LimitUpdates(balance.AllUpdates); len(updates) > 0 {
		x.sendRates([]Peer{p}, updates)
	}
}

// sendPeriodicRates repeats what may have been lost: request counts to the other senders, and
// limits to the given peers.
func (x *Exchange) sendPeriodicRates(fleet Fleet, to []Peer) {
	x.ratePeers = to
	if x.opt.Rates == nil || x.seq%ratesPeriods != 0 {
		return
	}
	scope := balance.RecentUpdates
	if x.seq%allRatesPeriods == 0 {
		scope = balance.AllUpdates
	}
	updates := x.opt.Rates.LimitUpdates(scope)
	x.sendRatesToSenders(fleet, updates, x.opt.Rates.LimitSenders())
	if len(updates) > 0 {
		x.sendRates(to, updates)
	}
}

// ratePeersByHubs returns the peers to which an entry of a fleet with hubs sends limits: its
// hub, and, if it acts as a hub, its reporters and the hubs of the other failure domains.
func ratePeersByHubs(self string, hub Peer, busy, idle, remote []Peer) []Peer {
	out := slices.Concat(busy, idle)
	if hub.ID != self {
		out = append(out, hub)
	}
	if hub.ID == self || len(busy)+len(idle) > 0 {
		out = append(out, remote...)
	}
	return out
}

// sendRatesToSenders sends each entry the updates of the upstreams to which that entry may send
// as well. The entries in always get a report in any case, which confirms that this entry is
// present.
func (x *Exchange) sendRatesToSenders(fleet Fleet, updates []balance.LimitUpdate, always map[string]bool) {
	if len(updates)+len(always) == 0 {
		return
	}
	shared := make(map[string][]balance.LimitUpdate)
	for _, n := range updates {
		for _, id := range n.Senders {
			shared[id] = append(shared[id], n)
		}
	}
	for _, p := range fleet.Peers {
		if list := shared[p.ID]; len(list) > 0 || always[p.ID] {
			x.sendRates([]Peer{p}, list)
		}
	}
}
