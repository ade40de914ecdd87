package model

import (
	"cmp"
	"net"
	"slices"
	"strings"
	"time"
)

// Route says which service takes the requests of a host and path, and how they
// are to be served.
type Route struct {
	Name string
	// Host and Prefix select the requests; the longest prefix of a host wins.
	Host   string
	Prefix string
	// Services are the services that share the requests. There is at least one.
	Services []WeightedService
	// Idempotent is set if a request may run more than once.
	Idempotent bool
	// Timeout is the longest time that a request may take; 0 means no bound but
	// the caller's own.
	Timeout time.Duration
	// Objective is the latency within which an answer has its full worth.
	Objective time.Duration
	// Attempts is how many upstreams one request may be sent to.
	Attempts int
	// Priority is the rank of the requests; 0 is the most urgent.
	Priority int
	// Affinity is set if an upstream serves an object faster that it has served
	// not long ago.
	Affinity bool
	// Regions are those that may serve the requests; empty means all.
	Regions []string
	// AllowAnonymous is set if a request needs no key.
	AllowAnonymous bool
}

// WeightedService is one service's share of a route.
type WeightedService struct {
	Service string
	// Weight is relative to the other parts of the route.
	Weight float64
}

// Allows reports whether a region may serve the route's requests.
func (r *Route) Allows(region string) bool {
	return len(r.Regions) == 0 || slices.Contains(r.Regions, region)
}

// Routes finds the route of a request. It is immutable.
type Routes struct {
	byHost map[string][]*Route
}

// NewRoutes returns a table of routes.
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
// its path, or nil if there is none.
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

// ServingRegions returns the regions that may serve the requests of a host: those that all of its
// routes allow which do not allow every region, or if they have none in common those that any
// of them allows. It is empty if every route allows every region.
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

// Config is one whole version of a routed configuration.
type Config struct {
	// Version orders the configurations; a larger one is newer.
	Version  uint64
	Routes   []*Route
	Services map[string]ServiceConfig
	Limits   Limits
	// Organisations are those whose keys requests must carry; nil if none are needed.
	Organisations *Organisations
}

// ServiceConfig is what a routed configuration says of a service.
type ServiceConfig struct {
	// HealthPath is where an upstream answers for its health.
	HealthPath string
	// MaxConnections is how many connections an upstream takes from all callers.
	MaxConnections int
	// Warmup is how long an upstream stays cold after a start.
	Warmup time.Duration
	// WarmupRate is how many requests per second a cold upstream bears.
	WarmupRate float64
}

// Limits bound what callers may send.
type Limits struct {
	// MaxBody is the largest body in bytes; 0 means no bound.
	MaxBody int64
}

// RoutedInput is what the snapshot of a routed configuration is compiled from.
type RoutedInput struct {
	// Self is the id of the own instance, Region its region.
	Self   string
	Region string
	Config *Config
	// Routes are those of Config; nil has them made.
	Routes    *Routes
	Upstreams []Upstream
	Drains    []Drain
	Members   []Member
	// RetryBudget is how many retries each request earns, and RetryBurst how
	// many may be made at once, over all entries together.
	RetryBudget float64
	RetryBurst  float64
	// ColdBurst is how many requests beyond its rate a cold upstream may get in
	// one second from all entries together, and ColdFactor what its rate is
	// multiplied by for that bound.
	ColdBurst  float64
	ColdFactor float64
	// LimitSlack is how many requests of an organisation may run beyond its limit.
	LimitSlack float64
}

// CompileRouted returns the snapshot of a routed configuration.
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
	for name, c := range in.Config.Services {
		s.Services[name] = routedService(name, c, in, s.Advertised)
	}
	for _, u := range in.Upstreams {
		if svc := s.Services[u.Service]; svc != nil {
			svc.Upstreams = append(svc.Upstreams, u)
		}
		if !slices.Contains(s.Regions, u.Region) {
			s.Regions = append(s.Regions, u.Region)
		}
	}
	slices.Sort(s.Regions[1:])
	for _, svc := range s.Services {
		svc.Overflow = s.Regions[1:]
	}
	return s
}

// weakShare is the part of the retries that the members which carry few requests may make
// together. They carry some while those that callers are told of are lost.
const weakShare = 0.25

// retryBurst is the part of a member in the retries that all may make at once.
func retryBurst(in RoutedInput, carriers []Member) float64 {
	weak := len(in.Members) - len(carriers)
	isCarrier := slices.ContainsFunc(carriers, func(m Member) bool { return m.ID == in.Self })
	switch {
	case weak == 0:
		return in.RetryBurst / float64(max(1, len(carriers)))
	case isCarrier:
		return in.RetryBurst * (1 - weakShare) / float64(len(carriers))
	}
	return in.RetryBurst * weakShare / float64(weak)
}

func routedService(name string, c ServiceConfig, in RoutedInput, carriers []Member) *Service {
	return &Service{
		Name:           name,
		HealthPath:     c.HealthPath,
		MaxConnections: c.MaxConnections,
		Warmup:         c.Warmup,
		ColdRate:       c.WarmupRate*in.ColdFactor + in.ColdBurst,
		RetryBudget:    in.RetryBudget,
		RetryBurst:     retryBurst(in, carriers),
		Routed:         true,
	}
}
