package forward

import (
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// elsewhereRetryAfter is the Retry-After time of an entry that stops: other entries can take the request
// at once.
const elsewhereRetryAfter = 100 * time.Millisecond

// endsBefore reports whether a request is answered before the entry ends at a time end, if it is sent at a
// time sent and its answer takes at most a time takes. A request whose deadline comes first is not cut by
// the end of the entry.
func endsBefore(end, deadline, sent time.Time, takes time.Duration) bool {
	return end.IsZero() || !deadline.After(end) || sent.Add(takes).Before(end)
}

// StopIn tells the Proxy that ExpireRequests will be called after a time. From now on it sends no request
// whose answer is not expected by then, and refuses it as not run.
func (p *Proxy) StopIn(left time.Duration) {
	end := p.now().Add(left)
	p.end.Store(&end)
	klog.InfoS("refusing requests that would not end in time", "left", left)
	for _, state := range p.allServices() {
		p.reconsider(state)
	}
}

// endTime returns the time at which the entry ends the requests that are left; zero if it is not stopping.
func (p *Proxy) endTime() time.Time {
	if end := p.end.Load(); end != nil {
		return *end
	}
	return time.Time{}
}

// tooLate reports whether a call that is sent now, to the upstream that suits it best, would not end before
// the entry.
func (p *Proxy) tooLate(cl *call, state *serviceState) bool {
	end := p.endTime()
	return !end.IsZero() && !endsBefore(end, cl.deadline, p.now(), p.longestWork(cl, state))
}

// tooLateAt reports whether a call would not end before the entry if it is sent to the upstream that was
// picked for it.
func (p *Proxy) tooLateAt(cl *call, balancer *balance.Balancer, to balance.Choice) bool {
	end := p.endTime()
	if end.IsZero() {
		return false
	}
	now := p.now()
	sent := now
	if to.SendAt.After(now) {
		sent = to.SendAt
	}
	return !endsBefore(end, cl.deadline, sent, balancer.LongestAnswer(now, to))
}

// longestWork returns the longest time that a call is expected to take once it runs, the mean one without
// a route; 0 if unknown.
func (p *Proxy) longestWork(cl *call, state *serviceState) time.Duration {
	if cl.Route == nil {
		return state.balancer.Latency(p.snap.Load().Region)
	}
	return state.balancer.LongestWork(cl.Route.Name)
}

// latestSend returns the last time, up to until, at which a call can be sent and end before the entry.
func (p *Proxy) latestSend(cl *call, state *serviceState, until time.Time) time.Time {
	end := p.endTime()
	if end.IsZero() || !cl.deadline.After(end) {
		return until
	}
	if latest := end.Add(-p.longestWork(cl, state)); latest.Before(until) {
		return latest
	}
	return until
}

// leavingError returns the error of a request that would not end before the entry.
func leavingError() *verdict.Error {
	return verdict.New(verdict.NotRun, reasonLeaving, nil)
}

// awaitBody waits for the whole body of a call while the entry is stopping, if the body can be kept: the
// work begins when the upstream has all of it. It waits no longer than the call can wait to be sent.
func (p *Proxy) awaitBody(w http.ResponseWriter, cl *call, state *serviceState) {
	end := p.endTime()
	if end.IsZero() || !cl.deadline.After(end) || cl.body.complete() || cl.body.length > maxReplayBytes {
		return
	}
	if left := p.latestSend(cl, state, end).Sub(p.now()); left > 0 {
		cl.body.readAhead(w, left)
	}
}
