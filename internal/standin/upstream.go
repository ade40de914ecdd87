package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/header"

	"github.com/go-chi/chi/v5"
)

// Run is one request that an upstream executed.
type Run struct {
	Upstream string `json:"upstream"`
	ID       string `json:"id"`
	Method   string `json:"method"`
	Path     string `json:"path"`
	// Bytes is the length of the request's body.
	Bytes int64     `json:"bytes"`
	At    time.Time `json:"at"`
}

// Upstream is a back end with a number of slots. It records what it executes,
// sheds load beyond its slots, reports its load, and can be told to fail. It is
// safe for concurrent use.
type Upstream struct {
	// ID is put into the answers.
	ID    string
	Slots int
	// ServiceTime is how long one request takes.
	ServiceTime time.Duration

	// RunLog, if set, gets a line for each run before the answer, so that it
	// outlives the process.
	RunLog io.Writer
	// Gauge, if set, is shared by the upstreams of a region.
	Gauge *InFlightGauge

	mu       sync.Mutex
	inFlight int
	runs     []Run
	mode     string
	slots    chan struct{}
}

// InFlightGauge counts the requests in flight at several upstreams and their peak.
type InFlightGauge struct {
	mu        sync.Mutex
	now, peak int
}

func (g *InFlightGauge) add(n int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.now += n
	g.peak = max(g.peak, g.now)
}

// ResetPeak makes the peak what is in flight now.
func (g *InFlightGauge) ResetPeak() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peak = g.now
}

// Peak returns the largest number of requests in flight at one time.
func (g *InFlightGauge) Peak() int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

// Modes of an upstream.
const (
	ModeNormal = "normal"
	// ModeRefuse sheds every request, not run.
	ModeRefuse = "refuse"
	// ModeDie executes a request and closes the connection without an answer.
	ModeDie = "die"
	// ModeCut executes a request and closes in the middle of the answer.
	ModeCut = "cut"
	// ModeIdle reports no load whatever there is.
	ModeIdle = "idle"
	// ModeDraining answers that the upstream drains.
	ModeDraining = "draining"
)

// NewUpstream returns an upstream with a number of slots.
func NewUpstream(id string, slots int, work time.Duration) *Upstream {
	return &Upstream{ID: id, Slots: slots, ServiceTime: work, mode: ModeNormal, slots: make(chan struct{}, slots)}
}

// SetMode tells the upstream how to behave.
func (u *Upstream) SetMode(mode string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
}

// Runs returns what the upstream executed.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Handler returns the upstream's interface: any path is a request, /-/ is for
// tests.
func (u *Upstream) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/-/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(u.Runs()) })
	r.Get("/-/peak", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, u.Gauge.Peak()) })
	r.Post("/-/peak/reset", func(http.ResponseWriter, *http.Request) { u.Gauge.ResetPeak() })
	r.Post("/-/mode/{mode}", func(_ http.ResponseWriter, req *http.Request) { u.SetMode(chi.URLParam(req, "mode")) })
	r.HandleFunc("/*", u.serve)
	return r
}

func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	mode := u.enter()
	defer u.leave()
	if mode == ModeRefuse || !u.takeSlot() {
		u.headers(w, mode)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer func() { <-u.slots }()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil || !u.work(r.Context()) {
		return
	}
	u.record(Run{Upstream: u.ID, ID: r.Header.Get(header.RequestID), Method: r.Method, Path: r.URL.Path, Bytes: n, At: time.Now()})
	u.answer(w, r, mode)
}

// work takes as long as a request does, and reports whether its caller stayed.
// It ends before the answer is written, so that the gauge is never above what a
// caller has under way.
func (u *Upstream) work(ctx context.Context) bool {
	u.Gauge.add(1)
	defer u.Gauge.add(-1)
	select {
	case <-time.After(u.ServiceTime):
		return true
	case <-ctx.Done():
		return false
	}
}

func (u *Upstream) takeSlot() bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

func (u *Upstream) answer(w http.ResponseWriter, r *http.Request, mode string) {
	if mode == ModeDie {
		panic(http.ErrAbortHandler)
	}
	u.headers(w, mode)
	if id := r.Header.Get(header.RequestID); id != "" {
		w.Header().Set(header.RequestID, id)
	}
	size, _ := strconv.Atoi(r.URL.Query().Get("size"))
	body := fmt.Sprintf("%s answered %s %s for %s\n", u.ID, r.Method, r.URL.Path, r.Header.Get(header.RequestID))
	w.Header().Set("Content-Length", strconv.Itoa(len(body)+size))
	_, _ = io.WriteString(w, body)
	if mode == ModeCut {
		panic(http.ErrAbortHandler)
	}
	_, _ = w.Write(make([]byte, size))
}

func (u *Upstream) headers(w http.ResponseWriter, mode string) {
	load := 0
	if mode != ModeIdle {
		u.mu.Lock()
		load = u.inFlight
		u.mu.Unlock()
	}
	w.Header().Set(header.Load, strconv.Itoa(load))
	if mode == ModeDraining {
		w.Header().Set(header.State, header.StateDraining)
	}
}

func (u *Upstream) enter() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	return u.mode
}

func (u *Upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

func (u *Upstream) record(r Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, r)
	if u.RunLog != nil {
		_ = json.NewEncoder(u.RunLog).Encode(r)
	}
}
