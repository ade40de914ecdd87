// Package tree holds the operators' settings as a tree of paths with keys. A path
// inherits the values of keys that are not set at the path from its parent path.
//
// A Tree is immutable and therefore safe for concurrent use. Apply returns a new Tree
// that shares unchanged paths with the old one.
package tree

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Edit sets or unsets one key at a path.
type Edit struct {
	Path  string
	Key   string
	Value string
	Unset bool
}

// Setting is the value of a key with the revision that wrote it. An unset key is
// kept as a tombstone, so that a concurrent edit still finds the revision of the
// removal.
type Setting struct {
	Value    string
	Revision uint64
	Unset    bool
}

// Tree is an immutable tree of settings. The zero value is an empty tree.
type Tree struct {
	// nodes holds the node of each path at which a key was ever written.
	nodes map[string]node
}

// node holds the settings of one path: either keys or, under /blocks/, blocks.
type node struct {
	keys   map[string]Setting
	blocks blockList
	// revision is the largest revision of the keys.
	revision uint64
}

// get returns the setting of a key at the node's own path, and whether the key
// was ever written there.
func (n node) get(key string) (Setting, bool) {
	if n.blocks != nil {
		return n.blocks.get(key)
	}
	s, ok := n.keys[key]
	return s, ok
}

// put writes a setting to the node of path. The node must not be shared with
// another tree.
func (n *node) put(path, key string, s Setting) {
	n.revision = max(n.revision, s.Revision)
	if IsBlocksPath(path) {
		n.blocks = n.blocks.put(key, s)
		return
	}
	if n.keys == nil {
		n.keys = make(map[string]Setting)
	}
	n.keys[key] = s
}

// clone returns a copy that shares neither keys nor blocks with n.
func (n node) clone() node {
	return node{maps.Clone(n.keys), slices.Clone(n.blocks), n.revision}
}

// visit calls fn for every key, including unset ones.
func (n node) visit(fn func(key string, s Setting)) {
	for k, s := range n.keys {
		fn(k, s)
	}
	for i := range n.blocks {
		fn(n.blocks[i].prefix().String(), n.blocks[i].setting())
	}
}

// isSet reports whether any key is set.
func (n node) isSet() bool {
	for _, s := range n.keys {
		if !s.Unset {
			return true
		}
	}
	return slices.ContainsFunc(n.blocks, func(b blockSetting) bool { return !b.unset })
}

// Value is the effective value of a key at a path, with its origin.
type Value struct {
	Value string
	// From is the path at which the value is set; empty for the key's default.
	From string
	// Revision is the revision that set the value; 0 for the key's default.
	Revision uint64
}

// Apply returns the tree after edits at revision. It does not check the edits.
func (t *Tree) Apply(edits []Edit, revision uint64) *Tree {
	next := &Tree{nodes: maps.Clone(t.nodes)}
	if next.nodes == nil {
		next.nodes = make(map[string]node)
	}
	edited := make(map[string]*node)
	for _, e := range edits {
		n := edited[e.Path]
		if n == nil {
			c := t.nodes[e.Path].clone()
			n = &c
			edited[e.Path] = n
		}
		n.put(e.Path, e.Key, newSetting(e, revision))
	}
	for path, n := range edited {
		next.nodes[path] = *n
	}
	return next
}

// newSetting returns the setting that an edit writes at revision.
func newSetting(e Edit, revision uint64) Setting {
	if e.Unset {
		return Setting{Revision: revision, Unset: true}
	}
	return Setting{Value: e.Value, Revision: revision}
}

// SettingAt returns the setting of key at path itself, and false if key was never
// written there. Ancestor paths are not considered.
func (t *Tree) SettingAt(path, key string) (Setting, bool) {
	return t.nodes[path].get(key)
}

// PathRevision returns the newest revision that wrote a key at path, or 0 if none
// did. Ancestor paths are not considered.
func (t *Tree) PathRevision(path string) uint64 { return t.nodes[path].revision }

// Get returns the effective value of key at path: the value at path or at the
// nearest ancestor path at which the key is set, or the key's default. For an unknown
// key, Get returns the zero Value.
func (t *Tree) Get(path, key string) Value {
	for p, ok := path, true; ok; p, ok = Parent(p) {
		if s, found := t.nodes[p].get(key); found && !s.Unset {
			return Value{Value: s.Value, From: p, Revision: s.Revision}
		}
	}
	if k := keyByName[key]; k != nil {
		return Value{Value: k.Default}
	}
	return Value{}
}

// String returns the effective value of key at path.
func (t *Tree) String(path, key string) string { return t.Get(path, key).Value }

// Duration returns the effective value of a key that holds a duration, or 0 if the
// value is not a duration.
func (t *Tree) Duration(path, key string) time.Duration {
	d, _ := time.ParseDuration(t.String(path, key))
	return d
}

// Int returns the effective value of a key that holds a whole number, or 0 if the
// value is not a whole number.
func (t *Tree) Int(path, key string) int {
	n, _ := strconv.Atoi(t.String(path, key))
	return n
}

// Float returns the effective value of a key that holds a number, or 0 if the
// value is not a number.
func (t *Tree) Float(path, key string) float64 {
	f, _ := strconv.ParseFloat(t.String(path, key), 64)
	return f
}

// Time returns the effective value of a key that holds a time, or the zero time if
// the value is not a time.
func (t *Tree) Time(path, key string) time.Time {
	at, _ := time.Parse(time.RFC3339, t.String(path, key))
	return at
}

// List returns the effective value of a key that holds a list.
func (t *Tree) List(path, key string) []string { return SplitList(t.String(path, key)) }

// Paths returns the sorted paths at which at least one key is set.
func (t *Tree) Paths() []string {
	paths := make([]string, 0, len(t.nodes))
	for p, n := range t.nodes {
		if n.isSet() {
			paths = append(paths, p)
		}
	}
	slices.Sort(paths)
	return paths
}

// AllPaths returns the sorted paths at which a key was ever written, including
// those whose keys have all been unset since.
func (t *Tree) AllPaths() []string {
	paths := slices.Collect(maps.Keys(t.nodes))
	slices.Sort(paths)
	return paths
}

// VisitPath calls visit for every key that was written at path, including unset
// ones. Keys are visited in undefined order, blocks in order of their addresses.
func (t *Tree) VisitPath(path string, visit func(key string, s Setting)) {
	t.nodes[path].visit(visit)
}

// VisitAll calls visit for every key that was written in the tree, including unset
// ones, in undefined order.
func (t *Tree) VisitAll(visit func(path, key string, s Setting)) {
	for p, n := range t.nodes {
		n.visit(func(key string, s Setting) { visit(p, key, s) })
	}
}

// Builder builds a tree from settings that already have revisions. The zero value
// is ready to use.
type Builder struct{ tree Tree }

// Put adds one setting, or replaces that of the same path and key.
func (b *Builder) Put(path, key string, s Setting) {
	if b.tree.nodes == nil {
		b.tree.nodes = make(map[string]node)
	}
	n := b.tree.nodes[path]
	n.put(path, key, s)
	b.tree.nodes[path] = n
}

// Tree returns the tree. The Builder must not be used afterwards.
func (b *Builder) Tree() *Tree { return &b.tree }
