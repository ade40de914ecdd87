package forward

import (
	"context"
	"errors"
	"io"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

const (
	// brokenLinesPerSecond and brokenLineBurst bound the lines about attempts that broke
	// off: the loss of a failure domain breaks some hundred at a node at once.
	brokenLinesPerSecond = 10
	brokenLineBurst      = 50
	// prefixWait is how long the beginning of a body is waited for after its attempt
	// broke off. Its caller waits for the answer meanwhile.
	prefixWait = 100 * time.Millisecond
)

// reasonPoison means that upstreams ended under the same request before.
const reasonPoison = "upstreams-ended"

var brokenLines = logs.NewLimiter(brokenLinesPerSecond, brokenLineBurst)

// begin decides whether a request may go to upstreams, by what ended under the same
// request before, here or at other entries. Refused at once, it costs no upstream. The
// body is looked at only if something is known of a request that is like it otherwise.
func (c *Proxy) begin(ctx context.Context, cl *call) *verdict.Error {
	if !c.poison.HasRecord(cl.head) {
		return nil
	}
	keys, ok := cl.keys(ctx)
	switch {
	case !ok && ctx.Err() != nil:
		return verdict.New(verdict.NotRun, reasonTimeout, ctx.Err())
	case !ok:
		return verdict.New(verdict.NotRun, reasonCallerBody, cl.body.callerError())
	}
	d := c.poison.Begin(c.now(), keys)
	if d.Held {
		return verdict.New(verdict.NotRun, reasonPoison, nil).WithRetryAfter(d.RetryAfter)
	}
	cl.counted = &keys
	return nil
}

// end counts a request as under way no longer.
func (c *Proxy) end(cl *call) {
	if cl.counted != nil {
		c.poison.End(*cl.counted)
	}
}

// noteBroken records an attempt that broke off as if its upstream had ended. It reports
// whether the request must not be sent on. After two ends it may be: behind a link that
// cuts all answers of a region, the third upstream, of another region, serves it. The line
// tells what the request is, by the keys, whatever id its tries have.
func (c *Proxy) noteBroken(ctx context.Context, cl *call, to balance.Choice, err *verdict.Error) bool {
	if err.Reason != reasonBroken || err.Verdict != verdict.MayHaveRun || !closedByPeer(err) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, prefixWait)
	defer cancel()
	keys, ok := cl.keys(ctx)
	if !ok {
		klog.V(1).InfoS("upstream broke off before the body's beginning was in", "request", cl.ID, "upstream", to.ID)
		return false
	}
	now := c.now()
	d := c.poison.RecordCrash(now, cl.head, keys, balance.IncarnationKey(&to.Upstream))
	if left, allowed := brokenLines.Allow(now, "broken"); allowed {
		klog.InfoS("upstream broke off", "request", cl.ID, "key", uint64(keys.AnyCaller), "caller_key", uint64(keys.Caller),
			"upstream", to.ID, "born", to.StartedAt, "under_way", now.Sub(to.PickedAt), "suspect", d.Suspect, "held", d.Held, "err", err, "left_out", left)
	}
	return d.Held
}

// closedByPeer reports whether a connection broke because the upstream's end of it was
// closed, as the kernel does when a process ends. A timeout says that the way there is
// cut, or the machine without power.
func closedByPeer(err error) bool {
	for _, sign := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, sign) {
			return true
		}
	}
	return false
}

// noteAlive records that an upstream answered anything.
func (c *Proxy) noteAlive(from balance.Choice, ans *answer) {
	if ans == nil || ans.told.NotRunReason == ReasonReplaced {
		return
	}
	c.poison.RecordAlive(c.now(), balance.IncarnationKey(&from.Upstream), from.PickedAt)
}

// noteAnswered records that an upstream answered the request whole. An answer that came
// before the body's beginning says nothing of the body.
func (c *Proxy) noteAnswered(cl *call) {
	prefix, whole := cl.body.begun()
	if whole || cl.body.length < 0 && len(prefix) > 0 {
		c.poison.RecordResponse(c.now(), cl.head.WithBody(prefix))
	}
}
