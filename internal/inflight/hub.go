package inflight

import (
	"net/netip"
	"time"
)

const (
	// maxDirect is up to how many peers every entry tells each other one itself.
	// Beyond, its reports would cost more than the requests that they count, and
	// each failure domain has a hub.
	maxDirect = 24
	// hubSilence is after what time without a report from it a hub is given up. It
	// sends one in each period.
	hubSilence = 500 * time.Millisecond
	// hubAvoid is how long a hub that was given up is passed over.
	hubAvoid = 3 * time.Second
	// reporterFresh is how long an entry that reported is counted and told.
	reporterFresh = time.Second
)

// Peer is another entry.
type Peer struct {
	ID      string
	Address netip.AddrPort
	Domain  string
	// Near is set for peers of the own region.
	Near bool
}

// Fleet is the other entries, and who may be the hub of which failure domain.
type Fleet struct {
	Peers []Peer
	// Hubs are the candidates for hub of the own failure domain, the best first, the
	// own entry among them.
	Hubs []Peer
	// Remote are the first candidates of the other failure domains.
	Remote []Peer
}

// hubs follows which entries work as hubs. It decides; Exchange sends. The caller
// passes the time in and guards it.
type hubs struct {
	self string
	// heard is when each entry last reported, and since when a hub has been told.
	heard map[string]time.Time
	told  map[string]time.Time
	// avoided are the hubs that were given up, by when.
	avoided map[string]time.Time
	// reporters are the entries that report to this one, by when they last did.
	reporters map[string]reporter
	// remote is which entry last spoke for each other failure domain.
	remote map[string]reporter
}

type reporter struct {
	Peer
	at time.Time
}

func newHubs(self string) *hubs {
	return &hubs{
		self:  self,
		heard: make(map[string]time.Time), told: make(map[string]time.Time), avoided: make(map[string]time.Time),
		reporters: make(map[string]reporter), remote: make(map[string]reporter),
	}
}

// take records a report. From is the peer that sent it.
func (h *hubs) take(from Peer, scope Scope, now time.Time) {
	h.heard[from.ID] = now
	switch scope {
	case ScopeOwn:
		h.reporters[from.ID] = reporter{from, now}
	case ScopeDomain:
		h.remote[from.Domain] = reporter{from, now}
	}
}

// pick returns the hub of the own failure domain: the first candidate that is not
// silent. The own entry is one, and is never silent.
func (h *hubs) pick(candidates []Peer, now time.Time) Peer {
	for _, c := range candidates {
		if c.ID == h.self {
			return c
		}
		if now.Sub(h.avoided[c.ID]) < hubAvoid {
			continue
		}
		since, telling := h.told[c.ID]
		if !telling {
			h.told = map[string]time.Time{c.ID: now}
			return c
		}
		if last := h.heard[c.ID]; last.After(since) {
			since = last
		}
		if now.Sub(since) < hubSilence {
			return c
		}
		h.avoided[c.ID] = now
		delete(h.told, c.ID)
	}
	return Peer{}
}

// reporting returns the entries that report to this one.
func (h *hubs) reporting(now time.Time) []Peer {
	var out []Peer
	for id, r := range h.reporters {
		if now.Sub(r.at) >= reporterFresh {
			delete(h.reporters, id)
			continue
		}
		out = append(out, r.Peer)
	}
	return out
}

// speaker returns who speaks for another failure domain: the entry that did of late,
// else the first candidate.
func (h *hubs) speaker(candidate Peer, now time.Time) Peer {
	if r, ok := h.remote[candidate.Domain]; ok && now.Sub(r.at) < reporterFresh {
		return r.Peer
	}
	return candidate
}
