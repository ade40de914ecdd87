package inflight

import "time"

const (
	// silentAfter is the time without a report after which an entry counts as absent, which
	// is the time of five reports from another region. The registration of a lost entry
	// remains for some seconds, and far longer while the platform's service that holds the
	// registrations is unavailable.
	silentAfter = time.Second
	// maxSilentShare is the largest share of peers that may count as silent. If more are
	// silent, this entry is more likely cut off itself.
	maxSilentShare = 0.5
)

// presence detects absent entries by their reports, so that look-ups do not return an entry
// that has failed or is stopping while its registration remains. Access to it is not
// synchronized.
type presence struct {
	// listedSince has the time at which each entry was first listed.
	listedSince map[string]time.Time
	// unusable has the entries whose last report announced that they stop or are isolated.
	unusable map[string]bool
}

// newPresence returns a presence without any peers.
func newPresence() *presence {
	return &presence{listedSince: make(map[string]time.Time), unusable: make(map[string]bool)}
}

// record records whether an entry's last report announced that the entry stops or is isolated.
func (p *presence) record(id string, unusable bool) { p.unusable[id] = unusable }

// setListed replaces the list of peers. State of peers that are no longer listed is deleted.
func (p *presence) setListed(peers []Peer, now time.Time) {
	listed := make(map[string]bool, len(peers))
	for _, peer := range peers {
		listed[peer.ID] = true
		if _, ok := p.listedSince[peer.ID]; !ok {
			p.listedSince[peer.ID] = now
		}
	}
	for id := range p.listedSince {
		if !listed[id] {
			delete(p.listedSince, id)
			delete(p.unusable, id)
		}
	}
}

// absent returns the listed peers that are stopping, isolated or silent, given the time of each
// entry's last report. No peer counts as silent if more than maxSilentShare would.
func (p *presence) absent(lastReport map[string]time.Time, now time.Time) map[string]bool {
	out := make(map[string]bool)
	silent := 0
	for id, since := range p.listedSince {
		last := lastReport[id]
		if since.After(last) {
			last = since
		}
		if now.Sub(last) >= silentAfter {
			out[id] = true
			silent++
		}
	}
	if float64(silent) > maxSilentShare*float64(len(p.listedSince)) {
		clear(out)
	}
	for id := range p.listedSince {
		if p.unusable[id] {
			out[id] = true
		}
	}
	return out
}
