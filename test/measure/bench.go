package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/verdict"
	"github.com/loomkeel/loomkeel/test/fleet"
)

// bench loads one deployment in phases.
type bench struct {
	fleet      *fleet.Fleet
	deployment deployment
	// phase is the number of the current phase, from 1.
	phase int
}

// callers is the number of client addresses. One look-up is made for each in every phase.
const callers = 240

// configure sets the services' settings and the client blocks of the regions, and waits
// until they are in force at all entries.
func (b *bench) configure() error {
	for _, s := range b.deployment.services {
		args := []string{"set", "/services/" + s.name, "repeat=" + s.repeat, "deadline=" + s.deadline.String(), "queue=64", "queue_wait=100ms"}
		if out, status := b.fleet.Ctl(b.fleet.Spec.Nodes[0].ID, args...); status != 0 {
			return fmt.Errorf("set: %s", out)
		}
	}
	for i, r := range b.deployment.regions {
		block := fmt.Sprintf("10.%d.0.0/16=%s", i, r)
		if out, status := b.fleet.Ctl(b.fleet.Spec.Nodes[0].ID, "set", "/blocks/clients", block); status != 0 {
			return fmt.Errorf("set: %s", out)
		}
	}
	var ids []string
	for id := range b.fleet.Nodes {
		ids = append(ids, id)
	}
	return b.fleet.WaitRevision(uint64(len(b.deployment.services)+len(b.deployment.regions)), ids...)
}

// phases runs all phases. In the table of steps, load is the request rate relative to what
// all slots can serve.
func (b *bench) phases(length time.Duration) error {
	first := b.deployment.regions[0]
	steps := []struct {
		name string
		load float64
		// action is called after a quarter of the phase.
		action func() error
	}{
		{"calm, 30%", 0.3, nil},
		{"rush, 90%", 0.9, nil},
		{"overload, 150%", 1.5, nil},
		{"after the overload, 60%", 0.6, nil},
		{"drain of a failure domain, 60%", 0.6, func() error { return b.drain(first, first+"-a") }},
		{"failure domain's instances killed, 60%", 0.6, func() error { return b.kill(first + "-b") }},
		{"region's upstreams killed, 50%", 0.5, func() error { b.fleet.Proc("upstreams-" + first).Kill(); return nil }},
	}
	for _, s := range steps {
		if err := b.run(s.name, s.load, length, s.action); err != nil {
			return fmt.Errorf("phase %q: %w", s.name, err)
		}
		time.Sleep(time.Second)
	}
	return nil
}

// tally counts the results of the requests to one service in a phase. Durations are those
// of answers with status 200; inTime is the number of those within the deadline.
type tally struct {
	mu        sync.Mutex
	durations []time.Duration
	verdicts  map[verdict.Verdict]int
	inTime    int
}

// run runs one phase and prints a row for each service.
func (b *bench) run(name string, load float64, length time.Duration, action func() error) error {
	b.phase++
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	entries, err := b.lookups()
	if err != nil {
		return err
	}
	if err := b.resetPeaks(); err != nil {
		return err
	}
	tallies := make([]*tally, len(b.deployment.services))
	var wg sync.WaitGroup
	for i, s := range b.deployment.services {
		tallies[i] = &tally{verdicts: make(map[verdict.Verdict]int)}
		rate := load * float64(s.upstreams*s.slots) / s.serviceTime.Seconds()
		wg.Go(func() { b.generateLoad(ctx, s, rate, entries, tallies[i]) })
	}
	var failed error
	if action != nil {
		time.Sleep(length / 4)
		failed = action()
	}
	wg.Wait()
	for i, s := range b.deployment.services {
		b.print(name, s, tallies[i])
	}
	return failed
}

// lookups returns for each caller the entry addresses that a director names.
func (b *bench) lookups() ([][]string, error) {
	out := make([][]string, callers)
	service := b.deployment.services[0].name
	for c := range out {
		client := fmt.Sprintf("10.%d.%d.1", c%len(b.deployment.regions), c/len(b.deployment.regions))
		for _, n := range b.fleet.Spec.Nodes {
			a, err := b.fleet.Lookup(n.ID, service, client)
			if err != nil {
				continue
			}
			for _, e := range a.Entries {
				out[c] = append(out[c], e.Address)
			}
			break
		}
		if len(out[c]) == 0 {
			return nil, fmt.Errorf("no director names an entry to caller %s", client)
		}
	}
	return out, nil
}

// generateLoad sends requests to a service until ctx ends, and waits for their answers.
// The gaps between requests are distributed exponentially; rate is the mean number per
// second.
func (b *bench) generateLoad(ctx context.Context, s service, rate float64, entries [][]string, t *tally) {
	rnd := rand.New(rand.NewPCG(uint64(b.phase), uint64(len(s.name))))
	var wg sync.WaitGroup
	next := time.Now()
	for n := 0; ; n++ {
		next = next.Add(time.Duration(rnd.ExpFloat64() / rate * float64(time.Second)))
		select {
		case <-ctx.Done():
			wg.Wait()
			return
		case <-time.After(time.Until(next)):
		}
		list := entries[rnd.IntN(len(entries))]
		id := fmt.Sprintf("%s-%d-%d", s.name, b.phase, n)
		wg.Go(func() { t.send(s, id, list) })
	}
}

// send sends a request to one entry after the other until the connection to one of them can
// be opened, and counts the result.
func (t *tally) send(s service, id string, entries []string) {
	start := time.Now()
	var r fleet.Reply
	for _, e := range entries {
		r = fleet.Do(context.Background(), fleet.Request{Entry: e, Method: s.method, Path: "/x", Service: s.name, ID: id, Body: "x"})
		if r.Err == nil {
			break
		}
		if r.CallerVerdict() != verdict.NotRun {
			break
		}
	}
	duration := time.Since(start)
	t.mu.Lock()
	defer t.mu.Unlock()
	t.verdicts[r.CallerVerdict()]++
	if r.Err == nil && r.Status == http.StatusOK {
		t.durations = append(t.durations, duration)
		if duration <= s.deadline {
			t.inTime++
		}
	}
}

// print prints the row of a service for a phase.
func (b *bench) print(phase string, s service, t *tally) {
	sent := 0
	for _, n := range t.verdicts {
		sent += n
	}
	slices.Sort(t.durations)
	q := func(p float64) string {
		if len(t.durations) == 0 {
			return "-"
		}
		return fmt.Sprintf("%.1f", float64(t.durations[int(p*float64(len(t.durations)-1))].Microseconds())/1000)
	}
	fmt.Printf("| %s | %s | %d | %.2f%% | %s | %s | %s | %d | %d | %s |\n", phase, s.name, sent,
		100*float64(t.inTime)/float64(max(sent, 1)), q(0.5), q(0.99), q(0.999),
		t.verdicts[verdict.NotRun], t.verdicts[verdict.MayHaveRun], b.fullestRegion(s))
}

// fullestRegion returns the region with the highest peak of requests in flight, with that
// peak and its slots.
func (b *bench) fullestRegion(s service) string {
	slots := s.upstreams * s.slots / len(b.deployment.regions)
	fullest, highest := "-", -1
	for _, r := range b.deployment.regions {
		peak, err := b.fleet.PeakInFlight(s.name, r)
		if err == nil && peak > highest {
			fullest, highest = fmt.Sprintf("%s: %d of %d", r, peak, slots), peak
		}
	}
	return fullest
}

// resetPeaks resets the peaks of requests in flight at all upstreams that still run.
func (b *bench) resetPeaks() error {
	for _, u := range b.fleet.Upstreams {
		if err := fleet.Post(u.Address, "/-/peak/reset"); err != nil {
			continue // the upstream was killed
		}
	}
	return nil
}

// drain drains a failure domain and prints how long after the announcement the last
// request ended there.
func (b *bench) drain(region, domain string) error {
	start := time.Now()
	out, status := b.fleet.Ctl(b.fleet.Spec.Nodes[0].ID, "drain", "work", "--region", region, "--domain", domain)
	if status != 0 {
		return fmt.Errorf("drain: %s", out)
	}
	announced := time.Now()
	time.Sleep(2 * time.Second)
	runs, err := b.fleet.Runs()
	if err != nil {
		return err
	}
	last := start
	for _, r := range runs {
		if r.At.After(last) && b.domainOf(r.Upstream) == domain {
			last = r.At
		}
	}
	fmt.Printf("| (drain of %s: accepted after %v, its last request ended %v after the announcement) | | | | | | | | | |\n",
		domain, announced.Sub(start).Round(time.Millisecond), last.Sub(start).Round(time.Millisecond))
	return nil
}

// domainOf returns the failure domain of an upstream.
func (b *bench) domainOf(upstream string) string {
	for _, u := range b.fleet.Upstreams {
		if u.ID == upstream {
			return u.Domain
		}
	}
	return ""
}

// kill kills all processes of a failure domain's instances.
func (b *bench) kill(domain string) error {
	for _, n := range b.fleet.Spec.Nodes {
		if n.Domain != domain {
			continue
		}
		for _, p := range []string{fleet.Agent, fleet.Director, fleet.Entry} {
			b.fleet.Proc(n.ID + "-" + p).Kill()
		}
	}
	return nil
}
