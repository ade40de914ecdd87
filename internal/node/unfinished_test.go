package node

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// workTransport is an upstream that works on as many requests at once as it has slots.
type workTransport struct {
	slots chan struct{}
	mu    sync.Mutex
	// work is how long each request takes. began counts the requests, and cut those of them that were sent
	// while stopping was set and were broken off.
	work       time.Duration
	stopping   bool
	began, cut int
}

// RoundTrip implements http.RoundTripper.
func (t *workTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	httptrace.ContextClientTrace(r.Context()).GotConn(httptrace.GotConnInfo{})
	if r.Body != nil {
		if _, err := io.Copy(io.Discard, r.Body); err != nil {
			return nil, err
		}
	}
	t.mu.Lock()
	t.began++
	work, stopping := t.work, t.stopping
	t.mu.Unlock()
	select {
	case t.slots <- struct{}{}:
		defer func() { <-t.slots }()
	case <-r.Context().Done():
		return nil, t.breakOff(r, stopping)
	}
	select {
	case <-time.After(work):
	case <-r.Context().Done():
		return nil, t.breakOff(r, stopping)
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

// breakOff counts a request that is broken off and returns the reason.
func (t *workTransport) breakOff(r *http.Request, stopping bool) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if stopping {
		t.cut++
	}
	return r.Context().Err()
}

// setWork sets how long each further request takes.
func (t *workTransport) setWork(work time.Duration, stopping bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.work, t.stopping = work, stopping
}

// noCallers is a Drainer without connections.
type noCallers struct{}

// BeginDrain implements Drainer.
func (noCallers) BeginDrain() {}

// Drain implements Drainer.
func (noCallers) Drain(context.Context) error { return nil }

// stopTrial is a node that is stopped within stopGrace while requests are sent to it.
type stopTrial struct {
	t         *testing.T
	node      *Node
	transport *workTransport
	began     time.Time
	wg        sync.WaitGroup
	mu        sync.Mutex
	answers   []stopAnswer
}

// stopAnswer is the answer to a request that was sent some time after the stop began.
type stopAnswer struct {
	after, took time.Duration
	status      int
	header      http.Header
}

const stopGrace = 6 * time.Second

// learn has the node measure requests that take a time.
func (s *stopTrial) learn(work time.Duration) {
	s.t.Helper()
	s.transport.setWork(work, false)
	for range 20 {
		w := httptest.NewRecorder()
		s.node.Handler().ServeHTTP(w, stopRequest(nil))
		if w.Code != http.StatusOK {
			s.t.Fatalf("status %d before the stop: %s", w.Code, w.Body)
		}
	}
}

func stopRequest(body io.Reader) *http.Request {
	return httptest.NewRequest(http.MethodPost, "http://a.example/x", body)
}

// stop begins the stop.
func (s *stopTrial) stop() {
	s.began = time.Now()
	s.transport.setWork(s.transport.work, true)
	s.wg.Go(func() { s.node.Stop(stopGrace, noCallers{}) })
	synctest.Wait()
}

// send sends a request and returns at once.
func (s *stopTrial) send(body io.Reader) {
	sent := time.Now()
	s.wg.Go(func() {
		w := httptest.NewRecorder()
		s.node.Handler().ServeHTTP(w, stopRequest(body))
		s.mu.Lock()
		defer s.mu.Unlock()
		s.answers = append(s.answers, stopAnswer{sent.Sub(s.began), time.Since(sent), w.Code, w.Header()})
	})
}

// newStopTrial returns a trial with one upstream that has a number of slots.
func newStopTrial(t *testing.T, slots int) *stopTrial {
	transport := &workTransport{slots: make(chan struct{}, slots)}
	n := newStopNode(transport, unsafeProtocol{}, slots)
	return &stopTrial{t: t, node: n, transport: transport}
}

// unsafeProtocol takes requests for ones that may run only once.
type unsafeProtocol struct{ routedProtocol }

// ParseRequest implements forward.Protocol.
func (p unsafeProtocol) ParseRequest(r *http.Request, snap *model.Snapshot) (forward.RequestInfo, *forward.RequestError) {
	info, err := p.routedProtocol.ParseRequest(r, snap)
	info.Idempotent = false
	return info, err
}

// TestStoppingNodeBeginsNothingItCannotFinish guards against requests that a stopping node passes on
// although its upstream can not end them before the node does.
func TestStoppingNodeBeginsNothingItCannotFinish(t *testing.T) {
	const interval, lastAfter = 100 * time.Millisecond, stopGrace - killMargin
	for _, work := range []time.Duration{60 * time.Millisecond, 1500 * time.Millisecond, 2400 * time.Millisecond, 3200 * time.Millisecond, 5 * time.Second, 7 * time.Second} {
		t.Run(work.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newStopTrial(t, 100)
				s.learn(work)
				s.stop()
				for range lastAfter / interval {
					s.send(nil)
					time.Sleep(interval)
				}
				s.wg.Wait()
				s.checkNothingCut()
				for _, a := range s.answers {
					a.check(t, work)
				}
			})
		})
	}
}

// checkNothingCut reports requests that were passed on during the stop and broken off.
func (s *stopTrial) checkNothingCut() {
	s.t.Helper()
	if s.transport.cut > 0 {
		s.t.Errorf("%d of %d requests were cut at their upstream", s.transport.cut, s.transport.began)
	}
}

// check reports an answer that is neither that of an upstream nor a prompt refusal, and a refusal of a
// request that certainly would have been answered in time.
func (a stopAnswer) check(t *testing.T, work time.Duration) {
	t.Helper()
	fits := a.after < linger && a.after+work+work/10 < stopGrace-killMargin
	switch {
	case a.status == http.StatusOK:
	case a.status != http.StatusServiceUnavailable || a.header.Get(verdict.Header) != verdict.NotRun.String() || a.header.Get("Retry-After") == "":
		t.Errorf("sent %v after the stop: status %d, %v", a.after, a.status, a.header)
	case a.took > 0:
		t.Errorf("sent %v after the stop: refused after %v", a.after, a.took)
	case fits:
		t.Errorf("sent %v after the stop: refused, though its answer would have come in time", a.after)
	}
}

// TestStoppingNodeCountsTheWait guards against requests that a stopping node passes on to an upstream with
// requests in front of them, whose work ends too late.
func TestStoppingNodeCountsTheWait(t *testing.T) {
	const work = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newStopTrial(t, 2)
		s.learn(work)
		s.stop()
		for range 25 {
			s.send(nil)
			time.Sleep(100 * time.Millisecond)
		}
		s.wg.Wait()
		s.checkNothingCut()
		served := 0
		for _, a := range s.answers {
			a.check(t, time.Hour)
			if a.status == http.StatusOK {
				served++
			}
		}
		if served < 4 {
			t.Errorf("%d requests were served, want the four that fit", served)
		}
	})
}

// TestStoppingNodeWaitsForUploads guards against uploads that a stopping node passes on as they come,
// and that are complete only when too little time is left for the work.
func TestStoppingNodeWaitsForUploads(t *testing.T) {
	const work = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		s := newStopTrial(t, 100)
		s.learn(work)
		s.stop()
		for _, upload := range []time.Duration{200 * time.Millisecond, 3 * time.Second, 4500 * time.Millisecond} {
			in, out := io.Pipe()
			s.wg.Go(func() {
				_, _ = out.Write([]byte("first"))
				time.Sleep(upload)
				_, _ = out.Write([]byte("last"))
				_ = out.Close()
			})
			s.send(in)
		}
		s.wg.Wait()
		s.checkNothingCut()
		served := 0
		for _, a := range s.answers {
			if a.status == http.StatusOK {
				served++
			} else if a.header.Get(verdict.Header) != verdict.NotRun.String() {
				t.Errorf("answered after %v: status %d, %v", a.took, a.status, a.header)
			}
		}
		if served != 2 {
			t.Errorf("%d uploads were served, want the two that fit", served)
		}
	})
}
