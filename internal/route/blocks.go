// Package route decides which entry instances a caller is told to use.
//
// A caller's address falls into a block, the block names regions in order, and
// weighted rendezvous hashing orders the entries of a region for that caller,
// so that a change of weights or members moves only the callers that it must.
package route

import (
	"net/netip"

	"github.com/gaissmai/bart"

	"github.com/loomkeel/loomkeel/internal/tree"
)

// Blocks maps blocks of client addresses to regions. It is immutable.
type Blocks struct {
	table bart.Table[*[]string]
	// marks are the revisions of the paths that the table was built from.
	marks map[string]uint64
}

// NewBlocks returns the table of a tree. It returns old itself if no block has
// changed since old was built.
func NewBlocks(t *tree.Tree, old *Blocks) *Blocks {
	marks := make(map[string]uint64)
	for _, p := range t.BlockPaths() {
		marks[p] = t.PathRevision(p)
	}
	if old != nil && sameMarks(old.marks, marks) {
		return old
	}
	b := &Blocks{marks: marks}
	// Few distinct lists of regions stand behind very many blocks.
	lists := make(map[string]*[]string)
	for p := range marks {
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

func sameMarks(a, b map[string]uint64) bool {
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

// Regions returns the regions of the longest block that holds an address, or
// nil. The caller must not change the slice.
func (b *Blocks) Regions(addr netip.Addr) []string {
	l, ok := b.table.Lookup(addr.Unmap())
	if !ok {
		return nil
	}
	return *l
}

// Len returns the number of blocks.
func (b *Blocks) Len() int { return b.table.Size() }
