// Package sessions runs scenarios with callers, operators, the platform and upstreams in
// virtual time, and compares the transcript of each with a golden file.
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

// propagationDelay is the time from the acceptance of a change to its being in force at
// every entry.
const propagationDelay = 100 * time.Millisecond

// upstream is a simulated upstream.
type upstream struct {
	model.Upstream
	serviceTime time.Duration
	// The next fields are faults. With closesUnanswered the connection closes after a
	// request ran, with truncates in the middle of the answer. With reportsIdle the
	// upstream always reports a load of 0, with down it refuses connections. slowdown
	// multiplies the service time.
	closesUnanswered, truncates, reportsIdle, down bool
	slowdown                                       int
	// inFlight is the number of requests now, peak its maximum so far, ranCount the number
	// of requests that were run.
	inFlight, ranCount, peak int
}

// simulation is the environment of one scenario: an entry per region, upstreams, the
// platform's store, and the transcript.
type simulation struct {
	t     *testing.T
	began time.Time

	mu sync.Mutex
	// text is the transcript.
	text strings.Builder
	// upstreams holds the upstreams by ID, runs the number of runs by request ID.
	upstreams map[string]*upstream
	runs      map[string]int
	// latency is the one-way latency between two regions. A region in partitioned
	// cannot be reached from those that are not in it, and the reverse.
	latency     time.Duration
	partitioned map[string]bool

	store     *standin.Store
	log       *configlog.Log
	committer *configlog.Committer
	regions   []string
	// entries and capLimiters are by region.
	entries     map[string]*forward.Proxy
	capLimiters map[string]*share.Limiter
	// seed is that of the last random source, changes the number of changes so far.
	seed    uint64
	changes int
}

// runScenario runs a scenario in virtual time and compares its transcript with the golden
// file of that name.
func runScenario(t *testing.T, name string, regions []string, latency time.Duration, scenario func(w *simulation)) {
	var text string
	synctest.Test(t, func(t *testing.T) {
		w := &simulation{
			t: t, began: time.Now(), latency: latency, regions: regions,
			upstreams: make(map[string]*upstream), runs: make(map[string]int), partitioned: make(map[string]bool),
			store: standin.NewStore(), log: configlog.NewLog(),
			entries: make(map[string]*forward.Proxy), capLimiters: make(map[string]*share.Limiter),
		}
		w.committer = configlog.NewCommitter(w.store, w.log, time.Now)
		for _, r := range regions {
			w.addEntry(r)
		}
		scenario(w)
		synctest.Wait()
		w.logSummary()
		text = w.text.String()
	})
	goldie.New(t).Assert(t, name, []byte(text))
}

// addEntry adds the entry of a region.
func (w *simulation) addEntry(region string) {
	limiter := share.NewLimiter()
	w.capLimiters[region] = limiter
	w.entries[region] = forward.New(forward.Options{
		Self:        "entry-" + region,
		MaxInFlight: 1000,
		Transport:   transport{w, region},
		Now:         time.Now,
		Rand:        func() *rand.Rand { w.seed++; return rand.New(rand.NewPCG(w.seed, 7)) },
		CapShares:   limiter,
		BootClock:   func() int64 { return time.Now().UnixNano() },
		NewID:       func() string { return "id" },
		Observe:     func(forward.Outcome) {},
	})
}

// addUpstreams adds n upstreams of a service to a failure domain.
func (w *simulation) addUpstreams(service, region, domain string, n, slots int, serviceTime time.Duration) {
	for i := range n {
		id := fmt.Sprintf("%s-%s-%d", service, domain, i+1)
		w.upstreams[id] = &upstream{serviceTime: serviceTime, slowdown: 1, Upstream: model.Upstream{
			ID: id, Service: service, Region: region, Domain: domain, Address: id, Slots: slots,
		}}
	}
}

// publish gives every entry a snapshot of the current tree, upstreams and entries.
func (w *simulation) publish() {
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

// logf adds a line with the virtual time to the transcript.
func (w *simulation) logf(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	elapsed := time.Since(w.began)
	fmt.Fprintf(&w.text, "%8.3fs  %s\n", elapsed.Seconds(), fmt.Sprintf(format, args...))
}

// commit submits edits as one change in the name of author and logs the outcome. If it is
// accepted, it gets into force after propagationDelay. An edit is "PATH KEY=VALUE"; an
// empty value unsets the key.
func (w *simulation) commit(author string, edits ...string) {
	w.changes++
	c := configlog.Change{ID: fmt.Sprint("change-", w.changes), Author: author}
	for _, e := range edits {
		path, rest, _ := strings.Cut(e, " ")
		key, value, _ := strings.Cut(rest, "=")
		c.Edits = append(c.Edits, tree.Edit{Path: path, Key: key, Value: value, Unset: value == ""})
	}
	ctx, cancel := context.WithTimeout(w.t.Context(), time.Second)
	defer cancel()
	r := w.committer.Commit(ctx, c)
	joined := strings.Join(edits, ", ")
	if r.Outcome == configlog.Refused {
		w.logf("operator %s: %s: refused (%s): %s", author, joined, r.Refusal.Kind, r.Refusal.Faults[0])
		return
	}
	w.logf("operator %s: %s: %s at revision %d", author, joined, r.Outcome, r.Revision)
	time.AfterFunc(propagationDelay, w.publish)
}

// timestamp returns the time d after the start of the scenario as a settings value.
func (w *simulation) timestamp(d time.Duration) string {
	return w.began.Add(d).UTC().Format(time.RFC3339)
}

// request is a request of a caller. Region is that of the entry; repeat and deadline are
// sent as headers unless they are zero.
type request struct {
	caller, region, service, method, path, repeat string
	deadline                                      time.Duration
}

// send sends a request and logs its result.
func (w *simulation) send(r request) {
	start := time.Now()
	a := w.do(r)
	w.logf("caller %s: %s %s %s at entry-%s: %s after %v", r.caller, r.method, r.service, r.path, r.region, a.describe(), time.Since(start).Round(time.Millisecond))
}

// result is the answer to a request. from is the ID of the upstream that answered; if it is
// empty, reason is the entry's reason for refusing the request and retry the value of
// Retry-After. aborted is set if the connection ended in the middle of the answer.
type result struct {
	status  int
	verdict verdict.Verdict
	reason  string
	from    string
	retry   string
	aborted bool
}

// describe returns the result as the transcript shows it.
func (a result) describe() string {
	switch {
	case a.aborted:
		return "connection aborted in the middle of the answer"
	case a.from != "":
		return fmt.Sprintf("%d from %s", a.status, a.from)
	}
	return fmt.Sprintf("%d %s, %s, come back after %s s", a.status, a.reason, a.verdict, a.retry)
}

// do sends a request to the entry of its region and returns the result.
func (w *simulation) do(r request) (a result) {
	defer func() {
		if p := recover(); p != nil {
			a = result{aborted: true, verdict: verdict.MayHaveRun}
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
	a = result{status: rec.Code, verdict: verdict.Ran, from: rec.Header().Get("From"), retry: rec.Header().Get("Retry-After")}
	if v := rec.Header().Get(verdict.Header); v != "" {
		a.verdict, _ = verdict.Parse(v)
		_, rest, _ := strings.Cut(rec.Body.String(), `"reason":"`)
		a.reason, _, _ = strings.Cut(rest, `"`)
	}
	return a
}

// load sends n requests, one every gap, waits for their ends and logs the number of
// requests by result and the quantiles of their durations. Name is part of the log line
// and the prefix of the callers' names.
func (w *simulation) load(name string, n int, gap time.Duration, r request) {
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := make(map[string]int)
	var durations []time.Duration
	for i := range n {
		one := r
		one.caller = fmt.Sprintf("%s-%d", name, i)
		wg.Go(func() {
			start := time.Now()
			a := w.do(one)
			mu.Lock()
			defer mu.Unlock()
			durations = append(durations, time.Since(start))
			results[w.classify(a)]++
		})
		time.Sleep(gap)
	}
	wg.Wait()
	slices.Sort(durations)
	keys := make([]string, 0, len(results))
	for k := range results {
		keys = append(keys, fmt.Sprintf("%s %d", k, results[k]))
	}
	slices.Sort(keys)
	w.logf("%d callers %s: %s; p50 %v p99 %v", n, name, strings.Join(keys, ", "),
		durations[n/2].Round(time.Millisecond), durations[n*99/100].Round(time.Millisecond))
}

// classify returns the region that answered a request, or the reason and the verdict of
// its failure.
func (w *simulation) classify(a result) string {
	if a.from != "" {
		w.mu.Lock()
		defer w.mu.Unlock()
		return "answered in " + w.upstreams[a.from].Region
	}
	return fmt.Sprintf("%s (%s)", a.reason, a.verdict)
}

// logSummary logs the requests that ran more than once, and for each upstream that ran
// any their number and the peak of those in flight.
func (w *simulation) logSummary() {
	var twice []string
	for id, n := range w.runs {
		if n > 1 {
			twice = append(twice, fmt.Sprintf("%s %d times", id, n))
		}
	}
	slices.Sort(twice)
	if len(twice) > 0 {
		w.logf("ran more than once: %s", strings.Join(twice, ", "))
	}
	var used []string
	for id, u := range w.upstreams {
		if u.ranCount > 0 {
			used = append(used, fmt.Sprintf("%s ran %d, peak %d of %d slots", id, u.ranCount, u.peak, u.Slots))
		}
	}
	slices.Sort(used)
	for _, line := range used {
		w.logf("upstream %s", line)
	}
}

// transport is the simulated network between the entry of region from and the upstreams.
type transport struct {
	w    *simulation
	from string
}

var errRefused = errors.New("connection refused")

// RoundTrip implements http.RoundTripper.
func (t transport) RoundTrip(r *http.Request) (*http.Response, error) {
	w := t.w
	w.mu.Lock()
	u := w.upstreams[r.URL.Host]
	remote, unreachable := u.Region != t.from, u.down || w.partitioned[u.Region] != w.partitioned[t.from]
	w.mu.Unlock()
	if unreachable {
		return nil, errRefused
	}
	if remote {
		time.Sleep(w.latency)
	}
	if trace := httptrace.ContextClientTrace(r.Context()); trace != nil {
		trace.GotConn(httptrace.GotConnInfo{})
	}
	body, _ := io.ReadAll(r.Body)
	if !u.takeSlot(w) {
		return t.answer(r, u, http.StatusTooManyRequests, nil), nil
	}
	defer u.releaseSlot(w)
	select {
	case <-time.After(u.serviceTime * time.Duration(u.slowdown)):
	case <-r.Context().Done():
		return nil, r.Context().Err()
	}
	w.recordRun(u, r.Header.Get(header.RequestID))
	if remote {
		time.Sleep(w.latency)
	}
	if u.closesUnanswered {
		return nil, io.ErrUnexpectedEOF
	}
	return t.answer(r, u, http.StatusOK, body), nil
}

// takeSlot counts a request in flight and reports whether a slot was free for it.
func (u *upstream) takeSlot(w *simulation) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if u.inFlight >= u.Slots {
		return false
	}
	u.inFlight++
	u.peak = max(u.peak, u.inFlight)
	return true
}

// releaseSlot ends a request that takeSlot counted.
func (u *upstream) releaseSlot(w *simulation) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u.inFlight--
}

// recordRun counts one run of a request at an upstream.
func (w *simulation) recordRun(u *upstream, id string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	u.ranCount++
	w.runs[id]++
}

// answer returns the upstream's response to a request, with its load header and faults.
func (t transport) answer(r *http.Request, u *upstream, status int, body []byte) *http.Response {
	h := http.Header{"From": {u.ID}}
	t.w.mu.Lock()
	if !u.reportsIdle {
		h.Set(header.Load, fmt.Sprint(u.inFlight))
	} else {
		h.Set(header.Load, "0")
	}
	t.w.mu.Unlock()
	var reader io.Reader = strings.NewReader(string(body))
	if u.truncates {
		reader = io.MultiReader(strings.NewReader(string(body[:len(body)/2])), brokenReader{})
	}
	return &http.Response{
		Status: http.StatusText(status), StatusCode: status, Header: h, Request: r,
		ContentLength: int64(len(body)), Body: io.NopCloser(reader),
	}
}

// brokenReader is the end of a truncated body.
type brokenReader struct{}

// Read implements io.Reader.
func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
