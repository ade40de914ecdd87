package configlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

const (
	// SnapshotEvery is the number of revisions between snapshots.
	SnapshotEvery = 256
	// commitTries bounds the races that one commit may lose.
	commitTries = 64
	// commitPause is the wait before a store that failed is asked again.
	commitPause = 50 * time.Millisecond
	// unavailableRetry is the advice to an operator while the store is away.
	unavailableRetry = 5 * time.Second
)

// Outcome is what is known of a change after a commit.
type Outcome string

// The outcomes.
const (
	// Accepted changes are in the log and will be in force everywhere.
	Accepted Outcome = "accepted"
	// Refused changes are not in the log and will not come into it.
	Refused Outcome = "refused"
	// Unknown changes may be in the log, or may still come into it. Sending the
	// same change id again tells, and cannot apply the change twice.
	Unknown Outcome = "unknown"
)

// Result is the answer to a commit.
type Result struct {
	Outcome Outcome
	// Revision is that of the record, if accepted.
	Revision uint64
	// Refusal says why, if refused.
	Refusal *Refusal
	// Err is the store's error, if unknown.
	Err error
}

// Committer writes changes to the log. It is safe for concurrent use; commits
// of one Committer run one after the other.
type Committer struct {
	mu    sync.Mutex
	store coordination.Store
	log   *Log
	now   func() time.Time
	// snapshot is the revision of the newest snapshot known to be stored.
	snapshot uint64
}

// NewCommitter returns a Committer that checks changes against log.
func NewCommitter(store coordination.Store, log *Log, now func() time.Time) *Committer {
	return &Committer{store: store, log: log, now: now}
}

// Commit tries to have a change accepted until ctx ends.
func (c *Committer) Commit(ctx context.Context, change Change) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.Base == 0 {
		change.Base = c.log.Revision()
	}
	a := attempt{Committer: c, change: change}
	for range commitTries {
		if r, done := a.step(ctx); done {
			return r
		}
	}
	return a.giveUp(errors.New("configlog: too many racing changes"))
}

// attempt is one commit under way.
type attempt struct {
	*Committer
	change Change
	// pending is the revision for which a swap was sent whose effect is unknown,
	// or 0. Its slot must be seen taken before the change may go elsewhere.
	pending uint64
}

// step reads to the end of the log and tries one swap.
func (a *attempt) step(ctx context.Context) (Result, bool) {
	free, err := a.readToEnd(ctx)
	if err != nil {
		return a.retry(ctx, err)
	}
	if rev := a.log.Find(a.change.ID); rev != 0 {
		raiseHead(ctx, a.store, a.log)
		return Result{Outcome: Accepted, Revision: rev}, true
	}
	if a.pending != 0 && a.log.Revision() >= a.pending {
		a.pending = 0
	}
	rec, err := a.log.Prepare(a.change, a.now())
	if err != nil && a.pending != 0 {
		return a.giveUp(err), true
	}
	if err != nil {
		return refused(err), true
	}
	if err := a.makeRoom(ctx, rec.Revision); err != nil {
		return a.retry(ctx, err)
	}
	return a.swap(ctx, rec, free)
}

// readToEnd applies what is in the log and returns the free slot after it.
func (a *attempt) readToEnd(ctx context.Context) (slot, error) {
	for {
		s, more, err := readNext(ctx, a.store, a.log)
		if err != nil || !more {
			return s, err
		}
	}
}

// makeRoom sees to it that a snapshot holds the record that revision will
// overwrite.
func (a *attempt) makeRoom(ctx context.Context, revision uint64) error {
	if revision <= RingSize || a.snapshot >= revision-RingSize {
		return nil
	}
	at, err := SaveSnapshot(ctx, a.store, a.log.Snapshot())
	a.snapshot = max(a.snapshot, at)
	if err == nil && a.snapshot < revision-RingSize {
		err = ErrBehind
	}
	return err
}

func (a *attempt) swap(ctx context.Context, rec Record, free slot) (Result, bool) {
	body, err := rec.Encode()
	if err != nil {
		return refused(invalid([]error{err})), true
	}
	_, err = a.store.CompareAndSwap(ctx, slotKey(rec.Revision), free.version, body, 0)
	switch {
	case err == nil:
		return a.accepted(ctx, rec), true
	case errors.Is(err, coordination.ErrConflict):
		return Result{}, false
	case errors.Is(err, coordination.ErrRefused):
		return a.retry(ctx, err)
	}
	a.pending = rec.Revision
	return a.retry(ctx, err)
}

func (a *attempt) accepted(ctx context.Context, rec Record) Result {
	_, _ = a.log.Append(rec)
	raiseHead(ctx, a.store, a.log)
	if rec.Revision%SnapshotEvery == 0 {
		at, _ := SaveSnapshot(ctx, a.store, a.log.Snapshot())
		a.snapshot = max(a.snapshot, at)
	}
	return Result{Outcome: Accepted, Revision: rec.Revision}
}

// retry waits a little, or ends the attempt if the time is up.
func (a *attempt) retry(ctx context.Context, cause error) (Result, bool) {
	if errors.Is(cause, ErrBehind) {
		return a.giveUp(cause), true
	}
	select {
	case <-ctx.Done():
		return a.giveUp(cause), true
	case <-time.After(commitPause):
		return Result{}, false
	}
}

// giveUp ends an attempt: as refused if no swap can still take effect.
func (a *attempt) giveUp(cause error) Result {
	if a.pending != 0 {
		return Result{Outcome: Unknown, Err: cause}
	}
	return refused(&Refusal{Kind: RefusedUnavailable, Faults: []string{cause.Error()}, RetryAfter: unavailableRetry})
}

func refused(err error) Result {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{Kind: RefusedInvalid, Faults: []string{err.Error()}}
	}
	return Result{Outcome: Refused, Refusal: r}
}
