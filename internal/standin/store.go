// Package standin provides fakes of the systems that loomkeel depends on: the platform's key-value
// service and instance list, and upstreams. The tests and the quick start use them. They can inject
// the failures that the real systems have.
package standin

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

// ErrUnavailable is the error of calls to a Store or an InstanceList that is down.
var ErrUnavailable = errors.New("standin: store unavailable")

// ErrReplyLost is the error of calls that took effect but whose reply was lost.
var ErrReplyLost = errors.New("standin: reply lost")

// Fault is a failure that a Store injects into a call.
type Fault struct {
	// Down fails the call with ErrUnavailable before it takes effect.
	Down bool
	// LoseReply fails the call with ErrReplyLost after it took effect.
	LoseReply bool
	// Delay is how long the call waits before it takes effect.
	Delay time.Duration
}

// Op is a kind of call of a Store.
type Op string

// The kinds of calls, for faults and call counts. OpLease stands for Grant and KeepAlive.
const (
	OpGet            Op = "get"
	OpCompareAndSwap Op = "swap"
	OpDelete         Op = "delete"
	OpWatch          Op = "watch"
	OpLease          Op = "lease"
)

// lease is a granted lease that has not expired.
type lease struct {
	ttl   time.Duration
	timer *time.Timer
	// keys holds the version of each key written under the lease.
	keys map[string]uint64
}

// Store is an in-memory key-value service with fault injection. It is safe for concurrent use, and
// works in testing/synctest bubbles.
type Store struct {
	mu      sync.Mutex
	entries map[string]coordination.Entry
	leases  map[coordination.LeaseID]*lease
	version uint64
	// changed is closed and replaced at every change of entries or fault.
	changed chan struct{}
	fault   func(op Op, key string) Fault
	calls   [5]atomic.Int64
}

var _ coordination.Store = (*Store)(nil)

// NewStore returns an empty Store without faults.
func NewStore() *Store {
	return &Store{
		entries: make(map[string]coordination.Entry),
		leases:  make(map[coordination.LeaseID]*lease),
		changed: make(chan struct{}),
	}
}

// SetFault installs the function that returns the fault for each call; nil means no faults. The
// Store calls f with its lock held. Down and LoseReply of the new fault also apply to watches that
// are waiting.
func (s *Store) SetFault(f func(op Op, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.notify()
}

// CallCount returns the number of calls of kind op since the start, including failed ones.
func (s *Store) CallCount(op Op) int64 { return s.calls[opIndex(op)].Load() }

// opIndex returns the index of op in Store.calls.
func opIndex(op Op) int {
	for i, o := range [...]Op{OpGet, OpCompareAndSwap, OpDelete, OpWatch, OpLease} {
		if o == op {
			return i
		}
	}
	panic("standin: unknown op " + string(op))
}

// begin counts a call and applies the part of its fault that precedes the effect. It returns the
// fault, for Fault.reply.
func (s *Store) begin(ctx context.Context, op Op, key string) (Fault, error) {
	s.calls[opIndex(op)].Add(1)
	s.mu.Lock()
	f := s.faultFor(op, key)
	s.mu.Unlock()
	if f.Delay > 0 {
		select {
		case <-time.After(f.Delay):
		case <-ctx.Done():
			return f, ctx.Err()
		}
	}
	if f.Down {
		return f, ErrUnavailable
	}
	return f, ctx.Err()
}

// faultFor returns the fault for a call. The caller holds the lock.
func (s *Store) faultFor(op Op, key string) Fault {
	if s.fault == nil {
		return Fault{}
	}
	return s.fault(op, key)
}

// reply returns err, or ErrReplyLost if the fault loses the reply of the call.
func (f Fault) reply(err error) error {
	if f.LoseReply {
		return ErrReplyLost
	}
	return err
}

// Get implements coordination.Store.
func (s *Store) Get(ctx context.Context, key string) (coordination.Entry, error) {
	f, err := s.begin(ctx, OpGet, key)
	if err != nil {
		return coordination.Entry{}, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.entries[key], f.reply(nil)
}

// CompareAndSwap implements coordination.Store. It refuses a value of more than
// coordination.MaxValueBytes.
func (s *Store) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, id coordination.LeaseID) (uint64, error) {
	f, err := s.begin(ctx, OpCompareAndSwap, key)
	if err != nil {
		return 0, err
	}
	if len(value) > coordination.MaxValueBytes {
		return 0, coordination.ErrRefused
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Version != version {
		return 0, f.reply(coordination.ErrConflict)
	}
	if id != 0 && s.leases[id] == nil {
		return 0, f.reply(coordination.ErrLeaseNotFound)
	}
	s.version++
	s.entries[key] = coordination.Entry{Value: append([]byte(nil), value...), Version: s.version}
	if id != 0 {
		s.leases[id].keys[key] = s.version
	}
	s.notify()
	return s.version, f.reply(nil)
}

// Delete implements coordination.Store.
func (s *Store) Delete(ctx context.Context, key string, version uint64) error {
	f, err := s.begin(ctx, OpDelete, key)
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Version != version {
		return f.reply(coordination.ErrConflict)
	}
	delete(s.entries, key)
	s.notify()
	return f.reply(nil)
}

// Watch implements coordination.Store.
func (s *Store) Watch(ctx context.Context, key string, version uint64, wait time.Duration) (coordination.Entry, error) {
	if _, err := s.begin(ctx, OpWatch, key); err != nil {
		return coordination.Entry{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		e, changed, f := s.entries[key], s.changed, s.faultFor(OpWatch, key)
		s.mu.Unlock()
		if f.Down {
			return coordination.Entry{}, ErrUnavailable
		}
		if e.Version != version {
			return e, f.reply(nil)
		}
		select {
		case <-changed:
		case <-timer.C:
			return e, nil
		case <-ctx.Done():
			return coordination.Entry{}, ctx.Err()
		}
	}
}

// Grant implements coordination.Store.
func (s *Store) Grant(ctx context.Context, ttl time.Duration) (coordination.LeaseID, error) {
	f, err := s.begin(ctx, OpLease, "")
	if err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	id := coordination.LeaseID(s.version)
	l := &lease{ttl: ttl, keys: make(map[string]uint64)}
	l.timer = time.AfterFunc(ttl, func() { s.expireLease(id) })
	s.leases[id] = l
	return id, f.reply(nil)
}

// KeepAlive implements coordination.Store.
func (s *Store) KeepAlive(ctx context.Context, id coordination.LeaseID) error {
	f, err := s.begin(ctx, OpLease, "")
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return f.reply(coordination.ErrLeaseNotFound)
	}
	l.timer.Reset(l.ttl)
	return f.reply(nil)
}

// expireLease ends a lease and removes the keys last written under it.
func (s *Store) expireLease(id coordination.LeaseID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return
	}
	delete(s.leases, id)
	for key, version := range l.keys {
		if s.entries[key].Version == version {
			delete(s.entries, key)
		}
	}
	s.notify()
}

// notify makes all waiting watches check their keys again. The caller holds the lock.
func (s *Store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}
