// Package route selects the entry instances that a look-up returns to a caller.
//
// The caller's address belongs to an address block, the block lists regions in order of
// preference, and weighted rendezvous hashing ranks the entries of a region for the
// caller, so that a change of weights or members moves as few callers as possible.
package route

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"github.com/loomkeel/loomkeel/internal/tree"
)

// Blocks maps blocks of caller addresses (prefixes) to lists of regions. It is immutable.
type Blocks struct {
	table bart.Table[*[]string]
	// revisions has the revision of each settings path that the table was built from.
	revisions map[string]uint64
}

// NewBlocks returns the table of the blocks in a settings tree. It returns old itself
// if no block has changed since old was built.
func NewBlocks(t *tree.Tree, old *Blocks) *Blocks {
	revisions := make(map[string]uint64)
	for _, p := range t.BlockPaths() {
		revisions[p] = t.PathRevision(p)
	}
	if old != nil && equalRevisions(old.revisions, revisions) {
		return old
	}
	b := &Blocks{revisions: revisions}
	// Very many blocks share few distinct lists of regions; each list is kept once.
	lists := make(map[string]*[]string)
	for p := range revisions {
		t.VisitBlocks(p, func(prefix netip.Prefix, regions string) {
			l := lists[regions]
			if l == nil {
				split := tree.SplitList(regions)
				l = &split
				lists[regions] = l
			}
			b.table.Insert(prefix, l)
		})
	}
	return b
}

// equalRevisions reports whether two maps have the same paths with the same revisions.
func equalRevisions(a, b map[string]uint64) bool {
	if len(a) != len(b) {
		return false
	}
	for p, r := range b {
		if a[p] != r {
			return false
		}
	}
	return true
}

// Regions returns the regions of the longest prefix that contains an address, or nil if
// no block contains it. The returned slice must not be modified.
func (b *Blocks) Regions(addr netip.Addr) []string {
	l, ok := b.table.Lookup(addr.Unmap())
	if !ok {
		return nil
	}
	return *l
}

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.table.Size() }
