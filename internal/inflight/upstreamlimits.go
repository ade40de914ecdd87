package inflight

import (
	"math"
	"slices"
	"time"

	"google.golang.org/protobuf/encoding/protowire"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/ratelimit"
)

// This file has the reports of the limits that upstreams announce; see package ratelimit.
// Entries that may send to a limited upstream report their request counts there to each other
// without delay. The limits themselves go to the peers that also get the reports of requests in
// flight.

const (
	// maxLimitUpdates bounds the upstreams of one report, so that it fits a datagram; an
	// upstream takes up to 16 bytes.
	maxLimitUpdates = 75
	// maxLimitUnits bounds the limits accepted from a report, in units of
	// ratelimit.Resolution.
	maxLimitUnits = 1 << 50
	// recentUpdatesPeriods is the number of periods (localPeriod) between two reports of recent
	// updates, which also confirm to other senders that this entry is present;
	// allUpdatesPeriods is the number between two reports of all limits.
	recentUpdatesPeriods = 2
	allUpdatesPeriods    = 10
	// minUrgentInterval is the shortest time between two urgent reports.
	minUrgentInterval = 5 * time.Millisecond
	// maxStarted bounds the queue of started peers to which all limits are to be sent.
	maxStarted = 64
	// minChangesInterval is the shortest time between two urgent reports of changed limits.
	minChangesInterval = 50 * time.Millisecond
)

// UpstreamLimits holds the limits of upstreams that an Exchange reports, and applies the limits
// and request counts that peers report.
type UpstreamLimits interface {
	// UrgentLimitUpdates returns a channel that receives a value when a report is to be sent
	// without delay.
	UrgentLimitUpdates() <-chan struct{}
	// LimitUpdates returns the limits and request counts to report.
	LimitUpdates(scope balance.UpdateScope) []balance.LimitUpdate
	// LimitSenders returns the IDs of the entries that share the limit of an upstream with
	// this entry.
	LimitSenders() map[string]bool
	// ApplyLimitUpdates applies the limits and request counts that an incarnation of a peer
	// has reported.
	ApplyLimitUpdates(peer string, incarnation uint64, updates []balance.LimitUpdate)
}

// appendLimitUpdates appends the encoding of up to maxLimitUpdates limits. A limit is encoded as
// its units plus one, where 0 means no limit.
func appendLimitUpdates(b []byte, updates []balance.LimitUpdate) []byte {
	for _, u := range updates[:min(len(updates), maxLimitUpdates)] {
		units := uint64(0)
		if u.PerSecond < ratelimit.Unlimited {
			units = 1 + uint64(math.Round(u.PerSecond/ratelimit.Resolution))
		}
		b = protowire.AppendFixed32(b, u.Upstream)
		b = protowire.AppendVarint(b, units)
		b = protowire.AppendVarint(b, uint64(u.Version))
		b = protowire.AppendVarint(b, uint64(u.Sent))
	}
	return b
}

// decodeLimitUpdates decodes the output of appendLimitUpdates.
func decodeLimitUpdates(b []byte) ([]balance.LimitUpdate, error) {
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
		if v[0] > maxLimitUnits || v[1] > math.MaxUint32 || v[2] > math.MaxUint32 || len(out) == maxLimitUpdates {
			return nil, errMalformed
		}
		u := balance.LimitUpdate{Upstream: upstream, PerSecond: ratelimit.Unlimited, Version: uint32(v[1]), Sent: uint32(v[2])}
		if v[0] > 0 {
			u.PerSecond = ratelimit.Round(float64(v[0]-1) * ratelimit.Resolution)
		}
		out = append(out, u)
	}
	return out, nil
}

// sendLimitUpdates sends limits to peers, in as many reports as needed. It sends an empty report
// if there are no limits, as this still confirms that the entry is present.
func (x *Exchange) sendLimitUpdates(peers []Peer, updates []balance.LimitUpdate) {
	for first := true; first || len(updates) > 0; first = false {
		n := min(len(updates), maxLimitUpdates)
		r := Report{
			Entry: x.opt.Entry, Incarnation: x.opt.Incarnation, Sequence: x.seq,
			Scope: ScopeNone, Last: allUpstreams, HasLimitUpdates: true, LimitUpdates: updates[:n],
		}
		updates = updates[n:]
		x.write(&r, peers)
	}
}

// sendUrgentLimitUpdates sends unsent request counts to the other senders of their upstreams, and
// changed limits to the peers of the periodic reports.
func (x *Exchange) sendUrgentLimitUpdates(now time.Time) {
	updates := x.opt.UpstreamLimits.LimitUpdates(balance.UnsentUpdates)
	x.sendLimitUpdatesToSenders(x.opt.Fleet(), updates, nil)
	changed := slices.DeleteFunc(updates, func(u balance.LimitUpdate) bool { return !u.Changed })
	if len(changed) > 0 && now.Sub(x.changesSentAt) >= minChangesInterval {
		x.changesSentAt = now
		x.sendLimitUpdates(x.limitPeers, changed)
	}
}

// recordIncarnation records the incarnation of a peer and queues the peer if the incarnation is
// new, so that it gets all limits without delay. If the queue is full the peer gets them by the
// next periodic report.
func (x *Exchange) recordIncarnation(p Peer, incarnation uint64, fleet Fleet) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.opt.UpstreamLimits == nil || incarnation <= x.incarnations[p.ID] {
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

// sendLimitUpdatesToStarted sends all limits to a peer that has started.
func (x *Exchange) sendLimitUpdatesToStarted(p Peer) {
	if updates := x.opt.UpstreamLimits.LimitUpdates(balance.AllUpdates); len(updates) > 0 {
		x.sendLimitUpdates([]Peer{p}, updates)
	}
}

// sendPeriodicLimitUpdates repeats reports that may have been lost: request counts to the other
// senders, and limits to the given peers.
func (x *Exchange) sendPeriodicLimitUpdates(fleet Fleet, to []Peer) {
	x.limitPeers = to
	if x.opt.UpstreamLimits == nil || x.seq%recentUpdatesPeriods != 0 {
		return
	}
	scope := balance.RecentUpdates
	if x.seq%allUpdatesPeriods == 0 {
		scope = balance.AllUpdates
	}
	updates := x.opt.UpstreamLimits.LimitUpdates(scope)
	x.sendLimitUpdatesToSenders(fleet, updates, x.opt.UpstreamLimits.LimitSenders())
	if len(updates) > 0 {
		x.sendLimitUpdates(to, updates)
	}
}

// limitPeersByHubs returns the peers to which an entry of a fleet with hubs sends limits: its
// hub, and, if it acts as a hub, its reporters and the hubs of the other failure domains.
func limitPeersByHubs(self string, hub Peer, busy, idle, remote []Peer) []Peer {
	out := slices.Concat(busy, idle)
	if hub.ID != self {
		out = append(out, hub)
	}
	if hub.ID == self || len(busy)+len(idle) > 0 {
		out = append(out, remote...)
	}
	return out
}

// sendLimitUpdatesToSenders sends each entry the updates of the upstreams to which that entry
// may send as well. The entries in always get a report even without updates, which confirms that
// this entry is present.
func (x *Exchange) sendLimitUpdatesToSenders(fleet Fleet, updates []balance.LimitUpdate, always map[string]bool) {
	if len(updates)+len(always) == 0 {
		return
	}
	shared := make(map[string][]balance.LimitUpdate)
	for _, u := range updates {
		for _, id := range u.Senders {
			shared[id] = append(shared[id], u)
		}
	}
	for _, p := range fleet.Peers {
		if list := shared[p.ID]; len(list) > 0 || always[p.ID] {
			x.sendLimitUpdates([]Peer{p}, list)
		}
	}
}
