package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/wait"
)

const (
	// watchTimeout is the longest duration of one watch of the log or the list.
	// After each watch of the log, a reader also reads the next slot, which finds a
	// record whose writer failed before it updated the head.
	watchTimeout = 3 * time.Second
	// minBackoff and maxBackoff are the limits of the pause after a failed call.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// minReadInterval is the shortest time from the start of a successful read to the
	// next read, so that one read covers a burst of changes.
	minReadInterval = 500 * time.Millisecond
	// roleCheckInterval is the time between checks whether the agent has become a
	// reader.
	roleCheckInterval = time.Second
)

// logLoop appends the records of the store's configuration log to the own replica
// while the agent is a reader.
func (a *Agent) logLoop(ctx context.Context) {
	r := configlog.NewReader(a.opt.Store, a.log)
	a.readerLoop(ctx, "log", func(ctx context.Context) error {
		if err := r.WatchHead(ctx, watchTimeout); err != nil {
			return err
		}
		before := a.log.Revision()
		if err := r.CatchUp(ctx); err != nil {
			return err
		}
		if a.log.Revision() > before {
			r.UpdateHead(ctx)
		}
		return nil
	})
}

// listLoop watches the platform's instance list while the agent is a reader.
func (a *Agent) listLoop(ctx context.Context) {
	a.readerLoop(ctx, "instance list", func(ctx context.Context) error {
		l, err := a.opt.List.Instances(ctx, a.directory.version(), watchTimeout)
		if err != nil {
			return err
		}
		a.directory.applyPlatformList(l)
		return nil
	})
}

// readerLoop calls read repeatedly while the agent is a reader, with exponential
// backoff after failures. The name what describes the source in log lines.
func (a *Agent) readerLoop(ctx context.Context, what string, read func(context.Context) error) {
	backoff := minBackoff
	for ctx.Err() == nil {
		if !a.plan().Reader {
			wait.For(ctx, roleCheckInterval)
			continue
		}
		started := time.Now()
		err := read(ctx)
		if err == nil {
			backoff = minBackoff
			wait.For(ctx, max(0, minReadInterval-time.Since(started)))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		a.stats.StoreFailed.Add(1)
		klog.V(1).InfoS("platform read failed", "what", what, "err", err)
		wait.For(ctx, a.jitter(backoff))
		backoff = min(2*backoff, maxBackoff)
	}
}
