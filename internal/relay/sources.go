package relay

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/fanout"
	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// maxRemote is how many readers of other failure domains are asked before the
	// service itself is.
	maxRemote = 2
	// maxCutOff and maxNeighbours are how many readers of other failure domains, and
	// members of the own one, are asked by an entry that the service does not answer.
	// Few would leave entries that are cut off together with them hearing nothing.
	maxCutOff     = 8
	maxNeighbours = 2
	// avoidFor is how long a source that failed is passed over. The members that
	// an entry knows need some seconds to show that one is gone.
	avoidFor = 3 * time.Second
)

// Source is what an entry follows: a peer, or the service itself, which is the zero
// value.
type Source struct {
	// ID and Address are those of a peer.
	ID, Address string
}

// StoreSource is the source that is the key-value service itself.
var StoreSource = Source{}

// RankSources returns whom an entry follows, the best first. Members may contain the
// entry itself.
func RankSources(self model.Member, members []model.Member) []Source {
	byDomain := group(self, members)
	own := reader(self.Domain, byDomain[self.Domain])
	remote := remoteReaders(self, byDomain, maxRemote)
	if own.ID == self.ID {
		return append([]Source{StoreSource}, remote...)
	}
	return append(append([]Source{sourceOf(own)}, remote...), StoreSource)
}

// RankSourcesCutOff returns whom an entry follows that the service does not answer, the best
// first: its reader, the readers of other failure domains, members of its own one, which
// read the service if their reader is cut off too, and the service last.
func RankSourcesCutOff(self model.Member, members []model.Member) []Source {
	byDomain := group(self, members)
	var out []Source
	own := RankMembers(self.Domain, byDomain[self.Domain])
	if own[0].ID != self.ID {
		out = append(out, sourceOf(own[0]))
	}
	out = append(out, remoteReaders(self, byDomain, maxCutOff)...)
	for _, m := range own[1:min(1+maxNeighbours, len(own))] {
		if m.ID != self.ID {
			out = append(out, sourceOf(m))
		}
	}
	return append(out, StoreSource)
}

// group returns the live members by failure domain, the entry itself among them.
func group(self model.Member, members []model.Member) map[string][]model.Member {
	byDomain := map[string][]model.Member{self.Domain: {self}}
	for _, m := range members {
		if m.ID != self.ID && m.Live() && m.Agent != "" {
			byDomain[m.Domain] = append(byDomain[m.Domain], m)
		}
	}
	return byDomain
}

// RankMembers returns the members of a failure domain in the order in which they do the
// work of the domain: one that reads or collects for the others sends everything to
// all of them, so that those with the fastest links come first.
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

// reader returns the member that follows the service for a failure domain.
func reader(domain string, members []model.Member) model.Member {
	return RankMembers(domain, members)[0]
}

// remoteReaders returns readers of other failure domains, at most a number of them, those
// of the own region first. Entries spread over them by their ids.
func remoteReaders(self model.Member, byDomain map[string][]model.Member, most int) []Source {
	var near, far []string
	for domain, members := range byDomain {
		switch {
		case domain == self.Domain:
		case members[0].Region == self.Region:
			near = append(near, domain)
		default:
			far = append(far, domain)
		}
	}
	order := append(fanout.Order(self.ID, near), fanout.Order(self.ID, far)...)
	var out []Source
	for _, domain := range order[:min(most, len(order))] {
		out = append(out, sourceOf(reader(domain, byDomain[domain])))
	}
	return out
}

func sourceOf(m model.Member) Source { return Source{m.ID, m.Agent} }

// Picker remembers which sources failed. It is not safe for concurrent use.
type Picker struct {
	failed map[Source]time.Time
}

// NewPicker returns a Chooser that knows of no failure.
func NewPicker() *Picker { return &Picker{failed: make(map[Source]time.Time)} }

// RecordFailure records that a source failed.
func (c *Picker) RecordFailure(s Source, now time.Time) {
	for known, at := range c.failed {
		if now.Sub(at) >= avoidFor {
			delete(c.failed, known)
		}
	}
	c.failed[s] = now
}

// Pick returns the first source of a plan that has not failed just before. If all
// have, it is the one whose failure is longest ago, and untried is false.
func (c *Picker) Pick(plan []Source, now time.Time) (s Source, untried bool) {
	for _, s := range plan {
		at, failed := c.failed[s]
		if !failed || now.Sub(at) >= avoidFor {
			return s, true
		}
	}
	oldest := slices.MinFunc(plan, func(a, b Source) int { return cmp.Compare(c.failed[a].UnixNano(), c.failed[b].UnixNano()) })
	return oldest, false
}
