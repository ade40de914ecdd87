// Command quickstart runs a small deployment as separate processes and shows
// a look-up, requests, a change of a setting, and a drain and a planned stop
// under load. It exits with status 1 and prints the cause if a step fails.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/loomkeel/loomkeel/internal/verdict"
	"github.com/loomkeel/loomkeel/test/fleet"
)

func main() {
	bin := flag.String("bin", "bin", "directory of the binaries")
	keep := flag.Bool("keep", false, "leave the deployment running until interrupted")
	flag.Parse()
	if err := run(*bin, *keep); err != nil {
		fmt.Println("FAILED:", err)
		os.Exit(1)
	}
}

// spec is the deployment: two instances in two failure domains of one region.
var spec = fleet.Spec{
	Nodes: []fleet.Node{{ID: "n1", Region: "muscat", Domain: "muscat-a"}, {ID: "n2", Region: "muscat", Domain: "muscat-b"}},
	UpstreamGroups: []fleet.UpstreamGroup{
		{Service: "stock", Region: "muscat", Domain: "muscat-a", Count: 2, Slots: 9},
		{Service: "stock", Region: "muscat", Domain: "muscat-b", Count: 2, Slots: 9},
		{Service: "orders", Region: "muscat", Domain: "muscat-a", Count: 1, Slots: 6},
		{Service: "orders", Region: "muscat", Domain: "muscat-b", Count: 1, Slots: 6},
	},
	ServiceTime: 5 * time.Millisecond,
	Linger:      2 * time.Second,
}

// run starts the deployment and runs the steps, or with keep waits for a signal.
func run(bin string, keep bool) error {
	dir, err := os.MkdirTemp("", "loomkeel-quickstart-")
	if err != nil {
		return err
	}
	f, err := fleet.New(bin, dir, spec)
	if err != nil {
		return err
	}
	defer f.Stop()
	start := time.Now()
	if err := f.Start(); err != nil {
		return fmt.Errorf("start of the deployment: %w (logs in %s)", err, dir)
	}
	fmt.Printf("started: platform, %d upstreams, %d instances of 3 processes, ready in %v\n", len(f.Upstreams), len(f.Nodes), time.Since(start).Round(time.Millisecond))
	if keep {
		return waitForSignal(f)
	}
	for _, step := range []func(*fleet.Fleet) error{lookup, requests, change, drain, stop} {
		if err := step(f); err != nil {
			return fmt.Errorf("%w (logs in %s)", err, dir)
		}
	}
	return os.RemoveAll(dir)
}

// waitForSignal prints the addresses of the deployment and waits for SIGINT or SIGTERM.
func waitForSignal(f *fleet.Fleet) error {
	for id, a := range f.Nodes {
		fmt.Printf("%s: look-ups http://%s/v1/lookup?service=stock  requests http://%s  operators %s\n", id, a.Director, a.Entry, a.Operator)
	}
	fmt.Println("interrupt to stop")
	ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer cancel()
	<-ctx.Done()
	return nil
}

// lookup asks a director for the entries of a service until it names both.
func lookup(f *fleet.Fleet) error {
	err := fleet.Eventually(func() error {
		a, err := f.Lookup("n1", "stock", "10.1.2.3")
		if err == nil && len(a.Entries) < 2 {
			err = fmt.Errorf("look-up names %d entries, want 2", len(a.Entries))
		}
		return err
	})
	if err != nil {
		return err
	}
	a, err := f.Lookup("n1", "stock", "10.1.2.3")
	if err != nil {
		return err
	}
	fmt.Printf("look-up: use %s (%s), else %s; for %gs\n", a.Entries[0].ID, a.Entries[0].Address, a.Entries[1].ID, a.Lifetime)
	return nil
}

// requests sends one safe and one unsafe request.
func requests(f *fleet.Fleet) error {
	ctx := context.Background()
	entry := f.Nodes["n1"].Entry
	safe := fleet.Do(ctx, fleet.Request{Entry: entry, Method: "GET", Path: "/palms", Service: "stock", ID: "safe-1"})
	unsafe := fleet.Do(ctx, fleet.Request{Entry: entry, Method: "POST", Path: "/orders", Service: "orders", ID: "order-1", Body: "3 date palms"})
	if safe.Status != 200 || unsafe.Status != 200 {
		return fmt.Errorf("safe request got status %d, unsafe request %d, want 200: %v %v", safe.Status, unsafe.Status, safe, unsafe)
	}
	fmt.Printf("safe request: %d in %v: %s", safe.Status, safe.Duration.Round(time.Microsecond), safe.Body)
	fmt.Printf("unsafe request: %d in %v: %s", unsafe.Status, unsafe.Duration.Round(time.Microsecond), unsafe.Body)
	return nil
}

// change sets a deadline and waits until it is in force at both entries.
func change(f *fleet.Fleet) error {
	start := time.Now()
	out, status := f.Ctl("n1", "set", "/services/stock", "deadline=2s")
	if status != 0 {
		return fmt.Errorf("set: status %d: %s", status, out)
	}
	took := time.Since(start)
	err := f.WaitRevision(1, "n1", "n2")
	fmt.Printf("change: %s in %v, in force at every entry after %v\n", out, took.Round(time.Millisecond), time.Since(start).Round(time.Millisecond))
	return err
}

// startOrders starts callers that send orders to one entry until ctx ends.
func startOrders(ctx context.Context, name, entry string) *fleet.LoadGenerator {
	l := &fleet.LoadGenerator{
		Name: name, Service: "orders", Method: "POST", Path: "/orders", Body: "palm", Callers: 4, Pause: 2 * time.Millisecond,
		Entries: func(int) []string { return []string{entry} },
	}
	l.Start(ctx)
	return l
}

// checkOutcomes compares the callers' verdicts with what the upstreams ran.
func checkOutcomes(f *fleet.Fleet, outcomes []fleet.Outcome) error {
	runs, err := f.Runs()
	if err != nil {
		return err
	}
	if faults := fleet.CheckOutcomes(outcomes, fleet.CountRuns(runs), true); len(faults) > 0 {
		return fmt.Errorf("%d contradictions between verdicts and runs, the first: %s", len(faults), faults[0])
	}
	return nil
}

// describe returns the numbers of outcomes by verdict.
func describe(outcomes []fleet.Outcome) string {
	n := fleet.CountVerdicts(outcomes)
	return fmt.Sprintf("%d sent, %d ran, %d not run, %d may have run", len(outcomes), n[verdict.Ran], n[verdict.NotRun], n[verdict.MayHaveRun])
}

// drain drains a failure domain under load. No request may be refused or lost.
func drain(f *fleet.Fleet) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := startOrders(ctx, "drain", f.Nodes["n1"].Entry)
	start := time.Now()
	out, status := f.Ctl("n2", "drain", "night-work", "--region", "muscat", "--domain", "muscat-a")
	if status != 0 {
		return fmt.Errorf("drain: status %d: %s", status, out)
	}
	time.Sleep(2500 * time.Millisecond)
	cancel()
	outcomes := l.Wait()
	runs, err := f.Runs()
	if err != nil {
		return err
	}
	last := time.Duration(0)
	for _, r := range runs {
		if strings.Contains(r.Upstream, "muscat-a") {
			last = max(last, r.At.Sub(start))
		}
	}
	fmt.Printf("drain: last request at the drained domain ended %v after the announcement; %s\n", last.Round(time.Millisecond), describe(outcomes))
	if out, status := f.Ctl("n1", "undrain", "night-work"); status != 0 {
		return fmt.Errorf("undrain: status %d: %s", status, out)
	}
	if fleet.CountVerdicts(outcomes)[verdict.Ran] != len(outcomes) {
		return errors.New("a request was refused or lost during the drain")
	}
	return checkOutcomes(f, outcomes)
}

// stop stops an entry by SIGTERM under load. Directors must no longer name it, and no
// request may be cut off.
func stop(f *fleet.Fleet) error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	l := startOrders(ctx, "stop", f.Nodes["n2"].Entry)
	start := time.Now()
	if err := f.Proc("n2-entry").Signal(syscall.SIGTERM); err != nil {
		return err
	}
	err := fleet.Eventually(func() error {
		a, err := f.Lookup("n1", "orders", "10.1.2.3")
		if err != nil {
			return err
		}
		for _, e := range a.Entries {
			if e.ID == "n2" {
				return errors.New("the look-up still names the stopping entry n2")
			}
		}
		return nil
	})
	removedAfter := time.Since(start)
	time.Sleep(spec.Linger / 2)
	cancel()
	outcomes := l.Wait()
	<-f.Proc("n2-entry").Done()
	if err := errors.Join(err, f.Proc("n2-entry").Err()); err != nil {
		return fmt.Errorf("planned stop: %w", err)
	}
	fmt.Printf("planned stop: out of the look-ups after %v, ended after %v; %s\n",
		removedAfter.Round(time.Millisecond), time.Since(start).Round(time.Millisecond), describe(outcomes))
	if fleet.CountVerdicts(outcomes)[verdict.MayHaveRun] > 0 {
		return errors.New("a request was cut off by the planned stop")
	}
	return checkOutcomes(f, outcomes)
}
