// Package standin holds small stand-ins for what surrounds loomkeel: the
// platform's key-value service and instance list, and upstreams. They serve the
// tests and the quick start, and can be told to fail in the ways that the real
// ones do.
package standin

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

// ErrUnavailable is what a call to a Store that is down returns.
var ErrUnavailable = errors.New("standin: store unavailable")

// ErrReplyLost is what a call returns whose reply was lost.
var ErrReplyLost = errors.New("standin: reply lost")

// Fault is what a Store does to a call.
type Fault struct {
	// Down fails the call before it has an effect.
	Down bool
	// LoseReply fails the call after it has had its effect.
	LoseReply bool
	// Delay holds the call before it has an effect.
	Delay time.Duration
}

// Op names the calls of a Store.
type Op string

// The calls that faults and counts tell apart.
const (
	OpGet    Op = "get"
	OpSwap   Op = "swap"
	OpDelete Op = "delete"
	OpWatch  Op = "watch"
	OpLease  Op = "lease"
)

type lease struct {
	ttl   time.Duration
	timer *time.Timer
	keys  map[string]uint64
}

// Store is an in-memory key-value service with faults to inject. It is safe for
// concurrent use and runs under virtual time.
type Store struct {
	mu      sync.Mutex
	entries map[string]coordination.Entry
	leases  map[coordination.LeaseID]*lease
	version uint64
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

// SetFault installs the function that picks the fault of each call; nil means
// none. The function is called with the store locked.
func (s *Store) SetFault(f func(op Op, key string) Fault) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.fault = f
	s.wake()
}

// CallCount returns how often op was called.
func (s *Store) CallCount(op Op) int64 { return s.calls[opIndex(op)].Load() }

func opIndex(op Op) int {
	for i, o := range [...]Op{OpGet, OpSwap, OpDelete, OpWatch, OpLease} {
		if o == op {
			return i
		}
	}
	panic("standin: unknown op " + string(op))
}

// begin counts the call and applies what happens before its effect.
func (s *Store) begin(ctx context.Context, op Op, key string) (Fault, error) {
	s.calls[opIndex(op)].Add(1)
	s.mu.Lock()
	f := s.pick(op, key)
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

func (s *Store) pick(op Op, key string) Fault {
	if s.fault == nil {
		return Fault{}
	}
	return s.fault(op, key)
}

func (f Fault) end(err error) error {
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
	return s.entries[key], f.end(nil)
}

// CompareAndSwap implements coordination.Store.
func (s *Store) CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, id coordination.LeaseID) (uint64, error) {
	f, err := s.begin(ctx, OpSwap, key)
	if err != nil {
		return 0, err
	}
	if len(value) > coordination.MaxValueBytes {
		return 0, coordination.ErrRefused
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries[key].Version != version {
		return 0, f.end(coordination.ErrConflict)
	}
	if id != 0 && s.leases[id] == nil {
		return 0, f.end(coordination.ErrLeaseNotFound)
	}
	s.version++
	s.entries[key] = coordination.Entry{Value: append([]byte(nil), value...), Version: s.version}
	if id != 0 {
		s.leases[id].keys[key] = s.version
	}
	s.wake()
	return s.version, f.end(nil)
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
		return f.end(coordination.ErrConflict)
	}
	delete(s.entries, key)
	s.wake()
	return f.end(nil)
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
		e, changed, f := s.entries[key], s.changed, s.pick(OpWatch, key)
		s.mu.Unlock()
		if f.Down {
			return coordination.Entry{}, ErrUnavailable
		}
		if e.Version != version {
			return e, f.end(nil)
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
	l.timer = time.AfterFunc(ttl, func() { s.lapse(id) })
	s.leases[id] = l
	return id, f.end(nil)
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
		return f.end(coordination.ErrLeaseNotFound)
	}
	l.timer.Reset(l.ttl)
	return f.end(nil)
}

// lapse ends a lease and removes the keys that it still holds.
func (s *Store) lapse(id coordination.LeaseID) {
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
	s.wake()
}

// wake lets all watches look again. The caller holds the lock.
func (s *Store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}
