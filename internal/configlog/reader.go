package configlog

import (
	"context"
	"errors"
	"fmt"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/loomkeel/loomkeel/internal/coordination"
	"github.com/loomkeel/loomkeel/internal/rpc/pb"
)

// headRecords is the largest number of recent records in the head. With them,
// one read of the head usually brings a reader up to date.
const headRecords = 8

// maxHeadBytes bounds the encoded records in the head.
const maxHeadBytes = 48 << 10

// ErrStoreBehind reports a store whose log ends before an accepted revision, as
// after a restore from an old backup.
var ErrStoreBehind = errors.New("configlog: the store's log is behind")

// Reader follows the log in the store. It is not safe for concurrent use.
type Reader struct {
	store coordination.Store
	log   *Log
	// headVersion is the store version of the head at the last read.
	headVersion uint64
}

// NewReader returns a Reader that applies the records in store to log.
func NewReader(store coordination.Store, log *Log) *Reader {
	return &Reader{store: store, log: log}
}

// WatchHead waits until the head has changed since the last call, at most for
// wait, and applies the records in the head.
func (r *Reader) WatchHead(ctx context.Context, wait time.Duration) error {
	e, err := r.store.Watch(ctx, headKey, r.headVersion, wait)
	if err != nil {
		return err
	}
	r.headVersion = e.Version
	return applyHead(r.log, e.Value)
}

// CatchUp reads the stored log to its end. It does not rely on the head, which is
// only a hint: a record is accepted as soon as it is in its slot.
func (r *Reader) CatchUp(ctx context.Context) error { return catchUp(ctx, r.store, r.log) }

// catchUp applies all records of the stored log that follow log's revision.
func catchUp(ctx context.Context, store coordination.Store, log *Log) error {
	for {
		_, more, err := readNext(ctx, store, log)
		if err != nil || !more {
			return err
		}
	}
}

// slot is the present content of the slot for the next revision.
type slot struct {
	// version is the store version of the slot's key.
	version uint64
	// revision is the revision of the record in the slot, 0 if the slot is empty.
	revision uint64
}

// readNext reads the slot of the next revision and applies its record, or a
// snapshot if the slot holds a later record. It returns true if there may be more
// to read. Otherwise the returned slot is free for the next revision: it is empty
// or holds the record of the round before.
func readNext(ctx context.Context, store coordination.Store, log *Log) (slot, bool, error) {
	next := log.Revision() + 1
	e, err := store.Get(ctx, slotKey(next))
	if err != nil {
		return slot{}, false, err
	}
	if e.Version == coordination.Absent {
		return slot{}, false, checkSlotFree(0, next)
	}
	rec, err := Decode(e.Value)
	if err != nil {
		return slot{}, false, fmt.Errorf("slot %s: %w", slotKey(next), err)
	}
	switch {
	case rec.Revision == next:
		_, err := log.Append(rec)
		return slot{}, true, ignoreGap(err)
	case rec.Revision > next:
		return slot{}, true, restoreSnapshot(ctx, store, log, rec.Revision)
	}
	return slot{e.Version, rec.Revision}, false, checkSlotFree(rec.Revision, next)
}

// checkSlotFree checks that the slot for revision next is empty in the first
// round and otherwise holds the record of the round before. Any other content is
// an ErrStoreBehind.
func checkSlotFree(stored, next uint64) error {
	if stored == 0 && next <= RingSize || stored+RingSize == next {
		return nil
	}
	return fmt.Errorf("%w: slot of revision %d holds %d", ErrStoreBehind, next, stored)
}

// restoreSnapshot loads the newest snapshot into log. It is called when the next
// record of log was overwritten by the record of revision seen.
func restoreSnapshot(ctx context.Context, store coordination.Store, log *Log, seen uint64) error {
	s, err := LoadSnapshot(ctx, store)
	if err != nil {
		return err
	}
	if s == nil || !log.Restore(s) {
		return fmt.Errorf("configlog: slot holds revision %d, no newer snapshot than %d", seen, log.Revision())
	}
	return nil
}

// Bootstrap loads the newest snapshot, if it is newer than the log, and reads to
// the end.
func (r *Reader) Bootstrap(ctx context.Context) error {
	s, err := LoadSnapshot(ctx, r.store)
	if err != nil {
		return err
	}
	if s != nil {
		r.log.Restore(s)
	}
	return r.CatchUp(ctx)
}

// applyHead applies the records in an encoded head to log.
func applyHead(log *Log, value []byte) error {
	var h pb.Head
	if err := proto.Unmarshal(value, &h); err != nil {
		return &DecodeError{"head", err.Error()}
	}
	for _, m := range h.GetRecent() {
		rec, err := FromProto(m)
		if err != nil {
			return err
		}
		if _, err := log.Append(rec); ignoreGap(err) != nil {
			return err
		}
	}
	return nil
}

// ignoreGap returns nil for a GapError and err otherwise. A gap needs no handling:
// a later read of the slots applies the missing records.
func ignoreGap(err error) error {
	var gap *GapError
	if errors.As(err, &gap) {
		return nil
	}
	return err
}

// updateHead writes log's revision and newest records to the head, unless the
// head is already at that revision or a later one. Errors are ignored because
// readers also read the slots.
func updateHead(ctx context.Context, store coordination.Store, log *Log) {
	e, err := store.Get(ctx, headKey)
	if err != nil {
		return
	}
	var h pb.Head
	if err := proto.Unmarshal(e.Value, &h); err == nil && h.GetRevision() >= log.Revision() {
		return
	}
	body, err := proto.Marshal(newHead(log))
	if err != nil {
		return
	}
	_, _ = store.CompareAndSwap(ctx, headKey, e.Version, body, 0)
}

// newHead returns the head for log, with the newest records that are within
// headRecords and maxHeadBytes, oldest first.
func newHead(log *Log) *pb.Head {
	recent := log.History(headRecords)
	h := &pb.Head{}
	size := 0
	for i := len(recent) - 1; i >= 0; i-- {
		m := recent[i].Proto()
		size += proto.Size(m)
		if size > maxHeadBytes {
			break
		}
		h.Revision = max(h.Revision, recent[i].Revision)
		h.Recent = append([]*pb.Record{m}, h.Recent...)
	}
	h.Revision = max(h.Revision, log.Revision())
	return h
}

// UpdateHead brings the head up to the log's revision if the head is older, as
// after a crash of a writer between its record and the head.
func (r *Reader) UpdateHead(ctx context.Context) { updateHead(ctx, r.store, r.log) }
