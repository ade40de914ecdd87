// Package sessions plays whole sessions of callers, operators, the platform and
// upstreams in virtual time and compares what each saw with golden files.
package sessions

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/header"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/share"
	"github.com/loomkeel/loomkeel/internal/standin"
	"github.com/loomkeel/loomkeel/internal/tree"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// inForce is how long an accepted change takes to every entry in these sessions.
const inForce = 100 * time.Millisecond

// upstream is a back end of a session.
type upstream struct {
	model.Upstream
	work time.Duration
	// dies closes after reading, cuts in the middle of the answer, frozenLoad
	// reports to be idle, down refuses connections, slow multiplies the work.
	dies, cuts, frozenLoad, down bool
	slow                         int
	inFlight, ran, peak          int
}

// world is the surroundings of one session.
type world struct {
	t     *testing.T
	began time.Time

	mu        sync.Mutex
	text      strings.Builder
	upstreams map[string]*upstream
	runs      map[string]int
	// latency is that between regions, one way; cut regions cannot be reached.
	latency time.Duration
	cut     map[string]bool

	store     *standin.Store
	log       *configlog.Log
	committer *configlog.Committer
	regions   []string
	entries   map[string]*forward.Proxy
	books     map[string]*share.Limiter
	seed      uint64
	changes   int
}

// play runs a session and compares its record with the golden file.
func play(t *testing.T, name string, regions []string, latency time.Duration, scene func(w *world)) {
	var text string
	synctest.Test(t, func(t *testing.T) {
		w := &world{
			t: t, began: time.Now(), latency: latency, regions: regions,
			upstreams: make(map[string]*upstream), runs: make(map[string]int), cut: make(map[string]bool),
			store: standin.NewStore(), log: configlog.NewLog(),
			entries: make(map[string]*forward.Proxy), books: make(map[string]*share.Limiter),
		}
		w.committer = configlog.NewCommitter(w.store, w.log, time.Now)
		for _, r := range regions {
			w.addEntry(r)
		}
		scene(w)
		synctest.Wait()
		w.summary()
		text = w.text.String()
	})
	goldie.New(t).Assert(t, name, []byte(text))
}

func (w *world) addEntry(region string) {
	book := share.NewLimiter()
	w.books[region] = book
	w.entries[region] = forward.New(forward.Options{
		Self:        "entry-" + region,
		MaxInFlight: 1000,
		Transport:   transport{w, region},
		Now:         time.Now,
		Rand:        func() *rand.Rand { w.seed++; return rand.New(rand.NewPCG(w.seed, 7)) },
		CapShares:   book,
		BootClock:   func() int64 { return time.Now().UnixNano() },
		NewID:       func() string { return "id" },
		Observe:     func(forward.Outcome) {},
	})
}

// group adds upstreams of a service to a failure domain.
func (w *world) group(service, region, domain string, n, slots int, work time.Duration) {
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", service, domain, i+1)
		w.upstreams[id] = &upstream{work: work, slow: 1, Upstream: model.Upstream{
			ID: id, Service: service, Region: region, Domain: domain, Address: id, Slots: slots,
		}}
	}
}

// publish gives every entry the newest state.
func (w *world) publish() {
	revision, t, _ := w.log.Current()
	var list model.Directory
	w.mu.Lock()
	for _, u := range w.upstreams {
		list.Upstreams = append(list.Upstreams, u.Upstream)
	}
	w.mu.Unlock()
	slices.SortFunc(list.Upstreams, func(a, b model.Upstream) int { return strings.Compare(a.ID, b.ID) })
	for _, region := range w.regions {
		in := model.Input{Region: region, Revision: revision, Tree: t, Directory: list}
		for _, r := range w.regions {
			in.Members = append(in.Members, membership.Member{ID: "entry-" + r, State: membership.Alive, Region: r, Entry: "entry-" + r})
		}
		w.entries[region].Update(model.Compile(in))
	}
}

// say writes a line with the virtual time.
func (w *world) say(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	at := time.Since(w.began)
	fmt.Fprintf(&w.text, "%8.3fs  %s\n", at.Seconds(), fmt.Sprintf(format, args...))
}

// operator has edits accepted as one change, in force after a moment. An edit is
// "PATH KEY=VALUE".
func (w *world) operator(who string, edits ...string) {
	w.changes++
	c := configlog.Change{ID: fmt.Sprint("change-", w.changes), Author: who}
	for _, e := range edits {
		path, rest, _ := strings.Cut(e, " ")
		key, value, _ := strings.Cut(rest, "=")
		c.Edits = append(c.Edits, tree.Edit{Path: path, Key: key, Value: value, Unset: value == ""})
	}
	ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
	defer cancel()
	r := w.committer.Commit(ctx, c)
	what := strings.Join(edits, ", ")
	if r.Outcome == configlog.Refused {
		w.say("operator %s: %s: refused (%s): %s", who, what, r.Refusal.Kind, r.Refusal.Faults[0])
		return
	}
	w.say("operator %s: %s: %s at revision %d", who, what, r.Outcome, r.Revision)
	time.AfterFunc(inForce, w.publish)
}

// at returns a time of the session as an operator writes it.
func (w *world) at(d time.Duration) string { return w.began.Add(d).UTC().Format(time.RFC3339) }

// request is what a caller sends.
type request struct {
	caller, region, service, method, path, repeat string
	deadline                                      time.Duration
}

// send sends a request to a region's entry and says what the caller was told.
func (w *world) send(r request) {
	start := time.Now()
	a := w.ask(r)
	w.say("caller %s: %s %s %s at entry-%s: %s after %v", r.caller, r.method, r.service, r.path, r.region, a.describe(), time.Since(start).Round(time.Millisecond))
}

// told is what a caller got.
type told struct {
	status  int
	verdict verdict.Verdict
	reason  string
	from    string
	retry   string
	aborted bool
}

func (a told) describe() string {
	switch {
	case a.aborted:
		return "connection aborted in the middle of the answer"
	case a.from != "":
		return fmt.Sprintf("%d from %s", a.status, a.from)
	}
	return fmt.Sprintf("%d %s, %s, come back after %s s", a.status, a.reason, a.verdict, a.retry)
}

func (w *world) ask(r request) (a told) {
	defer func() {
		if p := recover(); p != nil {
			a = told{aborted: true, verdict: verdict.MayHaveRun}
		}
	}()
	req := httptest.NewRequest(r.method, "http://entry"+r.path, strings.NewReader("body of "+r.caller))
	req.Header.Set(header.Service, r.service)
	req.Header.Set(header.RequestID, r.caller)
	if r.repeat != "" {
		req.Header.Set(header.Repeat, r.repeat)
	}
	if r.deadline > 0 {
		req.Header.Set(header.Deadline, fmt.Sprint(r.deadline.Milliseconds()))
	}
	rec := httptest.NewRecorder()
	w.entries[r.region].ServeHTTP(rec, req)
	a = told{status: rec.Code, verdict: verdict.Ran, from: rec.Header().Get("From"), retry: rec.Header().Get("Retry-After")}
	if v := rec.Header().Get(verdict.Header); v != "" {
		a.verdict, _ = verdict.Parse(v)
		_, rest, _ := strings.Cut(rec.Body.String(), `"reason":"`)
		a.reason, _, _ = strings.Cut(rest, `"`)
	}
	return a
}

// rush sends n requests, one each gap, and says in sum what callers were told.
func (w *world) rush(name string, n int, gap time.Duration, r request) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	ends := make(map[string]int)
	var took []time.Duration
	for i := range n {
		one := r
		one.caller = fmt.Sprintf("%s-%d", name, i)
		wg.Go(func() {
			start := time.Now()
			a := w.ask(one)
			mu.Lock()
			defer mu.Unlock()
			took = append(took, time.Since(start))
			ends[w.place(a)]++
		})
		time.Sleep(gap)
	}
	wg.Wait()
	slices.Sort(took)
	keys := make([]string, 0, len(ends))
	for k := range ends {
		keys = append(keys, fmt.Sprintf("%s %d", k, ends[k]))
	}
	slices.Sort(keys)
	w.say("%d callers %s: %s; p50 %v p99 %v", n, name, strings.Join(keys, ", "),
		took[n/2].Round(time.Millisecond), took[n*99/100].Round(time.Millisecond))
}

// place names where an answer came from, or why there was none.
func (w *world) place(a told) string {
	if a.from != "" {
		w.mu.Lock()
		defer w.mu.Unlock()
		return "answered in " + w.upstreams[a.from].Region
	}
	return fmt.Sprintf("%s (%s)", a.reason, a.verdict)
}

// summary says what upstreams ran more than once, and how full they got.
func (w *world) summary() {
	var twice []string
	for id, n := range w.runs {
		if n > 1 {
			twice = append(twice, fmt.Sprintf("%s %d times", id, n))
		}
	}
	slices.Sort(twice)
	if len(twice) > 0 {
		w.say("ran more than once: %s", strings.Join(twice, ", "))
	}
	var used []string
	for id, u := range w.upstreams {
		if u.ran > 0 {
			used = append(used, fmt.Sprintf("%s ran %d, peak %d of %d slots", id, u.ran, u.peak, u.Slots))
		}
	}
	slices.Sort(used)
	for _, line := range used {
		w.say("upstream %s", line)
	}
}

// transport carries an entry's requests to the session's upstreams.
type transport struct {
	w    *world
	from string
}

var errRefused = errors.New("connection refused")

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := t.w
	w.mu.Lock()
	u := w.upstreams[r.URL.Host]
	far, lost := u.Region != t.from, u.down || w.cut[u.Region] != w.cut[t.from]
	w.mu.Unlock()
	if lost {
		return nil, errRefused
	}
	if far {
		time.Sleep(w.latency)
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	body, _ := io.ReadAll(r.Body)
	if !u.enter(w) {
		return t.answer(r, u, http.StatusTooManyRequests, nil), nil
	}
	defer u.leave(w)
	select {
	case <-time.After(u.work * time.Duration(u.slow)):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	w.ranOnce(u, r.Header.Get(header.RequestID))
	if far {
		time.Sleep(w.latency)
	}
	if u.dies {
		return nil, io.ErrUnexpectedEOF
	}
	return t.answer(r, u, http.StatusOK, body), nil
}

func (u *upstream) enter(w *world) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.inFlight >= u.Slots {
		return false
	}
	u.inFlight++
	u.peak = max(u.peak, u.inFlight)
	return true
}

func (u *upstream) leave(w *world) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u.inFlight--
}

func (w *world) ranOnce(u *upstream, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u.ran++
	w.runs[id]++
}

func (t transport) answer(r *http.Request, u *upstream, status int, body []byte) *http.Response {
	h := http.Header{"From": {u.ID}}
	t.w.mu.Lock()
	if !u.frozenLoad {
		h.Set(header.Load, fmt.Sprint(u.inFlight))
	} else {
		h.Set(header.Load, "0")
	}
	t.w.mu.Unlock()
	var reader io.Reader = strings.NewReader(string(body))
	if u.cuts {
		reader = io.MultiReader(strings.NewReader(string(body[:len(body)/2])), broken{})
	}
	return &http.Response{
		Status: http.StatusText(status), StatusCode: status, Header: h, Request: r,
		ContentLength: int64(len(body)), Body: io.NopCloser(reader),
	}
}

// broken is the end of a body that was cut.
type broken struct{}

// Read implements io.Reader.
func (broken) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
