package main

import (
	"fmt"
	"io"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// leavers of goneClients clients leave after leaveAfter, which is within half of the route's
	// objective; the others wait for all of their answers.
	goneClients = 10
	leavers     = 3
	leaveAfter  = 200 * time.Millisecond
	goneLatency = 2
	// goneRequests is the number of requests that a client sends before the first has been answered, each
	// with a cookie of cookieSize bytes.
	goneRequests = 30
	cookieSize   = 350
	goneWork     = 1200 * time.Millisecond
	goneDeadline = 6 * time.Second
	// goneAfter and goneShare are the bounds of the rule.
	goneAfter = 500 * time.Millisecond
	goneShare = 0.25
)

// playGone has clients leave while targets work on their pipelined requests.
func playGone(w *world) (bool, string, error) {
	zones := []zone{{"mus-a", "muscat"}, {"soh-a", "sohar"}}
	w.store.Put("op/config", config(map[string]any{"r-1": route("/archive/", "safe", "kafi81c", 6, goneLatency)}, map[string]any{"kafi81c": service()}))
	if err := w.addTargets(8, zones, targetOptions{id: "i-arc", service: "kafi81c", slots: 16, queue: 48, work: goneWork, size: 400}); err != nil {
		return false, "", err
	}
	if err := w.addNodes(zones, zones, smallBounds); err != nil {
		return false, "", err
	}
	var mu sync.Mutex
	closed := make(map[string]time.Time)
	var playing sync.WaitGroup
	for i := range goneClients {
		leaves := w.trouble && i < leavers
		playing.Add(1)
		go func() {
			defer playing.Done()
			ids, at, err := sendAhead(w, w.nodes[i%len(w.nodes)], leaves)
			if err != nil {
				w.rec.addf("client: %v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, id := range ids {
				if leaves {
					closed[id] = at
				}
			}
		}()
	}
	playing.Wait()
	return judgeGone(w, closed)
}

// sendAhead pipelines requests on one connection. A client that leaves closes it after leaveAfter, others
// once they have read for goneDeadline or the connection ends. It returns the requests and when it closed.
func sendAhead(w *world, n *node, leaves bool) ([]string, time.Time, error) {
	conn, err := net.Dial("tcp", n.front)
	if err != nil {
		return nil, time.Time{}, err
	}
	defer conn.Close()
	var head strings.Builder
	var ids []string
	for i := range goneRequests {
		id := newID()
		ids = append(ids, id)
		fmt.Fprintf(&head, "GET /archive/%x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCookie: Affinity-Key=%s; session=%s\r\nDeadline-Ms: %d\r\n\r\n",
			i, host, id, id, strings.Repeat("s", cookieSize), goneDeadline.Milliseconds())
	}
	w.rec.addf("client: sends %s to %s, %d bytes", strings.Join(ids, ", "), n.name, head.Len())
	if _, err := io.WriteString(conn, head.String()); err != nil {
		return ids, time.Now(), err
	}
	if leaves {
		time.Sleep(leaveAfter)
		conn.Close()
		w.rec.addf("client: with %s leaves", ids[0])
		return ids, time.Now(), nil
	}
	_ = conn.SetReadDeadline(time.Now().Add(goneDeadline))
	read, _ := io.Copy(io.Discard, conn)
	w.rec.addf("client: with %s has read %d bytes", ids[0], read)
	return ids, time.Now(), nil
}

// judgeGone counts the requests whose client had left while a target worked on them, that would have run
// for goneAfter longer, and those of them that a target still worked on then.
func judgeGone(w *world, closed map[string]time.Time) (bool, string, error) {
	runs, under, still := 0, 0, 0
	for _, t := range w.targets {
		t.mu.Lock()
		for _, r := range t.runs {
			runs++
			at, left := closed[r.id]
			if !left || r.at.After(at) || r.at.Add(t.work).Before(at.Add(goneAfter)) {
				continue
			}
			under++
			if end, ended := t.ends[r.id]; !ended || end.After(at.Add(goneAfter)) {
				still++
			}
		}
		t.mu.Unlock()
	}
	if runs == 0 || w.trouble && under == 0 {
		return false, "", fmt.Errorf("no request was under way")
	}
	broken := float64(still) > goneShare*float64(under)
	return broken, fmt.Sprintf("GONE: targets still worked on %d of %d requests %v after their client had left; %d requests were run", still, under, goneAfter, runs), nil
}
