package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// playFuzz is an exploration, not a case.
func playFuzz(dir string) bool {
	st := newStore(subnet + "1")
	zones := map[string]string{"zone-a": "region-a"}
	secs, _ := strconv.Atoi(os.Getenv("SECS"))
	work := func(t *target, c *targetConn, r *http.Request, in []byte) {
		end := t.begin(r)
		time.Sleep(time.Duration(rand.IntN(60)) * time.Millisecond)
		end()
		n, _ := strconv.Atoi(r.URL.Query().Get("n"))
		body := []byte(strings.Repeat(r.Header.Get("Attempt-Id")+"|", n) + fmt.Sprint(len(in)))
		switch rand.IntN(5) {
		case 0:
			out := "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nServer-Seal: x\r\nTransfer-Encoding: chunked\r\n\r\n"
			_, _ = io.WriteString(c, out)
			for len(body) > 0 {
				k := min(len(body), 1+rand.IntN(5000))
				fmt.Fprintf(c, "%x\r\n%s\r\n", k, body[:k])
				body = body[k:]
			}
			_, _ = io.WriteString(c, "0\r\n\r\n")
		case 1:
			out := "HTTP/1.1 200 OK\r\nAttempt-Id: " + r.Header.Get("Attempt-Id") + "\r\nServer-Seal: x\r\nConnection: close\r\n\r\n"
			_, _ = io.WriteString(c, out)
			_, _ = c.Write(body)
			c.Close()
		default:
			_, _ = c.Write(append(t.head(r, 200, len(body), "Server-Seal", "x"), body...))
		}
	}
	for i := range 4 {
		newTarget(st, fmt.Sprintf("%s%d", subnet, 10+i), fmt.Sprintf("i-%d", i), "svc", "zone-a", 200, work)
	}
	route := func(prefix, kind string, prio int) map[string]any {
		return map[string]any{"host": "h.example", "pathPrefix": prefix, "routeType": kind, "timeoutS": 4, "sloLatencyS": 2, "priority": prio, "service": "svc", "maxAttempts": 2, "sessionAffinity": true, "allowedRegions": []string{}}
	}
	st.put("op/config", config(7, map[string]any{"r-s": route("/s/", "safe", 2), "r-u": route("/u/", "unsafe", 1)}, "svc"))
	nodes := startNodes(st, dir, zones, "zone-a")
	defer killNodes(nodes)
	var mu sync.Mutex
	bad, okN, errs := 0, 0, map[string]int{}
	stop := time.Now().Add(time.Duration(secs) * time.Second)
	var wg sync.WaitGroup
	for i := range 30 {
		wg.Add(1)
		go func() {
			defer wg.Done()
			for time.Now().Before(stop) {
				c := &client{name: fmt.Sprintf("c%d", i), addr: nodes[0].front}
				if c.connect() != nil {
					continue
				}
				for range 1 + rand.IntN(6) {
					type sent struct {
						id, method string
						n, in      int
					}
					var all []sent
					text := ""
					depth := 1 + rand.IntN(12)
					for k := range depth {
						s := sent{attemptID(), "GET", rand.IntN(10), 0}
						if rand.IntN(6) == 0 {
							s.n = rand.IntN(12000)
						}
						path, body := "/s/", ""
						if rand.IntN(4) == 0 && (k == 0 || os.Getenv("MIX") != "") {
							path, s.method = "/u/", "POST"
							s.in = rand.IntN(20000)
							body = strings.Repeat("y", s.in)
						}
						path += fmt.Sprintf("%d?n=%d", k, s.n)
						all = append(all, s)
						text += requestText(s.method, "h.example", path, s.id, fmt.Sprint(rand.IntN(30)), 4*time.Second, body)
					}
					// Written in pieces.
					go func(conn io.Writer, text string) {
						for len(text) > 0 {
							k := min(len(text), 1+rand.IntN(4000))
							if rand.IntN(3) == 0 {
								k = len(text)
							}
							if _, err := io.WriteString(conn, text[:k]); err != nil {
								return
							}
							text = text[k:]
							if rand.IntN(2) == 0 {
								time.Sleep(time.Duration(rand.IntN(5)) * time.Millisecond)
							}
						}
					}(c.conn, text)
					leave := rand.IntN(15) == 0
					for j, s := range all {
						if leave && j == depth/2 {
							c.drop()
						}
						if c.conn == nil {
							break
						}
						a := c.read(s.method, 8*time.Second)
						mu.Lock()
						want := strings.Repeat(s.id+"|", s.n) + fmt.Sprint(s.in)
						switch {
						case a.err != nil:
							errs[fmt.Sprint(a.err)[:min(40, len(a.err.Error()))]]++
							if strings.Contains(a.err.Error(), "timeout") {
								bad++
								record("case", "HANG", "id", s.id)
							}
						case a.status == 200 && string(a.body) != want:
							bad++
							record("case", "MIXED", "id", s.id, "got", string(a.body[:min(60, len(a.body))]))
						case a.status == 200:
							okN++
						default:
							errs[fmt.Sprint(a.status, " ", string(a.body[:min(80, len(a.body))]))]++
						}
						mu.Unlock()
					}
					if c.conn == nil {
						break
					}
				}
				c.drop()
			}
		}()
	}
	wg.Wait()
	select {
	case <-nodes[0].exited:
		say("NODE EXITED")
	default:
	}
	say("ok %d bad %d errs %v", okN, bad, errs)
	resp, err := http.Get("http://" + nodes[0].ip + ":9090/debug/vars")
	if err == nil {
		raw, _ := io.ReadAll(resp.Body)
		for _, line := range strings.Split(string(raw), "\n") {
			if strings.HasPrefix(line, "\"pipeline\"") {
				say("%s", line)
			}
		}
	}
	return bad > 0
}
