// Package fanout decides who reads the configuration log from the platform and
// who passes its records on to whom.
//
// Rendezvous hashing orders the live members of a failure domain. The first
// Readers of the order follow the log; the others form a tree of Degree under
// them. All members compute the same order from the same membership, and a
// member that believes otherwise for a moment does no harm: a second reader
// costs a few calls, a missing push is healed by the next exchange.
package fanout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerDomain is how many members of a failure domain follow the log.
	ReadersPerDomain = 2
	// Degree is how many members one member pushes to at most.
	Degree = 6
)

// Plan is one member's part.
type Plan struct {
	// Reader is true for the members that follow the log in the platform.
	Reader bool
	// Rank is the member's place in the domain's order.
	Rank int
	// Children are the ids to push new records to.
	Children []string
	// Siblings are the other readers of the domain, for a reader.
	Siblings []string
}

// New returns the part of self among the live members of its failure domain.
// The ids may come in any order; self is added if it is not among them.
func New(domain, self string, ids []string) Plan {
	order := Order(domain, ids)
	rank := slices.Index(order, self)
	if rank < 0 {
		order = Order(domain, append(slices.Clone(ids), self))
		rank = slices.Index(order, self)
	}
	p := Plan{Rank: rank, Reader: rank < ReadersPerDomain}
	if p.Reader {
		p.Siblings = slices.DeleteFunc(slices.Clone(order[:min(ReadersPerDomain, len(order))]), func(id string) bool { return id == self })
	}
	first := ReadersPerDomain + rank*Degree
	if first < len(order) {
		p.Children = slices.Clone(order[first:min(first+Degree, len(order))])
	}
	return p
}

// Order returns ids in the rendezvous order of a domain.
func Order(domain string, ids []string) []string {
	type scored struct {
		id    string
		score uint64
	}
	all := make([]scored, len(ids))
	for i, id := range ids {
		all[i] = scored{id, xxhash.Sum64String(domain + "\x00" + id)}
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.id, b.id))
	})
	order := make([]string, len(all))
	for i, s := range all {
		order[i] = s.id
	}
	return order
}
