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
	// Bytes is the length of the request body.
	Bytes int64 `json:"bytes"`
	// At is the time at which the execution ended.
	At time.Time `json:"at"`
}

// Upstream is an HTTP server that executes at most Slots requests at a time. It records the
// requests that it executes, rejects requests when all slots are in use, reports its load, and can
// inject failures. It is safe for concurrent use.
type Upstream struct {
	// ID is the name of the upstream, which its responses contain.
	ID    string
	Slots int
	// ServiceTime is how long the execution of a request takes.
	ServiceTime time.Duration

	// RunLog, if set, receives each Run as a line of JSON before the response is sent, so that the
	// record outlives the process.
	RunLog io.Writer
	// Gauge, if set, counts the requests being executed by all upstreams that share it.
	Gauge *InFlightGauge

	mu       sync.Mutex
	inFlight int
	runs     []Run
	mode     string
	slots    chan struct{}
}

// InFlightGauge holds the current and the peak number of requests that several upstreams execute
// together. It is safe for concurrent use, and a nil gauge counts nothing.
type InFlightGauge struct {
	mu            sync.Mutex
	current, peak int
}

// add changes the current number by n.
func (g *InFlightGauge) add(n int) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.current += n
	g.peak = max(g.peak, g.current)
}

// ResetPeak sets the peak to the current number of requests.
func (g *InFlightGauge) ResetPeak() {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	g.peak = g.current
}

// Peak returns the largest number of requests at one time since the last ResetPeak.
func (g *InFlightGauge) Peak() int {
	if g == nil {
		return 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.peak
}

// Modes of an Upstream.
const (
	ModeNormal = "normal"
	// ModeRefuse rejects every request without executing it.
	ModeRefuse = "refuse"
	// ModeDie executes a request and closes the connection without a response.
	ModeDie = "die"
	// ModeCut executes a request and closes the connection in the middle of the response.
	ModeCut = "cut"
	// ModeIdle reports a load of zero regardless of the requests in flight.
	ModeIdle = "idle"
	// ModeDraining reports in each response that the upstream is draining.
	ModeDraining = "draining"
)

// NewUpstream returns an Upstream in ModeNormal. The execution of a request takes serviceTime.
func NewUpstream(id string, slots int, serviceTime time.Duration) *Upstream {
	return &Upstream{ID: id, Slots: slots, ServiceTime: serviceTime, mode: ModeNormal, slots: make(chan struct{}, slots)}
}

// SetMode sets the mode for requests that start later.
func (u *Upstream) SetMode(mode string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.mode = mode
}

// Runs returns the requests executed since the start, in the order of their ends.
func (u *Upstream) Runs() []Run {
	u.mu.Lock()
	defer u.mu.Unlock()
	return append([]Run(nil), u.runs...)
}

// Handler returns the HTTP handler. Paths under /-/ let tests read the records, read and reset the
// peak, and set the mode; requests for any other path are executed.
func (u *Upstream) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/-/runs", func(w http.ResponseWriter, _ *http.Request) { _ = json.NewEncoder(w).Encode(u.Runs()) })
	r.Get("/-/peak", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprint(w, u.Gauge.Peak()) })
	r.Post("/-/peak/reset", func(http.ResponseWriter, *http.Request) { u.Gauge.ResetPeak() })
	r.Post("/-/mode/{mode}", func(_ http.ResponseWriter, req *http.Request) { u.SetMode(chi.URLParam(req, "mode")) })
	r.HandleFunc("/*", u.serve)
	return r
}

// serve executes a request according to the mode.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	mode := u.beginRequest()
	defer u.endRequest()
	if mode == ModeRefuse || !u.acquireSlot() {
		u.setHeaders(w, mode)
		w.Header().Set("Retry-After", "1")
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	defer func() { <-u.slots }()
	n, err := io.Copy(io.Discard, r.Body)
	if err != nil || !u.execute(r.Context()) {
		return
	}
	u.record(Run{Upstream: u.ID, ID: r.Header.Get(header.RequestID), Method: r.Method, Path: r.URL.Path, Bytes: n, At: time.Now()})
	u.respond(w, r, mode)
}

// execute waits for ServiceTime. It reports false if the request is cancelled before that. It
// returns before the response is written, so that the gauge never exceeds the number of requests
// that the callers have in flight.
func (u *Upstream) execute(ctx context.Context) bool {
	u.Gauge.add(1)
	defer u.Gauge.add(-1)
	select {
	case <-time.After(u.ServiceTime):
		return true
	case <-ctx.Done():
		return false
	}
}

// acquireSlot takes a slot and reports whether one was free.
func (u *Upstream) acquireSlot() bool {
	select {
	case u.slots <- struct{}{}:
		return true
	default:
		return false
	}
}

// respond writes the response to an executed request. The query parameter size adds this number of
// bytes to the body.
func (u *Upstream) respond(w http.ResponseWriter, r *http.Request, mode string) {
	if mode == ModeDie {
		panic(http.ErrAbortHandler)
	}
	u.setHeaders(w, mode)
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

// setHeaders sets the response headers with the load and the state of the upstream.
func (u *Upstream) setHeaders(w http.ResponseWriter, mode string) {
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

// beginRequest counts a request in and returns the mode for it.
func (u *Upstream) beginRequest() string {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight++
	return u.mode
}

// endRequest counts a request out.
func (u *Upstream) endRequest() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.inFlight--
}

// record adds a run to the records.
func (u *Upstream) record(r Run) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.runs = append(u.runs, r)
	if u.RunLog != nil {
		_ = json.NewEncoder(u.RunLog).Encode(r)
	}
}
