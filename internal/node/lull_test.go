package node

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/view"
)

// blockingTransport answers every request with 200. CloseIdle, which the proxy calls while it puts a
// snapshot in force, waits for release after it has signalled called.
type blockingTransport struct{ called, release chan struct{} }

// RoundTrip implements http.RoundTripper.
func (t *blockingTransport) RoundTrip(r *http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("")), Request: r}, nil
}

// CloseIdle closes the idle connections to an upstream that has restarted.
func (t *blockingTransport) CloseIdle(string) {
	t.called <- struct{}{}
	<-t.release
}

// TestRequestsBehindTheFirstAfterALullSeeTheChange guards against requests that are served by the
// configuration before a lull, while the first request after it compiles the present one.
func TestRequestsBehindTheFirstAfterALullSeeTheChange(t *testing.T) {
	var elapsed atomic.Int64
	start := time.Now()
	now := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	transport := &blockingTransport{make(chan struct{}), make(chan struct{})}
	self := model.Member{ID: "n0", Region: "r0", Domain: "d0", State: membership.Alive, Entry: "10.0.0.1:80", Agent: "10.0.0.1:7200"}
	n := New(view.Options{Self: self, Regions: map[string]string{"d0": "r0"}}, forward.Options{Self: self.ID, Domain: self.Domain, MaxInFlight: 10, Now: now, Transport: transport, Protocol: routedProtocol{}})
	// put applies a version of the configuration with some services, each with one upstream, whose
	// incarnation is that version.
	put := func(version int, services ...string) {
		n.Apply(func(v *view.View, _ time.Time) {
			config := &model.Config{Version: uint64(version), Services: make(map[string]model.ServiceConfig)}
			for _, s := range services {
				config.Services[s] = model.ServiceConfig{}
				config.Routes = append(config.Routes, &model.Route{Name: s, Host: "a.example", Prefix: "/" + s, Services: []model.WeightedService{{Service: s, Weight: 1}}, Attempts: 1, Timeout: time.Minute})
				v.PutUpstream(model.Upstream{ID: "u-" + s, Service: s, Region: "r0", Domain: "d0", Address: "10.0.1.1:80", Slots: 9, StartedAt: int64(version)})
			}
			v.SetConfig(config)
		})
	}
	send := func(service string) int {
		r := httptest.NewRequest(http.MethodGet, "http://a.example/"+service, nil)
		w := httptest.NewRecorder()
		n.Handler().ServeHTTP(w, r)
		return w.Code
	}
	put(1, "s1")
	n.MarkSynced()
	if got := send("s1"); got != http.StatusOK {
		t.Fatalf("before the lull: status %d", got)
	}
	elapsed.Add(int64(quietAfter))
	put(2, "s1", "s2")
	answers := make(chan int, 2)
	go func() { answers <- send("s2") }()
	<-transport.called
	go func() { answers <- send("s2") }()
	select {
	case got := <-answers:
		t.Errorf("a request is answered with status %d before the present configuration is in force", got)
		answers <- got
	case <-time.After(100 * time.Millisecond):
	}
	close(transport.release)
	for range cap(answers) {
		if got := <-answers; got != http.StatusOK {
			t.Errorf("a request for a service of the present configuration is answered with status %d", got)
		}
	}
}
