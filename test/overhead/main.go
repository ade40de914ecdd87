// Command overhead measures what an entry adds to a request against a direct
// call to the same upstream, and what a look-up costs a director, on real
// processes: latency, processor time and memory allocated.
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
	rounds := flag.Int("rounds", 5, "rounds, each direct and through the entry in turn")
	flag.Parse()
	if err := run(*bin, *requests, *callers, *rounds); err != nil {
		fmt.Fprintln(os.Stderr, "overhead:", err)
		os.Exit(1)
	}
}

var spec = fleet.Spec{
	Nodes: []fleet.Node{{ID: "n1", Region: "muscat", Domain: "muscat-a"}},
	UpstreamGroups: []fleet.UpstreamGroup{
		{Service: "stock", Region: "muscat", Domain: "muscat-a", Count: 1, Slots: 64},
	},
	Linger: time.Second,
}

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
	all := make([]cost, len(targets))
	for range rounds {
		for i, t := range targets {
			c, err := t.measure(requests, callers)
			if err != nil {
				return fmt.Errorf("%s: %w", t.name, err)
			}
			all[i].add(c)
		}
	}
	for i, t := range targets {
		fmt.Printf("%-24s %s\n", t.name, all[i].String())
	}
	direct, through := all[0], all[1]
	fmt.Printf("the entry adds p50 %v, p99 %v\n", through.quantile(0.5)-direct.quantile(0.5), through.quantile(0.99)-direct.quantile(0.99))
	return nil
}

// target is what is measured.
type target struct {
	name, addr, request string
	proc                *fleet.Proc
	debug               string
}

// cost is what requests took.
type cost struct {
	took  []time.Duration
	cpu   time.Duration
	alloc int64
}

func (c *cost) add(o cost) {
	c.took = append(c.took, o.took...)
	c.cpu += o.cpu
	c.alloc += o.alloc
}

func (c *cost) quantile(q float64) time.Duration {
	slices.Sort(c.took)
	return c.took[int(q*float64(len(c.took)-1))]
}

func (c *cost) String() string {
	n := len(c.took)
	s := fmt.Sprintf("p50 %8v p99 %8v  %6.0f requests per second of processor time", c.quantile(0.5), c.quantile(0.99), float64(n)/c.cpu.Seconds())
	if c.alloc > 0 {
		s += fmt.Sprintf(", %d bytes allocated each", c.alloc/int64(n))
	}
	return s
}

func (t target) measure(requests, callers int) (cost, error) {
	cpu, alloc := cpuOf(t.proc.PID()), allocated(t.debug)
	var wg sync.WaitGroup
	var mu sync.Mutex
	var c cost
	var failed error
	for range callers {
		wg.Go(func() {
			took, err := t.call(requests / callers)
			mu.Lock()
			defer mu.Unlock()
			c.took = append(c.took, took...)
			if err != nil {
				failed = err
			}
		})
	}
	wg.Wait()
	c.cpu, c.alloc = cpuOf(t.proc.PID())-cpu, allocated(t.debug)-alloc
	return c, failed
}

// call sends n requests over one connection, one after the other.
func (t target) call(n int) ([]time.Duration, error) {
	conn, err := net.Dial("tcp", t.addr)
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	r := bufio.NewReader(conn)
	took := make([]time.Duration, 0, n)
	for range n {
		start := time.Now()
		if _, err := io.WriteString(conn, t.request); err != nil {
			return took, err
		}
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return took, err
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil || resp.StatusCode != http.StatusOK {
			return took, fmt.Errorf("answer %s, %v", resp.Status, err)
		}
		took = append(took, time.Since(start))
	}
	return took, nil
}

// ticksPerSecond is the unit of processor time in /proc.
const ticksPerSecond = 100

// cpuOf returns the processor time that a process has used.
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

// allocated returns the bytes that a process has allocated so far.
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
