package agent

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/wait"
)

const (
	// watchFor is how long one watch of the log or the list waits. After each,
	// a reader also looks at the next slot itself, which finds a record whose
	// writer died before it raised the head.
	watchFor = 3 * time.Second
	// firstBackoff and lastBackoff bound the pause after a failed call.
	firstBackoff = 200 * time.Millisecond
	lastBackoff  = 5 * time.Second
	// wakeEvery joins changes in a burst into one wake.
	wakeEvery = 500 * time.Millisecond
	// idleCheck is how often one that is no reader looks whether it has become one.
	idleCheck = time.Second
)

// logLoop follows the configuration log in the store while the agent is a
// reader.
func (a *Agent) logLoop(ctx context.Context) {
	r := configlog.NewReader(a.opt.Store, a.log)
	a.readerLoop(ctx, "log", func(ctx context.Context) error {
		if err := r.WatchHead(ctx, watchFor); err != nil {
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

// listLoop follows the platform's instance list while the agent is a reader.
func (a *Agent) listLoop(ctx context.Context) {
	a.readerLoop(ctx, "instance list", func(ctx context.Context) error {
		l, err := a.opt.List.Instances(ctx, a.directory.version(), watchFor)
		if err != nil {
			return err
		}
		a.directory.take(l)
		return nil
	})
}

// readerLoop calls read again and again while the agent is a reader, slower
// after failures.
func (a *Agent) readerLoop(ctx context.Context, what string, read func(context.Context) error) {
	backoff := firstBackoff
	for ctx.Err() == nil {
		if !a.plan().Reader {
			wait.For(ctx, idleCheck)
			continue
		}
		started := time.Now()
		err := read(ctx)
		if err == nil {
			backoff = firstBackoff
			wait.For(ctx, max(0, wakeEvery-time.Since(started)))
			continue
		}
		if ctx.Err() != nil {
			return
		}
		a.stats.StoreFailed.Add(1)
		klog.V(1).InfoS("platform call failed", "what", what, "err", err)
		wait.For(ctx, a.jitter(backoff))
		backoff = min(2*backoff, lastBackoff)
	}
}
