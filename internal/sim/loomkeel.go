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

// loomkeel is the product's own policy: a balance.Group for each entry and service,
// which hear of each other with a delay.
type loomkeel struct {
	play   *Simulation
	groups [][]*balance.Balancer
	index  map[string]int
	ticks  int
	// drained are the failure domains as the groups last heard of them.
	drained  []bool
	services []*model.Service
	members  []model.Member
}

func newLoomkeel(p *Simulation) Policy {
	l := &loomkeel{play: p, index: make(map[string]int), drained: slices.Clone(p.drained)}
	for _, s := range p.site.Services {
		l.services = append(l.services, &model.Service{Name: s.Name, Routed: true})
	}
	for i, u := range p.upstreams {
		d := p.site.Domains[u.domain]
		l.index[u.id] = i
		svc := l.services[u.service]
		svc.Upstreams = append(svc.Upstreams, model.Upstream{ID: u.id, Service: svc.Name, Region: d.Region, Domain: d.Name, Slots: u.slots})
	}
	for _, e := range p.entries {
		d := p.site.Domains[e.domain]
		l.members = append(l.members, model.Member{ID: e.id, Region: d.Region, Domain: d.Name, State: membership.Alive})
	}
	for e := range p.entries {
		groups := make([]*balance.Balancer, len(l.services))
		for i := range groups {
			groups[i] = balance.NewBalancer()
			l.tellOfLimits(e, i, groups[i])
		}
		l.groups = append(l.groups, groups)
	}
	l.update(p.agenda.Now())
	return l
}

// limitNewsAfter is after what time entries tell each other of limits and of requests to
// upstreams that have one.
const limitNewsAfter = 5 * time.Millisecond

// tellOfLimits has a group tell the others of limits.
func (l *loomkeel) tellOfLimits(from, service int, g *balance.Balancer) {
	pending := false
	g.OnLimitUpdate(func() {
		if pending {
			return
		}
		pending = true
		l.play.after(limitNewsAfter, func() {
			pending = false
			l.tellRates(from, service, balance.UnsentUpdates)
		})
	})
}

func (l *loomkeel) tellRates(from, service int, scope balance.UpdateScope) {
	var news []balance.LimitUpdate
	l.groups[from][service].VisitLimitUpdates(l.play.agenda.Now(), scope, func(n balance.LimitUpdate) { news = append(news, n) })
	if len(news) == 0 {
		return
	}
	for to := range l.groups {
		if to != from {
			l.play.after(l.way(from, to), func() {
				l.groups[to][service].ApplyPeerLimits(l.play.agenda.Now(), l.members[from].ID, 1, news)
			})
		}
	}
}

// way is the one-way latency between two entries.
func (l *loomkeel) way(from, to int) time.Duration {
	if l.members[to].Region == l.members[from].Region {
		return l.play.site.IntraRegionLatency
	}
	return l.play.site.InterRegionLatency
}

// update gives all groups what an operator's order changed.
func (l *loomkeel) update(now time.Time) {
	drained := make(map[string]bool)
	for i, d := range l.play.site.Domains {
		drained[d.Name] = l.drained[i]
	}
	for i, groups := range l.groups {
		self := l.members[i]
		for s, g := range groups {
			g.Update(balance.ServiceState{
				Service: l.services[s], Self: self.ID, Region: self.Region, Domain: self.Domain, Entries: l.members,
				Draining: func(u *model.Upstream, _ time.Time) bool { return drained[u.Domain] },
			}, now)
		}
	}
}

// Pick implements Policy.
func (l *loomkeel) Pick(now time.Time, entry int, r *Request) Decision {
	c := &l.play.site.Classes[r.Class]
	var tried []string
	for _, u := range r.Tried {
		tried = append(tried, l.play.upstreams[u].id)
	}
	choice, err := l.groups[entry][c.Service].PickObject(now, balance.ObjectRequest{
		Object: balance.HashObject(c.Name, fmt.Sprint(r.Object)), Class: c.Name, Objective: c.Objective, Tried: tried,
	})
	if err == nil {
		return Decision{Upstream: l.index[choice.ID], Token: choice}
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
func (l *loomkeel) Done(now time.Time, entry int, r *Request, e AttemptResult) {
	report := balance.DoneInfo{Result: balance.OK, Load: e.Load, Waiting: e.Queued, ConnectTime: e.RoundTrip}
	switch {
	case e.TimedOut:
		report.Result = balance.Failed
	case e.Shed:
		report.Result = balance.Shed
	}
	g := l.groups[entry][l.play.site.Classes[r.Class].Service]
	if !e.TimedOut {
		g.ObserveLimit(now, e.Token.(balance.Choice), balance.RateLimit{Known: true, PerSecond: e.RateLimit})
	}
	g.Done(now, e.Token.(balance.Choice), report)
}

// Tick implements Policy: entries of a region tell each other each time, others every
// second time, and hear of it after the way.
func (l *loomkeel) Tick(now time.Time) {
	l.ticks++
	if !slices.Equal(l.drained, l.play.drained) {
		copy(l.drained, l.play.drained)
		l.update(now)
	}
	for i, groups := range l.groups {
		for s, g := range groups {
			load := balance.PeerLoad{Peer: l.members[i].ID, Last: math.MaxUint32, Loads: make(map[uint32]balance.Load)}
			g.VisitLoads(now, balance.EntryFilter{Own: true}, func(u uint32, n balance.Load) { load.Loads[u] = n })
			l.tell(i, s, load)
			l.tellRates(i, s, balance.AllUpdates)
		}
	}
}

func (l *loomkeel) tell(from, service int, load balance.PeerLoad) {
	for to := range l.groups {
		near := l.members[to].Region == l.members[from].Region
		if to == from || !near && l.ticks%2 == 0 {
			continue
		}
		l.play.after(l.way(from, to), func() { l.groups[to][service].ApplyPeerLoad(l.play.agenda.Now(), load) })
	}
}
