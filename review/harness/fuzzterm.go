package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// playFuzzTerm is an exploration, not a case.
func playFuzzTerm(dir string) bool {
	st := newStore(subnet + "1")
	zones := map[string]string{"zone-a": "region-a"}
	work := func(t *target, c *targetConn, r *http.Request, in []byte) {
		end := t.begin(r)
		d := rand.IntN(200)
		if rand.IntN(10) == 0 {
			d = rand.IntN(1800)
		}
		time.Sleep(time.Duration(d) * time.Millisecond)
		end()
		n := 10
		if rand.IntN(4) == 0 {
			n = 30000
		}
		if rand.IntN(20) == 0 {
			n = 1000000
		}
		body := []byte(strings.Repeat("z", n))
		_, _ = c.Write(append(t.head(r, 200, len(body), "Server-Seal", "x"), body...))
	}
	for i := range 4 {
		newTarget(st, fmt.Sprintf("%s%d", subnet, 10+i), fmt.Sprintf("i-%d", i), "svc", "zone-a", 300, work)
	}
	route := func(prefix, kind string, prio int) map[string]any {
		return map[string]any{"host": "h.example", "pathPrefix": prefix, "routeType": kind, "timeoutS": 2.5, "sloLatencyS": 2, "priority": prio, "service": "svc", "maxAttempts": 2, "sessionAffinity": true, "allowedRegions": []string{}}
	}
	st.put("op/config", config(7, map[string]any{"r-s": route("/s/", "safe", 2), "r-u": route("/u/", "unsafe", 1)}, "svc"))
	var in []string
	for range 8 {
		in = append(in, "zone-a")
	}
	nodes := startNodes(st, dir, zones, in...)
	defer killNodes(nodes)
	var mu sync.Mutex
	type lostReq struct {
		id, node, err string
		at            time.Time
		read          time.Time
	}
	var lost []lostReq
	answered, retried := 0, 0
	stats := map[string]int{}
	pipelined := os.Getenv("PIPE") != ""
	var wg sync.WaitGroup
	termAt := make([]time.Time, len(nodes))
	for i := range 240 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			n := nodes[i%len(nodes)]
			c := &client{name: fmt.Sprintf("c%d", i), addr: n.front}
			defer c.drop()
			for {
				if c.connect() != nil {
					return
				}
				depth := 1
				if pipelined {
					depth = 1 + rand.IntN(4)
				}
				var ids, methods []string
				text := ""
				for range depth {
					id := attemptID()
					ids = append(ids, id)
					m, path, body := "GET", "/s/1", ""
					if depth == 1 && rand.IntN(2) == 0 {
						m, path, body = "POST", "/u/1", strings.Repeat("y", rand.IntN(80000))
					}
					methods = append(methods, m)
					text += requestText(m, "h.example", path, id, fmt.Sprint(rand.IntN(30)), 4*time.Second, body)
				}
				if _, err := io.WriteString(c.conn, text); err != nil {
					c.drop()
					continue
				}
				sent := time.Now()
				for k, id := range ids {
					if c.conn == nil {
						break
					}
					a := c.read(methods[k], 8*time.Second)
					mu.Lock()
					if a.err != nil {
						for _, x := range ids[k:] {
							lost = append(lost, lostReq{x, n.name, fmt.Sprint(a.err), sent, time.Now()})
						}
					} else {
						answered++
						stats[fmt.Sprint(a.status)]++
						if a.status == 503 {
							retried++
						}
					}
					mu.Unlock()
					_ = id
				}
				time.Sleep(time.Duration(rand.IntN(40)) * time.Millisecond)
			}
		}()
	}
	for i, n := range nodes {
		time.Sleep(400 * time.Millisecond)
		termAt[i] = time.Now()
		_ = n.cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, n := range nodes {
		<-n.exited
	}
	wg.Wait()
	ran := map[string]bool{}
	for _, r := range runs {
		ran[r.attempt] = true
	}
	bad := 0
	for _, l := range lost {
		late := l.read.Sub(l.at)
		if ran[l.id] || late > 200*time.Millisecond {
			bad++
			record("case", "LOST", "id", l.id, "node", l.node, "ran", ran[l.id], "after", late, "err", l.err)
		}
	}
	say("answered %d %v, closed %d, lost %d", answered, stats, len(lost), bad)
	return bad > 0
}
