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
	// brokenLogsPerSecond and brokenLogBurst limit the log lines about broken attempts. The
	// loss of a failure domain breaks about a hundred attempts at one entry at once.
	brokenLogsPerSecond = 10
	brokenLogBurst      = 50
	// prefixWait is how long recordBroken waits for the beginning of the request body. The
	// caller waits for its response meanwhile.
	prefixWait = 100 * time.Millisecond
	// suspectedRetryAfter is the longest Retry-After time of a held request while it is not clear
	// whether upstreams crashed or this entry's own links failed.
	suspectedRetryAfter = time.Second
)

// reasonPoison means that upstreams crashed while they ran the same request before.
const reasonPoison = "upstreams-ended"

var brokenLog = logs.NewLimiter(brokenLogsPerSecond, brokenLogBurst)

// beginPoisonCheck returns an error if the request must not be sent because upstreams crashed
// while they ran the same request, as seen by this or other entries; a request that is rejected
// here crashes no further upstream. Otherwise the request counts as in flight until
// endPoisonCheck. The body is read only if crashes are known for a request with the same head.
func (p *Proxy) beginPoisonCheck(ctx context.Context, cl *call) *verdict.Error {
	if !p.poison.HasRecord(cl.headKeys) {
		return nil
	}
	keys, ok := cl.keys(ctx)
	switch {
	case !ok && ctx.Err() != nil:
		return verdict.New(verdict.NotRun, reasonTimeout, ctx.Err())
	case !ok:
		return verdict.New(verdict.NotRun, reasonCallerBody, cl.body.callerError())
	}
	d := p.poison.Begin(p.now(), keys)
	if d.Held {
		if p.failuresSuspect() {
			d.RetryAfter = min(d.RetryAfter, suspectedRetryAfter)
		}
		return verdict.New(verdict.NotRun, reasonPoison, nil).WithRetryAfter(d.RetryAfter)
	}
	cl.inFlightKeys = &keys
	return nil
}

// endPoisonCheck ends the counting that beginPoisonCheck began.
func (p *Proxy) endPoisonCheck(cl *call) {
	if cl.inFlightKeys != nil {
		p.poison.End(*cl.inFlightKeys)
	}
}

// recordBroken records an attempt that broke off as if its upstream had crashed, and reports
// whether the request must not be retried. After two crashes a retry is still allowed: if a
// broken link cuts all responses of one region, the third upstream, in another region, can
// serve the request. The log line identifies the request by its keys, which are the same for
// all request IDs.
func (p *Proxy) recordBroken(ctx context.Context, cl *call, to balance.Choice, err *verdict.Error) bool {
	if err.Reason != reasonBroken || err.Verdict != verdict.MayHaveRun || !closedByPeer(err) || p.reach.Isolated() {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, prefixWait)
	defer cancel()
	keys, ok := cl.keys(ctx)
	if !ok {
		klog.V(1).InfoS("attempt broke off before the beginning of the request body was read", "request", cl.ID, "upstream", to.ID)
		return false
	}
	now := p.now()
	d := p.poison.RecordCrash(now, cl.headKeys, keys, balance.IncarnationKey(&to.Upstream))
	if left, allowed := brokenLog.Allow(now, "broken"); allowed {
		klog.InfoS("attempt broke off, upstream may have crashed", "request", cl.ID, "key", uint64(keys.AnyCaller), "caller_key", uint64(keys.Caller),
			"upstream", to.ID, "born", to.StartedAt, "under_way", now.Sub(to.SendAt), "suspect", d.Suspect, "held", d.Held, "err", err, "left_out", left)
	}
	return d.Held
}

// closedByPeer reports whether the upstream's end of the connection was closed, as the kernel
// does when a process exits. A timeout instead points to a cut network path or a machine
// without power.
func closedByPeer(err error) bool {
	for _, cause := range []error{io.EOF, io.ErrUnexpectedEOF, syscall.ECONNRESET, syscall.EPIPE} {
		if errors.Is(err, cause) {
			return true
		}
	}
	return false
}

// recordAlive records that an upstream sent a response of any kind.
func (p *Proxy) recordAlive(from balance.Choice, res *upstreamResponse) {
	if res == nil || res.info.NotRunReason == ReasonReplaced {
		return
	}
	p.poison.RecordAlive(p.now(), balance.IncarnationKey(&from.Upstream), from.SendAt)
}

// recordResponse records that an upstream answered the request completely. It ignores a
// response that came before the beginning of the request body was read, because that response
// says nothing about the body.
func (p *Proxy) recordResponse(cl *call) {
	prefix, complete := cl.body.prefixRead()
	if complete || cl.body.length < 0 && len(prefix) > 0 {
		p.poison.RecordResponse(p.now(), cl.headKeys.WithBody(prefix))
	}
}
