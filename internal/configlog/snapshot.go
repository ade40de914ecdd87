package configlog

import (
	"context"
	"errors"
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"github.com/loomkeel/loomkeel/internal/platform"
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

// Parts returns the messages of a snapshot. The same state always gives the
// same parts, so that two writers of one revision do not disturb each other.
func (s *Snapshot) Parts() []*pb.SnapshotPart {
	var parts []*pb.SnapshotPart
	part := &pb.SnapshotPart{Revision: s.Revision}
	size := 0
	room := func(n int) {
		if size+n > partBytes {
			parts = append(parts, part)
			part, size = &pb.SnapshotPart{Revision: s.Revision}, 0
		}
		size += n
	}
	for _, m := range s.settings() {
		room(proto.Size(m) + 4)
		part.Settings = append(part.Settings, m)
	}
	for _, a := range s.Changes {
		m := &pb.AppliedChange{ChangeId: a.ID, Revision: a.Revision}
		room(proto.Size(m) + 4)
		part.Changes = append(part.Changes, m)
	}
	return append(parts, part)
}

func (s *Snapshot) settings() []*pb.Setting {
	var all []*pb.Setting
	s.Tree.Walk(func(path, key string, v tree.Setting) {
		all = append(all, &pb.Setting{Path: path, Key: key, Value: v.Value, Revision: v.Revision, Unset: v.Unset})
	})
	sort.Slice(all, func(i, j int) bool {
		if all[i].Path != all[j].Path {
			return all[i].Path < all[j].Path
		}
		return all[i].Key < all[j].Key
	})
	return all
}

// FromParts puts a snapshot together.
func FromParts(parts []*pb.SnapshotPart) (*Snapshot, error) {
	if len(parts) == 0 {
		return nil, &DecodeError{"snapshot", "no parts"}
	}
	s := &Snapshot{Revision: parts[0].GetRevision()}
	var b tree.Builder
	for _, p := range parts {
		if p.GetRevision() != s.Revision {
			return nil, &DecodeError{"snapshot", "parts of several revisions"}
		}
		for _, m := range p.GetSettings() {
			b.Put(m.GetPath(), m.GetKey(), tree.Setting{Value: m.GetValue(), Revision: m.GetRevision(), Unset: m.GetUnset()})
		}
		for _, c := range p.GetChanges() {
			s.Changes = append(s.Changes, Applied{c.GetChangeId(), c.GetRevision()})
		}
	}
	s.Tree = b.Tree()
	return s, nil
}

func partKey(revision uint64, part int) string {
	return fmt.Sprintf("snapshot/%d/%d", revision, part)
}

// SaveSnapshot writes a snapshot to the store, swaps the pointer forward and
// removes the parts of the snapshot before. It returns the revision that the
// pointer names in the end, which may be newer than s.
func SaveSnapshot(ctx context.Context, store platform.Store, s *Snapshot) (uint64, error) {
	at, old, err := readPointer(ctx, store)
	if err != nil || old.GetRevision() >= s.Revision {
		return old.GetRevision(), err
	}
	next := &pb.SnapshotPointer{Revision: s.Revision}
	for i, p := range s.Parts() {
		body, err := proto.MarshalOptions{Deterministic: true}.Marshal(p)
		if err != nil {
			return 0, err
		}
		if err := putPart(ctx, store, partKey(s.Revision, i), body); err != nil {
			return 0, err
		}
		next.Checksums = append(next.Checksums, xxhash.Sum64(body))
	}
	body, err := proto.Marshal(next)
	if err != nil {
		return 0, err
	}
	if _, err := store.Swap(ctx, snapshotKey, at, body, 0); err != nil {
		return 0, err
	}
	dropParts(ctx, store, old)
	return s.Revision, nil
}

// putPart writes a part unless another writer of the same revision has.
func putPart(ctx context.Context, store platform.Store, key string, body []byte) error {
	_, err := store.Swap(ctx, key, platform.Absent, body, 0)
	if errors.Is(err, platform.ErrConflict) {
		return nil
	}
	return err
}

// dropParts removes an old snapshot's parts as far as the store lets it.
func dropParts(ctx context.Context, store platform.Store, old *pb.SnapshotPointer) {
	for i := range old.GetChecksums() {
		key := partKey(old.GetRevision(), i)
		e, err := store.Get(ctx, key)
		if err != nil {
			return
		}
		if e.Version != platform.Absent {
			_ = store.Delete(ctx, key, e.Version)
		}
	}
}

func readPointer(ctx context.Context, store platform.Store) (uint64, *pb.SnapshotPointer, error) {
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
func LoadSnapshot(ctx context.Context, store platform.Store) (*Snapshot, error) {
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

func loadParts(ctx context.Context, store platform.Store, p *pb.SnapshotPointer) (*Snapshot, error) {
	var parts []*pb.SnapshotPart
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
		parts = append(parts, part)
	}
	return FromParts(parts)
}
