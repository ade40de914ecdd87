package inflight

import (
	"net/netip"
	"time"
)

const (
	// maxDirect is the largest number of peers at which every entry reports to every
	// other. In a larger fleet these reports would cost more than the requests that they
	// count, and each failure domain has a hub.
	maxDirect = 24
	// hubTimeout is the time without a report after which a hub is given up. Hubs report
	// once in each localPeriod.
	hubTimeout = 500 * time.Millisecond
	// idleHubTimeout is the hubTimeout of an idle entry, to which hubs report once in each
	// idlePeriod.
	idleHubTimeout = 3 * idlePeriod
	// maxAbsentShare is the largest share of a failure domain that a hub reports as absent.
	// It is large because most instances of a domain may be lost at once.
	maxAbsentShare = 0.9
	// hubAvoidTime is the time for which a hub that was given up is not picked again.
	hubAvoidTime = 3 * time.Second
	// reporterTimeout is the time after its last report for which an entry's counts are used
	// and reports are sent to it, idleReporterTimeout the same for an idle entry.
	reporterTimeout     = time.Second
	idleReporterTimeout = 3 * idlePeriod
)

// Peer is another entry, to which reports are sent and from which they are accepted.
type Peer struct {
	ID      string
	Address netip.AddrPort
	Domain  string
	// SameRegion is set for peers of the own region.
	SameRegion bool
	// Advertised is set for peers that look-ups return to callers.
	Advertised bool
}

// Fleet lists the other entries, and the candidates for hub of each failure domain.
type Fleet struct {
	Peers []Peer
	// Advertised is set if look-ups return the own entry to callers.
	Advertised bool
	// HubCandidates are the candidates for hub of the own failure domain, including the
	// own entry, in order of preference.
	HubCandidates []Peer
	// RemoteHubs are the first candidates for hub of the other failure domains.
	RemoteHubs []Peer
}

// hubs keeps track of the entries that act as hubs, and of the entries for which this one
// acts as the hub. Access to it is not synchronized.
type hubs struct {
	self string
	// lastReport has the time of the last report of each entry, reportingSince the time
	// since which this entry reports to its hub.
	lastReport     map[string]time.Time
	reportingSince map[string]time.Time
	// avoidedAt has the time at which each hub was given up.
	avoidedAt map[string]time.Time
	// reporters are the entries that report to this one.
	reporters map[string]reporter
	// remoteHubs has the entry that last reported for each other failure domain.
	remoteHubs map[string]reporter
	// hubSince is the time since which this entry has reporters without interruption.
	hubSince time.Time
}

// reporter is an entry with the time and the Idle flag of its last report.
type reporter struct {
	Peer
	at   time.Time
	idle bool
}

// fresh reports whether the last report is recent enough to count the reporter as present.
func (r reporter) fresh(now time.Time) bool {
	if r.idle {
		return now.Sub(r.at) < idleReporterTimeout
	}
	return now.Sub(r.at) < reporterTimeout
}

// newHubs returns the hubs of the entry with the ID self, without any reports.
func newHubs(self string) *hubs {
	return &hubs{
		self:       self,
		lastReport: make(map[string]time.Time), reportingSince: make(map[string]time.Time), avoidedAt: make(map[string]time.Time),
		reporters: make(map[string]reporter), remoteHubs: make(map[string]reporter),
	}
}

// record records the arrival of a report from a peer.
func (h *hubs) record(from Peer, r *Report, now time.Time) {
	h.lastReport[from.ID] = now
	switch r.Scope {
	case ScopeOwn:
		if len(h.reporters) == 0 {
			h.hubSince = now
		}
		h.reporters[from.ID] = reporter{from, now, r.Idle}
	case ScopeDomain:
		h.remoteHubs[from.Domain] = reporter{from, now, false}
	}
}

// restartTimeout restarts the timeout of the current hub. It is called when this entry
// becomes busy: the hub has sent reports once in each idlePeriod so far, and the shorter
// hubTimeout applies from now on.
func (h *hubs) restartTimeout(now time.Time) {
	for id := range h.reportingSince {
		h.reportingSince[id] = now
	}
}

// pick returns the hub of the own failure domain: the first candidate that has sent a
// report within the timeout and was not given up within hubAvoidTime. A candidate that is
// picked for the first time has the timeout to send its first report. The own entry, if
// it is a candidate, never times out. The result is the zero Peer if there is no such candidate.
func (h *hubs) pick(candidates []Peer, timeout time.Duration, now time.Time) Peer {
	for _, c := range candidates {
		if c.ID == h.self {
			return c
		}
		if now.Sub(h.avoidedAt[c.ID]) < hubAvoidTime {
			continue
		}
		since, reporting := h.reportingSince[c.ID]
		if !reporting {
			h.reportingSince = map[string]time.Time{c.ID: now}
			return c
		}
		if last := h.lastReport[c.ID]; last.After(since) {
			since = last
		}
		if now.Sub(since) < timeout {
			return c
		}
		h.avoidedAt[c.ID] = now
		delete(h.reportingSince, c.ID)
	}
	return Peer{}
}

// activeReporters returns the entries that report to this one, divided into busy and idle
// entries, and deletes those whose reports have stopped.
func (h *hubs) activeReporters(now time.Time) (busy, idle []Peer) {
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

// absent returns the IDs of the candidates for hub of the own failure domain that send no
// reports to this entry, their hub. The result is nil while this entry has been the hub for
// less than idleReporterTimeout, in which not all entries need have reported yet, and if more
// than maxAbsentShare of the candidates are silent: then this entry is more likely cut off
// itself.
func (h *hubs) absent(candidates []Peer, now time.Time) []string {
	if len(h.reporters) == 0 || now.Sub(h.hubSince) < idleReporterTimeout {
		return nil
	}
	var out []string
	for _, c := range candidates {
		if c.ID != h.self && now.Sub(h.lastReport[c.ID]) >= idleReporterTimeout {
			out = append(out, c.ID)
		}
	}
	if float64(len(out)) > maxAbsentShare*float64(len(candidates)) {
		return nil
	}
	return out
}

// remoteHub returns the hub of another failure domain: the entry that has recently reported
// for the domain, else the given first candidate.
func (h *hubs) remoteHub(candidate Peer, now time.Time) Peer {
	if r, ok := h.remoteHubs[candidate.Domain]; ok && r.fresh(now) {
		return r.Peer
	}
	return candidate
}
