// Package tree holds the operators' settings: a tree of paths whose keys
// inherit from the parent path what they do not set themselves.
//
// A Tree is immutable. Apply makes a new one that shares what did not change,
// so that a Tree can be handed to any number of goroutines.
package tree

import (
	"maps"
	"slices"
	"strconv"
	"time"
)

// Edit sets or unsets one key.
type Edit struct {
	Path  string
	Key   string
	Value string
	Unset bool
}

// Setting is the value of a key with the revision that wrote it. An unset key
// is kept as a mark, so that a racing edit still finds the revision of its
// removal.
type Setting struct {
	Value    string
	Revision uint64
	Unset    bool
}

// Tree is an immutable tree of settings. The zero value is an empty tree.
type Tree struct {
	nodes map[string]node
}

// node is what one path sets itself. It has either keys or blocks.
type node struct {
	keys   map[string]Setting
	blocks blockList
	// revision is the largest revision of the keys.
	revision uint64
}

func (n node) get(key string) (Setting, bool) {
	if n.blocks != nil {
		return n.blocks.get(key)
	}
	s, ok := n.keys[key]
	return s, ok
}

// put sets a key of a node of a path. The node must not be shared.
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

// clone returns a node that shares nothing with n.
func (n node) clone() node {
	return node{maps.Clone(n.keys), slices.Clone(n.blocks), n.revision}
}

// each calls visit with every key, also those unset.
func (n node) each(visit func(key string, s Setting)) {
	for k, s := range n.keys {
		visit(k, s)
	}
	for i := range n.blocks {
		visit(n.blocks[i].prefix().String(), n.blocks[i].setting())
	}
}

// isSet reports whether any key is set.
func (n node) isSet() bool {
	for _, s := range n.keys {
		if !s.Unset {
			return true
		}
	}
	return slices.ContainsFunc(n.blocks, func(b block) bool { return !b.unset })
}

// Value is the effective value of a key and where it comes from.
type Value struct {
	Value string
	// From is the path that sets the value; empty for the key's default.
	From     string
	Revision uint64
}

// Apply returns the tree after edits at revision. It does not check them.
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
		n.put(e.Path, e.Key, settingOf(e, revision))
	}
	for path, n := range edited {
		next.nodes[path] = *n
	}
	return next
}

func settingOf(e Edit, revision uint64) Setting {
	if e.Unset {
		return Setting{Revision: revision, Unset: true}
	}
	return Setting{Value: e.Value, Revision: revision}
}

// SettingAt returns what path itself says of key, with false if it was never written.
func (t *Tree) SettingAt(path, key string) (Setting, bool) {
	return t.nodes[path].get(key)
}

// PathRevision returns the newest revision that wrote to path itself.
func (t *Tree) PathRevision(path string) uint64 { return t.nodes[path].revision }

// Get returns the effective value of key at path: that of the nearest path up
// the tree which sets it, or the key's default.
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

// String returns the effective value of a key.
func (t *Tree) String(path, key string) string { return t.Get(path, key).Value }

// Duration returns the effective value of a key that holds a duration.
func (t *Tree) Duration(path, key string) time.Duration {
	d, _ := time.ParseDuration(t.String(path, key))
	return d
}

// Int returns the effective value of a key that holds a whole number.
func (t *Tree) Int(path, key string) int {
	n, _ := strconv.Atoi(t.String(path, key))
	return n
}

// Float returns the effective value of a key that holds a number.
func (t *Tree) Float(path, key string) float64 {
	f, _ := strconv.ParseFloat(t.String(path, key), 64)
	return f
}

// Time returns the effective value of a key that holds a time, or the zero time.
func (t *Tree) Time(path, key string) time.Time {
	at, _ := time.Parse(time.RFC3339, t.String(path, key))
	return at
}

// List returns the effective value of a key that holds a list.
func (t *Tree) List(path, key string) []string { return SplitList(t.String(path, key)) }

// Paths returns the paths at which at least one key is set, in order.
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

// AllPaths returns the paths at which any key was ever written, in order.
func (t *Tree) AllPaths() []string {
	paths := slices.Collect(maps.Keys(t.nodes))
	slices.Sort(paths)
	return paths
}

// VisitPath calls visit with every key written at path, also those unset, in no
// particular order.
func (t *Tree) VisitPath(path string, visit func(key string, s Setting)) {
	t.nodes[path].each(visit)
}

// VisitAll calls visit with every key written in the tree, also those unset, in no
// particular order.
func (t *Tree) VisitAll(visit func(path, key string, s Setting)) {
	for p, n := range t.nodes {
		n.each(func(key string, s Setting) { visit(p, key, s) })
	}
}

// Builder fills a tree with settings that already have revisions.
type Builder struct{ tree Tree }

// Put writes one setting.
func (b *Builder) Put(path, key string, s Setting) {
	if b.tree.nodes == nil {
		b.tree.nodes = make(map[string]node)
	}
	n := b.tree.nodes[path]
	n.put(path, key, s)
	b.tree.nodes[path] = n
}

// Tree returns the tree; the builder must not be used afterwards.
func (b *Builder) Tree() *Tree { return &b.tree }
