package forward

import (
	"time"

	"github.com/loomkeel/loomkeel/internal/demand"
	"github.com/loomkeel/loomkeel/internal/quota"
)

// Demand returns the demand for services at this entry and, as far as reported, at all others.
func (p *Proxy) Demand() *demand.Tracker { return p.demand }

// PressedServices returns the services whose demand all entries need to know.
func (p *Proxy) PressedServices(now time.Time) []string {
	p.mu.RLock()
	defer p.mu.RUnlock()
	var out []string
	for name, state := range p.services {
		if state.balancer.Pressed(now) {
			out = append(out, name)
		}
	}
	return out
}

// recordArrival counts a request that is within the limit of its organisation as demand for its
// service.
func (p *Proxy) recordArrival(cl *call) {
	if cl.Route != nil {
		p.demand.Record(cl.service.Name, cl.rank, organisationOf(cl), p.now())
	}
}

// recordAdmitted counts a request that has got a slot, once.
func (p *Proxy) recordAdmitted(cl *call) {
	if cl.Route != nil && !cl.admitted {
		cl.admitted = true
		p.demand.RecordAdmitted(cl.service.Name, cl.rank, organisationOf(cl), p.now())
	}
}

// organisationOf returns the hash of the request's organisation, 0 if it has none.
func organisationOf(cl *call) uint32 {
	if cl.Organisation == nil {
		return 0
	}
	return quota.HashOrganisation(cl.Organisation.Name)
}
