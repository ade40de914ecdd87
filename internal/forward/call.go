package forward

import (
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// call is one request of a caller.
type call struct {
	id       string
	service  *model.Service
	safe     bool
	began    time.Time
	deadline time.Time
	body     *replayBody
	// tried holds the upstreams that the request was sent to.
	tried []string
	// failed is the region of the last failed attempt.
	failed string
	// outcome joins the verdicts of the attempts so far.
	outcome verdict.Verdict
}

// parseCall reads what a caller asks for. A fault is answered as not run.
func parseCall(r *http.Request, snap *model.Snapshot, id string, now time.Time) (*call, *refusal) {
	name, known := serviceName(r, snap)
	svc := snap.Services[name]
	if svc == nil || !known {
		reason := fmt.Sprintf("unknown service %q: name one by %s or by host", name, header.Service)
		return nil, &refusal{status: http.StatusNotFound, reason: "unknown-service", detail: reason, verdict: verdict.NotRun}
	}
	safe, err := isSafe(r, svc)
	if err != nil {
		return nil, badRequest(err)
	}
	limit, err := timeLimit(r, svc)
	if err != nil {
		return nil, badRequest(err)
	}
	c := &call{id: id, service: svc, safe: safe, began: now, deadline: now.Add(limit), outcome: verdict.NotRun}
	c.body = newReplayBody(r)
	return c, nil
}

func serviceName(r *http.Request, snap *model.Snapshot) (string, bool) {
	if name := r.Header.Get(header.Service); name != "" {
		return name, true
	}
	host := r.Host
	if h, _, err := net.SplitHostPort(host); err == nil {
		host = h
	}
	name, ok := snap.Hosts[host]
	return name, ok
}

// isSafe tells whether a request may be repeated: by the caller's mark, else by
// the service's setting, else by its method. A mark can make a request unsafe
// that the method would make safe, and the other way round, but it cannot make
// one safe that the service's setting calls unsafe.
func isSafe(r *http.Request, svc *model.Service) (bool, error) {
	mark := r.Header.Get(header.Repeat)
	if mark != "" && mark != tree.RepeatSafe && mark != tree.RepeatUnsafe {
		return false, fmt.Errorf("%s is %q, allowed are %s and %s", header.Repeat, mark, tree.RepeatSafe, tree.RepeatUnsafe)
	}
	switch {
	case svc.Repeat == tree.RepeatUnsafe, mark == tree.RepeatUnsafe:
		return false, nil
	case svc.Repeat == tree.RepeatSafe, mark == tree.RepeatSafe:
		return true, nil
	}
	return r.Method == http.MethodGet || r.Method == http.MethodHead, nil
}

func timeLimit(r *http.Request, svc *model.Service) (time.Duration, error) {
	s := r.Header.Get(header.Deadline)
	if s == "" {
		return svc.Deadline, nil
	}
	ms, err := strconv.ParseInt(s, 10, 32)
	if err != nil || ms <= 0 {
		return 0, fmt.Errorf("%s is %q, allowed are whole milliseconds above 0", header.Deadline, s)
	}
	return min(time.Duration(ms)*time.Millisecond, svc.Deadline), nil
}

// notRunStatus reports whether an upstream's status says that it did not run
// the request.
func (c *call) notRunStatus(status int) bool {
	return slices.Contains(c.service.NotRunStatuses, status)
}

// after returns the regions for the next attempt. One in which two attempts
// failed in a row goes last; a shed is no failure.
func (c *call) after(err *verdict.Error, region string, regions []string) []string {
	if err.Reason == reasonShed {
		return regions
	}
	if c.failed != region {
		c.failed = region
		return regions
	}
	rest := slices.DeleteFunc(slices.Clone(regions), func(r string) bool { return r == region })
	return append(rest, region)
}
