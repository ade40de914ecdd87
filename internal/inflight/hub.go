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
	// idleHubSilence is the same for an entry that is idle, which is told each idlePeriod.
	idleHubSilence = 3 * idlePeriod
	// maxUnheard is the share of a failure domain that may be taken for gone by its hub.
	// Most instances of a domain may be lost at once.
	maxUnheard = 0.9
	// hubAvoid is how long a hub that was given up is passed over.
	hubAvoid = 3 * time.Second
	// reporterFresh is how long an entry that reported is counted and told, and
	// idleReporterFresh how long one that is idle.
	reporterFresh     = time.Second
	idleReporterFresh = 3 * idlePeriod
)

// Peer is another entry.
type Peer struct {
	ID      string
	Address netip.AddrPort
	Domain  string
	// SameRegion is set for peers of the own region.
	SameRegion bool
	// Advertised is set for those that look-ups name.
	Advertised bool
}

// Fleet is the other entries, and who may be the hub of which failure domain.
type Fleet struct {
	Peers []Peer
	// Advertised is set if look-ups name the own entry.
	Advertised bool
	// HubCandidates are the candidates for hub of the own failure domain, the best first, the
	// own entry among them.
	HubCandidates []Peer
	// RemoteHubs are the first candidates of the other failure domains.
	RemoteHubs []Peer
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
	// servingSince is when this entry was first reported to, of late.
	servingSince time.Time
}

type reporter struct {
	Peer
	at   time.Time
	idle bool
}

// fresh reports whether a reporter is still there.
func (r reporter) fresh(now time.Time) bool {
	if r.idle {
		return now.Sub(r.at) < idleReporterFresh
	}
	return now.Sub(r.at) < reporterFresh
}

func newHubs(self string) *hubs {
	return &hubs{
		self:  self,
		heard: make(map[string]time.Time), told: make(map[string]time.Time), avoided: make(map[string]time.Time),
		reporters: make(map[string]reporter), remote: make(map[string]reporter),
	}
}

// take records a report. From is the peer that sent it.
func (h *hubs) take(from Peer, r *Report, now time.Time) {
	h.heard[from.ID] = now
	switch r.Scope {
	case ScopeOwn:
		if len(h.reporters) == 0 {
			h.servingSince = now
		}
		h.reporters[from.ID] = reporter{from, now, r.Idle}
	case ScopeDomain:
		h.remote[from.Domain] = reporter{from, now, false}
	}
}

// expect has the hub that is told now answer from now on, as this entry, which was idle
// and was told seldom, is to be told more often.
func (h *hubs) expect(now time.Time) {
	for id := range h.told {
		h.told[id] = now
	}
}

// pick returns the hub of the own failure domain: the first candidate that has not been
// silent for longer than allowed. The own entry is one, and is never silent.
func (h *hubs) pick(candidates []Peer, silence time.Duration, now time.Time) Peer {
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
		if now.Sub(since) < silence {
			return c
		}
		h.avoided[c.ID] = now
		delete(h.told, c.ID)
	}
	return Peer{}
}

// reporting returns the entries that report to this one, those that carry requests and
// those that are idle.
func (h *hubs) reporting(now time.Time) (busy, idle []Peer) {
	for id, r := range h.reporters {
		switch {
		case !r.fresh(now):
			delete(h.reporters, id)
		case r.idle:
			idle = append(idle, r.Peer)
		default:
			busy = append(busy, r.Peer)
		}
	}
	return busy, idle
}

// absent returns those candidates for hub of the own failure domain that this entry,
// as its hub, does not hear. It says nothing of any while it has not been the hub for
// long enough to have heard all, nor if it hears next to none: then it is more likely
// cut off itself.
func (h *hubs) absent(candidates []Peer, now time.Time) []string {
	if len(h.reporters) == 0 || now.Sub(h.servingSince) < idleReporterFresh {
		return nil
	}
	var out []string
	for _, c := range candidates {
		if c.ID != h.self && now.Sub(h.heard[c.ID]) >= idleReporterFresh {
			out = append(out, c.ID)
		}
	}
	if float64(len(out)) > maxUnheard*float64(len(candidates)) {
		return nil
	}
	return out
}

// speaker returns who speaks for another failure domain: the entry that did of late,
// else the first candidate.
func (h *hubs) speaker(candidate Peer, now time.Time) Peer {
	if r, ok := h.remote[candidate.Domain]; ok && r.fresh(now) {
		return r.Peer
	}
	return candidate
}
