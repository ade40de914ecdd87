package standin

import (
	"context"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/platform"
)

// List is an in-memory instance list. It is safe for concurrent use.
type List struct {
	mu      sync.Mutex
	list    platform.List
	changed chan struct{}
	down    bool
}

var _ platform.Lister = (*List)(nil)

// NewList returns a List that holds instances at version 1.
func NewList(instances []platform.Instance) *List {
	return &List{
		list:    platform.List{Version: 1, Instances: instances},
		changed: make(chan struct{}),
	}
}

// Instances implements platform.Lister.
func (l *List) Instances(ctx context.Context, version uint64, wait time.Duration) (platform.List, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		list, changed, down := l.list, l.changed, l.down
		l.mu.Unlock()
		if down {
			return platform.List{}, ErrUnavailable
		}
		if list.Version != version {
			return list, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return list, nil
		case <-ctx.Done():
			return platform.List{}, ctx.Err()
		}
	}
}

// Update replaces the list by what change makes of a copy of it.
func (l *List) Update(change func([]platform.Instance) []platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := append([]platform.Instance(nil), l.list.Instances...)
	l.list = platform.List{Version: l.list.Version + 1, Instances: change(next)}
	l.wake()
}

// SetDown makes the list fail its calls, or serve them again.
func (l *List) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

func (l *List) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
