package forward

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/pipeline"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Reasons of failed attempts. They are sent to callers.
const (
	reasonTimeout       = "timeout"
	reasonCallerGone    = "caller-gone"
	reasonUnreachable   = "upstream-unreachable"
	reasonBroken        = "upstream-broken"
	reasonUnframed      = "answer-unframed"
	reasonMalformed     = "answer-malformed"
	reasonNotRepeatable = "body-not-repeatable"
	// reasonWithdrawn means that the upstream no longer accepted requests when the request was to be
	// sent.
	reasonWithdrawn = "upstream-withdrawn"
	// reasonCallerBody means that the caller broke off its request body, and reasonTooLarge
	// that the body exceeds the limit.
	reasonCallerBody = "caller-body-broken"
	reasonTooLarge   = "body-too-large"
)

// maxBufferedResponse is the largest response body in bytes that is read completely before its
// first byte is sent to the caller. If such a response is truncated, the request can still be
// retried.
const maxBufferedResponse = 64 << 10

// maxHeldResponse is the same for a response with requests behind it on the caller's connection that
// are being served already.
const maxHeldResponse = 1 << 20

// upstreamResponse is the response of an upstream.
type upstreamResponse struct {
	resp *http.Response
	info ResponseInfo
	// observed is what the balancer has learnt from info.
	observed balance.Observation
	// connectTime is the time it took to open the connection; 0 for a reused connection.
	connectTime time.Duration
	// body is the complete body if buffered is set.
	body     []byte
	buffered bool
	// buffers counts the memory of body.
	buffers *buffers
	// reserved is the memory reserved for body.
	reserved int64
	// onRelease is called once by release, unless it is nil.
	onRelease func()
}

// release returns the memory of the body.
func (res *upstreamResponse) release() {
	if res.onRelease != nil {
		res.onRelease()
		res.onRelease = nil
	}
	res.buffers.release(res.reserved)
	res.reserved = 0
}

// attempt sends the call to one upstream. A returned error has the verdict of this attempt
// alone. The response that is returned with an error is nil, or has only the fields info and
// observed, if the upstream reported that it did not run the request, or seemed to.
func (p *Proxy) attempt(ctx context.Context, r *http.Request, cl *call, to balance.Choice) (*upstreamResponse, *verdict.Error) {
	sent := p.now()
	p.reach.BeginAttempt(sent)
	sending := ctx
	if cl.Idempotent {
		var done func()
		sending, done = p.abandonable.add(ctx)
		defer done()
	}
	balancer := p.serviceState(cl.service.Name).balancer
	writes := &writeTracker{accepts: func() bool { return balancer.Accepts(p.now(), to) && !p.tooLateAt(cl, balancer, to) }}
	sending = p.withNewConnectionIfUnnamed(sending, cl, to.Address)
	resp, verr := p.roundTrip(ctx, sending, writes, r, cl, to.Address, func(h http.Header) {
		p.opt.Protocol.SetRequestHeaders(h, &cl.RequestInfo, &to.Upstream, cl.deadline.Sub(p.now()))
	})
	p.recordReach(&to.Upstream, sent, writes.newConnection(), verr)
	p.reach.EndAttempt(verr != nil && verr.Verdict != verdict.NotRun)
	if verr != nil {
		p.recordUnsent(cl, to.ID, verr)
		return nil, verr
	}
	info := p.attribute(cl, to.Address, writes, resp)
	observed := p.observe(balancer, cl, to, info.Announcement)
	if info.NotRunReason != "" {
		p.recordRefusing(cl, to.ID, writes, resp, info)
		v := verdict.NotRun
		if info.Uncertain {
			v = verdict.MayHaveRun
		}
		e := verdict.New(v, info.NotRunReason, fmt.Errorf("upstream answered %s", resp.Status))
		discard(resp)
		return &upstreamResponse{info: info, observed: observed}, e
	}
	if info.InvalidReason != "" {
		discard(resp)
		e := verdict.New(verdict.MayHaveRun, info.InvalidReason, fmt.Errorf("answer %s to request %s", resp.Status, cl.ID))
		if info.InvalidReason == ReasonUnproven {
			return &upstreamResponse{info: info, observed: observed}, e
		}
		return nil, e
	}
	res, verr := p.readResponse(ctx, cl, resp)
	if verr == nil {
		res.info, res.observed, res.connectTime = info, observed, writes.connectTime()
	}
	return res, verr
}

// roundTrip sends the call to an address, with a copy of the caller's headers that setHeaders has
// changed, and returns the response without hop-by-hop headers. writes records what was written. sending
// is the context of the exchange, derived from ctx; the connection counts as broken if it ends first.
func (p *Proxy) roundTrip(ctx, sending context.Context, writes *writeTracker, r *http.Request, cl *call, address string, setHeaders func(http.Header)) (*http.Response, *verdict.Error) {
	body, ok := cl.body.attach(ctx)
	if !ok {
		return nil, verdict.New(verdict.NotRun, reasonNotRepeatable, nil)
	}
	sending = writes.withTrace(sending)
	if !cl.Idempotent {
		sending = withNonIdempotent(sending)
	}
	resp, err := p.transport.RoundTrip(p.newRequest(sending, r, cl, address, body, setHeaders))
	if err != nil {
		return nil, sendError(ctx, cl, writes, err)
	}
	// Fields that the caller does not get must not be used to judge the response.
	removeHopHeaders(resp.Header)
	return resp, nil
}

// newRequest returns the request for an upstream or a peer.
func (p *Proxy) newRequest(ctx context.Context, r *http.Request, cl *call, address string, body *attemptBody, setHeaders func(http.Header)) *http.Request {
	h := r.Header.Clone()
	removeHopHeaders(h)
	setHeaders(h)
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           p.targetURL(r, address),
		Host:          r.Host,
		Header:        h,
		Body:          body,
		ContentLength: cl.body.length,
		Proto:         "HTTP/1.1",
		ProtoMajor:    1,
		ProtoMinor:    1,
	}
	return out.WithContext(ctx)
}

// targetURL returns the URL at an address, with path and query exactly as the caller sent them.
func (p *Proxy) targetURL(r *http.Request, address string) *url.URL {
	u := &url.URL{Scheme: p.scheme, Host: address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	if strings.HasPrefix(r.RequestURI, "/") {
		u.Opaque = r.RequestURI
	}
	return u
}

// sendError returns the error of an attempt that got no response.
func sendError(ctx context.Context, cl *call, writes *writeTracker, err error) *verdict.Error {
	v := verdict.MayHaveRun
	if writes.nothingWritten() {
		v = verdict.NotRun
	}
	var tooLarge *http.MaxBytesError
	callerErr := cl.body.callerError()
	switch {
	case errors.As(callerErr, &tooLarge):
		return verdict.New(v, reasonTooLarge, callerErr)
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.New(v, reasonTimeout, err)
	case ctx.Err() != nil:
		return verdict.New(v, reasonCallerGone, err)
	case callerErr != nil:
		return verdict.New(v, reasonCallerBody, callerErr)
	case v == verdict.NotRun && errors.Is(err, errWithdrawn):
		return verdict.New(v, reasonWithdrawn, err)
	case v == verdict.NotRun:
		return verdict.New(v, reasonUnreachable, err)
	case errors.Is(err, errMalformed):
		return verdict.New(v, reasonMalformed, err)
	}
	return verdict.New(v, reasonBroken, err)
}

// readResponse reads the body of a small response completely if there is memory for it, and that of a
// larger one if requests behind it on the caller's connection would be lost with a response that breaks
// off, or if the caller could not tell that it broke off. Other responses are streamed.
func (p *Proxy) readResponse(ctx context.Context, cl *call, resp *http.Response) (*upstreamResponse, *verdict.Error) {
	res := &upstreamResponse{resp: resp, buffers: &p.buffers}
	// A chunked response may be sent slowly, and callers want its first part. One that is delimited by
	// the end of its connection usually is short.
	if resp.ContentLength >= 0 || closeDelimited(resp) {
		if err := res.readWithin(ctx, maxBufferedResponse); err != nil {
			return nil, err
		}
	}
	mustHold := cl.needsLength && resp.ContentLength < 0
	if !res.buffered && (pipeline.BeginStream(cl.writer) || mustHold) {
		if err := res.readWithin(ctx, maxHeldResponse); err != nil {
			return nil, err
		}
	}
	if mustHold && !res.buffered {
		res.resp.Body.Close()
		res.release()
		return nil, verdict.New(verdict.MayHaveRun, reasonUnframed, errNoLength)
	}
	return res, nil
}

// errNoLength means that a response is too long to be held, and has no length for a caller that needs one.
var errNoLength = errors.New("forward: long response without a length for a caller without chunks")

// readWithin reads the body completely if it has at most limit bytes and there is memory for it. While
// no part of it is sent yet, a response that breaks off can be replaced by an error or another attempt.
func (res *upstreamResponse) readWithin(ctx context.Context, limit int64) *verdict.Error {
	size := res.resp.ContentLength
	if size < 0 {
		size = limit
	}
	if size > limit || !res.buffers.reserve(size) {
		return nil
	}
	res.reserved += size
	body, err := io.ReadAll(io.LimitReader(res.resp.Body, size+1))
	if err == nil && int64(len(body)) > size {
		res.resp.Body = &prefixedBody{io.MultiReader(bytes.NewReader(body), res.resp.Body), res.resp.Body}
		return nil
	}
	res.resp.Body.Close()
	if err != nil {
		res.release()
		reason := reasonBroken
		if ctx.Err() != nil {
			reason = reasonTimeout
		}
		return verdict.New(verdict.MayHaveRun, reason, err)
	}
	res.body, res.buffered = body, true
	return nil
}

// prefixedBody is a body of which a part has been read already.
type prefixedBody struct {
	io.Reader
	io.Closer
}

// discard drops a response. It reads up to 4 KiB of the body, so that the connection can be
// reused if the body ends there.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	resp.Body.Close()
}

// writeTo sends the response to the caller and returns the number of body bytes sent. If the
// upstream responded before the request body was read to its end, the caller's connection is closed
// after the response; otherwise net/http would read the rest of the body first.
func (res *upstreamResponse) writeTo(w http.ResponseWriter, protocol Protocol, cl *call) (int64, error) {
	h := w.Header()
	for name, values := range res.resp.Header {
		h[name] = values
	}
	protocol.SetResponseHeaders(h, &cl.RequestInfo)
	if !cl.body.complete() {
		h.Set("Connection", "close")
	}
	length := res.resp.ContentLength
	if length < 0 && res.buffered && cl.needsLength {
		length = int64(len(res.body))
	}
	if length >= 0 {
		h.Set("Content-Length", strconv.FormatInt(length, 10))
	}
	defer limitWrite(w)()
	w.WriteHeader(res.resp.StatusCode)
	if res.buffered {
		return io.Copy(w, bytes.NewReader(res.body))
	}
	return res.stream(w)
}

func (res *upstreamResponse) stream(w http.ResponseWriter) (int64, error) {
	defer res.resp.Body.Close()
	flush := http.NewResponseController(w)
	buf, reserved := res.buffers.streamBuffer()
	defer res.buffers.release(reserved)
	var sent int64
	for {
		n, err := res.resp.Body.Read(buf)
		if n > 0 {
			limitWrite(w)
			if _, werr := w.Write(buf[:n]); werr != nil {
				return sent, werr
			}
			sent += int64(n)
			_ = flush.Flush()
		}
		if err == io.EOF {
			return sent, nil
		}
		if err != nil {
			return sent, err
		}
	}
}
