package forward

import (
	"errors"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/fairshare"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/quota"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// reasonOverFairShare means that the requests of the rank or organisation exceed its part of the
// service's room.
const reasonOverFairShare = "over-fair-share"

// errNoReturn is the detail of a refusal without Retry-After.
var errNoReturn = errors.New("no room is expected within the time that the caller has left")

// fairShares divides the room of a service among ranks and organisations.
type fairShares struct {
	gate *fairshare.Gate
	// enabled is set if requests have ranks, and upstreams tell their slots.
	enabled atomic.Bool
}

func newFairShares(self string) *fairShares {
	return &fairShares{gate: fairshare.NewGate(uint32(xxhash.Sum64String(self)))}
}

// slotsKnown reports whether upstreams tell how many requests they run at one time.
func slotsKnown(svc *model.Service) bool {
	for i := range svc.Upstreams {
		if svc.Upstreams[i].Slots > 0 {
			return true
		}
	}
	return false
}

// admitFairly asks the service's gate about a call, once for each call. It returns the refusal of a
// call whose rank or organisation has used up its part of the room.
func (p *Proxy) admitFairly(now time.Time, cl *call, state *serviceState) *verdict.Error {
	if cl.Route == nil || cl.passedGate {
		return nil
	}
	cl.passedGate = true
	if state.admitsAll() {
		return nil
	}
	v := state.gate.Admit(now, cl.overloadRequest(0))
	switch {
	case !v.Refused:
		return nil
	case v.RetryAfter == 0:
		return verdict.New(verdict.NotRun, reasonOverFairShare, errNoReturn)
	}
	return verdict.New(verdict.NotRun, reasonOverFairShare, nil).WithRetryAfter(v.RetryAfter)
}

// admitsAll reports whether the gate needn't be asked now.
func (state *serviceState) admitsAll() bool {
	return state.gate == state.fair.gate && !state.fair.gate.Active()
}

// updateFairShares makes new plans for the services that are short of room.
func (p *Proxy) updateFairShares(now time.Time) {
	snap := p.snap.Load()
	if snap == nil {
		return
	}
	for name := range snap.Services {
		state := p.serviceState(name)
		short, changed := state.fair.gate.Update(now, p.fairShareInput(now, snap, name, state))
		if !changed {
			continue
		}
		message := "service has room for all requests again"
		if short {
			message = "service is short of room, ranks and organisations get parts of it"
		}
		s := state.fair.gate.Status()
		klog.InfoS(message, "service", name, "slots", s.Slots, "busy", s.Busy, "room", s.Room, "demand", s.Demand, "correction", s.Correction)
	}
}

// fairShareInput returns what the plan for a service is made from. It is empty, so that all requests
// are admitted, while the service has room for all or there are no reports of the demand at other entries.
func (p *Proxy) fairShareInput(now time.Time, snap *model.Snapshot, name string, state *serviceState) fairshare.Input {
	if !state.fair.enabled.Load() || !state.balancer.Pressed(now) {
		return fairshare.Input{}
	}
	sum := p.demand.Summary(name, now)
	if sum.Entries < min(2, len(entriesOf(snap))) {
		return fairshare.Input{}
	}
	room := state.balancer.Room(now)
	room.Work = time.Duration(sum.Work.Mean() * float64(time.Second))
	in := fairshare.Input{Room: room, Waiting: state.waiting(), Objective: snap.Services[name].Objective, Rows: sum.Rows, ReportedAt: now}
	if snap.Organisations != nil {
		in.Organisations = len(snap.Organisations.All())
	}
	return in
}

// FairShares returns the state of the parts of each service whose room is divided, by service.
func (p *Proxy) FairShares() map[string]fairshare.Status {
	names := organisationNames(p.snap.Load())
	p.mu.RLock()
	defer p.mu.RUnlock()
	out := make(map[string]fairshare.Status)
	for service, state := range p.services {
		if !state.fair.enabled.Load() {
			continue
		}
		s := state.fair.gate.Status()
		for i := range s.Lanes {
			s.Lanes[i].Name = names[s.Lanes[i].Organisation]
		}
		out[service] = s
	}
	return out
}

// organisationNames returns the names of the organisations by their hashes.
func organisationNames(s *model.Snapshot) map[uint32]string {
	names := make(map[uint32]string)
	if s == nil || s.Organisations == nil {
		return names
	}
	for _, o := range s.Organisations.All() {
		names[quota.HashOrganisation(o.Name)] = o.Name
	}
	return names
}

// waiting returns the number of requests that wait at this entry for an upstream.
func (state *serviceState) waiting() int {
	state.ordered.mu.Lock()
	defer state.ordered.mu.Unlock()
	return state.ordered.queue.Len()
}
