// Package proofs shows on real processes, under kills, freezes, cuts and store
// outages, what must always hold. Each check is an invariant over a record of
// what callers were told and what upstreams ran.
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

var bin string

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
		fmt.Printf("build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// twoRegions has four instances in four failure domains.
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

// deploy starts a fleet that ends with the test.
func deploy(t *testing.T, spec fleet.Spec) *fleet.Fleet {
	t.Helper()
	dir := t.TempDir()
	f, err := fleet.New(bin, dir, spec)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(f.Stop)
	check(t, f.Start())
	check(t, allJoined(f))
	return f
}

// allJoined waits until every director names entries of every region.
func allJoined(f *fleet.Fleet) error {
	return fleet.Eventually(func() error {
		for id := range f.Nodes {
			ms, err := f.Client(id).Members(context.Background())
			if err != nil {
				return err
			}
			up := 0
			for _, m := range ms {
				if m.Live() && m.Entry != "" {
					up++
				}
			}
			if up != len(f.Nodes) {
				return fmt.Errorf("%s knows %d entries of %d", id, up, len(f.Nodes))
			}
		}
		return nil
	})
}

func check(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

// ctl runs loomkeelctl, which must be accepted.
func ctl(t *testing.T, f *fleet.Fleet, node string, args ...string) {
	t.Helper()
	if out, status := f.Ctl(node, args...); status != 0 {
		t.Fatalf("loomkeelctl %v: status %d: %s", args, status, out)
	}
}

// entries returns the entries of nodes, rotated so that callers start at
// different ones.
func entries(f *fleet.Fleet, nodes ...string) func(int) []string {
	return func(caller int) []string {
		var out []string
		for i := range nodes {
			out = append(out, f.Nodes[nodes[(caller+i)%len(nodes)]].Entry)
		}
		return out
	}
}

func nodeIDs(f *fleet.Fleet) []string {
	var ids []string
	for _, n := range f.Spec.Nodes {
		ids = append(ids, n.ID)
	}
	return ids
}

// judge fails the test on every contradiction between what callers were told
// and what the upstreams ran.
func judge(t *testing.T, f *fleet.Fleet, outcomes []fleet.Outcome, unsafe bool) {
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

// answered waits until the callers have had so many more answers.
func answered(l *fleet.LoadGenerator, more int) error {
	have := len(l.Outcomes())
	return fleet.Eventually(func() error {
		if got := len(l.Outcomes()) - have; got < more {
			return fmt.Errorf("%d answers, want %d", got, more)
		}
		return nil
	})
}

// TestUnsafeRunsAtMostOnce orders while upstreams, entries and agents are
// killed and frozen, links cut, and the store is away.
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
		check(t, answered(l, 60))
		if err := fault(); err != nil {
			t.Fatalf("fault %d: %v", i, err)
		}
	}
	check(t, answered(l, 60))
	cancel()
	judge(t, f, l.Wait(), true)
}

// TestAnswersAreWholeAndTheirOwn reads large answers while upstreams are killed
// in the middle of them and links are cut.
func TestAnswersAreWholeAndTheirOwn(t *testing.T) {
	const size = 300_000
	f := deploy(t, twoRegions())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "page", Service: "stock", Method: "GET", Path: fmt.Sprint("/photo?size=", size),
		Entries: entries(f, nodeIDs(f)...), Callers: 8, Pause: time.Millisecond}
	l.Start(ctx)
	for range 3 {
		check(t, answered(l, 40))
		f.Proc("upstreams-sohar").Kill()
		check(t, answered(l, 40))
		check(t, f.StartRegionUpstreams("sohar"))
		for _, r := range f.UpstreamProxies {
			r.SetBlocked(true)
			r.SetBlocked(false)
		}
	}
	check(t, answered(l, 40))
	cancel()
	outcomes := l.Wait()
	judge(t, f, outcomes, false)
	for _, o := range outcomes {
		if o.Verdict == verdict.Ran && o.LastReply.Status == 200 && len(o.LastReply.Body) < size {
			t.Errorf("%s: an answer of %d bytes passed for whole", o.ID, len(o.LastReply.Body))
		}
	}
}

// TestLeavingUpstreamGetsNoNewWork lets upstreams leave by each of the three
// signals. The drain is announced in the last moment before the store is gone.
func TestLeavingUpstreamGetsNoNewWork(t *testing.T) {
	signals := map[string]func(t *testing.T, f *fleet.Fleet, upstream string){
		"platform list": func(t *testing.T, f *fleet.Fleet, upstream string) {
			check(t, fleet.Post(f.Platform, "/leaving/"+upstream))
		},
		"drain, then the store is gone": func(t *testing.T, f *fleet.Fleet, upstream string) {
			ctl(t, f, "n-sohar-b", "drain", "work", "--upstream", upstream)
			f.Proc("platform").Kill()
		},
		"its own word": func(t *testing.T, f *fleet.Fleet, upstream string) {
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
			check(t, answered(l, 100))
			leave(t, f, upstream)
			check(t, drainingAt(f, upstream, "n-muscat-a", "n-muscat-b"))
			from := time.Now()
			check(t, answered(l, 200))
			cancel()
			outcomes := l.Wait()
			judge(t, f, outcomes, true)
			runs, err := f.Runs()
			check(t, err)
			late := make(map[string]bool)
			for _, o := range outcomes {
				late[o.ID] = o.SentAt.After(from)
			}
			for _, r := range runs {
				if r.Upstream == upstream && late[r.ID] {
					t.Errorf("%s was sent to the leaving upstream", r.ID)
				}
			}
		})
	}
}

// drainingAt waits until the entries of nodes give an upstream no new work.
func drainingAt(f *fleet.Fleet, upstream string, nodes ...string) error {
	return fleet.Eventually(func() error {
		for _, id := range nodes {
			d, err := f.EntryState(id)
			if err != nil {
				return err
			}
			for _, s := range d.Services {
				for _, u := range s.Upstreams {
					if u.ID == upstream && !u.Draining {
						return fmt.Errorf("%s still uses %s", id, upstream)
					}
				}
			}
		}
		return nil
	})
}

// TestPlannedStopCutsNothing restarts every process of every instance in turn,
// under load, by SIGTERM.
func TestPlannedStopCutsNothing(t *testing.T) {
	f := deploy(t, twoRegions())
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "notice", Service: "orders", Method: "POST", Path: "/notices", Body: "notice", Callers: 8, Pause: time.Millisecond,
		Entries: func(caller int) []string { return lookedUp(f, caller) }}
	l.Start(ctx)
	for _, id := range nodeIDs(f) {
		for _, process := range []string{fleet.Entry, fleet.Director, fleet.Agent} {
			check(t, answered(l, 30))
			p := f.Proc(id + "-" + process)
			check(t, p.Signal(syscall.SIGTERM))
			<-p.Done()
			check(t, p.Err())
			_, err := f.StartProcess(id, process)
			check(t, err)
			check(t, f.WaitReady(id))
			check(t, allJoined(f))
		}
	}
	cancel()
	outcomes := l.Wait()
	judge(t, f, outcomes, true)
	for _, o := range outcomes {
		if o.Verdict != verdict.Ran {
			t.Errorf("%s was cut off: told %v by %d entries: %v", o.ID, o.Verdict, o.Attempts, o.LastReply)
		}
	}
}

// lookedUp asks directors, as a caller does, which entries to use.
func lookedUp(f *fleet.Fleet, caller int) []string {
	ids := nodeIDs(f)
	var out []string
	for i := range ids {
		a, err := f.Lookup(ids[(caller+i)%len(ids)], "orders", fmt.Sprintf("10.0.0.%d", caller))
		if err != nil {
			continue
		}
		for _, e := range a.Entries {
			out = append(out, e.Address)
		}
		break
	}
	return out
}

// TestConfigurationIsInForceAndStays changes the configuration while readers
// are killed, an agent is frozen, replies are lost and the store dies. No entry
// may ever show an older revision than before.
func TestConfigurationIsInForceAndStays(t *testing.T) {
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

	// The store dies with the acceptance; agents that start meanwhile get the
	// revision from their neighbours.
	f.Proc("n-muscat-b-agent").Kill()
	set("n-muscat-a", "5s")
	f.Proc("platform").Kill()
	_, err := f.StartProcess("n-muscat-b", fleet.Agent)
	check(t, err)
	check(t, f.WaitRevision(4, nodeIDs(f)...))

	out, status := f.Ctl("n-sohar-a", "set", "/services/orders", "deadline=6s")
	if status != 1 {
		t.Errorf("a change without the store: status %d: %s", status, out)
	}
	cancel()
	for _, fault := range watch() {
		t.Error(fault)
	}
}

// watchRevisions polls the entries' revisions until ctx ends; the function that
// it returns gives every fall that it saw.
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
					faults = append(faults, fmt.Sprintf("%s fell from revision %d to %d", id, last[id], rev))
				}
				last[id] = rev
			}
			time.Sleep(5 * time.Millisecond)
		}
		done <- faults
	}()
	return func() []string { return <-done }
}

// TestRacingOperators lets two scripts at different agents change the same path
// and then different ones, while replies are lost.
func TestRacingOperators(t *testing.T) {
	f := deploy(t, twoRegions())
	check(t, fleet.Post(f.Platform, "/fault/lose-replies"))
	type result struct{ status int }
	race := func(args func(i int) []string) []int {
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
	same := race(func(i int) []string {
		return []string{"set", "--if-revision", "1", "/services/orders", fmt.Sprintf("deadline=%ds", 2+i)}
	})
	if !slices.Equal(same, []int{0, 1}) {
		t.Errorf("one path: statuses %v, want one accepted and one refused", same)
	}
	different := race(func(i int) []string { return []string{"set", fmt.Sprint("/services/s", i), "priority=3"} })
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
		t.Errorf("agents disagree: %q", trees)
	}
}

// TestShiftStaysUnderItsCap moves traffic to the other region, freezes the
// entry that moves most, takes the store away, and counts.
func TestShiftStaysUnderItsCap(t *testing.T) {
	const fraction, step = 0.3, 0.1
	f := deploy(t, twoRegions())
	ctl(t, f, "n-muscat-a", "set", "/services/stock", "shift_cap=0.3", "shift_rate=1")
	if out, status := f.Ctl("n-muscat-a", "move", "too-much", "--service", "stock", "--from", "muscat", "--to", "sohar",
		"--fraction", "0.5", "--duration", "1m"); status != 1 {
		t.Errorf("a move beyond the cap: status %d: %s", status, out)
	}
	ctl(t, f, "n-muscat-a", "move", "bulk", "--service", "stock", "--from", "muscat", "--to", "sohar",
		"--fraction", fmt.Sprint(fraction), "--duration", "18s", "--step", fmt.Sprint(step))
	check(t, f.WaitRevision(2, nodeIDs(f)...))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "look", Service: "stock", Method: "GET", Path: "/palms",
		Entries: entries(f, "n-muscat-a", "n-muscat-b"), Callers: 6, Pause: time.Millisecond}
	l.Start(ctx)
	check(t, answered(l, 200))
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
				return fmt.Errorf("%s moves %.2f", id, got)
			}
		}
		return nil
	}))
	check(t, answered(l, 300))
	cancel()
	outcomes := l.Wait()
	judge(t, f, outcomes, false)
	runs, err := f.Runs()
	check(t, err)
	moved := 0
	for _, r := range runs {
		if r.Upstream == "stock-sohar-a-1" || r.Upstream == "stock-sohar-a-2" || r.Upstream == "stock-sohar-b-1" || r.Upstream == "stock-sohar-b-2" {
			moved++
		}
	}
	t.Logf("%d of %d moved", moved, len(outcomes))
	// Each of the two entries may be one request ahead.
	if most := fraction*float64(len(outcomes)) + 2; float64(moved) > most {
		t.Errorf("%d of %d requests moved, at most %.0f may", moved, len(outcomes), most)
	}
	if moved == 0 {
		t.Error(errors.New("nothing moved"))
	}
}

// TestRegionStaysUnderItsCap overloads a region from its own entries and, when
// the other region's upstreams die, from those too, while agents and entries are
// frozen and the store is away.
func TestRegionStaysUnderItsCap(t *testing.T) {
	const most = 24
	spec := twoRegions()
	spec.ServiceTime = 40 * time.Millisecond
	f := deploy(t, spec)
	ctl(t, f, "n-muscat-a", "set", "/services/stock/regions/sohar", fmt.Sprint("max_in_flight=", most))
	check(t, f.WaitRevision(1, nodeIDs(f)...))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	l := &fleet.LoadGenerator{Name: "look", Service: "stock", Method: "GET", Path: "/palms",
		Entries: entries(f, nodeIDs(f)...), Callers: 60, Pause: time.Millisecond}
	l.Start(ctx)
	check(t, usable(f, 16))
	check(t, answered(l, 400))
	f.Proc("upstreams-muscat").Kill()
	check(t, answered(l, 400))
	for _, p := range []string{"n-sohar-a-agent", "n-muscat-a-entry"} {
		check(t, f.Proc(p).Signal(syscall.SIGSTOP))
		check(t, answered(l, 200))
		check(t, f.Proc(p).Signal(syscall.SIGCONT))
	}
	check(t, fleet.Post(f.Platform, "/fault/down"))
	check(t, answered(l, 400))
	f.Proc("n-sohar-b-entry").Kill()
	_, err := f.StartProcess("n-sohar-b", fleet.Entry)
	check(t, err)
	check(t, fleet.Post(f.Platform, "/fault/none"))
	check(t, answered(l, 400))
	cancel()
	judge(t, f, l.Wait(), false)
	peak, err := f.PeakInFlight("stock", "sohar")
	check(t, err)
	t.Logf("peak %d of %d in flight", peak, most)
	if peak > most {
		t.Errorf("%d requests in flight at once, the cap is %d", peak, most)
	}
	if peak < most/2 {
		t.Errorf("peak %d: the cap of %d is hardly used", peak, most)
	}
}

// usable waits until the entries together may use at least n of a cap.
func usable(f *fleet.Fleet, n int) error {
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
			return fmt.Errorf("%d usable, want %d", sum, n)
		}
		return nil
	})
}
