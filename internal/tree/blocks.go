package tree

import (
	"bytes"
	"cmp"
	"net/netip"
	"slices"
	"sort"
	"strings"
	"unique"
)

// blocksPrefix starts the paths whose keys are blocks of client addresses.
const blocksPrefix = "/blocks/"

// block is the setting of one block in compact form: hundreds of thousands of
// them stand in a tree, with few distinct values.
type block struct {
	addr     [16]byte
	bits     uint8
	v4       bool
	unset    bool
	value    unique.Handle[string]
	revision uint64
}

// blockList is sorted by address and length.
type blockList []block

// IsBlocksPath reports whether the keys of a path are blocks of client addresses.
func IsBlocksPath(path string) bool { return strings.HasPrefix(path, blocksPrefix) }

func newBlock(p netip.Prefix) block {
	return block{addr: p.Addr().As16(), bits: uint8(p.Bits()), v4: p.Addr().Is4()}
}

func (b *block) prefix() netip.Prefix {
	addr := netip.AddrFrom16(b.addr)
	if b.v4 {
		addr = addr.Unmap()
	}
	return netip.PrefixFrom(addr, int(b.bits))
}

func (b *block) setting() Setting {
	return Setting{Value: b.value.Value(), Revision: b.revision, Unset: b.unset}
}

func compareBlocks(a, b block) int {
	return cmp.Or(bytes.Compare(a.addr[:], b.addr[:]), cmp.Compare(a.bits, b.bits))
}

// find returns the place of a block and whether it is there.
func (l blockList) find(b block) (int, bool) {
	return slices.BinarySearchFunc(l, b, compareBlocks)
}

func (l blockList) get(key string) (Setting, bool) {
	p, err := netip.ParsePrefix(key)
	if err != nil {
		return Setting{}, false
	}
	i, ok := l.find(newBlock(p))
	if !ok {
		return Setting{}, false
	}
	return l[i].setting(), true
}

// put returns the list with one more or one other block. A key that is no
// prefix is passed over; checked edits have none.
func (l blockList) put(key string, s Setting) blockList {
	p, err := netip.ParsePrefix(key)
	if err != nil {
		return l
	}
	b := newBlock(p)
	b.value, b.revision, b.unset = unique.Make(s.Value), s.Revision, s.Unset
	if n := len(l); n == 0 || compareBlocks(l[n-1], b) < 0 {
		return append(l, b)
	}
	i, ok := l.find(b)
	if ok {
		l[i] = b
		return l
	}
	return slices.Insert(l, i, b)
}

// VisitBlocks calls visit with every block that is set at a path, in order. Regions
// is the list that the block names.
func (t *Tree) VisitBlocks(path string, visit func(p netip.Prefix, regions string)) {
	for i := range t.nodes[path].blocks {
		if b := &t.nodes[path].blocks[i]; !b.unset {
			visit(b.prefix(), b.value.Value())
		}
	}
}

// BlockPaths returns the paths that hold blocks, in order.
func (t *Tree) BlockPaths() []string {
	var paths []string
	for p := range t.nodes {
		if IsBlocksPath(p) {
			paths = append(paths, p)
		}
	}
	sort.Strings(paths)
	return paths
}
