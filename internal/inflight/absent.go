package inflight

import (
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// This file has the absent entries of the own failure domain, and the lists of them that hubs report. A report holds maxAbsent entries. In a
// large failure domain more may be absent at once: reports then hold parts of the list in turn, and
// an entry keeps each part for absentLifetime.

// absentWindow selects the parts of a list for one report after the other.
type absentWindow struct{ next int }

// part returns the next part of a list, or the whole list if it fits in a report. A part always has
// maxAbsent entries.
func (w *absentWindow) part(all []uint32) []uint32 {
	if len(all) < maxAbsent {
		return all
	}
	out := make([]uint32, maxAbsent)
	for i := range out {
		out[i] = all[(w.next+i)%len(all)]
	}
	w.next = (w.next + maxAbsent) % len(all)
	return out
}

// absentList holds the absent entries by hash, with the time at which each was last reported. The
// zero value is empty.
type absentList struct {
	at map[uint32]time.Time
}

// replace sets the list to a complete one.
func (l *absentList) replace(all []uint32, now time.Time) {
	l.at = make(map[uint32]time.Time, len(all))
	l.add(all, now)
}

// add adds entries and drops those that were not reported for absentLifetime.
func (l *absentList) add(part []uint32, now time.Time) {
	for h, at := range l.at {
		if now.Sub(at) >= absentLifetime {
			delete(l.at, h)
		}
	}
	for _, h := range part {
		l.at[h] = now
	}
}

// apply applies the list of a report.
func (l *absentList) apply(reported []uint32, now time.Time) {
	if len(reported) < maxAbsent || l.at == nil {
		l.replace(reported, now)
		return
	}
	l.add(reported, now)
}

// has reports whether an entry is absent.
func (l *absentList) has(h uint32, now time.Time) bool {
	at, ok := l.at[h]
	return ok && now.Sub(at) < absentLifetime
}

// Absent returns the IDs of the entries that are stopping, isolated or silent. In a fleet with hubs
// the hub reports which entries of the own failure domain are absent; other domains are
// not covered.
func (x *Exchange) Absent(now time.Time) map[string]bool {
	fleet := x.opt.Fleet()
	x.mu.Lock()
	defer x.mu.Unlock()
	if len(fleet.Peers) > maxDirect {
		return x.absentByHub(fleet.HubCandidates, now)
	}
	x.presence.setListed(fleet.Peers, now)
	return x.presence.absent(x.hubs.lastReport, now)
}

// absentByHub returns the absent entries of the own failure domain: the entries that the
// hub reported, and hubs that were given up. The caller holds x.mu.
func (x *Exchange) absentByHub(domain []Peer, now time.Time) map[string]bool {
	out := make(map[string]bool)
	for _, p := range domain {
		if at, avoided := x.hubs.avoidedAt[p.ID]; x.absent.has(poison.HashEntry(p.ID), now) || avoided && now.Sub(at) < hubAvoidTime {
			out[p.ID] = true
		}
	}
	return out
}

// absentInDomain returns the hashes of the absent entries of the own failure domain: the
// entries without a recent report to this entry, their hub, the entries that announced that they
// stop or are isolated, and this entry if it does. The caller holds x.mu.
func (x *Exchange) absentInDomain(domain []Peer, now time.Time) []uint32 {
	silent := x.hubs.absent(domain, now)
	var out []uint32
	for _, p := range domain {
		unusable := x.presence.unusable[p.ID]
		if p.ID == x.opt.Entry {
			unusable = x.opt.Leaving() || x.opt.Isolated()
		}
		if unusable || slices.Contains(silent, p.ID) {
			out = append(out, poison.HashEntry(p.ID))
		}
	}
	if len(x.hubs.reporters) > 0 {
		x.absent.replace(out, now)
	}
	return out
}
