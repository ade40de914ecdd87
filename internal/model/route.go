package model

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"

	"github.com/loomkeel/loomkeel/internal/rollout"
)

// Route selects requests by host and path prefix, and holds their service, limits and
// retry rules.
type Route struct {
	Name string
	// Host and Prefix select the requests; the longest matching prefix of a host wins.
	Host   string
	Prefix string
	// Services are the services that share the requests by weight. There is at least one.
	Services []WeightedService
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may take; 0 means that only the
	// caller's own deadline applies.
	Timeout time.Duration
	// Objective is the latency objective: a response is of full value up to it.
	Objective time.Duration
	// Attempts is the largest number of upstreams to which one request may be sent.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Affinity is set if upstreams serve an object faster when they have served it
	// recently.
	Affinity bool
	// Regions are the regions that may serve the requests; empty means all.
	Regions []string
	// AllowAnonymous is set if requests need no key.
	AllowAnonymous bool
}

// WeightedService is a service with its share of the requests of a route.
type WeightedService struct {
	Service string
	// Weight is relative to the weights of the route's other services.
	Weight float64
}

// Allows reports whether a region may serve the route's requests.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Routes is the table in which requests find their route. It is immutable.
type Routes struct {
	// byHost has the routes of each host in lower case, longest prefix first.
	byHost map[string][]*Route
}

// NewRoutes returns the table of a list of routes.
func NewRoutes(routes []*Route) *Routes {
	t := &Routes{byHost: make(map[string][]*Route)}
	for _, r := range routes {
		host := strings.ToLower(r.Host)
		t.byHost[host] = append(t.byHost[host], r)
	}
	for _, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			return cmp.Or(cmp.Compare(len(b.Prefix), len(a.Prefix)), cmp.Compare(a.Name, b.Name))
		})
	}
	return t
}

// Match returns the route of a request by its host, with or without a port, and
// its path, or nil if no route matches.
func (t *Routes) Match(host, path string) *Route {
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	for _, r := range t.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r
		}
	}
	return nil
}

// ServingRegions returns the regions, sorted by name, that may serve the requests of a host.
// Of the host's routes that are restricted to some regions it returns the regions common to
// all, or, if there are none in common, the regions of any. The result is empty if no route
// of the host is restricted.
func (t *Routes) ServingRegions(host string) []string {
	var all, common []string
	first := true
	for _, r := range t.byHost[strings.ToLower(host)] {
		if len(r.Regions) == 0 {
			continue
		}
		all = append(all, r.Regions...)
		if first {
			common = r.Regions
			first = false
			continue
		}
		common = slices.DeleteFunc(slices.Clone(common), func(region string) bool { return !r.Allows(region) })
	}
	if len(common) == 0 {
		common = all
	}
	return slices.Compact(slices.Sorted(slices.Values(common)))
}

// Config is a complete version of a routed configuration.
type Config struct {
	// Version increases with each version of the configuration.
	Version  uint64
	Routes   []*Route
	Services map[string]ServiceConfig
	Limits   Limits
	// Organisations are the organisations whose keys requests must carry; nil if
	// requests need no key.
	Organisations *Organisations
}

// ServiceConfig holds the settings of a service in a routed configuration.
type ServiceConfig struct {
	// HealthPath is the HTTP path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the largest number of connections that an upstream accepts
	// from all clients together.
	MaxConnections int
	// Warmup is the time for which an upstream is cold after its start.
	Warmup time.Duration
	// WarmupRate is the number of requests per second that a cold upstream can serve.
	WarmupRate float64
}

// Limits bounds what callers may send.
type Limits struct {
	// MaxBody is the largest request body in bytes; 0 means no limit.
	MaxBody int64
}

// RoutedInput holds the state from which CompileRouted makes a Snapshot.
type RoutedInput struct {
	// Self is the ID of the own instance, Region the region of the instance.
	Self   string
	Region string
	Config *Config
	// Routes is the table of Config.Routes; if nil, CompileRouted makes it.
	Routes    *Routes
	Upstreams []Upstream
	Drains    []Drain
	Members   []Member
	// Rollouts has the running rollouts by service, and Withheld the versions whose upstreams
	// must get no requests.
	Rollouts map[string]*rollout.Traffic
	Withheld map[string]map[string]bool
	// RetryBudget is the number of retries that each request adds to the budget, and
	// RetryBurst the number that all entries together may make at once.
	RetryBudget float64
	RetryBurst  float64
	// All entries together may send a cold upstream ColdFactor times its WarmupRate
	// plus ColdBurst requests in one second.
	ColdBurst  float64
	ColdFactor float64
	// LimitSlack is the number of requests of an organisation that may run beyond its limit.
	LimitSlack float64
}

// CompileRouted returns the snapshot of a routed configuration. Overflow of each
// service lists all other regions by name.
func CompileRouted(in RoutedInput) *Snapshot {
	if in.Routes == nil {
		in.Routes = NewRoutes(in.Config.Routes)
	}
	s := &Snapshot{
		Revision:      in.Config.Version,
		Region:        in.Region,
		Routes:        in.Routes,
		Limits:        in.Config.Limits,
		Organisations: in.Config.Organisations,
		LimitSlack:    in.LimitSlack,
		Services:      make(map[string]*Service),
		Links:         make(map[string]Link),
		Drains:        in.Drains,
		Members:       in.Members,
		Advertised:    Advertised(in.Members),
		Regions:       []string{in.Region},
	}
	ordered := orderedServices(in.Config)
	for name, c := range in.Config.Services {
		s.Services[name] = routedService(name, c, in, s.Advertised)
	}
	s.allocateUpstreams(in.Upstreams)
	for i := range in.Upstreams {
		u := in.Upstreams[i]
		if svc := s.Services[u.Service]; svc != nil {
			u.Withheld = in.Withheld[u.Service][u.Version]
			svc.Upstreams = append(svc.Upstreams, u)
		}
		if !slices.Contains(s.Regions, u.Region) {
			s.Regions = append(s.Regions, u.Region)
		}
	}
	slices.Sort(s.Regions[1:])
	for name, svc := range s.Services {
		svc.Overflow = s.Regions[1:]
		svc.Objective = shortestObjective(in.Config.Routes, name)
		svc.Ordered = ordered[name] && slices.ContainsFunc(svc.Upstreams, func(u Upstream) bool { return u.Slots > 0 })
	}
	return s
}

// shortestObjective returns the shortest latency objective of the routes to a service, 0 if none has one.
func shortestObjective(routes []*Route, service string) time.Duration {
	shortest := time.Duration(0)
	for _, r := range routes {
		toService := slices.ContainsFunc(r.Services, func(s WeightedService) bool { return s.Service == service })
		if toService && r.Objective > 0 && (shortest == 0 || r.Objective < shortest) {
			shortest = r.Objective
		}
	}
	return shortest
}

// orderedServices returns the services whose requests differ in urgency; see Service.Ordered.
func orderedServices(c *Config) map[string]bool {
	type urgency struct {
		priority  int
		objective time.Duration
	}
	ownPriority := slices.ContainsFunc(c.Organisations.All(), func(o *Organisation) bool { return o.Priority != PriorityFromRoute })
	first := make(map[string]urgency)
	ordered := make(map[string]bool)
	for _, r := range c.Routes {
		u := urgency{r.Priority, r.Objective}
		for _, s := range r.Services {
			if was, ok := first[s.Service]; ownPriority || ok && was != u {
				ordered[s.Service] = true
			}
			first[s.Service] = u
		}
	}
	return ordered
}

// allocateUpstreams allocates the lists of the services' upstreams, which would otherwise be copied
// several times while they grow.
func (s *Snapshot) allocateUpstreams(all []Upstream) {
	counts := make(map[string]int, len(s.Services))
	for i := range all {
		counts[all[i].Service]++
	}
	for name, svc := range s.Services {
		svc.Upstreams = make([]Upstream, 0, counts[name])
	}
}

// unadvertisedShare is the part of the retries that the members which look-ups do not
// return may make together. They serve requests while advertised members are lost.
const unadvertisedShare = 0.25

// retryBurst returns the own member's part of in.RetryBurst.
func retryBurst(in RoutedInput, advertised []Member) float64 {
	unadvertised := len(in.Members) - len(advertised)
	selfAdvertised := slices.ContainsFunc(advertised, func(m Member) bool { return m.ID == in.Self })
	switch {
	case unadvertised == 0:
		return in.RetryBurst / float64(max(1, len(advertised)))
	case selfAdvertised:
		return in.RetryBurst * (1 - unadvertisedShare) / float64(len(advertised))
	}
	return in.RetryBurst * unadvertisedShare / float64(unadvertised)
}

// routedService returns a service of a routed configuration without its upstreams and
// overflow regions.
func routedService(name string, c ServiceConfig, in RoutedInput, advertised []Member) *Service {
	return &Service{
		Name:           name,
		Rollout:        in.Rollouts[name],
		HealthPath:     c.HealthPath,
		MaxConnections: c.MaxConnections,
		Warmup:         c.Warmup,
		ColdRate:       c.WarmupRate*in.ColdFactor + in.ColdBurst,
		RetryBudget:    in.RetryBudget,
		RetryBurst:     retryBurst(in, advertised),
		Routed:         true,
	}
}
