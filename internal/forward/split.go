package forward

import (
	"sync"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
)

// maxCredit is by how many requests a service may deviate from its weight so that the requests
// for an object stay with one service. It limits the error of the services' shares at each
// entry.
const maxCredit = 2.0

// splits distributes the requests of routes over their services by weight. It is safe for
// concurrent use.
type splits struct {
	mu      sync.Mutex
	byRoute map[string]*split
}

// split is the state of a route with several services.
type split struct {
	route *model.Route
	// credit is the number of requests by which each service is behind its weight.
	credit []float64
}

func newSplits() *splits { return &splits{byRoute: make(map[string]*split)} }

// choose returns the name of the service for a request. Requests for one object go to the same
// service as long as the shares of all services stay close to their weights.
func (s *splits) choose(r *model.Route, object string) string {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	sp := s.byRoute[r.Name]
	if sp == nil || sp.route != r {
		sp = &split{route: r, credit: make([]float64, len(r.Services))}
		s.byRoute[r.Name] = sp
	}
	return r.Services[sp.next(object)].Service
}

// next counts one request and returns the index of the service that takes it.
func (sp *split) next(object string) int {
	total := 0.0
	for _, svc := range sp.route.Services {
		total += svc.Weight
	}
	if total <= 0 {
		return 0
	}
	behind := 0
	for i, svc := range sp.route.Services {
		sp.credit[i] += svc.Weight / total
		if sp.credit[i] > sp.credit[behind] {
			behind = i
		}
	}
	chosen := behind
	if preferred := sp.preferredService(object, total); preferred >= 0 && sp.credit[preferred] > -maxCredit && sp.credit[behind] < maxCredit {
		chosen = preferred
	}
	sp.credit[chosen]--
	return chosen
}

// preferredService returns the index of the service that an object belongs to, or -1 if there
// is no object.
func (sp *split) preferredService(object string, total float64) int {
	if object == "" {
		return -1
	}
	const mantissa = 53
	u := float64(balance.HashObject(sp.route.Name, object)>>(64-mantissa)) / (1 << mantissa) * total
	for i, svc := range sp.route.Services {
		if u -= svc.Weight; u < 0 && svc.Weight > 0 {
			return i
		}
	}
	return -1
}
