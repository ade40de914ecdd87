package standin

import (
	"context"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

// InstanceList is an in-memory instance list that can be set to fail. It is safe for concurrent
// use.
type InstanceList struct {
	mu   sync.Mutex
	list coordination.InstanceList
	// changed is closed and replaced at every change of list or down.
	changed chan struct{}
	down    bool
}

var _ coordination.InstanceLister = (*InstanceList)(nil)

// NewInstanceList returns an InstanceList that holds instances at version 1.
func NewInstanceList(instances []coordination.Instance) *InstanceList {
	return &InstanceList{
		list:    coordination.InstanceList{Version: 1, Instances: instances},
		changed: make(chan struct{}),
	}
}

// Instances implements coordination.InstanceLister.
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

// Update passes a copy of the instances to change and replaces the list with the result, at the
// next version.
func (l *InstanceList) Update(change func([]coordination.Instance) []coordination.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := append([]coordination.Instance(nil), l.list.Instances...)
	l.list = coordination.InstanceList{Version: l.list.Version + 1, Instances: change(next)}
	l.notify()
}

// SetDown sets whether calls, including waiting ones, fail with ErrUnavailable.
func (l *InstanceList) SetDown(down bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.down = down
	l.notify()
}

// notify makes all waiting calls check the list again. The caller holds the lock.
func (l *InstanceList) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}
