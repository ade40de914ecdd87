package inflight

import "time"

const (
	// silentAfter is after what time without a report an entry is taken for gone: five
	// reports of another region. Its registration outlives it by some seconds, and by
	// far more while the platform's service is away.
	silentAfter = time.Second
	// maxSilent is the share of the peers that may be taken for gone. When most are
	// silent it is more likely that this entry is cut off.
	maxSilent = 0.5
)

// presence follows which entries are there, by their reports, so that look-ups do not
// name one that died or stops while its registration stands. The caller passes the time in
// and guards it.
type presence struct {
	// since is when an entry was first listed.
	since map[string]time.Time
	// leaving are the entries whose last report said that they stop.
	leaving map[string]bool
}

func newPresence() *presence {
	return &presence{since: make(map[string]time.Time), leaving: make(map[string]bool)}
}

// take records whether an entry's report says that it stops.
func (p *presence) take(id string, leaving bool) { p.leaving[id] = leaving }

// list records which peers there are to be.
func (p *presence) list(peers []Peer, now time.Time) {
	listed := make(map[string]bool, len(peers))
	for _, peer := range peers {
		listed[peer.ID] = true
		if _, ok := p.since[peer.ID]; !ok {
			p.since[peer.ID] = now
		}
	}
	for id := range p.since {
		if !listed[id] {
			delete(p.since, id)
			delete(p.leaving, id)
		}
	}
}

// absent returns the listed peers that stop or are silent. Heard is when each entry last
// reported.
func (p *presence) absent(heard map[string]time.Time, now time.Time) map[string]bool {
	out := make(map[string]bool)
	silent := 0
	for id, since := range p.since {
		last := heard[id]
		if since.After(last) {
			last = since
		}
		if now.Sub(last) >= silentAfter {
			out[id] = true
			silent++
		}
	}
	if float64(silent) > maxSilent*float64(len(p.since)) {
		clear(out)
	}
	for id := range p.since {
		if p.leaving[id] {
			out[id] = true
		}
	}
	return out
}
