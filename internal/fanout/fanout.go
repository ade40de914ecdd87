// Package fanout computes which members read the configuration log from the platform
// and to which members each pushes new records.
//
// Rendezvous hashing orders the live members of a failure domain. The first
// ReadersPerDomain members of the order read the log; the others form a tree of
// degree Degree below them. All members compute the same order from the same
// membership. A member with a temporarily different membership does no harm: an
// additional reader costs a few calls, and a missing push is made up for by the next
// exchange.
package fanout

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

const (
	// ReadersPerDomain is the number of members of a failure domain that read the
	// log.
	ReadersPerDomain = 2
	// Degree is the largest number of children of a member in the tree.
	Degree = 6
)

// Plan is the role of one member in the fan-out of its failure domain.
type Plan struct {
	// Reader is true for a member that reads the log from the platform.
	Reader bool
	// Rank is the member's position in the domain's order, starting at 0.
	Rank int
	// Children are the IDs of the members to push new records to.
	Children []string
	// Siblings are the IDs of the other readers of the domain if the member is a
	// reader, and empty otherwise.
	Siblings []string
}

// New returns the role of self among ids, the live members of its failure domain. The
// ids may be in any order; self is added if it is missing.
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

// Order returns the IDs sorted in the rendezvous order of a failure domain: by
// descending hash of domain and ID. The argument is not modified.
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
