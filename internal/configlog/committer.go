package configlog

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

const (
	// SnapshotInterval is the number of revisions between snapshots.
	SnapshotInterval = 256
	// maxCommitAttempts bounds the tries of one commit. A try fails when
	// another writer takes the slot first or the store returns an error.
	maxCommitAttempts = 64
	// commitRetryDelay is the wait after a failed store call.
	commitRetryDelay = 50 * time.Millisecond
	// unavailableRetryAfter is the Refusal.RetryAfter of a change that was refused
	// because the store is unavailable.
	unavailableRetryAfter = 5 * time.Second
)

// Outcome is the state of a change after a commit.
type Outcome string

// The outcomes of a commit.
const (
	// Accepted changes are in the log and reach every instance.
	Accepted Outcome = "accepted"
	// Refused changes are not in the log and will not be added by this commit.
	Refused Outcome = "refused"
	// Unknown changes may be in the log, or may still be added by a delayed
	// write. Sending the change again with the same ID returns its outcome and
	// does not apply it twice.
	Unknown Outcome = "unknown"
)

// Result is the result of a commit.
type Result struct {
	Outcome Outcome
	// Revision is the record's revision if the change was accepted.
	Revision uint64
	// Refusal holds the reasons if the change was refused.
	Refusal *Refusal
	// Err is the last error if the outcome is unknown.
	Err error
}

// Committer writes changes to the log in the store. It is safe for concurrent
// use; commits of one Committer run one after the other.
type Committer struct {
	mu    sync.Mutex
	store coordination.Store
	log   *Log
	now   func() time.Time
	// snapshot is the revision of the newest snapshot known to be stored.
	snapshot uint64
}

// NewCommitter returns a Committer that writes to store, keeps log up to date
// with the store and checks changes against it. Records are timestamped with now.
func NewCommitter(store coordination.Store, log *Log, now func() time.Time) *Committer {
	return &Committer{store: store, log: log, now: now}
}

// Commit writes a change to the log and retries until the outcome is certain,
// ctx ends or maxCommitAttempts is reached. A Base of 0 stands for the log's
// current revision.
func (c *Committer) Commit(ctx context.Context, change Change) Result {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.Base == 0 {
		change.Base = c.log.Revision()
	}
	a := attempt{Committer: c, change: change}
	for range maxCommitAttempts {
		if r, done := a.step(ctx); done {
			return r
		}
	}
	return a.giveUp(errors.New("configlog: too many racing changes"))
}

// attempt is the state of one running commit.
type attempt struct {
	*Committer
	change Change
	// pending is the revision of a swap that was sent and whose effect is
	// unknown, or 0. The change may be written to another slot only after a read
	// has shown that this slot is taken; otherwise it could be applied twice.
	pending uint64
}

// step reads to the end of the log and tries one swap. It returns true with the
// result when the commit is finished, and false when another try is needed.
func (a *attempt) step(ctx context.Context) (Result, bool) {
	free, err := a.readToEnd(ctx)
	if err != nil {
		return a.retry(ctx, err)
	}
	if rev := a.log.FindChange(a.change.ID); rev != 0 {
		updateHead(ctx, a.store, a.log)
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
		return refusedResult(err), true
	}
	if err := a.ensureSnapshot(ctx, rec.Revision); err != nil {
		return a.retry(ctx, err)
	}
	return a.swap(ctx, rec, free)
}

// readToEnd applies all records of the stored log and returns the free slot
// after the last one.
func (a *attempt) readToEnd(ctx context.Context) (slot, error) {
	for {
		s, more, err := readNext(ctx, a.store, a.log)
		if err != nil || !more {
			return s, err
		}
	}
}

// ensureSnapshot stores a snapshot if no stored snapshot includes the record
// that revision will overwrite. It returns ErrStoreBehind if the stored snapshot
// is still older than that record.
func (a *attempt) ensureSnapshot(ctx context.Context, revision uint64) error {
	if revision <= RingSize || a.snapshot >= revision-RingSize {
		return nil
	}
	at, err := SaveSnapshot(ctx, a.store, a.log.Snapshot())
	a.snapshot = max(a.snapshot, at)
	if err == nil && a.snapshot < revision-RingSize {
		err = ErrStoreBehind
	}
	return err
}

// swap writes rec to the free slot, provided that the slot is unchanged since it
// was read.
func (a *attempt) swap(ctx context.Context, rec Record, free slot) (Result, bool) {
	body, err := rec.Encode()
	if err != nil {
		return refusedResult(invalidRefusal([]error{err})), true
	}
	_, err = a.store.CompareAndSwap(ctx, slotKey(rec.Revision), free.version, body, 0)
	switch {
	case err == nil:
		return a.acceptedResult(ctx, rec), true
	case errors.Is(err, coordination.ErrConflict):
		return Result{}, false
	case errors.Is(err, coordination.ErrRefused):
		return a.retry(ctx, err)
	}
	a.pending = rec.Revision
	return a.retry(ctx, err)
}

// acceptedResult applies an accepted record to the log, updates the head and, at
// every SnapshotInterval, the snapshot. Errors of the last two are ignored:
// readers find the record without them.
func (a *attempt) acceptedResult(ctx context.Context, rec Record) Result {
	_, _ = a.log.Append(rec)
	updateHead(ctx, a.store, a.log)
	if rec.Revision%SnapshotInterval == 0 {
		at, _ := SaveSnapshot(ctx, a.store, a.log.Snapshot())
		a.snapshot = max(a.snapshot, at)
	}
	return Result{Outcome: Accepted, Revision: rec.Revision}
}

// retry waits for commitRetryDelay. It ends the commit if ctx is done or if the
// store is behind the log, which a retry does not fix.
func (a *attempt) retry(ctx context.Context, cause error) (Result, bool) {
	if errors.Is(cause, ErrStoreBehind) {
		return a.giveUp(cause), true
	}
	select {
	case <-ctx.Done():
		return a.giveUp(cause), true
	case <-time.After(commitRetryDelay):
		return Result{}, false
	}
}

// giveUp ends a commit. The outcome is Refused if no swap can still take effect,
// Unknown otherwise.
func (a *attempt) giveUp(cause error) Result {
	if a.pending != 0 {
		return Result{Outcome: Unknown, Err: cause}
	}
	return refusedResult(&Refusal{Kind: RefusedUnavailable, Faults: []string{cause.Error()}, RetryAfter: unavailableRetryAfter})
}

// refusedResult returns the result for err, which is a Refusal or counts as
// RefusedInvalid.
func refusedResult(err error) Result {
	var r *Refusal
	if !errors.As(err, &r) {
		r = &Refusal{Kind: RefusedInvalid, Faults: []string{err.Error()}}
	}
	return Result{Outcome: Refused, Refusal: r}
}
