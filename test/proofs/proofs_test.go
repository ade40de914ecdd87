// Package proofs contains fault-injection tests: a deployment of real processes serves
// requests while processes are killed or stopped, connections are blocked and the
// platform's store fails. Each test checks an invariant on the verdicts that callers
// received and the requests that upstreams ran.
package proofs

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"syscall"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/verdict"
	"github.com/loomkeel/loomkeel/test/fleet"
)

// bin is the directory of the binaries that the tests run.
var bin string

// TestMain builds the binaries before the tests.
func TestMain(m *testing.M) {
	os.Exit(run(m))
}

func run(m *testing.M) int {
	dir, err := os.MkdirTemp("", "loomkeel-proofs-")
	if err != nil {
		fmt.Println(err)
		return 1
	}
	defer os.RemoveAll(dir)
	bin = dir
	build := exec.Command("go", "build", "-o", dir, "../../cmd/...")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Printf("build of ../../cmd/...: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// twoRegions returns a deployment of two regions with two failure domains each. Every
// domain has one instance of loomkeel, two upstreams of stock and two of orders.
func twoRegions() fleet.Spec {
	s := fleet.Spec{ServiceTime: 10 * time.Millisecond, Linger: time.Second, UseProxies: true}
	for _, region := range []string{"muscat", "sohar"} {
		for _, d := range []string{"a", "b"} {
			domain := region + "-" + d
			s.Nodes = append(s.Nodes, fleet.Node{ID: "n-" + domain, Region: region, Domain: domain})
			s.UpstreamGroups = append(s.UpstreamGroups,
				fleet.UpstreamGroup{Service: "stock", Region: region, Domain: domain, Count: 2, Slots: 9},
				fleet.UpstreamGroup{Service: "orders", Region: region, Domain: domain, Count: 2, Slots: 6})
		}
	}
	return s
}

// deploy starts a deployment, waits until every agent lists the entries of all instances,
// and stops the deployment at the end of the test.
func deploy(t *testing.T, spec fleet.Spec) *fleet.Fleet {
	t.Helper()
	dir := t.TempDir()
	f, err := fleet.New(bin, dir, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	check(t, f.Start())
	check(t, waitAllJoined(f))
	return f
}

// waitAllJoined waits until every agent lists the entries of all instances as live.
func waitAllJoined(f *fleet.Fleet) error {
	return fleet.Eventually(func() error {
		for id := range f.Nodes {
			ms, err := f.Client(id).Members(context.Background())
			if err != nil {
				return err
			}
			live := 0
			for _, m := range ms {
				if m.Live() && m.Entry != "" {
					live++
				}
			}
			if live != len(f.Nodes) {
				return fmt.Errorf("agent of %s lists %d live entries, want %d", id, live, len(f.Nodes))
			}
		}
		return nil
	})
}

// check ends the test if err is set.
func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// ctl runs loomkeelctl, which must end with status 0.
func ctl(t *testing.T, f *fleet.Fleet, node string, args ...string) {
	t.Helper()
	if out, status := f.Ctl(node, args...); status != 0 {
		t.Fatalf("loomkeelctl %v: status %d: %s", args, status, out)
	}
}

// entries returns the entry addresses of nodes for LoadGenerator.Entries, rotated so that
// callers start with different entries.
func entries(f *fleet.Fleet, nodes ...string) func(int) []string {
	return func(caller int) []string {
		var out []string
		for i := range nodes {
			out = append(out, f.Nodes[nodes[(caller+i)%len(nodes)]].Entry)
		}
		return out
	}
}

// nodeIDs returns the IDs of all instances.
func nodeIDs(f *fleet.Fleet) []string {
	var ids []string
	for _, n := range f.Spec.Nodes {
		ids = append(ids, n.ID)
	}
	return ids
}

// checkOutcomes fails the test on every contradiction between the callers' verdicts and
// the requests that the upstreams ran, and if no request ran.
func checkOutcomes(t *testing.T, f *fleet.Fleet, outcomes []fleet.Outcome, unsafe bool) {
	t.Helper()
	runs, err := f.Runs()
	check(t, err)
	for _, fault := range fleet.CheckOutcomes(outcomes, fleet.CountRuns(runs), unsafe) {
		t.Error(fault)
	}
	n := fleet.CountVerdicts(outcomes)
	t.Logf("%d requests: %d ran, %d not run, %d may have run", len(outcomes), n[verdict.Ran], n[verdict.NotRun], n[verdict.MayHaveRun])
	if n[verdict.Ran] == 0 {
		t.Error("no request ran")
	}
}

// waitOutcomes waits until the callers have got more further outcomes.
func waitOutcomes(l *fleet.LoadGenerator, more int) error {
	have := len(l.Outcomes())
	return fleet.Eventually(func() error {
		if got := len(l.Outcomes()) - have; got < more {
			return fmt.Errorf("%d more outcomes, want %d", got, more)
		}
		return nil
	})
}

// TestUnsafeRunsAtMostOnce: callers send unsafe requests while upstreams, an entry and an
// agent are killed, an entry is stopped by SIGSTOP, the connections to an upstream are
// blocked and the store is down. No request may run twice or against its verdict.
func TestUnsafeRunsAtMostOnce(t *testing.T) {
	f := deploy(t, twoRegions())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "order", Service: "orders", Method: "POST", Path: "/orders", Repeat: "unsafe", Body: "3 palms",
		Entries: entries(f, nodeIDs(f)...), Callers: 8, Pause: time.Millisecond}
	l.Start(ctx)
	faults := []func() error{
		func() error { return fleet.Post(f.Platform, "/fault/down") },
		func() error { f.Proc("upstreams-muscat").Kill(); return nil },
		func() error { return f.StartRegionUpstreams("muscat") },
		func() error { f.Proc("n-muscat-a-entry").Kill(); return nil },
		func() error { return f.Proc("n-sohar-a-entry").Signal(syscall.SIGSTOP) },
		func() error { f.UpstreamProxies["orders-sohar-b-1"].SetBlocked(true); return nil },
		func() error { return f.Proc("n-sohar-a-entry").Signal(syscall.SIGCONT) },
		func() error { f.Proc("n-sohar-b-agent").Kill(); return nil },
		func() error { f.UpstreamProxies["orders-sohar-b-1"].SetBlocked(false); return nil },
		func() error { _, err := f.StartProcess("n-muscat-a", fleet.Entry); return err },
		func() error { _, err := f.StartProcess("n-sohar-b", fleet.Agent); return err },
		func() error { return fleet.Post(f.Platform, "/fault/none") },
	}
	for i, fault := range faults {
		check(t, waitOutcomes(l, 60))
		if err := fault(); err != nil {
			t.Fatalf("fault %d: %v", i, err)
		}
	}
	check(t, waitOutcomes(l, 60))
	cancel()
	checkOutcomes(t, f, l.Wait(), true)
}

// TestAnswersAreCompleteAndMatch: callers read large answers while upstreams are killed
// and connections closed in the middle of them. An answer with status 200 must be
// complete and belong to its request.
func TestAnswersAreCompleteAndMatch(t *testing.T) {
	const size = 300_000
	f := deploy(t, twoRegions())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "page", Service: "stock", Method: "GET", Path: fmt.Sprint("/photo?size=", size),
		Entries: entries(f, nodeIDs(f)...), Callers: 8, Pause: time.Millisecond}
	l.Start(ctx)
	for range 3 {
		check(t, waitOutcomes(l, 40))
		f.Proc("upstreams-sohar").Kill()
		check(t, waitOutcomes(l, 40))
		check(t, f.StartRegionUpstreams("sohar"))
		for _, r := range f.UpstreamProxies {
			r.SetBlocked(true)
			r.SetBlocked(false)
		}
	}
	check(t, waitOutcomes(l, 40))
	cancel()
	outcomes := l.Wait()
	checkOutcomes(t, f, outcomes, false)
	for _, o := range outcomes {
		if o.Verdict == verdict.Ran && o.LastReply.Status == 200 && len(o.LastReply.Body) < size {
			t.Errorf("%s: an answer of %d bytes was passed on as complete", o.ID, len(o.LastReply.Body))
		}
	}
}

// TestLeavingUpstreamGetsNoNewRequests: an upstream leaves by each of the three signals:
// the platform's instance list, an operator's drain and the upstream's own state. The
// store is killed right after the drain is accepted.
func TestLeavingUpstreamGetsNoNewRequests(t *testing.T) {
	signals := map[string]func(t *testing.T, f *fleet.Fleet, upstream string){
		"platform list": func(t *testing.T, f *fleet.Fleet, upstream string) {
			check(t, fleet.Post(f.Platform, "/leaving/"+upstream))
		},
		"drain, then loss of the store": func(t *testing.T, f *fleet.Fleet, upstream string) {
			ctl(t, f, "n-sohar-b", "drain", "work", "--upstream", upstream)
			f.Proc("platform").Kill()
		},
		"state of the upstream": func(t *testing.T, f *fleet.Fleet, upstream string) {
			for _, u := range f.Upstreams {
				if u.ID == upstream {
					check(t, fleet.Post(u.Address, "/-/mode/draining"))
				}
			}
		},
	}
	for name, leave := range signals {
		t.Run(name, func(t *testing.T) {
			const upstream = "orders-muscat-a-1"
			f := deploy(t, twoRegions())
			ctx, cancel := context.WithCancel(t.Context())
			defer cancel()
			l := &fleet.LoadGenerator{Name: "order", Service: "orders", Method: "POST", Path: "/orders", Body: "palm",
				Entries: entries(f, nodeIDs(f)...), Callers: 6, Pause: time.Millisecond}
			l.Start(ctx)
			check(t, waitOutcomes(l, 100))
			leave(t, f, upstream)
			check(t, waitDraining(f, upstream, "n-muscat-a", "n-muscat-b"))
			leftAt := time.Now()
			check(t, waitOutcomes(l, 200))
			cancel()
			outcomes := l.Wait()
			checkOutcomes(t, f, outcomes, true)
			runs, err := f.Runs()
			check(t, err)
			sentLater := make(map[string]bool)
			for _, o := range outcomes {
				sentLater[o.ID] = o.SentAt.After(leftAt)
			}
			for _, r := range runs {
				if r.Upstream == upstream && sentLater[r.ID] {
					t.Errorf("%s was sent to the leaving upstream", r.ID)
				}
			}
		})
	}
}

// waitDraining waits until the entries of nodes show an upstream as draining.
func waitDraining(f *fleet.Fleet, upstream string, nodes ...string) error {
	return fleet.Eventually(func() error {
		for _, id := range nodes {
			d, err := f.EntryState(id)
			if err != nil {
				return err
			}
			for _, s := range d.Services {
				for _, u := range s.Upstreams {
					if u.ID == upstream && !u.Draining {
						return fmt.Errorf("entry of %s does not show %s as draining", id, upstream)
					}
				}
			}
		}
		return nil
	})
}

// TestPlannedStopAbortsNoRequest: every process of every instance is stopped by SIGTERM
// and started again in turn, under load. Every request must be answered.
func TestPlannedStopAbortsNoRequest(t *testing.T) {
	f := deploy(t, twoRegions())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "notice", Service: "orders", Method: "POST", Path: "/notices", Body: "notice", Callers: 8, Pause: time.Millisecond,
		Entries: func(caller int) []string { return f.LookupEntries("orders", caller) }}
	l.Start(ctx)
	for _, id := range nodeIDs(f) {
		for _, process := range []string{fleet.Entry, fleet.Director, fleet.Agent} {
			check(t, waitOutcomes(l, 30))
			p := f.Proc(id + "-" + process)
			check(t, p.Signal(syscall.SIGTERM))
			<-p.Done()
			check(t, p.Err())
			_, err := f.StartProcess(id, process)
			check(t, err)
			check(t, f.WaitReady(id))
			check(t, waitAllJoined(f))
		}
	}
	cancel()
	outcomes := l.Wait()
	checkOutcomes(t, f, outcomes, true)
	for _, o := range outcomes {
		if o.Verdict != verdict.Ran {
			t.Errorf("%s was not answered: verdict %v after %d attempts, last reply %v", o.ID, o.Verdict, o.Attempts, o.LastReply)
		}
	}
}

// TestAcceptedRevisionsStayInForce: the configuration changes while one agent is killed and
// another stopped by SIGSTOP, the store loses replies and is killed. Every accepted
// revision must get into force, and no entry may return to an older one.
func TestAcceptedRevisionsStayInForce(t *testing.T) {
	f := deploy(t, twoRegions())
	ctx, cancel := context.WithCancel(t.Context())
	watch := watchRevisions(ctx, f)
	set := func(node, value string) {
		t.Helper()
		ctl(t, f, node, "set", "/services/orders", "deadline="+value)
	}
	set("n-muscat-a", "2s")
	check(t, f.WaitRevision(1, nodeIDs(f)...))

	check(t, f.Proc("n-sohar-a-agent").Signal(syscall.SIGSTOP))
	set("n-muscat-a", "3s")
	check(t, f.WaitRevision(2, "n-muscat-a", "n-muscat-b", "n-sohar-b"))
	check(t, f.Proc("n-sohar-a-agent").Signal(syscall.SIGCONT))
	check(t, f.WaitRevision(2, nodeIDs(f)...))

	check(t, fleet.Post(f.Platform, "/fault/lose-replies"))
	set("n-sohar-b", "4s")
	check(t, fleet.Post(f.Platform, "/fault/none"))
	check(t, f.WaitRevision(3, nodeIDs(f)...))

	// The store is killed right after it accepted the change. An agent that starts
	// afterwards gets the revision from other agents.
	f.Proc("n-muscat-b-agent").Kill()
	set("n-muscat-a", "5s")
	f.Proc("platform").Kill()
	_, err := f.StartProcess("n-muscat-b", fleet.Agent)
	check(t, err)
	check(t, f.WaitRevision(4, nodeIDs(f)...))

	out, status := f.Ctl("n-sohar-a", "set", "/services/orders", "deadline=6s")
	if status != 1 {
		t.Errorf("set without the store: status %d, want 1: %s", status, out)
	}
	cancel()
	for _, fault := range watch() {
		t.Error(fault)
	}
}

// watchRevisions polls the entries' revisions until ctx ends. The returned function waits
// for that end and returns a description of every decrease.
func watchRevisions(ctx context.Context, f *fleet.Fleet) func() []string {
	done := make(chan []string, 1)
	go func() {
		var faults []string
		last := make(map[string]uint64)
		for ctx.Err() == nil {
			for _, id := range nodeIDs(f) {
				rev, err := f.EntryRevision(id)
				if err != nil {
					continue
				}
				if rev < last[id] {
					faults = append(faults, fmt.Sprintf("entry of %s went from revision %d back to %d", id, last[id], rev))
				}
				last[id] = rev
			}
			time.Sleep(5 * time.Millisecond)
		}
		done <- faults
	}()
	return func() []string { return <-done }
}

// TestConcurrentOperators: two operators at different agents change the same path at one
// time, then different paths, while the store's replies are lost. Of changes to one path
// with the same expected revision only one may be accepted.
func TestConcurrentOperators(t *testing.T) {
	f := deploy(t, twoRegions())
	check(t, fleet.Post(f.Platform, "/fault/lose-replies"))
	type result struct{ status int }
	runBoth := func(args func(i int) []string) []int {
		var out []int
		ch := make(chan result, 2)
		for i, node := range []string{"n-muscat-a", "n-sohar-b"} {
			go func() {
				_, status := f.Ctl(node, args(i)...)
				ch <- result{status}
			}()
		}
		for range 2 {
			out = append(out, (<-ch).status)
		}
		slices.Sort(out)
		return out
	}
	ctl(t, f, "n-muscat-a", "set", "/services/orders", "deadline=1s")
	check(t, f.WaitRevision(1, nodeIDs(f)...))
	same := runBoth(func(i int) []string {
		return []string{"set", "--if-revision", "1", "/services/orders", fmt.Sprintf("deadline=%ds", 2+i)}
	})
	if !slices.Equal(same, []int{0, 1}) {
		t.Errorf("one path: statuses %v, want one accepted and one refused", same)
	}
	different := runBoth(func(i int) []string { return []string{"set", fmt.Sprint("/services/s", i), "priority=3"} })
	if !slices.Equal(different, []int{0, 0}) {
		t.Errorf("different paths: statuses %v, want both accepted", different)
	}
	check(t, f.WaitRevision(4, nodeIDs(f)...))
	var trees []string
	for _, id := range nodeIDs(f) {
		out, _ := f.Ctl(id, "get")
		trees = append(trees, out)
	}
	if len(slices.Compact(trees)) != 1 {
		t.Errorf("agents return different trees: %q", trees)
	}
}

// TestMoveStaysBelowShiftCap: an operator moves traffic to the other region. The store is
// killed and an entry is stopped by SIGSTOP for a second meanwhile. The other region must
// get no more than the configured fraction of the requests.
func TestMoveStaysBelowShiftCap(t *testing.T) {
	const fraction, step = 0.3, 0.1
	f := deploy(t, twoRegions())
	ctl(t, f, "n-muscat-a", "set", "/services/stock", "shift_cap=0.3", "shift_rate=1")
	if out, status := f.Ctl("n-muscat-a", "move", "too-much", "--service", "stock", "--from", "muscat", "--to", "sohar",
		"--fraction", "0.5", "--duration", "1m"); status != 1 {
		t.Errorf("move above shift_cap: status %d, want 1: %s", status, out)
	}
	ctl(t, f, "n-muscat-a", "move", "bulk", "--service", "stock", "--from", "muscat", "--to", "sohar",
		"--fraction", fmt.Sprint(fraction), "--duration", "18s", "--step", fmt.Sprint(step))
	check(t, f.WaitRevision(2, nodeIDs(f)...))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "look", Service: "stock", Method: "GET", Path: "/palms",
		Entries: entries(f, "n-muscat-a", "n-muscat-b"), Callers: 6, Pause: time.Millisecond}
	l.Start(ctx)
	check(t, waitOutcomes(l, 200))
	f.Proc("platform").Kill()
	check(t, f.Proc("n-muscat-a-entry").Signal(syscall.SIGSTOP))
	time.Sleep(time.Second)
	check(t, f.Proc("n-muscat-a-entry").Signal(syscall.SIGCONT))
	check(t, fleet.Eventually(func() error {
		for _, id := range []string{"n-muscat-a", "n-muscat-b"} {
			d, err := f.EntryState(id)
			if err != nil {
				return err
			}
			if got := d.Services["stock"].Shares["/moves/bulk"]; got < fraction {
				return fmt.Errorf("entry of %s moves a share of %.2f", id, got)
			}
		}
		return nil
	}))
	check(t, waitOutcomes(l, 300))
	cancel()
	outcomes := l.Wait()
	checkOutcomes(t, f, outcomes, false)
	runs, err := f.Runs()
	check(t, err)
	moved := 0
	for _, r := range runs {
		if r.Upstream == "stock-sohar-a-1" || r.Upstream == "stock-sohar-a-2" || r.Upstream == "stock-sohar-b-1" || r.Upstream == "stock-sohar-b-2" {
			moved++
		}
	}
	t.Logf("%d of %d moved", moved, len(outcomes))
	// Each of the two entries may be one request above its share at any time.
	if limit := fraction*float64(len(outcomes)) + 2; float64(moved) > limit {
		t.Errorf("%d of %d requests moved, want at most %.0f", moved, len(outcomes), limit)
	}
	if moved == 0 {
		t.Error(errors.New("no request moved"))
	}
}

// TestRegionStaysBelowItsCap: a region is overloaded by its own entries and, after the
// other region's upstreams are killed, by the entries there as well. Meanwhile an agent
// and an entry are stopped by SIGSTOP, an entry is restarted and the store is down. The
// requests in flight must never exceed max_in_flight of the region.
func TestRegionStaysBelowItsCap(t *testing.T) {
	const maxInFlight = 24
	spec := twoRegions()
	spec.ServiceTime = 40 * time.Millisecond
	f := deploy(t, spec)
	ctl(t, f, "n-muscat-a", "set", "/services/stock/regions/sohar", fmt.Sprint("max_in_flight=", maxInFlight))
	check(t, f.WaitRevision(1, nodeIDs(f)...))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "look", Service: "stock", Method: "GET", Path: "/palms",
		Entries: entries(f, nodeIDs(f)...), Callers: 60, Pause: time.Millisecond}
	l.Start(ctx)
	check(t, waitCapLimits(f, 16))
	check(t, waitOutcomes(l, 400))
	f.Proc("upstreams-muscat").Kill()
	check(t, waitOutcomes(l, 400))
	for _, p := range []string{"n-sohar-a-agent", "n-muscat-a-entry"} {
		check(t, f.Proc(p).Signal(syscall.SIGSTOP))
		check(t, waitOutcomes(l, 200))
		check(t, f.Proc(p).Signal(syscall.SIGCONT))
	}
	check(t, fleet.Post(f.Platform, "/fault/down"))
	check(t, waitOutcomes(l, 400))
	f.Proc("n-sohar-b-entry").Kill()
	_, err := f.StartProcess("n-sohar-b", fleet.Entry)
	check(t, err)
	check(t, fleet.Post(f.Platform, "/fault/none"))
	check(t, waitOutcomes(l, 400))
	cancel()
	checkOutcomes(t, f, l.Wait(), false)
	peak, err := f.PeakInFlight("stock", "sohar")
	check(t, err)
	t.Logf("peak %d of %d in flight", peak, maxInFlight)
	if peak > maxInFlight {
		t.Errorf("%d requests in flight at one time, want at most %d", peak, maxInFlight)
	}
	if peak < maxInFlight/2 {
		t.Errorf("peak of %d requests in flight, want at least half of the cap of %d", peak, maxInFlight)
	}
}

// waitCapLimits waits until the shares of the cap that the entries hold sum up to n or
// more.
func waitCapLimits(f *fleet.Fleet, n int) error {
	return fleet.Eventually(func() error {
		sum := 0
		for _, id := range nodeIDs(f) {
			d, err := f.EntryState(id)
			if err != nil {
				return err
			}
			for _, c := range d.Caps {
				sum += c.Limit
			}
		}
		if sum < n {
			return fmt.Errorf("the entries hold shares of %d in all, want %d", sum, n)
		}
		return nil
	})
}
