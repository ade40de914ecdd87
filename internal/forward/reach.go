package forward

import (
	"context"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/reach"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// reachCheckInterval is the time between evaluations of whether the entry is isolated, as long as
// attempts fail without an answer.
const reachCheckInterval = 100 * time.Millisecond

// quietCheckInterval is the time between checks of whether attempts get no answer.
const quietCheckInterval = 300 * time.Millisecond

// answerSkew is by how much an answer may be seen later than connections that broke after it.
const answerSkew = 100 * time.Millisecond

// recordReach records what an attempt, sent at sent, shows about whether this entry reaches the
// upstreams. Attempts that ended for other reasons than a failed connection show nothing. A timeout
// does not either: the upstream may be slow. A long time without any answer starts health checks.
func (p *Proxy) recordReach(to *model.Upstream, sent time.Time, newConnection bool, err *verdict.Error) {
	switch {
	case err == nil || err.Reason == reasonMalformed:
		p.reach.RecordAnswer(p.now(), reachAttempt(to, sent, newConnection))
	case err.Reason == reasonUnreachable || err.Reason == reasonBroken:
		p.reach.RecordFailure(p.now(), reachAttempt(to, sent, newConnection))
		select {
		case p.reachFailed <- struct{}{}:
		default:
		}
	}
}

// recordSilence records a health check that was sent and not answered in time.
func (p *Proxy) recordSilence(to *model.Upstream, sent time.Time) {
	p.reach.RecordSilence(p.now(), reachAttempt(to, sent, true))
}

func reachAttempt(to *model.Upstream, sent time.Time, newConnection bool) reach.Attempt {
	return reach.Attempt{Upstream: reach.Upstream{ID: to.ID, Domain: to.Domain}, Sent: sent, NewConnection: newConnection}
}

// RunReachChecks evaluates whether the entry is isolated while attempts fail or get no answer, until ctx
// ends.
func (p *Proxy) RunReachChecks(ctx context.Context) {
	quiet := time.NewTicker(quietCheckInterval)
	defer quiet.Stop()
	for {
		select {
		case <-p.reachFailed:
		case <-quiet.C:
		case <-ctx.Done():
			return
		}
		if p.reachInDoubt() {
			p.checkReach(ctx)
		}
	}
}

// reachInDoubt reports whether the entry is isolated, or attempts fail or get no answer.
func (p *Proxy) reachInDoubt() bool {
	return p.reach.Failing() || p.reach.Isolated() || p.reach.Unanswered(p.now())
}

// checkReach probes upstreams and evaluates until upstreams answer again or ctx ends.
func (p *Proxy) checkReach(ctx context.Context) {
	tick := time.NewTicker(reachCheckInterval)
	defer tick.Stop()
	probeAt := p.now()
	if !p.reach.Unanswered(probeAt) {
		probeAt = probeAt.Add(probeDelay)
	}
	for p.reachInDoubt() {
		select {
		case <-tick.C:
			p.evaluateReach()
		case <-ctx.Done():
			return
		}
		now := p.now()
		if now.Before(probeAt) {
			continue
		}
		p.probeUpstreams(ctx)
		probeAt = now.Add(slowProbeInterval)
		if p.reach.Suspected(now) || p.reach.Unanswered(now) {
			probeAt = now.Add(probeInterval)
		}
	}
}

// evaluateReach decides whether the entry is isolated, and logs a change with its evidence. What
// the entry has learnt about upstreams while it was cut off is dropped.
func (p *Proxy) evaluateReach() {
	before := p.ReachStatus()
	silent := p.reach.LoadSuspect(p.now())
	isolated, changed := p.reach.Evaluate(p.now())
	if !changed {
		return
	}
	p.forgetFailures()
	if isolated {
		if silent {
			p.abandonable.cancelAll()
		}
		// Attempts that were under way at the last answer failed before those that count as evidence.
		failingFor := time.Duration(max(before.Silent.Millis, before.Unconnected.Millis, before.LastAnswerMillis)) * time.Millisecond
		p.poison.WithdrawCrashes(p.now(), p.now().Add(-failingFor-answerSkew))
		klog.InfoS("isolated: no upstream answers this entry on new connections, but upstreams answer others",
			"silent_upstreams", before.Silent.Upstreams, "silent_domains", before.Silent.Domains, "silent_ms", before.Silent.Millis,
			"unconnected_upstreams", before.Unconnected.Upstreams, "unconnected_domains", before.Unconnected.Domains, "unconnected_ms", before.Unconnected.Millis,
			"last_answer_ms", before.LastAnswerMillis, "peers_answered", before.PeersAnswered)
		return
	}
	klog.InfoS("isolation ended", "took_ms", before.IsolatedMillis, "last_answer_ms", before.LastAnswerMillis, "peers_answered", before.PeersAnswered)
}

// forgetFailures drops the failures of upstreams that this entry has observed, and the connections
// to them.
func (p *Proxy) forgetFailures() {
	now := p.now()
	for _, state := range p.allServices() {
		state.balancer.ForgetFailures(now)
		state.queue.Wake()
	}
	if pool, ok := p.transport.(*Pool); ok {
		pool.CloseAllIdle()
		pool.reuse.reset()
	}
}

// failuresSuspect reports whether the failures at this entry may be its own fault, so that they
// must not count against upstreams at other entries.
func (p *Proxy) failuresSuspect() bool { return p.reach.Suspected(p.now()) }

// HandoverStatus counts the requests that were handed over to peers and by peers.
func (p *Proxy) HandoverStatus() HandoverStatus {
	s := p.peers.status()
	s.Received = p.handoversReceived.Load()
	return s
}

// Reach returns the detector of whether the entry is isolated.
func (p *Proxy) Reach() *reach.Detector { return p.reach }

// ReachStatus returns the evidence of whether the entry is isolated.
func (p *Proxy) ReachStatus() reach.Status { return p.reach.Status(p.now()) }

// knownUpstreams counts the upstreams of a snapshot and their failure domains.
func knownUpstreams(s *model.Snapshot) reach.Known {
	domains := make(map[string]bool)
	n := 0
	for _, svc := range s.Services {
		n += len(svc.Upstreams)
		for i := range svc.Upstreams {
			domains[svc.Upstreams[i].Domain] = true
		}
	}
	return reach.Known{Upstreams: n, Domains: len(domains)}
}
