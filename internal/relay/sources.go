package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/fanout"
	"github.com/loomkeel/loomkeel/internal/model"
)

const (
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

// RankSources returns the sources that a node may follow, the best first: the store, if the
// node is the reader of its failure domain, or else that reader, then readers of other failure
// domains, and the store last. Members may contain the node itself.
func RankSources(self model.Member, members []model.Member) []Source {
	byDomain := groupByDomain(self, members)
	own := reader(self.Domain, byDomain[self.Domain])
	remote := remoteReaders(self, byDomain, maxRemoteReaders)
	if own.ID == self.ID {
		return append([]Source{StoreSource}, remote...)
	}
	return append(append([]Source{sourceOf(own)}, remote...), StoreSource)
}

// RankSourcesCutOff returns the sources that a node may follow while the store does not
// answer it, the best first: its reader, readers of other failure domains, members of its own
// failure domain, which follow the store if their reader is cut off too, and the store last.
func RankSourcesCutOff(self model.Member, members []model.Member) []Source {
	byDomain := groupByDomain(self, members)
	var out []Source
	own := RankMembers(self.Domain, byDomain[self.Domain])
	if own[0].ID != self.ID {
		out = append(out, sourceOf(own[0]))
	}
	out = append(out, remoteReaders(self, byDomain, maxRemoteReadersCutOff)...)
	for _, m := range own[1:min(1+maxLocalCutOff, len(own))] {
		if m.ID != self.ID {
			out = append(out, sourceOf(m))
		}
	}
	return append(out, StoreSource)
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

// Picker picks sources and avoids those that failed recently. It is not safe for concurrent
// use.
type Picker struct {
	failedAt map[Source]time.Time
}

// NewPicker returns a Picker without recorded failures.
func NewPicker() *Picker { return &Picker{failedAt: make(map[Source]time.Time)} }

// RecordFailure records that a source failed.
func (p *Picker) RecordFailure(s Source, now time.Time) {
	for known, at := range p.failedAt {
		if now.Sub(at) >= failureBackoff {
			delete(p.failedAt, known)
		}
	}
	p.failedAt[s] = now
}

// Pick returns the first of the ranked sources that has not failed within failureBackoff,
// and true. If all have, it returns the one whose failure is longest ago, and false.
func (p *Picker) Pick(ranked []Source, now time.Time) (s Source, available bool) {
	for _, s := range ranked {
		at, failed := p.failedAt[s]
		if !failed || now.Sub(at) >= failureBackoff {
			return s, true
		}
	}
	oldest := slices.MinFunc(ranked, func(a, b Source) int {
		return cmp.Compare(p.failedAt[a].UnixNano(), p.failedAt[b].UnixNano())
	})
	return oldest, false
}
