package standin

import (
	"context"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/platform"
)

// InstanceList is an in-memory instance list. It is safe for concurrent use.
type InstanceList struct {
	mu      sync.Mutex
	list    platform.InstanceList
	changed chan struct{}
	down    bool
}

var _ platform.InstanceLister = (*InstanceList)(nil)

// NewInstanceList returns a List that holds instances at version 1.
func NewInstanceList(instances []platform.Instance) *InstanceList {
	return &InstanceList{
		list:    platform.InstanceList{Version: 1, Instances: instances},
		changed: make(chan struct{}),
	}
}

// Instances implements platform.Lister.
func (l *InstanceList) Instances(ctx context.Context, version uint64, wait time.Duration) (platform.InstanceList, error) {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		l.mu.Lock()
		list, changed, down := l.list, l.changed, l.down
		l.mu.Unlock()
		if down {
			return platform.InstanceList{}, ErrUnavailable
		}
		if list.Version != version {
			return list, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			return list, nil
		case <-ctx.Done():
			return platform.InstanceList{}, ctx.Err()
		}
	}
}

// Update replaces the list by what change makes of a copy of it.
func (l *InstanceList) Update(change func([]platform.Instance) []platform.Instance) {
	l.mu.Lock()
	defer l.mu.Unlock()
	next := append([]platform.Instance(nil), l.list.Instances...)
	l.list = platform.InstanceList{Version: l.list.Version + 1, Instances: change(next)}
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
