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
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Reasons of failed attempts.
const (
	reasonTimeout     = "timeout"
	reasonCallerGone  = "caller-gone"
	reasonUnreachable = "upstream-unreachable"
	reasonBroken      = "upstream-broken"
	reasonUnframed    = "answer-unframed"
	reasonBodyUsed    = "body-not-repeatable"
	// reasonCallerBody and reasonTooLarge are for bodies that the caller broke
	// off or that are over the bound.
	reasonCallerBody = "caller-body-broken"
	reasonTooLarge   = "body-too-large"
)

// wholeLimit is the largest answer in bytes that is read whole before the first
// byte goes to the caller, so that a cut one can still be tried elsewhere.
const wholeLimit = 64 << 10

// answer is an upstream's answer, ready to go to the caller.
type answer struct {
	resp *http.Response
	told ResponseInfo
	// connect is how long the connection took to be made; 0 if it was there.
	connect time.Duration
	// whole is the body if it has been read to its end.
	whole []byte
	read  bool
}

// attempt sends the call to one upstream. The error, if any, has the verdict of
// this attempt alone; the answer is then nil, or has only what the upstream told of
// itself as it refused.
func (c *Proxy) attempt(ctx context.Context, r *http.Request, cl *call, to balance.Choice) (*answer, *verdict.Error) {
	body, ok := cl.body.attach(ctx)
	if !ok {
		return nil, verdict.New(verdict.NotRun, reasonBodyUsed, nil)
	}
	var watch sendWatch
	sending := watch.context(ctx)
	if !cl.Safe {
		sending = withOnce(sending)
	}
	out := c.request(sending, r, cl, to, body)
	resp, err := c.transport.RoundTrip(out)
	if err != nil {
		return nil, sendError(ctx, cl, &watch, err)
	}
	told := c.opt.Protocol.ParseResponse(resp, &cl.RequestInfo, cl.service)
	c.noteRate(cl, to, told.Rate)
	if told.NotRunReason != "" {
		e := verdict.New(verdict.NotRun, told.NotRunReason, fmt.Errorf("upstream answered %s", resp.Status))
		e.RetryAfter = retryAfterOf(resp)
		discard(resp)
		return &answer{told: told}, e
	}
	if told.InvalidReason != "" {
		discard(resp)
		return nil, verdict.New(verdict.MayHaveRun, told.InvalidReason, fmt.Errorf("answer %s to request %s", resp.Status, cl.ID))
	}
	ans, verr := readAnswer(ctx, resp)
	if verr == nil {
		ans.told, ans.connect = told, watch.connectTime()
	}
	return ans, verr
}

// request returns what goes to the upstream.
func (c *Proxy) request(ctx context.Context, r *http.Request, cl *call, to balance.Choice, body *attemptBody) *http.Request {
	h := r.Header.Clone()
	dropHop(h)
	c.opt.Protocol.SetRequestHeaders(h, &cl.RequestInfo, &to.Upstream, cl.deadline.Sub(c.now()))
	if _, ok := h["User-Agent"]; !ok {
		h.Set("User-Agent", "")
	}
	out := &http.Request{
		Method:        r.Method,
		URL:           c.target(r, to),
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

// target returns the URL at an upstream, with the request's path and query to
// the letter.
func (c *Proxy) target(r *http.Request, to balance.Choice) *url.URL {
	u := &url.URL{Scheme: c.scheme, Host: to.Address, Path: r.URL.Path, RawPath: r.URL.RawPath, RawQuery: r.URL.RawQuery}
	if strings.HasPrefix(r.RequestURI, "/") {
		u.Opaque = r.RequestURI
	}
	return u
}

// sendError gives the verdict of an attempt that got no answer.
func sendError(ctx context.Context, cl *call, watch *sendWatch, err error) *verdict.Error {
	v := verdict.MayHaveRun
	if watch.nothingSent() {
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
	case v == verdict.NotRun:
		return verdict.New(v, reasonUnreachable, err)
	}
	return verdict.New(v, reasonBroken, err)
}

// readAnswer reads an answer whole if it is small, or ends with its connection
// and so has no length to check it by.
func readAnswer(ctx context.Context, resp *http.Response) (*answer, *verdict.Error) {
	a := &answer{resp: resp}
	if !endsWithConnection(resp) && (resp.ContentLength < 0 || resp.ContentLength > wholeLimit) {
		return a, nil
	}
	body, err := io.ReadAll(resp.Body)
	resp.Body.Close()
	if err != nil {
		reason := reasonBroken
		if ctx.Err() != nil {
			reason = reasonTimeout
		}
		return nil, verdict.New(verdict.MayHaveRun, reason, err)
	}
	a.whole, a.read = body, true
	return a, nil
}

// discard drops an answer. A short rest is read so that the connection can be
// used again.
func discard(resp *http.Response) {
	_, _ = io.CopyN(io.Discard, resp.Body, 4<<10)
	resp.Body.Close()
}

func retryAfterOf(resp *http.Response) time.Duration {
	s, err := strconv.Atoi(resp.Header.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

// deliver sends an answer to the caller. A body that breaks off aborts the
// caller's connection, so that it is never taken for whole.
func (a *answer) deliver(w http.ResponseWriter, p Protocol, ask *RequestInfo) (int64, error) {
	h := w.Header()
	for name, values := range a.resp.Header {
		h[name] = values
	}
	dropHop(h)
	p.SetResponseHeaders(h, ask)
	if a.resp.ContentLength >= 0 {
		h.Set("Content-Length", strconv.FormatInt(a.resp.ContentLength, 10))
	}
	w.WriteHeader(a.resp.StatusCode)
	if a.read {
		return io.Copy(w, bytes.NewReader(a.whole))
	}
	return a.stream(w)
}

// streamBuffer is the memory in bytes that one streamed answer takes.
const streamBuffer = 32 << 10

func (a *answer) stream(w http.ResponseWriter) (int64, error) {
	defer a.resp.Body.Close()
	flush := http.NewResponseController(w)
	buf := make([]byte, streamBuffer)
	var sent int64
	for {
		n, err := a.resp.Body.Read(buf)
		if n > 0 {
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
