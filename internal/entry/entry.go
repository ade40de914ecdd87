// Package entry is the process that carries callers' requests: a
// forward.Carrier with metrics, and the steps of a planned stop.
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

// Entry carries requests and counts how they end.
type Entry struct {
	Carrier *forward.Proxy
	book    *share.Limiter
	leaving atomic.Bool
	mu      sync.Mutex
	byEnd   map[end]int64
	latency map[string]*metrics.Latency
	// lines and routine bound the lines about requests.
	lines, routine *logs.Limiter
}

// end is a way for a request to end.
type end struct {
	service string
	verdict verdict.Verdict
	reason  string
}

// New returns an Entry. It sets Options.Observe, NewID, Book and Boot.
func New(opt forward.Options) *Entry {
	e := &Entry{book: share.NewLimiter(), byEnd: make(map[end]int64), latency: make(map[string]*metrics.Latency),
		lines: logs.NewLimiter(linesPerSecond, lineBurst), routine: logs.NewLimiter(routinePerSecond, routineBurst)}
	opt.Observe, opt.NewID = e.observe, newID
	opt.CapShares, opt.BootClock = e.book, bootclock.Now
	e.Carrier = forward.New(opt)
	return e
}

// newID returns a random request id.
func newID() string {
	var b [12]byte
	_, _ = rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

func (e *Entry) observe(o forward.Outcome) {
	e.mu.Lock()
	e.byEnd[end{o.Service, o.Verdict, o.Reason}]++
	l := e.latency[o.Service]
	if l == nil {
		l = metrics.NewLatency()
		e.latency[o.Service] = l
	}
	e.mu.Unlock()
	l.Record(uint32(o.Duration), o.Duration)
	e.log(o)
}

const (
	// linesPerSecond and lineBurst bound the lines of each kind about requests.
	linesPerSecond = 10
	lineBurst      = 40
	// routinePerSecond and routineBurst bound those about requests that were served in
	// time. Under load they would push what a node says of the store out of a collector
	// that keeps only the last lines.
	routinePerSecond = 1
	routineBurst     = 10
)

// log writes a line about a request that did not simply succeed in its time; at
// verbosity 2 about every request.
func (e *Entry) log(o forward.Outcome) {
	k := kindOf(o)
	if k == "" && !klog.V(2).Enabled() {
		return
	}
	lines := e.lines
	if k == kindSecondReplica {
		lines = e.routine
	}
	left, ok := lines.Allow(time.Now(), k)
	if !ok {
		return
	}
	klog.InfoS("request", "kind", k, "id", o.ID, "organisation", o.Organisation, "service", o.Service, "route", o.Route, "version", o.Version,
		"status", o.Status, "verdict", o.Verdict, "reason", o.Reason, "detail", o.Detail, "took", o.Duration, "attempts", o.Attempts,
		"upstream", o.Choice.ID, "region", o.Choice.Region, "rank", o.Choice.Rank, "warm", o.Choice.Warm,
		"ahead", o.Choice.Outstanding, "expected", o.Choice.ExpectedLatency, "load", o.Response.Load, "waiting", o.Response.Waiting, "left_out", left)
}

// kindSecondReplica are requests that another than the first upstream of their object
// served in time.
const kindSecondReplica = "second-replica"

// kindOf says what is remarkable about a request; empty if nothing is.
func kindOf(o forward.Outcome) string {
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

// Metrics returns the counters and percentiles of each service.
func (e *Entry) Metrics() map[string]ServiceMetrics {
	e.mu.Lock()
	defer e.mu.Unlock()
	out := make(map[string]ServiceMetrics)
	for service, l := range e.latency {
		out[service] = ServiceMetrics{Latency: l.Summary(), Ends: make(map[string]int64)}
	}
	for k, n := range e.byEnd {
		name := k.verdict.String()
		if k.reason != "" {
			name += " " + k.reason
		}
		out[k.service].Ends[name] += n
	}
	return out
}

// ServiceMetrics are the metrics of one service.
type ServiceMetrics struct {
	Latency metrics.Summary  `json:"latency"`
	Ends    map[string]int64 `json:"ends"`
}

// Dump is everything that the entry decides by.
type Dump struct {
	Agent    follow.Status                    `json:"agent"`
	Revision uint64                           `json:"revision"`
	InFlight int                              `json:"in_flight"`
	Services map[string]forward.ServiceStatus `json:"services"`
	// Caps is what the entry uses and may use of the caps.
	Caps    []share.LimitStatus       `json:"caps,omitempty"`
	Metrics map[string]ServiceMetrics `json:"metrics"`
}

// Dump returns the entry's state.
func (e *Entry) Dump(agent follow.Status) Dump {
	return Dump{agent, revisionOf(e.Carrier.Snapshot()), e.Carrier.InFlight(), e.Carrier.Dump(), e.book.Statuses(bootclock.Now()), e.Metrics()}
}

func revisionOf(s *model.Snapshot) uint64 {
	if s == nil {
		return 0
	}
	return s.Revision
}

// Shutdowner is the server that a Stop ends.
type Shutdowner interface {
	Shutdown(ctx context.Context) error
}

// StopOptions sets the times of a planned stop.
type StopOptions struct {
	// Linger is how long requests are still taken after the look-ups have ceased
	// to name the entry.
	Linger time.Duration
	// Timeout is how long requests in flight may take after that.
	Timeout time.Duration
	// Agent is told that the entry leaves.
	Agent Reporter
}

// Stop is the planned stop: the entry leaves the look-up answers, waits out
// those already given, refuses new work as not run, and ends when the last
// request in flight has.
func (e *Entry) Stop(ctx context.Context, srv Shutdowner, opt StopOptions) error {
	klog.InfoS("stopping", "linger", opt.Linger)
	e.leaving.Store(true)
	if err := e.report(ctx, opt.Agent, true); err != nil {
		klog.ErrorS(err, "agent not told of the stop")
	}
	select {
	case <-time.After(opt.Linger):
	case <-ctx.Done():
	}
	e.Carrier.Stop()
	ctx, cancel := context.WithTimeout(ctx, opt.Timeout)
	defer cancel()
	err := srv.Shutdown(ctx)
	klog.InfoS("stopped", "in_flight", e.Carrier.InFlight(), "err", err)
	return err
}
