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

// blocksPrefix is the prefix of the paths whose keys are blocks of client
// addresses, that is, IP prefixes.
const blocksPrefix = "/blocks/"

// blockSetting is the setting of one block in a compact form, because a tree can
// hold hundreds of thousands of blocks with few distinct values.
type blockSetting struct {
	addr     [16]byte
	bits     uint8
	isIPv4   bool
	unset    bool
	value    unique.Handle[string]
	revision uint64
}

// blockList is a list of blocks sorted by address and prefix length.
type blockList []blockSetting

// IsBlocksPath reports whether the keys of path are blocks of client addresses.
func IsBlocksPath(path string) bool { return strings.HasPrefix(path, blocksPrefix) }

// newBlock returns the block of a prefix, without a setting.
func newBlock(p netip.Prefix) blockSetting {
	return blockSetting{addr: p.Addr().As16(), bits: uint8(p.Bits()), isIPv4: p.Addr().Is4()}
}

// prefix returns the IP prefix of the block.
func (b *blockSetting) prefix() netip.Prefix {
	addr := netip.AddrFrom16(b.addr)
	if b.isIPv4 {
		addr = addr.Unmap()
	}
	return netip.PrefixFrom(addr, int(b.bits))
}

// setting returns the setting of the block.
func (b *blockSetting) setting() Setting {
	return Setting{Value: b.value.Value(), Revision: b.revision, Unset: b.unset}
}

// compareBlocks orders blocks by address and prefix length.
func compareBlocks(a, b blockSetting) int {
	return cmp.Or(bytes.Compare(a.addr[:], b.addr[:]), cmp.Compare(a.bits, b.bits))
}

// find returns the index of a block and whether the list contains it. If it does
// not, the index is where the block would be inserted.
func (l blockList) find(b blockSetting) (int, bool) {
	return slices.BinarySearchFunc(l, b, compareBlocks)
}

// get returns the setting of the block that key names, and whether the list
// contains it.
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

// put returns the list with a block added or replaced; the list itself is
// modified. A key that is not a prefix is ignored: CheckEdits rejects such a key,
// but records that are read from the log are not checked.
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

// VisitBlocks calls visit for every block that is set at path, in order of
// addresses and prefix lengths. regions is the block's value: region names,
// separated by commas.
func (t *Tree) VisitBlocks(path string, visit func(p netip.Prefix, regions string)) {
	for i := range t.nodes[path].blocks {
		if b := &t.nodes[path].blocks[i]; !b.unset {
			visit(b.prefix(), b.value.Value())
		}
	}
}

// BlockPaths returns the sorted paths under /blocks/, including those whose blocks
// have all been unset since.
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
