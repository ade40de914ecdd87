package forward

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/model"
)

// The tests in this file guard second sends: within the retry budget and the attempts of a route, only
// for requests that may run twice, and without blame for the upstream that was cancelled.

const (
	usualWork = 20 * time.Millisecond
	tailWork  = 2 * time.Second
)

// hedgeFixture is an entry with two upstreams, of which first comes first for the object /x.
type hedgeFixture struct {
	*entry
	first, second *fakeUpstream
	ids           map[*fakeUpstream]string
}

// newHedgeFixture returns an entry that has learnt that one run in five takes a hundred times as long.
func newHedgeFixture(t *testing.T, change func(*model.Route)) *hedgeFixture {
	fakes := []*fakeUpstream{newFakeUpstream(t), newFakeUpstream(t)}
	route := &model.Route{
		Name: "r", Idempotent: true, Attempts: 2, Timeout: 5 * time.Second, Objective: 150 * time.Millisecond, Affinity: true,
		Services: []model.WeightedService{{Service: "orders", Weight: 1}},
	}
	change(route)
	e := newRoutedEntry(t, 1, route, fakes)
	f := &hedgeFixture{entry: e, first: fakes[0], second: fakes[1], ids: map[*fakeUpstream]string{fakes[0]: "u0", fakes[1]: "u1"}}
	first := f.learn(t, nil)
	f.learn(t, []string{first})
	if first == "u1" {
		f.first, f.second = f.second, f.first
	}
	return f
}

// learn reports runs for the object /x at the first upstream that was not tried, and returns its ID.
func (f *hedgeFixture) learn(t *testing.T, tried []string) string {
	t.Helper()
	b := f.balancer()
	id := ""
	for i := range 20 {
		now := time.Now()
		c, err := b.PickObject(now, balance.ObjectRequest{Object: balance.HashObject("r", "/x"), Class: "r", Tried: tried})
		if err != nil {
			t.Fatal(err)
		}
		a := balance.NoAnnouncement()
		a.Load = 0
		b.Observe(now, c, a)
		took := usualWork
		if i%5 == 4 {
			took = tailWork
		}
		b.Done(now.Add(took), c, balance.DoneInfo{Result: balance.OK})
		id = c.ID
	}
	return id
}

func (f *hedgeFixture) balancer() *balance.Balancer { return f.serviceState("orders").balancer }

func (f *hedgeFixture) counts() HedgeCounts { return f.HedgeCounts()["orders"] }

// status returns the state of an upstream.
func (f *hedgeFixture) status(t *testing.T, of *fakeUpstream) balance.Status {
	t.Helper()
	for _, s := range f.Dump()["orders"].Upstreams {
		if s.ID == f.ids[of] {
			return s
		}
	}
	t.Fatal("upstream not found")
	return balance.Status{}
}

func (f *hedgeFixture) expectRuns(t *testing.T, first, second int) {
	t.Helper()
	if got := len(f.first.received()); got != first {
		t.Errorf("%d runs at the first upstream, want %d", got, first)
	}
	if got := len(f.second.received()); got != second {
		t.Errorf("%d runs at the second upstream, want %d", got, second)
	}
}

func (f *hedgeFixture) expectIdle(t *testing.T) {
	t.Helper()
	for _, u := range []*fakeUpstream{f.first, f.second} {
		if s := f.status(t, u); s.InFlight != 0 {
			t.Errorf("%d requests in flight at %s", s.InFlight, s.ID)
		}
	}
}

func unchanged(*model.Route) {}

// longObjective leaves a second answer enough time even if the process does not run for a second.
func longObjective(r *model.Route) { r.Objective = 1500 * time.Millisecond }

func TestSecondUpstreamAnswersForOneThatHangs(t *testing.T) {
	f := newHedgeFixture(t, longObjective)
	f.first.next = []behaviour{hangs}
	got := f.send(t, http.MethodGet, "/x", "", header.RequestID, "q")
	if got.status != http.StatusOK || got.body != "answer to q" {
		t.Errorf("status %d: %s", got.status, got.body)
	}
	f.expectRuns(t, 1, 1)
	select {
	case <-f.first.clientClosed:
	case <-time.After(time.Second):
		t.Error("the connection to the upstream that hangs is still open")
	}
	f.expectIdle(t)
	if s := f.status(t, f.first); s.Failures != 0 || s.Ejected {
		t.Errorf("the cancelled upstream counts as failed: %+v", s)
	}
	if p := f.PoisonStatus(); p.Remembered != 0 {
		t.Errorf("the cancelled attempt counts as a crash: %+v", p)
	}
	if r := f.ReachStatus(); r.Failures != 0 || r.Isolated {
		t.Errorf("the cancelled attempt counts as unreachable: %+v", r)
	}
	if c := f.counts(); c != (HedgeCounts{Sent: 1, Won: 1}) {
		t.Errorf("counts %+v", c)
	}
}

// TestNoSecondSend checks the requests that wait for the first upstream, whose deadline then passes.
func TestNoSecondSend(t *testing.T) {
	for name, tt := range map[string]struct {
		change func(*model.Route)
		body   string
		spend  bool
		want   HedgeCounts
	}{
		"not idempotent":     {change: func(r *model.Route) { r.Idempotent = false }},
		"only one attempt":   {change: func(r *model.Route) { r.Attempts = 1 }},
		"with a body":        {change: unchanged, body: "half read"},
		"without budget":     {change: unchanged, spend: true, want: HedgeCounts{NoBudget: 1}},
		"too late to matter": {change: func(r *model.Route) { r.Objective = 30 * time.Millisecond }},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgeFixture(t, func(r *model.Route) {
				r.Timeout = 300 * time.Millisecond
				tt.change(r)
			})
			for budget := f.serviceState("orders").budget; tt.spend && budget.TryWithdraw(); {
			}
			f.first.next = []behaviour{hangs}
			method := http.MethodGet
			if tt.body != "" {
				method = http.MethodPost
			}
			if got := f.send(t, method, "/x", tt.body, header.RequestID, "q"); got.status != http.StatusGatewayTimeout {
				t.Errorf("status %d: %s", got.status, got.body)
			}
			f.expectRuns(t, 1, 0)
			if c := f.counts(); c != tt.want {
				t.Errorf("counts %+v, want %+v", c, tt.want)
			}
		})
	}
}

// TestSecondSendsStayWithinTheRetryBudget lets the first upstream hang on every request.
func TestSecondSendsStayWithinTheRetryBudget(t *testing.T) {
	const requests = 40
	f := newHedgeFixture(t, func(r *model.Route) { r.Timeout = 100 * time.Millisecond })
	f.first.always = hangs
	for range requests {
		f.send(t, http.MethodGet, "/x", "", header.RequestID, "q")
	}
	arrivals := len(f.first.received()) + len(f.second.received())
	if bound := 0.2*requests + 12; float64(arrivals-requests) > bound {
		t.Errorf("%d arrivals for %d requests, want at most %.0f more", arrivals, requests, bound)
	}
	if f.counts().Sent == 0 {
		t.Error("no second send")
	}
}

// TestBothFail lets the second upstream fail after the first one hung, and the first one after that.
func TestBothFail(t *testing.T) {
	for name, second := range map[string]behaviour{"breaks off": closesAfterRead, "truncates": truncates, "sheds": sheds} {
		t.Run(name, func(t *testing.T) {
			f := newHedgeFixture(t, func(r *model.Route) { r.Timeout = 300 * time.Millisecond })
			f.first.next, f.second.next = []behaviour{hangs}, []behaviour{second}
			got := f.send(t, http.MethodGet, "/x", "", header.RequestID, "q")
			if got.status < http.StatusInternalServerError {
				t.Errorf("status %d: %s", got.status, got.body)
			}
			if n := len(f.first.received()) + len(f.second.received()); n > 2 {
				t.Errorf("%d runs, want at most 2", n)
			}
			f.expectIdle(t)
		})
	}
}

// TestCallerLeavesDuringSecondSend lets both upstreams hang until the caller has left.
func TestCallerLeavesDuringSecondSend(t *testing.T) {
	f := newHedgeFixture(t, longObjective)
	f.first.always, f.second.always = hangs, hangs
	ctx, leave := context.WithTimeout(t.Context(), 4*time.Second)
	defer leave()
	go func() {
		for ctx.Err() == nil && (len(f.first.received()) == 0 || len(f.second.received()) == 0) {
			time.Sleep(time.Millisecond)
		}
		leave()
	}()
	req := httptest.NewRequestWithContext(ctx, http.MethodGet, "/x", nil)
	f.ServeHTTP(httptest.NewRecorder(), req)
	for _, u := range []*fakeUpstream{f.first, f.second} {
		select {
		case <-u.clientClosed:
		case <-time.After(time.Second):
			t.Error("an upstream still has an open connection")
		}
	}
	f.expectIdle(t)
}

// TestBothAnswer lets both upstreams answer at about the same moment, many times.
func TestBothAnswer(t *testing.T) {
	f := newHedgeFixture(t, func(r *model.Route) { r.Timeout = time.Second })
	f.first.always, f.second.always = respondsLate, responds
	budget := f.serviceState("orders").budget
	for range 20 {
		budget.Deposit(10)
		if got := f.send(t, http.MethodGet, "/x", "", header.RequestID, "q"); got.status != http.StatusOK || got.body != "answer to q" {
			t.Errorf("status %d: %s", got.status, got.body)
		}
	}
	f.expectIdle(t)
	if f.counts().Sent == 0 {
		t.Error("no second send")
	}
	for _, u := range []*fakeUpstream{f.first, f.second} {
		if s := f.status(t, u); s.Failures != 0 {
			t.Errorf("%d failures at %s", s.Failures, s.ID)
		}
	}
}
