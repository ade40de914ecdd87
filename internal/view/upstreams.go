package view

import (
	"maps"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// PutUpstream adds or replaces an upstream. It reports whether it did: a record of an
// earlier incarnation than the known or last removed one is ignored.
func (v *View) PutUpstream(u model.Upstream) bool {
	if known, ok := v.upstreams[u.ID]; ok && known.RestartOf(&u) {
		return false
	}
	if u.StartedAt > 0 && u.StartedAt < v.removed[u.ID].startedAt {
		return false
	}
	u.Region = v.opt.Regions[u.Domain]
	if known, ok := v.upstreams[u.ID]; ok {
		v.countVersion(&known, -1)
	} else {
		v.lists.ids = nil
	}
	v.upstreams[u.ID] = u
	v.countVersion(&u, 1)
	v.lists.upstreams = nil
	delete(v.lapsed, u.ID)
	delete(v.removed, u.ID)
	return true
}

// countVersion adds n to the number of upstreams of an upstream's version, unless it is leaving.
func (v *View) countVersion(u *model.Upstream, n int) {
	if !u.Leaving {
		v.versionsOf(u.Service).count(u.Version, n)
	}
}

// RemoveUpstreamNow removes an upstream without a grace period. It is used when the record
// under the upstream's key no longer describes an upstream.
func (v *View) RemoveUpstreamNow(id string, now time.Time) {
	v.deleteUpstream(id, now)
	delete(v.lapsed, id)
}

// deleteUpstream deletes an upstream and remembers its last incarnation.
func (v *View) deleteUpstream(id string, now time.Time) {
	u, ok := v.upstreams[id]
	if !ok {
		return
	}
	delete(v.upstreams, id)
	v.countVersion(&u, -1)
	v.lists.ids, v.lists.upstreams = nil, nil
	maps.DeleteFunc(v.removed, func(_ string, r removedIncarnation) bool { return now.Sub(r.removedAt) >= removedRetention })
	if u.StartedAt > 0 {
		v.removed[id] = removedIncarnation{u.StartedAt, now}
	}
}

// RemoveUpstream records that an upstream's record is gone from the store. It reports
// whether the upstream was removed: during an outage of the store and for
// ReregistrationGrace after it, the record may have lapsed, so that the upstream is retained
// unless its record said that it was leaving.
func (v *View) RemoveUpstream(id string, now time.Time) bool {
	u, ok := v.upstreams[id]
	if !ok {
		return false
	}
	if v.inOutageGrace(now) && !u.Leaving {
		if _, ok := v.lapsed[id]; !ok {
			v.lapsed[id] = now
		}
		return false
	}
	v.deleteUpstream(id, now)
	return true
}

// Removals lists the upstreams whose records are gone, each list ordered by ID.
type Removals struct {
	// Removed upstreams are deleted, Retained ones stay until their owners have had time to
	// write their records again.
	Removed, Retained []string
}

// ReplaceUpstreams applies a full list of the upstreams in the store. It returns the
// upstreams that the list does not contain.
func (v *View) ReplaceUpstreams(all []model.Upstream, now time.Time) Removals {
	listed := make(map[string]bool, len(all))
	for _, u := range all {
		listed[u.ID] = true
		v.PutUpstream(u)
	}
	var out Removals
	for _, id := range slices.Sorted(maps.Keys(v.upstreams)) {
		switch {
		case listed[id]:
		case v.RemoveUpstream(id, now):
			out.Removed = append(out.Removed, id)
		default:
			out.Retained = append(out.Retained, id)
		}
	}
	return out
}

// UpstreamCounts returns the number of upstreams of each service of the configuration, and of those
// that get no new requests.
func (v *View) UpstreamCounts(now time.Time) (all, leaving map[string]int) {
	_, withheld := v.observeVersions(now)
	all, leaving = make(map[string]int), make(map[string]int)
	for service := range v.config.Services {
		all[service] = 0
	}
	for _, u := range v.upstreams {
		if _, ok := all[u.Service]; !ok {
			continue
		}
		all[u.Service]++
		if _, drained := v.drained[u.Domain]; drained || u.Leaving || withheld[u.Service][u.Version] {
			leaving[u.Service]++
		}
	}
	return all, leaving
}
