package forward

import (
	"context"
	"sync"
)

// abandonableSet holds the attempts in flight that may be repeated elsewhere. When the entry becomes
// isolated and open connections are silent too, they are cancelled, because their responses are lost.
// It is safe for concurrent use.
type abandonableSet struct {
	mu     sync.Mutex
	active map[*context.CancelFunc]struct{}
}

func newAbandonableSet() *abandonableSet {
	return &abandonableSet{active: make(map[*context.CancelFunc]struct{})}
}

// add returns a context for an attempt, and a function that takes the attempt out of the set without
// ending the context.
func (s *abandonableSet) add(ctx context.Context) (context.Context, func()) {
	ctx, cancel := context.WithCancel(ctx)
	key := &cancel
	s.mu.Lock()
	defer s.mu.Unlock()
	s.active[key] = struct{}{}
	return ctx, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.active, key)
	}
}

// cancelAll cancels the attempts.
func (s *abandonableSet) cancelAll() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for cancel := range s.active {
		(*cancel)()
	}
	clear(s.active)
}
