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

// headRecords is how many of the newest records the head carries, so that one
// read brings a reader up to date after a usual change.
const headRecords = 8

// headBytes bounds the encoded head.
const headBytes = 48 << 10

// ErrBehind reports a store whose log ends before a revision that was accepted,
// as after its restoration from a copy.
var ErrBehind = errors.New("configlog: the store's log is behind")

// Reader follows the log in the store. Its methods must not be called at the
// same time.
type Reader struct {
	store coordination.Store
	log   *Log
	// headVersion is the store's version of the head that was read last.
	headVersion uint64
}

// NewReader returns a Reader that applies to log what it finds in store.
func NewReader(store coordination.Store, log *Log) *Reader {
	return &Reader{store: store, log: log}
}

// Wait waits until the head has changed since the last call, or until wait has
// passed, and applies the records that the head carries.
func (r *Reader) Wait(ctx context.Context, wait time.Duration) error {
	e, err := r.store.Watch(ctx, headKey, r.headVersion, wait)
	if err != nil {
		return err
	}
	r.headVersion = e.Version
	return applyHead(r.log, e.Value)
}

// CatchUp reads the log to its end. The head is no more than a hint: a record
// counts as soon as it stands in its slot.
func (r *Reader) CatchUp(ctx context.Context) error { return catchUp(ctx, r.store, r.log) }

func catchUp(ctx context.Context, store coordination.Store, log *Log) error {
	for {
		_, more, err := readNext(ctx, store, log)
		if err != nil || !more {
			return err
		}
	}
}

// slot is what stands where the next revision goes.
type slot struct {
	version uint64
	holds   uint64
}

// readNext reads the slot of the next revision. It reports more if the log has
// advanced, and otherwise returns the slot, which is free for the next revision.
func readNext(ctx context.Context, store coordination.Store, log *Log) (slot, bool, error) {
	next := log.Revision() + 1
	e, err := store.Get(ctx, slotKey(next))
	if err != nil {
		return slot{}, false, err
	}
	if e.Version == coordination.Absent {
		return slot{}, false, checkFree(0, next)
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
		return slot{}, true, restore(ctx, store, log, rec.Revision)
	}
	return slot{e.Version, rec.Revision}, false, checkFree(rec.Revision, next)
}

// checkFree checks that a slot holds the record of one round before.
func checkFree(holds, next uint64) error {
	if holds == 0 && next <= RingSize || holds+RingSize == next {
		return nil
	}
	return fmt.Errorf("%w: slot of revision %d holds %d", ErrBehind, next, holds)
}

// restore loads the snapshot when the ring has gone a whole round past the log.
func restore(ctx context.Context, store coordination.Store, log *Log, seen uint64) error {
	s, err := LoadSnapshot(ctx, store)
	if err != nil {
		return err
	}
	if s == nil || !log.Restore(s) {
		return fmt.Errorf("configlog: slot holds revision %d, no newer snapshot than %d", seen, log.Revision())
	}
	return nil
}

// Start loads the newest snapshot, if it is newer than the log, and reads to
// the end.
func (r *Reader) Start(ctx context.Context) error {
	s, err := LoadSnapshot(ctx, r.store)
	if err != nil {
		return err
	}
	if s != nil {
		r.log.Restore(s)
	}
	return r.CatchUp(ctx)
}

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

// ignoreGap drops a GapError: a record that came from elsewhere meanwhile, or
// one that a later read will bring.
func ignoreGap(err error) error {
	var gap *GapError
	if errors.As(err, &gap) {
		return nil
	}
	return err
}

// raiseHead writes the newest records to the head unless it is already there.
// Failure is harmless: readers also look at the slots themselves.
func raiseHead(ctx context.Context, store coordination.Store, log *Log) {
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

func newHead(log *Log) *pb.Head {
	recent := log.History(headRecords)
	h := &pb.Head{}
	size := 0
	for i := len(recent) - 1; i >= 0; i-- {
		m := recent[i].Proto()
		size += proto.Size(m)
		if size > headBytes {
			break
		}
		h.Revision = max(h.Revision, recent[i].Revision)
		h.Recent = append([]*pb.Record{m}, h.Recent...)
	}
	h.Revision = max(h.Revision, log.Revision())
	return h
}

// RaiseHead repairs the head when its last writer died before raising it.
func (r *Reader) RaiseHead(ctx context.Context) { raiseHead(ctx, r.store, r.log) }
