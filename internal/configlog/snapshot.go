package configlog

import (
	"context"
	"errors"
	"fmt"
	"iter"
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// partBytes is about how large a snapshot part gets.
const partBytes = 200 << 10

// Snapshot is the whole state at one revision.
type Snapshot struct {
	Revision uint64
	Tree     *tree.Tree
	Changes  []Applied
}

// Parts returns the messages of a snapshot one by one, at least one. The same
// state always gives the same parts, so that two writers of one revision do not
// disturb each other. Paths for which skip is true are left out; skip may be
// nil.
func (s *Snapshot) Parts(skip func(path string) bool) iter.Seq[*pb.SnapshotPart] {
	return func(yield func(*pb.SnapshotPart) bool) {
		p := packer{revision: s.Revision, yield: yield}
		for _, path := range s.Tree.AllPaths() {
			if skip != nil && skip(path) {
				continue
			}
			for _, m := range settingsAt(s.Tree, path) {
				p.room(proto.Size(m)).Settings = append(p.part.Settings, m)
			}
		}
		for _, a := range s.Changes {
			m := &pb.AppliedChange{ChangeId: a.ID, Revision: a.Revision}
			p.room(proto.Size(m)).Changes = append(p.part.Changes, m)
		}
		p.finish()
	}
}

// packer fills parts and hands each on when it is full.
type packer struct {
	revision uint64
	yield    func(*pb.SnapshotPart) bool
	part     *pb.SnapshotPart
	size     int
	stopped  bool
}

// room returns a part with room for n bytes more.
func (p *packer) room(n int) *pb.SnapshotPart {
	if p.part == nil {
		p.part = &pb.SnapshotPart{Revision: p.revision}
	}
	if p.size > 0 && p.size+n > partBytes {
		p.stopped = p.stopped || !p.yield(p.part)
		p.part, p.size = &pb.SnapshotPart{Revision: p.revision}, 0
	}
	p.size += n
	return p.part
}

// finish hands on the last part, which may be empty.
func (p *packer) finish() {
	p.room(0)
	if !p.stopped {
		p.yield(p.part)
	}
}

func settingsAt(t *tree.Tree, path string) []*pb.Setting {
	var all []*pb.Setting
	t.Node(path, func(key string, v tree.Setting) {
		all = append(all, &pb.Setting{Path: path, Key: key, Value: v.Value, Revision: v.Revision, Unset: v.Unset})
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// Assembler puts a snapshot together from its parts in order. Its zero value is
// ready.
type Assembler struct {
	parts    int
	snapshot Snapshot
	builder  tree.Builder
}

// Add takes in the next part.
func (a *Assembler) Add(p *pb.SnapshotPart) error {
	if a.parts == 0 {
		a.snapshot.Revision = p.GetRevision()
	}
	a.parts++
	if p.GetRevision() != a.snapshot.Revision {
		return &DecodeError{"snapshot", "parts of several revisions"}
	}
	for _, m := range p.GetSettings() {
		a.builder.Put(m.GetPath(), m.GetKey(), tree.Setting{Value: m.GetValue(), Revision: m.GetRevision(), Unset: m.GetUnset()})
	}
	for _, c := range p.GetChanges() {
		a.snapshot.Changes = append(a.snapshot.Changes, Applied{c.GetChangeId(), c.GetRevision()})
	}
	return nil
}

// Snapshot returns the whole, or an error if there was no part. The Assembler
// must not be used afterwards.
func (a *Assembler) Snapshot() (*Snapshot, error) {
	if a.parts == 0 {
		return nil, &DecodeError{"snapshot", "no parts"}
	}
	a.snapshot.Tree = a.builder.Tree()
	return &a.snapshot, nil
}

func partKey(revision uint64, part int) string {
	return fmt.Sprintf("snapshot/%d/%d", revision, part)
}

// SaveSnapshot writes a snapshot to the store, swaps the pointer forward and
// removes the parts of the snapshot before. It returns the revision that the
// pointer names in the end, which may be newer than s.
func SaveSnapshot(ctx context.Context, store coordination.Store, s *Snapshot) (uint64, error) {
	at, old, err := readPointer(ctx, store)
	if err != nil || old.GetRevision() >= s.Revision {
		return old.GetRevision(), err
	}
	next := &pb.SnapshotPointer{Revision: s.Revision}
	for p := range s.Parts(nil) {
		body, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
		if err != nil {
			return 0, err
		}
		if err := putPart(ctx, store, partKey(s.Revision, len(next.Checksums)), body); err != nil {
			return 0, err
		}
		next.Checksums = append(next.Checksums, xxhash.Sum64(body))
	}
	body, err := proto.Marshal(next)
	if err != nil {
		return 0, err
	}
	if _, err := store.CompareAndSwap(ctx, snapshotKey, at, body, 0); err != nil {
		return 0, err
	}
	dropParts(ctx, store, old)
	return s.Revision, nil
}

// putPart writes a part unless another writer of the same revision has.
func putPart(ctx context.Context, store coordination.Store, key string, body []byte) error {
	_, err := store.CompareAndSwap(ctx, key, coordination.Absent, body, 0)
	if errors.Is(err, coordination.ErrConflict) {
		return nil
	}
	return err
}

// dropParts removes an old snapshot's parts as far as the store lets it.
func dropParts(ctx context.Context, store coordination.Store, old *pb.SnapshotPointer) {
	for i := range old.GetChecksums() {
		key := partKey(old.GetRevision(), i)
		e, err := store.Get(ctx, key)
		if err != nil {
			return
		}
		if e.Version != coordination.Absent {
			_ = store.Delete(ctx, key, e.Version)
		}
	}
}

func readPointer(ctx context.Context, store coordination.Store) (uint64, *pb.SnapshotPointer, error) {
	var p pb.SnapshotPointer
	e, err := store.Get(ctx, snapshotKey)
	if err != nil {
		return 0, &p, err
	}
	if err := proto.Unmarshal(e.Value, &p); err != nil {
		return 0, &p, &DecodeError{"snapshot pointer", err.Error()}
	}
	return e.Version, &p, nil
}

// snapshotTries bounds how often LoadSnapshot starts again when a newer
// snapshot replaces the one that it reads.
const snapshotTries = 3

// LoadSnapshot reads the newest snapshot from the store; nil means that there
// is none.
func LoadSnapshot(ctx context.Context, store coordination.Store) (*Snapshot, error) {
	var err error
	for range snapshotTries {
		var p *pb.SnapshotPointer
		if _, p, err = readPointer(ctx, store); err != nil {
			return nil, err
		}
		if p.GetRevision() == 0 {
			return nil, nil
		}
		var s *Snapshot
		if s, err = loadParts(ctx, store, p); err == nil {
			return s, nil
		}
	}
	return nil, err
}

func loadParts(ctx context.Context, store coordination.Store, p *pb.SnapshotPointer) (*Snapshot, error) {
	var a Assembler
	for i, sum := range p.GetChecksums() {
		e, err := store.Get(ctx, partKey(p.GetRevision(), i))
		if err != nil {
			return nil, err
		}
		if xxhash.Sum64(e.Value) != sum {
			return nil, &DecodeError{"snapshot part", "checksum differs"}
		}
		part := new(pb.SnapshotPart)
		if err := proto.Unmarshal(e.Value, part); err != nil {
			return nil, &DecodeError{"snapshot part", err.Error()}
		}
		if err := a.Add(part); err != nil {
			return nil, err
		}
	}
	return a.Snapshot()
}
