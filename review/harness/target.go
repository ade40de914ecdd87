package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// run is one run of a request at a target.
type run struct {
	attempt, target string
	at              time.Time
}

// target is an upstream server. Each connection carries one request at a time.
type target struct {
	id, service, zone string
	slots             int
	l                 net.Listener
	st                *store
	// answer writes the answer to a request that the target accepts as its own; it calls
	// begin when it begins to work.
	answer func(t *target, c *targetConn, r *http.Request, body []byte)

	mu       sync.Mutex
	running  int
	requests int
	sequence int
	stopped  chan struct{}
}

// targetConn is a connection at a target.
type targetConn struct {
	net.Conn
	// surplus is sent in the place where the next answer is due.
	surplus []byte
}

var (
	runsMu sync.Mutex
	runs   []run
)

// recordRun records that a target begins to work on a request.
func (t *target) recordRun(r *http.Request) {
	runsMu.Lock()
	runs = append(runs, run{r.Header.Get("Attempt-Id"), t.id, time.Now()})
	runsMu.Unlock()
	record(t.id, "runs", "attempt", r.Header.Get("Attempt-Id"), "method", r.Method, "path", r.RequestURI)
}

// begin counts a run, and the returned function its end.
func (t *target) begin(r *http.Request) (end func()) {
	t.mu.Lock()
	t.running++
	t.mu.Unlock()
	t.recordRun(r)
	return func() {
		t.mu.Lock()
		t.running--
		t.mu.Unlock()
	}
}

func newTarget(st *store, ip, id, service, zone string, slots int, answer func(*target, *targetConn, *http.Request, []byte)) *target {
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	t := &target{id: id, service: service, zone: zone, slots: slots, l: l, st: st, answer: answer, stopped: make(chan struct{})}
	go t.serve()
	go t.beat()
	return t
}

// beat writes the target's entry every heartbeat.
func (t *target) beat() {
	for {
		t.sequence++
		t.st.put("servers/"+t.id, map[string]any{
			"address": t.l.Addr().String(),
			"info":    map[string]any{"service": t.service, "zone": t.zone, "version": "v1", "slots": t.slots},
			"status":  map[string]any{"state": "ready", "sequence": t.sequence, "warmupLeftS": 0},
		})
		select {
		case <-time.After(1500 * time.Millisecond):
		case <-t.stopped:
			return
		}
	}
}

func (t *target) serve() {
	for {
		c, err := t.l.Accept()
		if err != nil {
			return
		}
		go t.serveConn(&targetConn{Conn: c})
	}
}

func (t *target) load() string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return fmt.Sprintf("%d,0,%d", t.running, t.slots)
}

// head returns the head of an answer.
func (t *target) head(r *http.Request, status int, length int, fields ...string) []byte {
	out := "HTTP/1.1 " + strconv.Itoa(status) + " " + http.StatusText(status) + "\r\n"
	if id := r.Header.Get("Attempt-Id"); id != "" {
		out += "Attempt-Id: " + id + "\r\n"
	}
	out += "Server-Load: " + t.load() + "\r\nKeep-Alive: timeout=10\r\n"
	for i := 0; i < len(fields); i += 2 {
		out += fields[i] + ": " + fields[i+1] + "\r\n"
	}
	return []byte(out + "Content-Length: " + strconv.Itoa(length) + "\r\n\r\n")
}

func (t *target) serveConn(c *targetConn) {
	defer c.Close()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		if c.surplus != nil {
			record(t.id, "sends the surplus answer")
			_, _ = c.Write(c.surplus)
			c.surplus = nil
		}
		switch {
		case r.URL.Path == "/healthz":
			_, _ = c.Write(t.head(r, 200, 0, "Instance-Id", t.id))
			continue
		case r.Header.Get("Attempt-Id") == "":
			_, _ = c.Write(t.head(r, 400, 0, "Not-Executed", "1"))
			continue
		case r.Header.Get("Expect-Instance") != "" && r.Header.Get("Expect-Instance") != t.id:
			_, _ = c.Write(t.head(r, 421, 0, "Not-Executed", "1", "Instance-Id", t.id))
			continue
		}
		t.answer(t, c, r, body)
	}
}

// seal is the signature of an answer.
func (t *target) seal(r *http.Request) string { return t.id + "." + r.Header.Get("Attempt-Id") }
