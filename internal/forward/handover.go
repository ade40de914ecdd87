package forward

import (
	"cmp"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/logs"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

const (
	// maxPeers is the largest number of peers to which one request is sent in turn.
	maxPeers = 3
	// handoverMargin is taken off the deadline that a peer gets, for the way back of its response.
	handoverMargin = 20 * time.Millisecond
	// isolatedRetryAfter is the Retry-After time of an isolated entry.
	isolatedRetryAfter = 500 * time.Millisecond
	// maxPeerReply is the largest body in bytes of a response that a peer generated itself.
	maxPeerReply = 16 << 10
)

// reasonIsolated means that the entry is isolated, and that no peer can take the request or that a
// peer handed it over.
const reasonIsolated = "entry-isolated"

// Reasons of an entry that is stopping or has no configuration yet.
const (
	reasonLeaving  = "entry-leaving"
	reasonStarting = "entry-starting"
)

var handoverLog = logs.NewLimiter(1, 10)

// shouldHandOver reports whether a request is to be handed over to a peer: this entry is isolated,
// and the request was not handed over before.
func (p *Proxy) shouldHandOver(cl *call) bool {
	return p.opt.Peers != nil && cl.handover == nil && p.reach.Isolated()
}

// mayHandOver reports whether a request that failed with err may be handed over to a peer instead.
// Beyond isolation that holds for requests that found no upstream while none answers this entry but
// upstreams answer its peers, within the retry budget.
func (p *Proxy) mayHandOver(ctx context.Context, cl *call, state *serviceState, err *verdict.Error) bool {
	if ctx.Err() != nil || cl.outcome != verdict.NotRun {
		return false
	}
	if p.shouldHandOver(cl) {
		return true
	}
	switch err.Reason {
	case reasonUnreachable, reasonNoUpstream, reasonNoSlot:
	default:
		return false
	}
	return p.opt.Peers != nil && cl.handover == nil && p.reach.Failing() && p.peersAnswered() && state.budget.TryWithdraw()
}

// peersAnswered reports whether upstreams have recently answered another entry.
func (p *Proxy) peersAnswered() bool {
	return p.reach.Answered(p.now(), false, func(string) bool { return true })
}

// handOver sends the request to a peer, which sends it to an upstream, and passes the response on.
// It returns false, without a response, if no peer can take the request and no upstream has run it.
// The peer counts the request against limits and budgets, so this entry does not.
func (p *Proxy) handOver(ctx context.Context, w http.ResponseWriter, r *http.Request, cl *call, state *serviceState, out *Outcome) (done bool) {
	p.refundOrganisationLimit(cl)
	cl.charged = false
	var tried []string
	for len(tried) < maxPeers && ctx.Err() == nil && !p.tooLate(cl, state) {
		peer, ok := p.peers.pick(p.now(), p.peers.known(p.now(), p.opt.Peers), p.snap.Load().Region, cl.allows, tried)
		if !ok {
			break
		}
		tried = append(tried, peer.ID)
		out.Peer = peer.ID
		attempts := max(1, cl.attempts-out.Attempts)
		res, reply, err := p.sendToPeer(ctx, r, cl, peer, attempts)
		switch {
		case err != nil:
			p.peers.avoid(peer, false, p.now())
			p.logHandoverFailure(cl, peer, err)
			cl.outcome = verdict.Join(cl.outcome, err.Verdict)
			if err.Verdict == verdict.NotRun && err.Reason == reasonUnreachable {
				continue
			}
			// The peer may have used all attempts.
			out.Attempts += attempts
			if p.mayRetry(ctx, cl, state, err, out.Attempts) {
				continue
			}
			p.reply(w, r, cl.body, out, replyFor(err, cl.outcome))
			return true
		case reply != nil && reply.cannotServe():
			p.peers.avoid(peer, reply.reason == reasonIsolated, p.now())
		case reply != nil:
			p.reply(w, r, cl.body, out, reply.withOutcome(nil, cl.outcome))
			return true
		default:
			out.Attempts++
			p.deliverFromPeer(w, cl, res, out)
			return true
		}
	}
	return false
}

// isolatedReply returns the response of an isolated entry to a request that it cannot hand over.
func isolatedReply() *localReply {
	return &localReply{status: http.StatusServiceUnavailable, reason: reasonIsolated, verdict: verdict.NotRun, retryAfter: isolatedRetryAfter}
}

// logHandoverFailure logs that a peer could not be reached or broke off.
func (p *Proxy) logHandoverFailure(cl *call, peer model.Member, err *verdict.Error) {
	if left, ok := handoverLog.Allow(p.now(), peer.ID); ok {
		klog.InfoS("handover to peer failed", "request", cl.ID, "peer", peer.ID, "err", err, "left_out", left)
	}
}

// sendToPeer sends the request to a peer that may make a number of attempts. It returns the
// response of an upstream, one that the peer generated itself, or an error.
func (p *Proxy) sendToPeer(ctx context.Context, r *http.Request, cl *call, peer model.Member, attempts int) (*upstreamResponse, *localReply, *verdict.Error) {
	p.peers.begin(peer.ID)
	writes := new(writeTracker)
	resp, err := p.roundTrip(ctx, ctx, writes, r, cl, peer.Entry, func(h http.Header) {
		p.opt.Protocol.SetPeerHeaders(h, &cl.RequestInfo, cl.deadline.Sub(p.now())-handoverMargin)
		setHandover(h, handover{From: p.opt.Self, Caller: callerIP(r), Attempts: attempts})
	})
	if err != nil {
		p.peers.end(peer.ID)
		p.recordUnsent(cl, peer.ID, err)
		return nil, nil, err
	}
	if resp.Header.Get(verdict.Header) != "" {
		defer p.peers.end(peer.ID)
		reply, rerr := readPeerReply(resp, cl.ID)
		if rerr != nil {
			return nil, nil, verdict.New(verdict.MayHaveRun, reasonBroken, rerr)
		}
		if reply.verdict == verdict.NotRun {
			e := Evidence{Upstream: peer.ID, Status: reply.status, Identified: reply.reason != reasonStarting, Reason: reply.reason}
			e.Connection, e.Ordinal = writes.connection()
			cl.addEvidence(e)
		}
		return nil, reply, nil
	}
	info := p.attribute(cl, peer.Entry, writes, resp)
	// A peer gives a refusal of an upstream as its own.
	if reason := cmp.Or(info.InvalidReason, info.NotRunReason); reason != "" {
		discard(resp)
		p.peers.end(peer.ID)
		return nil, nil, verdict.New(verdict.MayHaveRun, reason, fmt.Errorf("answer %s to request %s by peer", resp.Status, cl.ID))
	}
	res, verr := p.readResponse(ctx, cl, resp)
	if verr != nil {
		p.peers.end(peer.ID)
		return nil, nil, verr
	}
	res.info = info
	res.onRelease = func() { p.peers.end(peer.ID) }
	return res, nil, nil
}

// errPeerRefusal is the error of a peer's refusal that names another request, or whose header and body
// differ.
var errPeerRefusal = errors.New("forward: refusal of peer does not hold for this request")

// readPeerReply reads a response to the request with an ID that a peer generated itself.
func readPeerReply(resp *http.Response, id string) (*localReply, error) {
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPeerReply))
	if err != nil {
		return nil, err
	}
	var e ErrorResponse
	if err := json.Unmarshal(body, &e); err != nil {
		return nil, fmt.Errorf("forward: reply of peer: %w", err)
	}
	v, err := verdict.Parse(e.Verdict)
	if err != nil {
		return nil, err
	}
	if resp.StatusCode < http.StatusBadRequest {
		return nil, errors.New("forward: reply of peer has status " + resp.Status)
	}
	if v == verdict.NotRun && !e.refuses(id, resp.Header) {
		return nil, errPeerRefusal
	}
	return &localReply{
		status: resp.StatusCode, reason: e.Reason, detail: e.Detail, verdict: v, retryAfter: time.Duration(e.RetryAfterMillis) * time.Millisecond,
	}, nil
}

// refuses reports whether a peer's response with verdict NotRun holds for the request with an ID. A peer
// without a configuration cannot name the request.
func (e *ErrorResponse) refuses(id string, h http.Header) bool {
	named := e.RequestID == id || e.RequestID == "" && e.Reason == reasonStarting
	return named && h.Get(verdict.Header) == verdict.NotRun.String()
}

// cannotServe reports whether a peer's reply says that the peer could take no request at all.
func (l *localReply) cannotServe() bool {
	switch l.reason {
	case reasonIsolated, reasonLeaving, reasonStarting:
		return l.verdict == verdict.NotRun
	}
	return false
}

// deliverFromPeer sends an upstream's response that came by a peer to the caller.
func (p *Proxy) deliverFromPeer(w http.ResponseWriter, cl *call, res *upstreamResponse, out *Outcome) {
	defer res.release()
	_, err := res.writeTo(w, p.opt.Protocol, cl)
	p.finishDelivery(cl, res, out, out.Peer, err)
}
