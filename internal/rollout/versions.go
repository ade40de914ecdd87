package rollout

import (
	"slices"
	"time"
)

// adoptionTime is the time after which a version for which there is no order is used like the
// others. Upstreams of a new version may start some time before the order.
const adoptionTime = 5 * time.Second

// Versions tells which versions of a service may get requests. The zero value knows none.
type Versions struct {
	established map[string]bool
	// firstSeen has the time at which each other version was first seen.
	firstSeen map[string]time.Time
	// completed is the Revision of the last completed order.
	completed int64
}

// Observe records the versions of the upstreams that are not leaving, and the rollout of the
// service, of which the order and the progress may be nil. The versions of the first call are
// established, except one that is being rolled out or was rolled back.
func (v *Versions) Observe(present []string, o *Order, p *Progress, now time.Time) {
	if len(present) == 0 {
		return
	}
	first := v.established == nil
	if first {
		v.reset()
	}
	if p != nil && p.State == Completed && (o == nil || p.Of(o)) && v.completed != p.Order {
		v.completed = p.Order
		v.reset()
		v.establish(p.Version)
	}
	for version := range v.firstSeen {
		if !slices.Contains(present, version) {
			delete(v.firstSeen, version)
		}
	}
	anyEstablished := false
	for _, version := range present {
		if !v.established[version] && !undecided(version, o, p) && (first || v.lapsed(version, now)) {
			v.establish(version)
		}
		anyEstablished = anyEstablished || v.established[version]
	}
	if running := o != nil && (!p.Of(o) || p.State == Running); running || anyEstablished {
		return
	}
	for _, version := range present {
		if !undecided(version, o, p) {
			v.establish(version)
		}
	}
}

func (v *Versions) reset() {
	v.established, v.firstSeen = make(map[string]bool), make(map[string]time.Time)
}

func (v *Versions) establish(version string) {
	v.established[version] = true
	delete(v.firstSeen, version)
}

// undecided reports whether a version is being rolled out or was rolled back.
func undecided(version string, o *Order, p *Progress) bool {
	if o != nil && o.Version == version {
		return !p.Of(o) || p.State != Completed
	}
	return p != nil && p.Version == version && p.State != Completed
}

// lapsed reports whether a version has been present for adoptionTime without an order.
func (v *Versions) lapsed(version string, now time.Time) bool {
	since, seen := v.firstSeen[version]
	if !seen {
		v.firstSeen[version] = now
		return false
	}
	return now.Sub(since) >= adoptionTime
}

// Pending reports whether a version awaits an order or the end of adoptionTime.
func (v *Versions) Pending() bool { return len(v.firstSeen) > 0 }

// Withheld returns those of the present versions whose upstreams must get no requests: the new
// version before its rollout and after it was rolled back, the other versions once the new one
// gets all requests, and versions for which there is no order.
func (v *Versions) Withheld(present []string, o *Order, p *Progress) map[string]bool {
	var out map[string]bool
	for _, version := range present {
		if v.withheld(version, present, o, p) {
			if out == nil {
				out = make(map[string]bool)
			}
			out[version] = true
		}
	}
	return out
}

func (v *Versions) withheld(version string, present []string, o *Order, p *Progress) bool {
	established := v.established[version]
	if !p.Of(o) {
		return !established
	}
	isNew := version == o.Version
	switch {
	case p.State == RolledBack:
		return isNew || !established
	case p.State == Completed:
		return !established
	case p.Stage == Switch:
		return !isNew && slices.Contains(present, o.Version)
	}
	return !isNew && !established
}
