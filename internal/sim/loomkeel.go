package sim

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
)

// loomkeel is the product's own policy: one balance.Balancer for each entry and service.
// The balancers of a service exchange loads and upstream limits with the latency between their
// entries.
type loomkeel struct {
	sim *Simulation
	// balancers are indexed by entry and service.
	balancers [][]*balance.Balancer
	// index maps the ID of an upstream to its index in the simulation.
	index map[string]int
	// ticks is the number of calls of Tick so far.
	ticks int
	// drained holds the drained failure domains that were last passed to the balancers.
	drained  []bool
	services []*model.Service
	members  []model.Member
}

// newLoomkeel returns the loomkeel policy for a simulation.
func newLoomkeel(s *Simulation) Policy {
	l := &loomkeel{sim: s, index: make(map[string]int), drained: slices.Clone(s.drained)}
	for _, configured := range s.scenario.Services {
		l.services = append(l.services, &model.Service{Name: configured.Name, Routed: true})
	}
	for i, u := range s.upstreams {
		d := s.scenario.Domains[u.domain]
		l.index[u.id] = i
		svc := l.services[u.service]
		svc.Upstreams = append(svc.Upstreams, model.Upstream{ID: u.id, Service: svc.Name, Region: d.Region, Domain: d.Name, Slots: u.slots})
	}
	for _, e := range s.entries {
		d := s.scenario.Domains[e.domain]
		l.members = append(l.members, model.Member{ID: e.id, Region: d.Region, Domain: d.Name, State: membership.Alive})
	}
	for e := range s.entries {
		balancers := make([]*balance.Balancer, len(l.services))
		for i := range balancers {
			balancers[i] = balance.NewBalancer()
			l.publishLimitUpdates(e, i, balancers[i])
		}
		l.balancers = append(l.balancers, balancers)
	}
	l.update(s.scheduler.Now())
	return l
}

// limitUpdateDelay is how long an entry collects limit updates, which also count the requests
// sent to limited upstreams, before it sends them to the other entries.
const limitUpdateDelay = 5 * time.Millisecond

// publishLimitUpdates makes a balancer send its limit updates to the other entries,
// limitUpdateDelay after the first unsent one.
func (l *loomkeel) publishLimitUpdates(from, service int, b *balance.Balancer) {
	pending := false
	b.OnLimitUpdate(func() {
		if pending {
			return
		}
		pending = true
		l.sim.after(limitUpdateDelay, func() {
			pending = false
			l.sendLimitUpdates(from, service, balance.UnsentUpdates)
		})
	})
}

// sendLimitUpdates sends the limit updates of a scope to all other entries.
func (l *loomkeel) sendLimitUpdates(from, service int, scope balance.UpdateScope) {
	var updates []balance.LimitUpdate
	l.balancers[from][service].VisitLimitUpdates(l.sim.scheduler.Now(), scope, func(n balance.LimitUpdate) { updates = append(updates, n) })
	if len(updates) == 0 {
		return
	}
	for to := range l.balancers {
		if to != from {
			l.sim.after(l.latency(from, to), func() {
				l.balancers[to][service].ApplyLimitUpdates(l.sim.scheduler.Now(), l.members[from].ID, 1, updates)
			})
		}
	}
}

// latency returns the one-way latency between two entries.
func (l *loomkeel) latency(from, to int) time.Duration {
	if l.members[to].Region == l.members[from].Region {
		return l.sim.scenario.IntraRegionLatency
	}
	return l.sim.scenario.InterRegionLatency
}

// update passes the drained failure domains to all balancers.
func (l *loomkeel) update(now time.Time) {
	drained := make(map[string]bool)
	for i, d := range l.sim.scenario.Domains {
		drained[d.Name] = l.drained[i]
	}
	for i, balancers := range l.balancers {
		self := l.members[i]
		for s, b := range balancers {
			b.Update(balance.ServiceState{
				Service: l.services[s], Self: self.ID, Region: self.Region, Domain: self.Domain, Entries: l.members,
				Draining: func(u *model.Upstream, _ time.Time) bool { return drained[u.Domain] },
			}, now)
		}
	}
}

// Pick implements Policy.
func (l *loomkeel) Pick(now time.Time, entry int, r *Request) Decision {
	c := &l.sim.scenario.Classes[r.Class]
	var tried []string
	for _, u := range r.Tried {
		tried = append(tried, l.sim.upstreams[u].id)
	}
	choice, err := l.balancers[entry][c.Service].PickObject(now, balance.ObjectRequest{
		Object: balance.HashObject(c.Name, fmt.Sprint(r.Object)), Class: c.Name, Objective: c.Objective, Tried: tried,
	})
	if err == nil {
		return Decision{Upstream: l.index[choice.ID], Token: choice, Wait: choice.SendAt.Sub(now)}
	}
	d := Decision{Upstream: -1}
	var late *balance.LateError
	var limit *balance.LimitError
	switch {
	case errors.As(err, &late):
		d.RetryAfter = late.RetryAfter
	case errors.As(err, &limit):
		d.RetryAfter = limit.RetryAfter
	}
	return d
}

// Done implements Policy.
func (l *loomkeel) Done(now time.Time, entry int, r *Request, result AttemptResult) {
	info := balance.DoneInfo{Result: balance.OK, ConnectTime: result.RoundTrip}
	switch {
	case result.TimedOut:
		info.Result = balance.Failed
	case result.Shed:
		info.Result = balance.Shed
	}
	b := l.balancers[entry][l.sim.scenario.Classes[r.Class].Service]
	if !result.TimedOut {
		limit := balance.RateLimit{Known: true, PerSecond: result.RateLimit}
		info.Observation = b.Observe(now, result.Token.(balance.Choice), balance.Announcement{Load: result.Load, Waiting: result.Queued, Limit: limit})
	}
	b.Done(now, result.Token.(balance.Choice), info)
}

// Tick implements Policy. Each entry sends its loads to the entries of its region at each
// tick and to others at every second tick, and its limit updates to all at each tick. They
// arrive after the latency between the entries.
func (l *loomkeel) Tick(now time.Time) {
	l.ticks++
	if !slices.Equal(l.drained, l.sim.drained) {
		copy(l.drained, l.sim.drained)
		l.update(now)
	}
	for i, balancers := range l.balancers {
		for s, b := range balancers {
			load := balance.PeerLoad{Peer: l.members[i].ID, Last: math.MaxUint32, Loads: make(map[uint32]balance.Load)}
			b.VisitLoads(now, balance.EntryFilter{Own: true}, func(u uint32, n balance.Load) { load.Loads[u] = n })
			l.sendLoads(i, s, load)
			l.sendLimitUpdates(i, s, balance.AllUpdates)
		}
	}
}

// sendLoads sends the loads of one entry to the other entries of its region, and at every
// second tick also to those of other regions.
func (l *loomkeel) sendLoads(from, service int, load balance.PeerLoad) {
	for to := range l.balancers {
		sameRegion := l.members[to].Region == l.members[from].Region
		if to == from || !sameRegion && l.ticks%2 == 0 {
			continue
		}
		l.sim.after(l.latency(from, to), func() { l.balancers[to][service].ApplyPeerLoad(l.sim.scheduler.Now(), load) })
	}
}
