package forward

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// fieldRefused is the reason of an upstream of an eventFixture that does not run a request.
const fieldRefused = "X-Refused"

// refusableRoutes is the protocol of an eventFixture. Once revoked is set, requests have no valid key
// from the second configuration on.
type refusableRoutes struct {
	configRoutes
	revoked *atomic.Bool
}

// ParseRequest implements Protocol.
func (p refusableRoutes) ParseRequest(r *http.Request, snap *model.Snapshot) (RequestInfo, *RequestError) {
	if p.revoked.Load() && snap.Revision > 1 {
		return RequestInfo{}, &RequestError{Status: http.StatusUnauthorized, Reason: ReasonUnknownKey}
	}
	return p.configRoutes.ParseRequest(r, snap)
}

// ParseResponse implements Protocol.
func (p refusableRoutes) ParseResponse(resp *http.Response, info *RequestInfo, svc *model.Service) ResponseInfo {
	out := p.configRoutes.ParseResponse(resp, info, svc)
	out.NotRunReason = resp.Header.Get(fieldRefused)
	return out
}

// eventFixture is an entry in front of three upstreams. An event happens while the first of them has
// the request.
type eventFixture struct {
	*entry
	t        *testing.T
	callers  *httptest.Server
	in       model.RoutedInput
	revoked  atomic.Bool
	outcomes chan Outcome
	// peerMayRun is set if the first answer of the only peer does not say that it has not run the request.
	peerMayRun bool
	event      func(*eventFixture)

	mu sync.Mutex
	// answers is what the upstreams do in turn; the last is repeated. ran is the number of times
	// that they ran the request.
	answers []string
	ran     int
}

const eventID = "id-1"

func newEventFixture(t *testing.T, idempotent bool, event eventCase, answers ...string) *eventFixture {
	f := &eventFixture{t: t, outcomes: make(chan Outcome, 1), event: event.happen, answers: answers}
	var peers Peers
	if len(event.peer) > 0 {
		f.peerMayRun = !strings.Contains(event.peer[0], verdict.NotRun.String())
		peers = Peers{Usable: []model.Member{peerOf("n1", newScriptedPeer(t, event.peer...))}, InRegion: 2}
	}
	proxy := New(Options{
		Self: "n0", MaxInFlight: 100, Now: time.Now, Protocol: refusableRoutes{revoked: &f.revoked}, CapShares: share.NewLimiter(), Domain: "a",
		BootClock: func() int64 { return 0 }, NewID: func() string { return "own" }, Peers: func() Peers { return peers },
		Observe: func(o Outcome) { f.outcomes <- o },
	})
	f.in = model.RoutedInput{
		Region: "muscat", RetryBudget: 1, RetryBurst: 100,
		Members: []model.Member{{ID: "n0", Region: "muscat", State: membership.Alive}},
	}
	for i := range 3 {
		up := httptest.NewServer(http.HandlerFunc(f.serveUpstream))
		t.Cleanup(up.Close)
		f.in.Upstreams = append(f.in.Upstreams, model.Upstream{
			ID: fmt.Sprint("u", i), Service: "orders", Region: "muscat", Domain: "a", Address: up.Listener.Addr().String(), Slots: 4,
		})
	}
	srv := httptest.NewServer(proxy)
	t.Cleanup(srv.Close)
	f.entry, f.callers = &entry{proxy, srv.URL}, srv
	f.configure(1, idempotent)
	return f
}

// configure puts a configuration into force.
func (f *eventFixture) configure(version uint64, idempotent bool, regions ...string) {
	f.in.Config = &model.Config{
		Version: version, Services: map[string]model.ServiceConfig{"orders": {}},
		Routes: []*model.Route{{
			Name: "r", Host: "127.0.0.1", Prefix: "/", Attempts: 3, Timeout: time.Minute, Idempotent: idempotent,
			Services: []model.WeightedService{{Service: "orders", Weight: 1}}, Regions: regions,
		}},
	}
	f.Update(model.CompileRouted(f.in))
}

// serveUpstream handles a request at an upstream.
func (f *eventFixture) serveUpstream(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	f.mu.Lock()
	answer, event := f.answers[0], f.event
	f.answers, f.event = f.answers[min(1, len(f.answers)-1):], nil
	refuses := answer == ReasonShed || answer == ReasonReplaced
	if !refuses {
		f.ran++
	}
	f.mu.Unlock()
	if event != nil {
		event(f)
	}
	w.Header().Set(header.RequestID, r.Header.Get(header.RequestID))
	switch answer {
	case "breaks":
		panic(http.ErrAbortHandler)
	case "truncates":
		w.Header().Set("Content-Length", strconv.Itoa(100))
		_, _ = io.WriteString(w, "half")
		panic(http.ErrAbortHandler)
	case "fails":
		w.WriteHeader(http.StatusInternalServerError)
	case ReasonShed, ReasonReplaced:
		w.Header().Set(fieldRefused, answer)
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// eventCase is an event between the attempts of a request. peer are the answers of the only peer.
type eventCase struct {
	happen func(*eventFixture)
	peer   []string
}

// eventCases are the events by name.
func eventCases() map[string]eventCase {
	notRun, mayHaveRun := verdict.NotRun.String(), verdict.MayHaveRun.String()
	isolates := func(f *eventFixture) { isolate(f.t, f.entry) }
	return map[string]eventCase{
		"nothing":        {happen: func(*eventFixture) {}},
		"stop":           {happen: func(f *eventFixture) { f.Stop() }},
		"expiry":         {happen: func(f *eventFixture) { f.ExpireRequests() }},
		"suspension":     {happen: func(f *eventFixture) { f.deadlines.expire(time.Now().Add(time.Hour)) }},
		"configuration":  {happen: func(f *eventFixture) { f.configure(2, f.Snapshot().Routes.Match("127.0.0.1", "/x").Idempotent) }},
		"no region left": {happen: func(f *eventFixture) { f.configure(2, true, "sohar") }},
		"revoked key": {happen: func(f *eventFixture) {
			f.revoked.Store(true)
			f.configure(2, true)
		}},
		"no upstream left": {happen: func(f *eventFixture) {
			f.in.Upstreams = nil
			f.configure(2, true)
		}},
		"no retries left": {happen: func(f *eventFixture) {
			for f.serviceState("orders").budget.TryWithdraw() {
			}
		}},
		"isolation":                      {happen: isolates},
		"isolation, peer is isolated":    {isolates, []string{peerAnswer(503, eventID, notRun, notRun, reasonIsolated)}},
		"isolation, peer refuses":        {isolates, []string{peerAnswer(429, eventID, notRun, notRun, reasonOverOrganisationLimit)}},
		"isolation, peer may have run":   {isolates, []string{peerAnswer(503, eventID, mayHaveRun, mayHaveRun, reasonBroken)}},
		"isolation, peer breaks off":     {isolates, []string{""}},
		"isolation, peer breaks, leaves": {isolates, []string{"", peerAnswer(503, eventID, notRun, notRun, reasonLeaving)}},
	}
}

// TestVerdictsOfAllAttemptsDecide guards against promises that forget an attempt: one that may have run,
// followed by an event and by attempts that were refused or never made.
func TestVerdictsOfAllAttemptsDecide(t *testing.T) {
	firsts := []string{ReasonShed, ReasonReplaced, "breaks", "truncates"}
	seconds := []string{ReasonShed, ReasonReplaced, "breaks", "fails", "runs"}
	for name, event := range eventCases() {
		for _, first := range firsts {
			for _, second := range seconds {
				for _, idempotent := range []bool{false, true} {
					t.Run(fmt.Sprintf("%s, %s, %s, idempotent %t", first, name, second, idempotent), func(t *testing.T) {
						newEventFixture(t, idempotent, event, first, second, ReasonShed).check(t, idempotent)
					})
				}
			}
		}
	}
}

// check sends the request, and checks what its caller was told.
func (f *eventFixture) check(t *testing.T, idempotent bool) {
	t.Helper()
	a := f.send(t, http.MethodPost, "/x", "body", header.RequestID, eventID)
	out := <-f.outcomes
	f.mu.Lock()
	defer f.mu.Unlock()
	ran := f.ran
	if f.HandoverStatus().Sent > 0 && f.peerMayRun {
		ran++
	}
	if (ImpliesNotRun(a.status) || out.Verdict == verdict.NotRun) && ran > 0 {
		t.Errorf("status %d, verdict %v (%s), but it ran %d times", a.status, out.Verdict, out.Reason, ran)
	}
	if !idempotent && ran > 1 {
		t.Errorf("it ran %d times", ran)
	}
}

// TestHandedOverVerdictsAreTrue guards against promises of an entry that rest on what a real peer says to
// which an event happens while its upstream has the request.
func TestHandedOverVerdictsAreTrue(t *testing.T) {
	events := eventCases()
	events["killed"] = eventCase{happen: func(f *eventFixture) { go f.callers.CloseClientConnections() }}
	events["killed, and isolated before"] = eventCase{happen: func(f *eventFixture) {
		isolate(f.t, f.entry)
		go f.callers.CloseClientConnections()
	}}
	for name, event := range events {
		for _, first := range []string{ReasonShed, ReasonReplaced, "breaks", "truncates", "fails", "runs"} {
			for _, second := range []string{ReasonShed, "breaks", "runs"} {
				t.Run(fmt.Sprintf("%s, %s, %s", first, name, second), func(t *testing.T) {
					f := newEventFixture(t, false, event, first, second, ReasonShed)
					e, _ := newIsolatedEntry(t, peerOf("n0", f.url))
					a := e.send(t, http.MethodPost, "/x", "body", header.RequestID, eventID, header.Repeat, "unsafe")
					<-f.outcomes
					f.mu.Lock()
					defer f.mu.Unlock()
					if a.isPromise(t) && f.ran > 0 || f.ran > 1 {
						t.Errorf("status %d, %s, but it ran %d times", a.status, a.body, f.ran)
					}
				})
			}
		}
	}
}
