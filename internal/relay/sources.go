package relay

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/fanout"
	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// MaxStoreReaders is how many members of a failure domain may read the store while members of
	// the fleet answer them: the reader and its deputies. The load on the store is then in
	// proportion to the failure domains and not to the nodes.
	MaxStoreReaders = 3
	// maxRemoteReaders is how many readers of other failure domains a node tries before the
	// store itself.
	maxRemoteReaders = 2
	// maxRemoteReadersCutOff and maxLocalCutOff are how many readers of other failure domains,
	// and how many further members of its own failure domain, a node tries while the store
	// does not answer it. With few of them, all could be cut off together with the node, which
	// would then get no changes.
	maxRemoteReadersCutOff = 8
	maxLocalCutOff         = 2
	// failureBackoff is how long a source that failed is avoided. The node's member list needs
	// some seconds to show that a member is gone.
	failureBackoff = 3 * time.Second
)

// Source is what a node follows: a peer, or the store itself, which is the zero value.
type Source struct {
	// ID and Address are the peer's ID and the address of its agent.
	ID, Address string
}

// StoreSource is the Source that stands for the key-value store itself.
var StoreSource = Source{}

// Ranking is the place of a node among the members of its fleet. It must not be modified.
type Ranking struct {
	// Sources are the sources that the node may follow, the best first: the store, if the node is the
	// reader of its failure domain, or else that reader, then readers of other failure domains. The
	// last one is the store for the reader's deputies; other nodes ask the deputies and more readers
	// of other failure domains instead.
	Sources []Source
	// CutOff are the sources while the store does not answer the node, the best first: its reader,
	// readers of other failure domains, members of its own failure domain, which follow the store if
	// their reader is cut off too, and the store last, if the node may read it.
	CutOff []Source
	// Rank is how many members of the node's failure domain precede it in the order of RankMembers,
	// Size how many members the domain has.
	Rank, Size int
}

// IsReader reports whether the node follows the store for its failure domain.
func (r *Ranking) IsReader() bool { return r.Rank == 0 }

// ReadsStore reports whether the node is the reader of its failure domain or one of its deputies.
func (r *Ranking) ReadsStore() bool { return r.Rank < MaxStoreReaders }

// Rank returns the ranking of a node. Members may contain the node itself.
func Rank(self model.Member, members []model.Member) *Ranking {
	byDomain := groupByDomain(self, members)
	own := RankMembers(self.Domain, byDomain[self.Domain])
	remote := remoteReaders(self, byDomain, maxRemoteReadersCutOff)
	near, far := remote[:min(maxRemoteReaders, len(remote))], remote[min(maxRemoteReaders, len(remote)):]
	r := &Ranking{Rank: slices.IndexFunc(own, func(m model.Member) bool { return m.ID == self.ID }), Size: len(own)}
	reader, store := []Source{sourceOf(own[0])}, []Source{StoreSource}
	local := sourcesOf(slices.DeleteFunc(slices.Clone(own[:min(1+maxLocalCutOff, len(own))]), func(m model.Member) bool { return m.ID == self.ID }))
	switch {
	case r.IsReader():
		r.Sources = slices.Concat(store, near)
		r.CutOff = slices.Concat(remote, local, store)
	case r.ReadsStore():
		r.Sources = slices.Concat(reader, near, store)
		r.CutOff = slices.Concat(reader, remote, local[1:], store)
	default:
		r.Sources = slices.Concat(reader, near, sourcesOf(own[1:MaxStoreReaders]), far)
		r.CutOff = slices.Concat(reader, remote, local[1:])
	}
	return r
}

// RankingCache keeps the ranking of a node until its list of members changes, which is seldom. It is safe
// for concurrent use; the zero value is ready to use.
type RankingCache struct {
	mu      sync.Mutex
	members []model.Member
	ranking *Ranking
}

// Get returns the ranking of a node. A list of members must not be modified after a call.
func (c *RankingCache) Get(self model.Member, members []model.Member) *Ranking {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ranking == nil || !model.SameMembers(c.members, members) {
		c.members, c.ranking = members, Rank(self, members)
	}
	return c.ranking
}

// groupByDomain returns the live members that have an agent by failure domain, and the node
// itself.
func groupByDomain(self model.Member, members []model.Member) map[string][]model.Member {
	byDomain := map[string][]model.Member{self.Domain: {self}}
	for _, m := range members {
		if m.ID != self.ID && m.Live() && m.Agent != "" {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	return byDomain
}

// RankMembers returns the members of a failure domain in the order in which they take on
// work for the domain. A member that reads or collects for the others sends everything to all
// of them, so the members with the fastest links come first.
func RankMembers(domain string, members []model.Member) []model.Member {
	byID := make(map[string]model.Member, len(members))
	ids := make([]string, len(members))
	for i, m := range members {
		byID[m.ID] = m
		ids[i] = m.ID
	}
	out := make([]model.Member, len(members))
	for i, id := range fanout.Order(domain, ids) {
		out[i] = byID[id]
	}
	slices.SortStableFunc(out, func(a, b model.Member) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return out
}

// reader returns the member that follows the store for a failure domain.
func reader(domain string, members []model.Member) model.Member {
	return RankMembers(domain, members)[0]
}

// remoteReaders returns at most limit readers of other failure domains, those of the node's
// region first. Their order depends on the node's ID, which spreads the nodes over them.
func remoteReaders(self model.Member, byDomain map[string][]model.Member, limit int) []Source {
	var sameRegion, otherRegions []string
	for domain, members := range byDomain {
		switch {
		case domain == self.Domain:
		case members[0].Region == self.Region:
			sameRegion = append(sameRegion, domain)
		default:
			otherRegions = append(otherRegions, domain)
		}
	}
	order := append(fanout.Order(self.ID, sameRegion), fanout.Order(self.ID, otherRegions)...)
	var out []Source
	for _, domain := range order[:min(limit, len(order))] {
		out = append(out, sourceOf(reader(domain, byDomain[domain])))
	}
	return out
}

func sourceOf(m model.Member) Source { return Source{m.ID, m.Agent} }

func sourcesOf(members []model.Member) []Source {
	out := make([]Source, len(members))
	for i, m := range members {
		out[i] = sourceOf(m)
	}
	return out
}

// Picker picks sources and avoids those that failed recently. It is not safe for concurrent
// use.
type Picker struct {
	failures map[Source]failure
}

// failure is the last failure of a source.
type failure struct {
	at time.Time
	// lagging is set if the source delivered changes, but not all.
	lagging bool
}

// NewPicker returns a Picker without recorded failures.
func NewPicker() *Picker { return &Picker{failures: make(map[Source]failure)} }

// RecordFailure records that a source failed. Lagging is set if it delivered changes all the same.
func (p *Picker) RecordFailure(s Source, lagging bool, now time.Time) {
	for known, f := range p.failures {
		if now.Sub(f.at) >= failureBackoff {
			delete(p.failures, known)
		}
	}
	p.failures[s] = failure{now, lagging}
}

// Pick returns the first of the ranked sources that has not failed within failureBackoff,
// and true. If all have, it returns the first one that lags, or else the one whose failure is
// longest ago, and false.
func (p *Picker) Pick(ranked []Source, now time.Time) (s Source, available bool) {
	for _, s := range ranked {
		if p.available(s, now) {
			return s, true
		}
	}
	if i := slices.IndexFunc(ranked, func(s Source) bool { return p.failures[s].lagging }); i >= 0 {
		return ranked[i], false
	}
	oldest := slices.MinFunc(ranked, func(a, b Source) int {
		return p.failures[a].at.Compare(p.failures[b].at)
	})
	return oldest, false
}

// AvailableBeside reports whether another one of the ranked sources than s has not failed within
// failureBackoff.
func (p *Picker) AvailableBeside(s Source, ranked []Source, now time.Time) bool {
	return slices.ContainsFunc(ranked, func(other Source) bool { return other != s && p.available(other, now) })
}

func (p *Picker) available(s Source, now time.Time) bool {
	f, failed := p.failures[s]
	return !failed || now.Sub(f.at) >= failureBackoff
}
