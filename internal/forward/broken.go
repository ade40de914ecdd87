package forward

import (
	"context"
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

var brokenLines = logs.NewLimiter(brokenLinesPerSecond, brokenLineBurst)

// noteBroken writes a line about an attempt whose upstream broke off. The keys tell that
// tries with different ids are the same request, which shows whether one request was
// under way at all upstreams that ended.
func (c *Carrier) noteBroken(ctx context.Context, cl *call, to balance.Choice, err *verdict.Error) {
	if err.Reason != reasonBroken || err.Verdict != verdict.MayHaveRun {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, prefixWait)
	defer cancel()
	keys, ok := cl.keys(ctx)
	if left, allowed := brokenLines.Allow(c.now(), "broken"); allowed {
		klog.InfoS("upstream broke off", "request", cl.ID, "key", uint64(keys.Anyone), "caller_key", uint64(keys.Caller),
			"whole_key", ok, "upstream", to.ID, "born", to.Born, "under_way", c.now().Sub(to.Picked), "err", err, "left_out", left)
	}
}
