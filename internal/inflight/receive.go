package inflight

import (
	"errors"
	"net"
	"net/netip"
	"slices"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// This file has the receipt of reports.

// receive handles incoming reports until the socket is closed.
func (x *Exchange) receive() {
	buf := make([]byte, maxDatagram)
	for {
		n, from, err := x.conn.ReadFromUDPAddrPort(buf)
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			continue
		}
		r, err := Decode(buf[:n])
		if err != nil {
			klog.V(1).InfoS("rejected invalid report", "from", from, "err", err)
			continue
		}
		x.handleReport(r, from, x.opt.Now())
	}
}

// allOthers is the peer name, in OnReport, for the sum of all entries that a hub reports.
// The reports of a new hub replace those of the previous hub. This sum is never passed on.
const allOthers = "*"

// handleReport handles a report if it was sent by a known entry from that entry's address.
func (x *Exchange) handleReport(r *Report, from netip.AddrPort, now time.Time) {
	fleet := x.opt.Fleet()
	for _, p := range fleet.Peers {
		if p.ID != r.Entry {
			continue
		}
		if !sameAddress(p.Address, from) {
			klog.V(1).InfoS("rejected report from an address other than its entry's", "entry", p.ID, "address", p.Address, "from", from)
			return
		}
		x.recordIncarnation(p, r.Incarnation, fleet)
		if r.HasLimitUpdates {
			if x.opt.UpstreamLimits != nil {
				x.opt.UpstreamLimits.ApplyLimitUpdates(r.Entry, r.Incarnation, r.LimitUpdates)
			}
			return
		}
		if r.HasRollouts {
			x.handleRollouts(r, p)
			return
		}
		if r.Demand != nil {
			x.handleDemand(r, p, now)
			return
		}
		if r.HasUsages {
			x.handleUsages(r, p, fleet, now)
			return
		}
		if r.Scope == ScopeNone {
			r.Claims = acceptedClaims(r, len(fleet.Peers) > maxDirect)
			x.opt.OnReport(r.Entry, r)
			return
		}
		x.mu.Lock()
		x.hubs.record(p, r, now)
		x.presence.record(p.ID, r.Leaving || r.Isolated)
		if r.Scope == ScopeOthers {
			x.absent.apply(r.Absent, now)
		}
		x.mu.Unlock()
		x.opt.OnReport(peerNameOf(r), r)
		return
	}
	x.opt.OnUnknownSender(from)
}

// sameAddress reports whether two addresses are equal, of which one may be an IPv4-mapped
// IPv6 address.
func sameAddress(a, b netip.AddrPort) bool {
	return a.Port() == b.Port() && a.Addr().Unmap() == b.Addr().Unmap()
}

// acceptedClaims returns the Claims of a report that its sender may report: the Claims of
// the sender itself, and in a fleet with hubs also relayed ones. In a fleet without hubs, no
// entry can therefore send Claims in the name of others.
func acceptedClaims(r *Report, byHubs bool) []poison.Claim {
	if byHubs {
		return r.Claims
	}
	sender := poison.HashEntry(r.Entry)
	return slices.DeleteFunc(r.Claims, func(c poison.Claim) bool { return c.Source != sender })
}

// peerNameOf returns the name under which the counts of a report are kept. An entry that is
// both a hub and a direct peer has a name for each.
func peerNameOf(r *Report) string {
	switch r.Scope {
	case ScopeOthers:
		return allOthers
	case ScopeDomain:
		return allOthers + r.Entry
	}
	return r.Entry
}
