// Command overhead measures the cost of requests through an entry, of direct
// requests to the same upstream and of look-ups at a director, on real
// processes: latency, processor time and allocated memory.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/test/fleet"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	requests := flag.Int("requests", 20000, "requests of each kind")
	callers := flag.Int("callers", 4, "callers at one time")
	rounds := flag.Int("rounds", 5, "rounds, each of which measures all kinds of requests in turn")
	flag.Parse()
	if err := run(*bin, *requests, *callers, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

// spec is the deployment: one instance and one upstream.
var spec = fleet.Spec{
	Nodes: []fleet.Node{{ID: "n1", Region: "muscat", Domain: "muscat-a"}},
	UpstreamGroups: []fleet.UpstreamGroup{
		{Service: "stock", Region: "muscat", Domain: "muscat-a", Count: 1, Slots: 64},
	},
	Linger: time.Second,
}

// run measures all targets in turn in each round and prints the totals over the rounds.
func run(bin string, requests, callers, rounds int) error {
	dir, err := os.MkdirTemp("", "loomkeel-overhead-")
	if err != nil {
		return err
	}
	defer os.RemoveAll(dir)
	f, err := fleet.New(bin, dir, spec)
	if err != nil {
		return err
	}
	defer f.Stop()
	if err := f.Start(); err != nil {
		return err
	}
	const get = "GET /palms HTTP/1.1\r\nHost: x\r\nLoomkeel-Service: stock\r\nX-Request-Id: r1\r\n\r\n"
	const lookup = "GET /v1/lookup?service=stock&client=10.1.2.3 HTTP/1.1\r\nHost: x\r\n\r\n"
	upstream, a := f.Upstreams[0].Address, f.Nodes["n1"]
	targets := []target{
		{"direct to the upstream", upstream, get, f.Proc("upstreams-muscat"), ""},
		{"through the entry", a.Entry, get, f.Proc("n1-entry"), a.EntryDebug},
		{"look-up at the director", a.Director, lookup, f.Proc("n1-director"), a.DirectorDebug},
	}
	fmt.Printf("%d requests of each kind in %d rounds, %d callers\n", requests*rounds, rounds, callers)
	totals := make([]cost, len(targets))
	for range rounds {
		for i, t := range targets {
			c, err := t.measure(requests, callers)
			if err != nil {
				return fmt.Errorf("%s: %w", t.name, err)
			}
			totals[i].add(c)
		}
	}
	for i, t := range targets {
		fmt.Printf("%-24s %s\n", t.name, totals[i].String())
	}
	direct, through := totals[0], totals[1]
	fmt.Printf("the entry adds p50 %v, p99 %v\n", through.quantile(0.5)-direct.quantile(0.5), through.quantile(0.99)-direct.quantile(0.99))
	return nil
}

// target is a process to measure: the address and text of the HTTP request to send to it,
// and its debug address, empty if it has none.
type target struct {
	name, addr, request string
	proc                *fleet.Proc
	debug               string
}

// cost is the cost of requests: the duration of each, and the processor time and the bytes
// allocated by the target for all of them.
type cost struct {
	durations []time.Duration
	cpu       time.Duration
	alloc     int64
}

func (c *cost) add(o cost) {
	c.durations = append(c.durations, o.durations...)
	c.cpu += o.cpu
	c.alloc += o.alloc
}

// quantile returns a quantile of the durations, with q from 0 to 1.
func (c *cost) quantile(q float64) time.Duration {
	slices.Sort(c.durations)
	return c.durations[int(q*float64(len(c.durations)-1))]
}

func (c *cost) String() string {
	n := len(c.durations)
	s := fmt.Sprintf("p50 %8v p99 %8v  %6.0f requests per second of processor time", c.quantile(0.5), c.quantile(0.99), float64(n)/c.cpu.Seconds())
	if c.alloc > 0 {
		s += fmt.Sprintf(", %d bytes allocated each", c.alloc/int64(n))
	}
	return s
}

// measure sends requests from callers in parallel and returns their cost.
func (t target) measure(requests, callers int) (cost, error) {
	cpu, alloc := cpuOf(t.proc.PID()), allocated(t.debug)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var c cost
	var failed error
	for range callers {
		wg.Go(func() {
			durations, err := t.call(requests / callers)
			mu.Lock()
			defer mu.Unlock()
			c.durations = append(c.durations, durations...)
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	c.cpu, c.alloc = cpuOf(t.proc.PID())-cpu, allocated(t.debug)-alloc
	return c, failed
}

// call sends n requests over one connection, one after the other, and returns their
// durations.
func (t target) call(n int) ([]time.Duration, error) {
	conn, err := net.Dial("tcp", t.addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	durations := make([]time.Duration, 0, n)
	for range n {
		start := time.Now()
		if _, err := io.WriteString(conn, t.request); err != nil {
			return durations, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return durations, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			return durations, fmt.Errorf("answer has status %s, read error %v", resp.Status, err)
		}
		durations = append(durations, time.Since(start))
	}
	return durations, nil
}

// ticksPerSecond is USER_HZ, the unit of processor time in /proc/PID/stat.
const ticksPerSecond = 100

// cpuOf returns the processor time (user and system) that a process has used, 0 if it
// cannot be read.
func cpuOf(pid int) time.Duration {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	fields := strings.Fields(string(b[strings.LastIndexByte(string(b), ')')+1:]))
	user, _ := strconv.ParseInt(fields[11], 10, 64)
	system, _ := strconv.ParseInt(fields[12], 10, 64)
	return time.Duration(user+system) * time.Second / ticksPerSecond
}

// allocated returns the bytes that a process has allocated so far, read from its debug
// address, or 0 without one.
func allocated(debug string) int64 {
	if debug == "" {
		return 0
	}
	resp, err := http.Get("http://" + debug + "/debug/vars")
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var vars struct {
		Memstats struct{ TotalAlloc int64 } `json:"memstats"`
	}
	_ = json.NewDecoder(resp.Body).Decode(&vars)
	return vars.Memstats.TotalAlloc
}
