// Package model compiles the settings tree, the upstream directory and the
// membership into one immutable snapshot that the data path decides by.
package model

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// Upstream is one back end.
type Upstream struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Leaving is set when the platform's list says so, or the upstream itself.
	Leaving bool `json:"leaving,omitempty"`
	// StartedAt is the Unix millisecond at which the upstream started; 0 if it does not tell.
	// One that starts again under its id knows nothing of its earlier life.
	StartedAt int64 `json:"born,omitempty"`
	// ColdUntil is until when the upstream is known to be cold; zero if it is not.
	ColdUntil time.Time `json:"cold_until,omitzero"`
}

// RestartOf reports whether u is a later life of an upstream than known is.
func (u *Upstream) RestartOf(known *Upstream) bool {
	return known.StartedAt > 0 && u.StartedAt > known.StartedAt
}

// Drain and Member are used throughout the snapshot.
type (
	Drain  = tree.Drain
	Member = membership.Member
)

// Directory is the list of upstreams at one version.
type Directory struct {
	Version   uint64     `json:"version"`
	Upstreams []Upstream `json:"upstreams"`
}

// Service is what the own region needs to know of a service.
type Service struct {
	Name           string
	Repeat         string
	Deadline       time.Duration
	Priority       int
	Attempts       int
	RetryBudget    float64
	Queue          int
	QueueWait      time.Duration
	NotRunStatuses []int
	Warmup         time.Duration
	Lifetime       time.Duration
	ShiftCap       float64
	ShiftRate      float64
	// Overflow lists the regions that may take requests, in order.
	Overflow []string
	// MaxInFlight caps the requests in flight per region; 0 means none but the
	// slots there.
	MaxInFlight map[string]int
	Upstreams   []Upstream
	// Routed is set if the service is reached by routes, which then say how a
	// request is served, rather than by its name.
	Routed bool
	// HealthPath is where an upstream answers for its health.
	HealthPath string
	// MaxConnections is how many connections an upstream takes from all callers;
	// 0 if unknown.
	MaxConnections int
	// ColdRate is how many requests a cold upstream may get in one second from
	// all entries together; 0 means no bound.
	ColdRate float64
	// RetryBurst is how many retries an entry may make before it has earned any.
	RetryBurst float64
}

// Link is the way from the own region to another.
type Link struct {
	Region  string
	Latency time.Duration
}

// Snapshot is everything that the data path decides by. It is immutable.
type Snapshot struct {
	Revision  uint64
	Directory uint64
	Region    string
	Tree      *tree.Tree
	Services  map[string]*Service
	// Hosts maps host names to services.
	Hosts map[string]string
	// Routes select the service of a request by host and path; nil if services
	// are named by the request itself.
	Routes *Routes
	Limits Limits
	// Organisations are those whose keys requests must carry; nil if none are needed.
	Organisations *Organisations
	// LimitSlack is how many requests of an organisation may run beyond its limit.
	LimitSlack float64
	Links      map[string]Link
	Drains     []tree.Drain
	Moves      []tree.Move
	// Members are the live instances, and Carriers those of them that callers are told of.
	Members    []membership.Member
	Advertised []membership.Member
	// Regions lists the regions by the latency from the own one, which is first.
	Regions []string
}

// Input is what a Snapshot is compiled from.
type Input struct {
	Region    string
	Revision  uint64
	Tree      *tree.Tree
	Directory Directory
	// Draining are the ids of upstreams that said of themselves that they drain.
	Draining []string
	Members  []membership.Member
}

// Compile returns the snapshot for a region.
func Compile(in Input) *Snapshot {
	s := &Snapshot{
		Revision:  in.Revision,
		Directory: in.Directory.Version,
		Region:    in.Region,
		Tree:      in.Tree,
		Services:  make(map[string]*Service),
		Hosts:     make(map[string]string),
		Drains:    in.Tree.Drains(),
		Moves:     in.Tree.Moves(),
	}
	for _, m := range in.Members {
		if m.Live() {
			s.Members = append(s.Members, m)
		}
	}
	s.Advertised = s.Members
	s.compileRegions(in)
	for _, u := range in.Directory.Upstreams {
		svc := s.Services[u.Service]
		if svc == nil {
			svc = s.compileService(u.Service)
			s.Services[u.Service] = svc
		}
		u.Leaving = u.Leaving || slices.Contains(in.Draining, u.ID)
		svc.Upstreams = append(svc.Upstreams, u)
	}
	return s
}

// compileRegions finds all regions and orders them by latency.
func (s *Snapshot) compileRegions(in Input) {
	s.Links = make(map[string]Link)
	add := func(region string) {
		if _, ok := s.Links[region]; ok || region == "" {
			return
		}
		path := tree.LinkPath(in.Region, region)
		l := Link{Region: region, Latency: in.Tree.Duration(path, tree.KeyLatency)}
		if region == in.Region {
			l = Link{Region: region}
		}
		s.Links[region] = l
		s.Regions = append(s.Regions, region)
	}
	add(in.Region)
	for _, u := range in.Directory.Upstreams {
		add(u.Region)
	}
	for _, m := range in.Members {
		add(m.Region)
	}
	slices.SortFunc(s.Regions, func(a, b string) int {
		if a == in.Region || b == in.Region {
			return cmp.Compare(boolInt(b == in.Region), boolInt(a == in.Region))
		}
		return cmp.Or(cmp.Compare(s.Links[a].Latency, s.Links[b].Latency), cmp.Compare(a, b))
	})
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

func (s *Snapshot) compileService(name string) *Service {
	path := tree.ServicePath(name) + "/regions/" + s.Region
	t := s.Tree
	svc := &Service{
		Name:        name,
		Repeat:      t.String(path, tree.KeyRepeat),
		Deadline:    t.Duration(path, tree.KeyDeadline),
		Priority:    t.Int(path, tree.KeyPriority),
		Attempts:    t.Int(path, tree.KeyAttempts),
		RetryBudget: t.Float(path, tree.KeyRetryBudget),
		Queue:       t.Int(path, tree.KeyQueue),
		QueueWait:   t.Duration(path, tree.KeyQueueWait),
		Warmup:      t.Duration(path, tree.KeyWarmup),
		Lifetime:    t.Duration(path, tree.KeyLookupLifetime),
		ShiftCap:    t.Float(tree.ServicePath(name), tree.KeyShiftCap),
		ShiftRate:   t.Float(tree.ServicePath(name), tree.KeyShiftRate),
		Overflow:    t.List(path, tree.KeyOverflow),
		MaxInFlight: make(map[string]int),
	}
	for _, status := range t.List(path, tree.KeyNotRunStatuses) {
		if n, err := strconv.Atoi(status); err == nil {
			svc.NotRunStatuses = append(svc.NotRunStatuses, n)
		}
	}
	if len(svc.Overflow) == 0 {
		svc.Overflow = s.Regions[1:]
	}
	for _, region := range s.Regions {
		svc.MaxInFlight[region] = t.Int(tree.ServicePath(name)+"/regions/"+region, tree.KeyMaxInFlight)
	}
	for _, host := range t.List(tree.ServicePath(name), tree.KeyHosts) {
		s.Hosts[host] = name
	}
	return svc
}

// LocalEntries returns the live instances of the own region whose entry is up.
func (s *Snapshot) LocalEntries() []membership.Member {
	var out []membership.Member
	for _, m := range s.Members {
		if m.Entry != "" && m.Region == s.Region {
			out = append(out, m)
		}
	}
	return out
}

// Capped reports whether a service has a cap on its requests in flight in a
// region.
func (s *Service) Capped(region string) bool { return s.MaxInFlight[region] > 0 }

// Draining reports whether an upstream is to get no new work at a time.
func (s *Snapshot) Draining(u *Upstream, now time.Time) bool {
	if u.Leaving {
		return true
	}
	for _, d := range s.Drains {
		if d.Active(now) && d.MatchesUpstream(u.Service, u.Region, u.Domain, u.ID) {
			return true
		}
	}
	return false
}
