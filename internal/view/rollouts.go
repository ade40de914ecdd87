package view

import (
	"maps"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/rollout"
)

// serviceVersions is the state of the versions of one service.
type serviceVersions struct {
	rollout.Versions
	// counts has the number of upstreams of each version that are not leaving.
	counts map[string]int
	// order and progress are nil if there are none. The times are when the node first saw them.
	order         *rollout.Order
	orderSince    time.Time
	progress      *rollout.Progress
	progressSince time.Time
}

// versionsOf returns the versions of a service, which it creates if needed.
func (v *View) versionsOf(service string) *serviceVersions {
	s := v.versions[service]
	if s == nil {
		s = &serviceVersions{counts: make(map[string]int)}
		v.versions[service] = s
	}
	return s
}

// count adds n upstreams of a version.
func (s *serviceVersions) count(version string, n int) {
	s.counts[version] += n
	if s.counts[version] == 0 {
		delete(s.counts, version)
	}
}

// present returns the versions that have upstreams which are not leaving, sorted.
func (s *serviceVersions) present() []string { return slices.Sorted(maps.Keys(s.counts)) }

// PutRolloutOrder adds or replaces the order for a service. An order of an earlier revision than
// the known one is ignored.
func (v *View) PutRolloutOrder(o rollout.Order, now time.Time) {
	s := v.versionsOf(o.Service)
	if s.order != nil && s.order.Revision >= o.Revision {
		return
	}
	s.order, s.orderSince = &o, now
}

// RemoveRolloutOrder removes the order for a service. It reports whether there was one.
func (v *View) RemoveRolloutOrder(service string) bool {
	s := v.versions[service]
	if s == nil || s.order == nil {
		return false
	}
	s.order = nil
	return true
}

// PutRolloutProgress sets the stored progress of the rollout of a service. A progress of an earlier
// revision than the known one is ignored.
func (v *View) PutRolloutProgress(service string, p rollout.Progress, now time.Time) {
	s := v.versionsOf(service)
	if s.progress != nil && s.progress.Revision >= p.Revision {
		return
	}
	s.progress, s.progressSince = &p, now
}

// RemoveRolloutProgress removes the progress of the rollout of a service.
func (v *View) RemoveRolloutProgress(service string) {
	if s := v.versions[service]; s != nil {
		s.progress = nil
	}
}

// ReplaceRollouts applies full lists of the orders and of the progress by service.
func (v *View) ReplaceRollouts(orders map[string]rollout.Order, progress map[string]rollout.Progress, now time.Time) {
	for service := range v.versions {
		if _, ok := orders[service]; !ok {
			v.RemoveRolloutOrder(service)
		}
		if _, ok := progress[service]; !ok {
			v.RemoveRolloutProgress(service)
		}
	}
	for _, o := range orders {
		v.PutRolloutOrder(o, now)
	}
	for service, p := range progress {
		v.PutRolloutProgress(service, p, now)
	}
}

// Rollout is an order with its progress and the upstreams that it concerns.
type Rollout struct {
	Order    rollout.Order
	Progress *rollout.Progress
	// Since is when the node first saw the order, ProgressSince when it first saw the progress.
	Since, ProgressSince time.Time
	// NewUpstreams and OldUpstreams are the numbers of upstreams of the order's version and of
	// other ones that are not leaving.
	NewUpstreams, OldUpstreams int
}

// Rollouts returns the orders, sorted by service.
func (v *View) Rollouts() []Rollout {
	var out []Rollout
	for _, service := range slices.Sorted(maps.Keys(v.versions)) {
		s := v.versions[service]
		if s.order == nil {
			continue
		}
		r := Rollout{Order: *s.order, Progress: s.progress, Since: s.orderSince, ProgressSince: s.progressSince}
		for version, n := range s.counts {
			if version == s.order.Version {
				r.NewUpstreams += n
			} else {
				r.OldUpstreams += n
			}
		}
		out = append(out, r)
	}
	return out
}

// HasRollouts reports whether there is an order that is neither completed nor rolled back.
func (v *View) HasRollouts() bool {
	for _, s := range v.versions {
		if s.order != nil && (!s.progress.Of(s.order) || s.progress.State == rollout.Running) {
			return true
		}
	}
	return false
}

// AwaitsAdoption reports whether upstreams of some version get no requests yet because there is
// no order for it.
func (v *View) AwaitsAdoption() bool {
	for _, s := range v.versions {
		if s.Pending() {
			return true
		}
	}
	return false
}

// observeVersions returns how rollouts divide the requests of services, and which versions of
// services must get no requests.
func (v *View) observeVersions(now time.Time) (traffic map[string]*rollout.Traffic, withheld map[string]map[string]bool) {
	traffic, withheld = make(map[string]*rollout.Traffic), make(map[string]map[string]bool)
	for service, s := range v.versions {
		present := s.present()
		s.Observe(present, s.order, s.progress, now)
		if t := rollout.TrafficOf(s.order, s.progress); t != nil {
			traffic[service] = t
		}
		if w := s.Withheld(present, s.order, s.progress); w != nil {
			withheld[service] = w
		}
	}
	return traffic, withheld
}
