// Package model defines services, routes, organisations and upstreams, and compiles
// the configuration, the upstream directory and the membership list into the
// immutable Snapshot by which the data path serves requests.
package model

import (
	"cmp"
	"slices"
	"strconv"
	"time"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/rollout"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// Upstream is one backend instance of a service.
type Upstream struct {
	ID          string `json:"id"`
	Service     string `json:"service"`
	Region      string `json:"region"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Slots       int    `json:"slots"`
	Connections int    `json:"connections"`
	// Leaving is set when the platform's list or the upstream itself announces
	// that the upstream is shutting down.
	Leaving bool `json:"leaving,omitempty"`
	// StartedAt is the start time of the upstream in Unix milliseconds; 0 if unknown.
	// An upstream that restarts under the same ID has lost all state of its
	// previous run.
	StartedAt int64 `json:"born,omitempty"`
	// ColdUntil is the end of the upstream's warm-up; zero if no warm-up is known.
	ColdUntil time.Time `json:"cold_until,omitzero"`
	// Version is the version of the upstream's software; empty if unknown.
	Version string `json:"version,omitempty"`
	// Withheld is set while upstreams of this version must get no requests; see rollout.Versions.
	Withheld bool `json:"withheld,omitempty"`
}

// RestartOf reports whether u describes a later run of the upstream than known does.
func (u *Upstream) RestartOf(known *Upstream) bool {
	return known.StartedAt > 0 && u.StartedAt > known.StartedAt
}

// Drain and Member are the types of other packages that a Snapshot holds.
type (
	Drain  = tree.Drain
	Member = membership.Member
)

// Registration is the period in which a node is certainly registered as a member of the fleet. The zero
// value is that of a node that never was.
type Registration struct {
	// Since is when the registration was written.
	Since time.Time `json:"registered_since"`
	// Until is when it ends unless it is renewed. A node that nobody removes earlier is registered at
	// least until then.
	Until time.Time `json:"registered_until"`
}

// Directory is the list of upstreams at one version.
type Directory struct {
	Version   uint64     `json:"version"`
	Upstreams []Upstream `json:"upstreams"`
}

// Service holds the settings and upstreams of a service as seen from the own region.
type Service struct {
	Name string
	// Repeat says whether a request that may have been executed can be sent again: one of the
	// values of tree.KeyRepeat.
	Repeat string
	// Deadline is the default deadline of requests and the longest one that a caller may set.
	Deadline time.Duration
	// Priority is the priority of the requests under overload, from 0 to 9 (highest).
	Priority int
	// Attempts is the largest number of upstreams to which a request is sent.
	Attempts int
	// RetryBudget is the number of retries that a request adds to the retry budget: each
	// request if Routed is set, else each successful one.
	RetryBudget float64
	// Queue is the largest number of requests that wait for a slot at one entry, QueueWait
	// the longest time that each of them waits.
	Queue     int
	QueueWait time.Duration
	// NotRunStatuses are the HTTP statuses with which an upstream reports that it did not
	// execute the request.
	NotRunStatuses []int
	// Warmup is the time for which a new upstream is cold.
	Warmup time.Duration
	// Lifetime is the longest time that a caller may cache a look-up answer.
	Lifetime time.Duration
	// ShiftCap and ShiftRate limit the moves of the service's traffic between regions; see
	// the settings shift_cap and shift_rate.
	ShiftCap  float64
	ShiftRate float64
	// Overflow lists the other regions that may take requests, in order of preference.
	Overflow []string
	// MaxInFlight is the largest number of requests in flight by region; 0 means
	// that only the upstreams' slots limit it.
	MaxInFlight map[string]int
	Upstreams   []Upstream
	// Routed is set if requests select the service by a Route, which also holds
	// their timeout, attempts and priority, rather than by the service's name.
	Routed bool
	// Objective is the shortest latency objective of the routes to a routed service; 0 if none has one.
	Objective time.Duration
	// Ordered is set if requests of different urgency compete for the upstreams of a routed service:
	// its routes differ in priority or objective, or an organisation has a priority of its own, and its
	// upstreams tell their slots.
	// Requests then wait for an upstream in the order of their urgency.
	Ordered bool
	// HealthPath is the HTTP path of the upstreams' health check.
	HealthPath string
	// MaxConnections is the largest number of connections that an upstream accepts
	// from all clients together; 0 if unknown.
	MaxConnections int
	// ColdRate is the largest number of requests per second from all entries
	// together to an upstream that is warming up; 0 means no limit.
	ColdRate float64
	// RetryBurst is the largest number of retries that an entry's retry budget holds.
	RetryBurst float64
	// Rollout divides the requests between versions of the upstreams; nil if there is no rollout.
	Rollout *rollout.Traffic
}

// Link describes the network path from the own region to another region.
type Link struct {
	Region  string
	Latency time.Duration
}

// Snapshot is the compiled state from which the data path routes and balances
// requests. It is immutable.
type Snapshot struct {
	// Revision is the revision of the configuration, Directory the version of the upstream
	// directory.
	Revision  uint64
	Directory uint64
	// Region is the own region.
	Region   string
	Tree     *tree.Tree
	Services map[string]*Service
	// Hosts maps host names to services.
	Hosts map[string]string
	// Routes select the service of a request by host and path; nil if requests
	// name their service themselves.
	Routes *Routes
	Limits Limits
	// Organisations are the organisations whose keys requests must carry; nil if
	// requests need no key.
	Organisations *Organisations
	// LimitSlack is the number of requests of an organisation that may run beyond its limit.
	LimitSlack float64
	Links      map[string]Link
	Drains     []tree.Drain
	Moves      []tree.Move
	// Members are the live instances, and Advertised those of them that look-ups
	// return to callers.
	Members    []membership.Member
	Advertised []membership.Member
	// Regions lists the regions in order of latency from the own region, which is first.
	Regions []string
	// ChangedSince is the time of the first change since the snapshot before; zero if that is now.
	ChangedSince time.Time
}

// Input holds the state from which Compile makes a Snapshot.
type Input struct {
	Region    string
	Revision  uint64
	Tree      *tree.Tree
	Directory Directory
	// Draining are the IDs of upstreams that announced themselves that they are draining.
	Draining []string
	Members  []membership.Member
}

// SameMembers reports whether two lists of members share their memory. Lists are replaced and never
// modified, so that the same list has the same members.
func SameMembers(a, b []Member) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}

// Compile returns the snapshot for the region of the input.
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

// compileRegions collects the regions of the upstreams and members, and sorts them
// by latency from the own region.
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

// boolInt returns 1 for true and 0 for false.
func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}

// compileService returns the settings of a service, and adds the service's host names
// to s.Hosts.
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

// LocalEntries returns the live instances of the own region that run an entry.
func (s *Snapshot) LocalEntries() []membership.Member {
	var out []membership.Member
	for _, m := range s.Members {
		if m.Entry != "" && m.Region == s.Region {
			out = append(out, m)
		}
	}
	return out
}

// Capped reports whether the service's requests in flight are limited in a region.
func (s *Service) Capped(region string) bool { return s.MaxInFlight[region] > 0 }

// Draining reports whether an upstream must get no new requests at the given time.
func (s *Snapshot) Draining(u *Upstream, now time.Time) bool {
	if u.Leaving || u.Withheld {
		return true
	}
	for _, d := range s.Drains {
		if d.Active(now) && d.MatchesUpstream(u.Service, u.Region, u.Domain, u.ID) {
			return true
		}
	}
	return false
}
