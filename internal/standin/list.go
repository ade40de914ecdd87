package standin

import (
	"context"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

// InstanceList is an in-memory instance list. It is safe for concurrent use.
type InstanceList struct {
	mu      sync.Mutex
	list    coordination.InstanceList
	changed chan struct{}
	down    bool
}

var _ coordination.InstanceLister = (*InstanceList)(nil)

// NewInstanceList returns a List that holds instances at version 1.
func NewInstanceList(instances []coordination.Instance) *InstanceList {
	return &InstanceList{
		list:    coordination.InstanceList{Version: 1, Instances: instances},
		changed: make(chan struct{}),
	}
}

// Instances implements platform.Lister.
func (l *InstanceList) Instances(ctx context.Context, version uint64, wait time.Duration) (coordination.InstanceList, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		list, changed, down := l.list, l.changed, l.down
		l.mu.Unlock()
		if down {
			return coordination.InstanceList{}, ErrUnavailable
		}
		if list.Version != version {
			return list, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return list, nil
		case <-ctx.Done():
			return coordination.InstanceList{}, ctx.Err()
		}
	}
}

// Update replaces the list by what change makes of a copy of it.
func (l *InstanceList) Update(change func([]coordination.Instance) []coordination.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := append([]coordination.Instance(nil), l.list.Instances...)
	l.list = coordination.InstanceList{Version: l.list.Version + 1, Instances: change(next)}
	l.wake()
}

// SetDown makes the list fail its calls, or serve them again.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.wake()
}

func (l *InstanceList) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}
