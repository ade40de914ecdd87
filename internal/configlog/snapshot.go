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

// targetPartBytes is the largest sum of the encoded sizes of the entries in one
// snapshot part, in bytes. Only a part with a single larger entry exceeds it. The
// encoded part is slightly larger than the sum.
const targetPartBytes = 200 << 10

// Snapshot is the tree and the newest change IDs, oldest first, at one revision.
type Snapshot struct {
	Revision uint64
	Tree     *tree.Tree
	Changes  []AppliedChange
}

// Parts returns the snapshot as a sequence of at least one message. Equal
// snapshots give equal parts, so that two writers of one revision store the same
// values. Paths for which skip returns true are left out; skip may be nil.
func (s *Snapshot) Parts(skip func(path string) bool) iter.Seq[*pb.SnapshotPart] {
	return func(yield func(*pb.SnapshotPart) bool) {
		p := partPacker{revision: s.Revision, yield: yield}
		for _, path := range s.Tree.AllPaths() {
			if skip != nil && skip(path) {
				continue
			}
			for _, m := range settingsAt(s.Tree, path) {
				p.partFor(proto.Size(m)).Settings = append(p.part.Settings, m)
			}
		}
		for _, a := range s.Changes {
			m := &pb.AppliedChange{ChangeId: a.ID, Revision: a.Revision}
			p.partFor(proto.Size(m)).Changes = append(p.part.Changes, m)
		}
		p.finish()
	}
}

// partPacker collects settings and changes into parts and yields each full part.
type partPacker struct {
	revision uint64
	yield    func(*pb.SnapshotPart) bool
	part     *pb.SnapshotPart
	// size is the sum of the sizes of the entries in part, in bytes.
	size int
	// stopped is set when yield has returned false.
	stopped bool
}

// partFor returns the part to which the next n bytes are to be added. If the
// current part is full, it is yielded first.
func (p *partPacker) partFor(n int) *pb.SnapshotPart {
	if p.part == nil {
		p.part = &pb.SnapshotPart{Revision: p.revision}
	}
	if p.size > 0 && p.size+n > targetPartBytes {
		p.stopped = p.stopped || !p.yield(p.part)
		p.part, p.size = &pb.SnapshotPart{Revision: p.revision}, 0
	}
	p.size += n
	return p.part
}

// finish yields the last part, which may be empty.
func (p *partPacker) finish() {
	p.partFor(0)
	if !p.stopped {
		p.yield(p.part)
	}
}

// settingsAt returns the messages of all keys written at path, in order of keys.
func settingsAt(t *tree.Tree, path string) []*pb.Setting {
	var all []*pb.Setting
	t.VisitPath(path, func(key string, v tree.Setting) {
		all = append(all, &pb.Setting{Path: path, Key: key, Value: v.Value, Revision: v.Revision, Unset: v.Unset})
	})
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	return all
}

// Assembler builds a snapshot from its parts in order. The zero value is ready to
// use.
type Assembler struct {
	parts    int
	snapshot Snapshot
	builder  tree.Builder
}

// Add adds the next part. It returns an error if the part is of another revision
// than the first.
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
		a.snapshot.Changes = append(a.snapshot.Changes, AppliedChange{c.GetChangeId(), c.GetRevision()})
	}
	return nil
}

// Snapshot returns the snapshot of all added parts, or an error if none was
// added. The Assembler must not be used afterwards.
func (a *Assembler) Snapshot() (*Snapshot, error) {
	if a.parts == 0 {
		return nil, &DecodeError{"snapshot", "no parts"}
	}
	a.snapshot.Tree = a.builder.Tree()
	return &a.snapshot, nil
}

// partKey returns the store key of a snapshot part.
func partKey(revision uint64, part int) string {
	return fmt.Sprintf("snapshot/%d/%d", revision, part)
}

// SaveSnapshot writes a snapshot to the store, sets the snapshot pointer to it
// and deletes the parts of the previous snapshot. If the stored snapshot is as new
// as s or newer, it is kept. SaveSnapshot returns the revision of the stored
// snapshot.
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
		if err := storePart(ctx, store, partKey(s.Revision, len(next.Checksums)), body); err != nil {
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
	deleteParts(ctx, store, old)
	return s.Revision, nil
}

// storePart writes a part, unless another writer of the same revision has already
// stored it.
func storePart(ctx context.Context, store coordination.Store, key string, body []byte) error {
	_, err := store.CompareAndSwap(ctx, key, coordination.Absent, body, 0)
	if errors.Is(err, coordination.ErrConflict) {
		return nil
	}
	return err
}

// deleteParts deletes the parts of an old snapshot. It stops at the first failed
// read and ignores failed deletions.
func deleteParts(ctx context.Context, store coordination.Store, old *pb.SnapshotPointer) {
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

// readPointer returns the store version of the snapshot pointer's key, and the
// pointer, which is empty if there is no snapshot.
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

// maxLoadAttempts bounds the attempts of LoadSnapshot to read all parts. An
// attempt fails if a newer snapshot replaces the one being read.
const maxLoadAttempts = 3

// LoadSnapshot returns the newest snapshot in the store, or nil if there is none.
func LoadSnapshot(ctx context.Context, store coordination.Store) (*Snapshot, error) {
	var err error
	for range maxLoadAttempts {
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

// loadParts reads the parts of the snapshot that p points to and checks them
// against their checksums.
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
