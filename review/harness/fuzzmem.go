package main

import (
	"fmt"
	"io"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

func rssMB(pid int) int {
	raw, _ := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	for line := range strings.Lines(string(raw)) {
		if rest, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(rest)[0])
			return kb >> 10
		}
	}
	return 0
}

// playFuzzMem is an exploration, not a case.
func playFuzzMem(dir string) bool {
	st := newStore(subnet + "1")
	zones := map[string]string{"zone-a": "region-a"}
	mb, _ := strconv.Atoi(os.Getenv("MB"))
	par, _ := strconv.Atoi(os.Getenv("PAR"))
	chunk := []byte(strings.Repeat("z", 1<<20))
	work := func(t *target, c *targetConn, r *http.Request, in []byte) {
		end := t.begin(r)
		defer end()
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nAttempt-Id: "+r.Header.Get("Attempt-Id")+"\r\nServer-Seal: x\r\nConnection: close\r\n\r\n")
		for range mb {
			if _, err := c.Write(chunk); err != nil {
				break
			}
		}
		c.Close()
	}
	for i := range 4 {
		newTarget(st, fmt.Sprintf("%s%d", subnet, 10+i), fmt.Sprintf("i-%d", i), "svc", "zone-a", 300, work)
	}
	st.put("op/config", config(7, map[string]any{"r-s": map[string]any{"host": "h.example", "pathPrefix": "/s/", "routeType": "safe", "timeoutS": 4, "sloLatencyS": 2, "priority": 1, "service": "svc", "maxAttempts": 2, "sessionAffinity": true, "allowedRegions": []string{}}}, "svc"))
	nodes := startNodes(st, dir, zones, "zone-a")
	defer killNodes(nodes)
	peak := 0
	go func() {
		for {
			peak = max(peak, rssMB(nodes[0].cmd.Process.Pid))
			time.Sleep(5 * time.Millisecond)
		}
	}()
	say("before: %d MB", rssMB(nodes[0].cmd.Process.Pid))
	var wg sync.WaitGroup
	for i := range par {
		wg.Add(1)
		go func() {
			defer wg.Done()
			c := &client{name: fmt.Sprintf("c%d", i), addr: nodes[0].front}
			a := c.do("GET", "h.example", "/s/1", attemptID(), fmt.Sprint(i), 6*time.Second, "")
			say("status %d bytes %d err %v", a.status, len(a.body), a.err)
		}()
	}
	wg.Wait()
	say("MB %d x %d: peak %d MB", mb, par, peak)
	return peak > 284
}
