package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	lostClients = 4
	// quickRequests is the number of quick requests that a client sends behind its long one.
	quickRequests = 4
	// longWork is how long a target works on a long request, quickWork on the others.
	longWork  = 3500 * time.Millisecond
	quickWork = 60 * time.Millisecond
	// lostDeadline is how long a client waits for its answers, lostTimeoutS what the routes allow.
	lostDeadline = 4 * time.Second
	lostTimeoutS = 4
	// sendAfter is the time from SIGTERM until the clients send.
	sendAfter = 2400 * time.Millisecond
	// gracePeriod is the bound graceS: the platform kills the process after it.
	gracePeriod = 6 * time.Second
)

// playLost stops a node while clients have pipelined quick requests behind a long one.
func playLost(w *world) (bool, string, error) {
	zones := []zone{{"mus-a", "muscat"}, {"soh-a", "sohar"}}
	routes := map[string]any{
		"r-1": route("/lepu270/", "safe", "huvo11a", lostTimeoutS, 0.5),
		"r-2": route("/archive/", "safe", "kafi81c", lostTimeoutS, 4),
	}
	w.store.Put("op/config", config(routes, map[string]any{"huvo11a": service(), "kafi81c": service()}))
	quick := targetOptions{id: "i-cat", service: "huvo11a", slots: 9, queue: 27, work: quickWork, size: 400}
	long := targetOptions{id: "i-arc", service: "kafi81c", slots: 9, queue: 27, work: longWork, size: 400}
	if err := w.addTargets(4, zones, quick); err != nil {
		return false, "", err
	}
	if err := w.addTargets(4, zones, long); err != nil {
		return false, "", err
	}
	if err := w.addNodes(zones, zones, smallBounds); err != nil {
		return false, "", err
	}
	n := w.nodes[0]
	var clients []*pipeliningClient
	for range lostClients {
		conn, err := net.Dial("tcp", n.front)
		if err != nil {
			return false, "", err
		}
		clients = append(clients, &pipeliningClient{rec: w.rec, conn: conn, answered: make(map[string]bool)})
	}
	stopped := time.Now()
	if w.trouble {
		n.signal(syscall.SIGTERM)
		go func() {
			time.Sleep(gracePeriod)
			n.signal(syscall.SIGKILL)
		}()
	}
	time.Sleep(sendAfter)
	var playing sync.WaitGroup
	for _, c := range clients {
		playing.Add(1)
		go func() {
			defer playing.Done()
			c.play()
		}()
	}
	playing.Wait()
	return judgeLost(w, clients, stopped)
}

// pipeliningClient sends a long request and quick ones behind it on one connection.
type pipeliningClient struct {
	rec  *record
	conn net.Conn
	// long is the id of the long request, quick are those of the others.
	long  string
	quick []string
	sent  time.Time
	// answered holds the requests with a complete answer; closed is when the connection closed before
	// all had one.
	answered map[string]bool
	closed   time.Time
}

// play sends the requests and reads the answers, which come in the order of the requests.
func (c *pipeliningClient) play() {
	defer c.conn.Close()
	var head strings.Builder
	add := func(path, id string) {
		fmt.Fprintf(&head, "GET %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCookie: Affinity-Key=%s\r\nDeadline-Ms: %d\r\n\r\n", path, host, id, id, lostDeadline.Milliseconds())
	}
	c.long = newID()
	add("/archive/2f", c.long)
	for range quickRequests {
		id := newID()
		c.quick = append(c.quick, id)
		add("/lepu270/2f", id)
	}
	c.sent = time.Now()
	c.rec.addf("client: sends %s, and behind it %s", c.long, strings.Join(c.quick, ", "))
	if _, err := io.WriteString(c.conn, head.String()); err != nil {
		c.end(err)
		return
	}
	_ = c.conn.SetReadDeadline(c.sent.Add(lostDeadline))
	in := bufio.NewReader(c.conn)
	for _, id := range append([]string{c.long}, c.quick...) {
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			c.end(err)
			return
		}
		n, err := io.Copy(io.Discard, resp.Body)
		c.rec.addf("client: answer %d to %s with %d of %d bytes, %v after the send, error %v", resp.StatusCode, resp.Header.Get("Attempt-Id"), n, resp.ContentLength, time.Since(c.sent).Round(time.Millisecond), err)
		if err != nil {
			c.end(err)
			return
		}
		if resp.Header.Get("Attempt-Id") == id {
			c.answered[id] = true
		}
		if resp.Close {
			c.end(io.EOF)
			return
		}
	}
}

// end records that the connection closed, or that the client's deadline passed.
func (c *pipeliningClient) end(err error) {
	c.closed = time.Now()
	c.rec.addf("client: connection ended %v after the send: %v", c.closed.Sub(c.sent).Round(time.Millisecond), err)
}

// judgeLost counts the quick requests that a target ran and answered, and whose connection was closed
// without a complete answer in the time of the planned stop, before their deadlines. The long requests
// are not counted: their targets are still at work in the last sixth of the grace period.
func judgeLost(w *world, clients []*pipeliningClient, stopped time.Time) (bool, string, error) {
	ran := make(map[string]bool)
	for _, r := range allRuns(w.targets) {
		ran[r.id] = true
	}
	all, lost := 0, 0
	for _, c := range clients {
		for _, id := range c.quick {
			all++
			inTime := !c.closed.IsZero() && c.closed.Sub(c.sent) < lostTimeoutS*time.Second && c.closed.Sub(stopped) < gracePeriod+time.Second
			if ran[id] && !c.answered[id] && inTime {
				lost++
				w.rec.addf("client: %s was run by a target, and its connection closed without an answer to it", id)
			}
		}
	}
	if len(ran) == 0 {
		return false, "", fmt.Errorf("no request was run")
	}
	return lost > 0, fmt.Sprintf("LOST: %d of %d quick requests were passed on to a target and run, and their connection closed without an answer", lost, all), nil
}
