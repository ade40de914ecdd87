package node

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/pipeline"
	"github.com/loomkeel/loomkeel/internal/view"
)

// slowTransport answers every request at once, except those to /long, which it does not answer.
type slowTransport struct {
	mu   sync.Mutex
	sent []string
}

// RoundTrip implements http.RoundTripper.
func (t *slowTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	t.mu.Lock()
	t.sent = append(t.sent, r.URL.Path)
	t.mu.Unlock()
	if r.URL.Path == "/long" {
		<-r.Context().Done()
		return nil, r.Context().Err()
	}
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

// passedOn returns the paths of the requests that were sent to an upstream.
func (t *slowTransport) passedOn() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Clone(t.sent)
}

// TestStoppingNodeAnswersWhatItPassesOn guards against requests that a stopping node passes on behind
// one that it can not answer before its process ends, so that their answers are lost with it.
func TestStoppingNodeAnswersWhatItPassesOn(t *testing.T) {
	const grace = 1200 * time.Millisecond
	for _, sentFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("sent before the stop %v", sentFirst), func(t *testing.T) {
			transport := new(slowTransport)
			n, callers, addr := serveForStop(t, transport)
			c, err := net.Dial("tcp", addr)
			if err != nil {
				t.Fatal(err)
			}
			defer c.Close()
			paths := []string{"/long", "/a", "/b", "/c"}
			send := func() {
				for _, path := range paths {
					fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a.example\r\n\r\n", path)
				}
			}
			if sentFirst {
				send()
				for len(transport.passedOn()) < len(paths) {
					time.Sleep(time.Millisecond)
				}
			}
			began := time.Now()
			stopped := make(chan time.Duration, 1)
			go func() {
				n.Stop(grace, callers)
				stopped <- time.Since(began)
				c.Close()
			}()
			for !n.stopping.Load() {
				time.Sleep(time.Millisecond)
			}
			if !sentFirst {
				time.Sleep(grace / 4)
				send()
			}
			in := bufio.NewReader(c)
			var answered []string
			for _, path := range paths {
				resp, err := http.ReadResponse(in, nil)
				if err != nil {
					break
				}
				_, _ = io.Copy(io.Discard, resp.Body)
				answered = append(answered, path)
			}
			if passed := transport.passedOn(); len(answered) < len(passed) {
				t.Errorf("passed on %v, answered %v", passed, answered)
			}
			if took := <-stopped; took >= grace {
				t.Errorf("the stop took %v, the process is killed after %v", took, grace)
			}
		})
	}
}

// serveForStop returns a node that sends all requests by a transport, and the server of callers'
// requests with its address.
func serveForStop(t *testing.T, transport http.RoundTripper) (*Node, Drainer, string) {
	t.Helper()
	n := newStopNode(transport, routedProtocol{}, 9)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := &http.Server{Handler: n.Handler()}
	callers, wrapped := pipeline.Install(srv, l)
	go func() { _ = srv.Serve(wrapped) }()
	t.Cleanup(func() { srv.Close() })
	return n, callers, l.Addr().String()
}

// newStopNode returns a node that sends all requests to one upstream by a transport.
func newStopNode(transport http.RoundTripper, protocol forward.Protocol, slots int) *Node {
	self := model.Member{ID: "n0", Region: "r0", Domain: "d0", State: membership.Alive, Entry: "10.0.0.1:80", Agent: "10.0.0.1:7200"}
	n := New(view.Options{Self: self, Regions: map[string]string{"d0": "r0"}}, forward.Options{
		Self: self.ID, Domain: self.Domain, MaxInFlight: 100, Now: time.Now, Transport: transport, Protocol: protocol,
		NewID: func() string { return "own" }, Observe: func(forward.Outcome) {},
	})
	n.Apply(func(v *view.View, _ time.Time) {
		v.SetConfig(&model.Config{
			Version: 1, Services: map[string]model.ServiceConfig{"s": {}},
			Routes: []*model.Route{{Name: "r", Host: "a.example", Prefix: "/", Services: []model.WeightedService{{Service: "s", Weight: 1}}, Attempts: 1, Timeout: time.Minute}},
		})
		v.PutUpstream(model.Upstream{ID: "u", Service: "s", Region: "r0", Domain: "d0", Address: "10.0.1.1:80", Slots: slots})
	})
	n.MarkSynced()
	return n
}
