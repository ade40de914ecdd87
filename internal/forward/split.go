package forward

import (
	"sync"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/model"
)

// maxCredit is how many requests a part may be ahead of its weight so that an
// object stays with it. It bounds the error of the parts' shares at each entry.
const maxCredit = 2.0

// splits divides the requests of routes among their parts by weight. It is safe
// for concurrent use.
type splits struct {
	mu      sync.Mutex
	byRoute map[string]*split
}

// split is the state of one route with several parts.
type split struct {
	route *model.Route
	// credit is how many requests each part is behind its weight.
	credit []float64
}

func newSplits() *splits { return &splits{byRoute: make(map[string]*split)} }

// choose returns the service that takes a request. Requests for one object go to
// one part as long as the shares of all parts keep to their weights.
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

// next counts one request and returns the part that takes it.
func (sp *split) next(object string) int {
	total := 0.0
	for _, p := range sp.route.Services {
		total += p.Weight
	}
	if total <= 0 {
		return 0
	}
	most := 0
	for i, p := range sp.route.Services {
		sp.credit[i] += p.Weight / total
		if sp.credit[i] > sp.credit[most] {
			most = i
		}
	}
	chosen := most
	if home := sp.home(object, total); home >= 0 && sp.credit[home] > -maxCredit && sp.credit[most] < maxCredit {
		chosen = home
	}
	sp.credit[chosen]--
	return chosen
}

// home returns the part that an object belongs to, or -1 if there is no object.
func (sp *split) home(object string, total float64) int {
	if object == "" {
		return -1
	}
	const mantissa = 53
	u := float64(balance.HashObject(sp.route.Name, object)>>(64-mantissa)) / (1 << mantissa) * total
	for i, p := range sp.route.Services {
		if u -= p.Weight; u < 0 && p.Weight > 0 {
			return i
		}
	}
	return -1
}
