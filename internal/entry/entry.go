// Package entry implements the process that forwards callers' requests to
// upstreams: a forward.Proxy with metrics and logs of requests, the reports to
// the agent, and the steps of a planned stop.
package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/bootclock"
	"github.com/loomkeel/loomkeel/internal/follow"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/metrics"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Entry forwards requests, counts their outcomes and logs the unusual ones. It is safe for
// concurrent use.
type Entry struct {
	// Proxy forwards the requests.
	Proxy     *forward.Proxy
	capShares *share.Limiter
	// leaving is set when Stop begins.
	leaving atomic.Bool
	// reporting holds an element while a report to the agent is under way.
	reporting chan struct{}
	// mu guards outcomes and latency, which is keyed by service.
	mu       sync.Mutex
	outcomes map[outcomeKey]int64
	latency  map[string]*metrics.LatencyHistogram
	// routineLimiter limits the log lines about requests of the kind kindSecondReplica, and
	// logLimiter all others about requests.
	logLimiter, routineLimiter *logs.Limiter
}

// outcomeKey identifies the requests that are counted together.
type outcomeKey struct {
	service string
	verdict verdict.Verdict
	reason  string
}

// New returns an Entry whose Proxy has the options opt. The fields Observe, NewID,
// CapShares and BootClock of opt are replaced.
func New(opt forward.Options) *Entry {
	e := &Entry{capShares: share.NewLimiter(), reporting: make(chan struct{}, 1), outcomes: make(map[outcomeKey]int64), latency: make(map[string]*metrics.LatencyHistogram),
		logLimiter: logs.NewLimiter(linesPerSecond, lineBurst), routineLimiter: logs.NewLimiter(routinePerSecond, routineBurst)}
	opt.Observe, opt.NewID = e.observe, newID
	opt.CapShares, opt.BootClock = e.capShares, bootclock.Now
	e.Proxy = forward.New(opt)
	return e
}

// newID returns a random request ID.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// observe counts and logs a finished request.
func (e *Entry) observe(o forward.Outcome) {
	e.mu.Lock()
	e.outcomes[outcomeKey{o.Service, o.Verdict, o.Reason}]++
	l := e.latency[o.Service]
	if l == nil {
		l = metrics.NewLatencyHistogram()
		e.latency[o.Service] = l
	}
	e.mu.Unlock()
	l.Record(uint32(o.Duration), o.Duration)
	e.log(o)
}

const (
	// linesPerSecond and lineBurst limit the log lines about requests, for each kind.
	linesPerSecond = 10
	lineBurst      = 40
	// routinePerSecond and routineBurst limit the log lines of kindSecondReplica, about
	// requests that were served in time. Without this lower limit such lines would, under
	// load, displace a node's lines about the key-value store in collectors that keep only
	// the newest lines.
	routinePerSecond = 1
	routineBurst     = 10
)

// log writes a log line about a request that has a kind, or about every request at
// verbosity 2. Lines above the limits are left out, and the next line has their number.
func (e *Entry) log(o forward.Outcome) {
	k := logKind(o)
	if k == "" && !klog.V(2).Enabled() {
		return
	}
	limiter := e.logLimiter
	if k == kindSecondReplica {
		limiter = e.routineLimiter
	}
	suppressed, ok := limiter.Allow(time.Now(), k)
	if !ok {
		return
	}
	klog.InfoS("request", "kind", k, "id", o.ID, "organisation", o.Organisation, "service", o.Service, "route", o.Route, "version", o.Version,
		"status", o.Status, "verdict", o.Verdict, "reason", o.Reason, "detail", o.Detail, "took", o.Duration, "attempts", o.Attempts, "second_send", o.SecondSend, "peer", o.Peer, "handover_from", o.HandoverFrom,
		"upstream", o.Choice.ID, "region", o.Choice.Region, "rank", o.Choice.Rank, "warm", o.Choice.Warm,
		"ahead", o.Choice.Outstanding, "expected", o.Choice.ExpectedLatency, "load", o.Response.Load, "waiting", o.Response.Waiting, "evidence", o.Evidence, "left_out", suppressed)
}

// kindSecondReplica is the kind of the requests that were served in time, but not by the
// first replica of their object.
const kindSecondReplica = "second-replica"

// logKind returns the kind of a request for the log: how it failed or what was unusual. It
// returns "" if nothing was unusual.
func logKind(o forward.Outcome) string {
	switch {
	case o.Status == http.StatusServiceUnavailable && o.Verdict == verdict.NotRun:
		return "refused"
	case o.Status == http.StatusTooManyRequests && o.Verdict == verdict.NotRun:
		return "limited"
	case o.Verdict == verdict.MayHaveRun:
		return "may-have-run"
	case o.Status >= http.StatusBadRequest:
		return "failed"
	case o.Attempts > 1:
		return "retried"
	case o.Objective > 0 && o.Duration > o.Objective:
		return "late"
	case o.Choice.Rank > 0:
		return kindSecondReplica
	}
	return ""
}

// Metrics returns the metrics of each service by name.
func (e *Entry) Metrics() map[string]ServiceMetrics {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]ServiceMetrics)
	for service, l := range e.latency {
		out[service] = ServiceMetrics{Latency: l.Summary(), Outcomes: make(map[string]int64)}
	}
	for k, n := range e.outcomes {
		name := k.verdict.String()
		if k.reason != "" {
			name += " " + k.reason
		}
		out[k.service].Outcomes[name] += n
	}
	return out
}

// ServiceMetrics are the metrics of one service.
type ServiceMetrics struct {
	// Latency summarizes the durations of the requests. Outcomes counts the requests by
	// verdict, followed by a space and the reason if there is one.
	Latency  metrics.Summary  `json:"latency"`
	Outcomes map[string]int64 `json:"ends"`
}

// Dump is the state on which the entry's decisions depend, for debugging.
type Dump struct {
	Agent    follow.Status                    `json:"agent"`
	Revision uint64                           `json:"revision"`
	InFlight int                              `json:"in_flight"`
	Services map[string]forward.ServiceStatus `json:"services"`
	// Caps are the entry's shares of the in-flight caps, with the requests refused by them.
	Caps    []share.LimitStatus       `json:"caps,omitempty"`
	Metrics map[string]ServiceMetrics `json:"metrics"`
}

// Dump returns the entry's state, with that of its connection to the agent.
func (e *Entry) Dump(agent follow.Status) Dump {
	return Dump{agent, revisionOf(e.Proxy.Snapshot()), e.Proxy.InFlight(), e.Proxy.Dump(), e.capShares.Statuses(bootclock.Now()), e.Metrics()}
}

// revisionOf returns the revision of a snapshot, or 0 for nil.
func revisionOf(s *model.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Revision
}

// Shutdowner is a server that Stop shuts down.
type Shutdowner interface {
	// BeginDrain makes the server begin no request behind one that is not answered yet.
	BeginDrain()
	// Shutdown stops accepting requests and waits for those in flight until ctx ends.
	Shutdown(ctx context.Context) error
}

// StopOptions holds the parameters of a planned stop.
type StopOptions struct {
	// Linger is how long requests are still accepted after the agent has been informed
	// that the entry is leaving.
	Linger time.Duration
	// Timeout is how long requests in flight may take after that.
	Timeout time.Duration
	// Agent receives the report that the entry is leaving.
	Agent Reporter
}

// expireMargin is how long before the end of StopOptions.Timeout requests that are left are ended and
// answered.
const expireMargin = 300 * time.Millisecond

// Stop performs a planned stop. It reports to the agent that the entry is leaving, so
// that look-ups no longer return the entry. For the time Linger it still accepts
// requests, from callers with older answers, but none that stands behind an unanswered one on its
// connection and none whose answer is not expected in time; then it rejects new requests as not run, and
// shuts the server down once the requests in flight have ended. Those that are left expireMargin before
// the end of Timeout are ended. It returns the error of the shutdown, for example that answers were still
// being sent after Timeout.
func (e *Entry) Stop(ctx context.Context, srv Shutdowner, opt StopOptions) error {
	klog.InfoS("stopping", "linger", opt.Linger)
	e.leaving.Store(true)
	srv.BeginDrain()
	untilExpiry := max(opt.Timeout/2, opt.Timeout-expireMargin)
	e.Proxy.StopIn(opt.Linger + untilExpiry)
	if err := e.report(ctx, opt.Agent, true); err != nil {
		klog.ErrorS(err, "failed to report the stop to the agent")
	}
	select {
	case <-time.After(opt.Linger):
	case <-ctx.Done():
	}
	e.Proxy.Stop()
	e.Proxy.StopIn(untilExpiry)
	ctx, cancel := context.WithTimeout(ctx, opt.Timeout)
	defer cancel()
	expire := time.AfterFunc(untilExpiry, e.Proxy.ExpireRequests)
	defer expire.Stop()
	err := srv.Shutdown(ctx)
	klog.InfoS("stopped", "in_flight", e.Proxy.InFlight(), "err", err)
	return err
}
