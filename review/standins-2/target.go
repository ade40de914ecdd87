package main

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// heartbeatInterval is the time between two writes of a target's entry.
	heartbeatInterval = 1500 * time.Millisecond
	healthPath        = "/healthz"
	// targetIdleTimeout is after what time a target closes an idle connection.
	targetIdleTimeout = 10 * time.Second
)

// run is one request that a target began to work on.
type run struct {
	id, target, tenant string
	at                 time.Time
}

// targetOptions describe a target.
type targetOptions struct {
	id, service, zone string
	slots, queue      int
	work              time.Duration
	// size is the size of an answer's body in bytes.
	size int
	// warmup is for how long the target says that it is cold after its start.
	warmup time.Duration
}

// target is a server of the users. It says in its answers whether it ran the request, and drops a
// request when its connection closes.
type target struct {
	targetOptions
	addr    string
	store   *store
	rec     *record
	started time.Time
	slot    chan struct{}
	srv     *http.Server
	ended   chan struct{}

	mu       sync.Mutex
	running  int
	waiting  int
	sequence int
	runs     []run
	arrivals []run
	// ends holds when the work on each request ended, by its id.
	ends map[string]time.Time
}

// startTarget serves a target at a free port of an IP address and writes its entry to the store.
func startTarget(s *store, rec *record, ip string, opt targetOptions) (*target, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	t := &target{targetOptions: opt, addr: l.Addr().String(), store: s, rec: rec, started: time.Now(), slot: make(chan struct{}, opt.slots), ended: make(chan struct{}), ends: make(map[string]time.Time)}
	t.srv = &http.Server{Handler: t, IdleTimeout: targetIdleTimeout}
	go t.srv.Serve(l)
	go t.beat()
	return t, nil
}

// beat writes the target's entry at each heartbeat.
func (t *target) beat() {
	tick := time.NewTicker(heartbeatInterval)
	defer tick.Stop()
	for {
		t.writeEntry()
		select {
		case <-tick.C:
		case <-t.ended:
			return
		}
	}
}

// crash ends the target: its port resets, and its entry is gone.
func (t *target) crash() {
	close(t.ended)
	t.srv.Close()
	t.store.Delete("servers/" + t.id)
	t.rec.addf("target %s has crashed", t.id)
}

func (t *target) writeEntry() {
	t.mu.Lock()
	t.sequence++
	left := max(0, t.warmup-time.Since(t.started)).Seconds()
	entry := map[string]any{
		"address": t.addr,
		"born":    t.started.UnixMilli(),
		"info":    map[string]any{"service": t.service, "version": "v1", "zone": t.zone, "slots": t.slots},
		"status":  map[string]any{"state": "ready", "sequence": t.sequence, "warmupLeftS": left},
	}
	t.mu.Unlock()
	t.store.Put("servers/"+t.id, entry)
}

// ServeHTTP implements http.Handler.
func (t *target) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Server-Load", t.load())
	w.Header().Set("Keep-Alive", "timeout="+strconv.Itoa(int(targetIdleTimeout.Seconds())))
	if r.URL.Path == healthPath {
		w.Header().Set("Instance-Id", t.id)
		return
	}
	id := r.Header.Get("Attempt-Id")
	if id == "" {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	w.Header().Set("Attempt-Id", id)
	if want := r.Header.Get("Expect-Instance"); want != "" && want != t.id {
		w.Header().Set("Instance-Id", t.id)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	arrival := run{id: id, target: t.id, tenant: r.Header.Get("Tenant"), at: time.Now()}
	t.mu.Lock()
	t.arrivals = append(t.arrivals, arrival)
	t.mu.Unlock()
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	if !t.enter(r) {
		w.Header().Set("Not-Executed", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	defer t.leave()
	arrival.at = time.Now()
	t.rec.addAt(arrival.at, fmt.Sprintf("%s: runs %s", t.id, id))
	t.mu.Lock()
	t.runs = append(t.runs, arrival)
	t.mu.Unlock()
	select {
	case <-time.After(t.work):
		t.end(id, "has done")
	case <-r.Context().Done():
		t.end(id, "drops")
		return
	}
	body := strings.Repeat(string('a'+byte(len(id)%26)), t.size)
	w.Header().Set("Server-Seal", fmt.Sprintf("%s.%d", id, len(body)))
	w.Header().Set("Content-Type", "application/octet-stream")
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	_, _ = io.WriteString(w, body)
}

// end records the end of the work on a request.
func (t *target) end(id, how string) {
	t.rec.addf("%s: %s %s", t.id, how, id)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.ends[id] = time.Now()
}

// enter takes a slot, or waits in the queue for one. It returns false if the queue is full or the
// caller has left.
func (t *target) enter(r *http.Request) bool {
	t.mu.Lock()
	if t.running >= t.slots && t.waiting >= t.queue {
		t.mu.Unlock()
		return false
	}
	t.waiting++
	t.mu.Unlock()
	entered := false
	select {
	case t.slot <- struct{}{}:
		entered = true
	case <-r.Context().Done():
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.waiting--
	if entered {
		t.running++
	}
	return entered
}

func (t *target) leave() {
	t.mu.Lock()
	t.running--
	t.mu.Unlock()
	<-t.slot
}

// load returns the requests running, those waiting, and the slots.
func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,%d,%d", t.running, t.waiting, t.slots)
}

// allRuns returns the runs of all targets.
func allRuns(targets []*target) []run {
	var out []run
	for _, t := range targets {
		t.mu.Lock()
		out = append(out, t.runs...)
		t.mu.Unlock()
	}
	return out
}
