package share

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/loomkeel/loomkeel/internal/standin"
)

// maxRequestTime is the longest time that a request takes in these tests.
const maxRequestTime = 15 * time.Second

// config returns a region's configuration with one cap, for the service "stock", of which
// half is divided among 5 seats.
func config(region string, total int) CapConfig {
	return CapConfig{Region: region, Caps: []Cap{{"stock", total}}, Floor: 0.5, Seats: 5}
}

// bootClock returns the virtual time in nanoseconds, in place of the time since boot.
func bootClock() int64 { return time.Now().UnixNano() }

// requestCounter counts the requests in flight under one cap, over all entries.
type requestCounter struct {
	mu       sync.Mutex
	inFlight int
	total    int
	peak     int
	// violation describes the first time that the cap was exceeded, or is "".
	violation string
}

// instance is the allocator of an agent and the limiter of the entry on the same machine.
type instance struct {
	allocator *Allocator
	limiter   *Limiter
	rng       *rand.Rand
	mu        sync.Mutex
	inFlight  int
	// wanted is how many requests callers want to have in flight at the entry.
	wanted int
	// agentUntil and entryUntil are the ends of the freezes of the two processes.
	agentUntil, entryUntil time.Time
}

// add changes the requests in flight by n and records an exceeded cap under a name.
func (c *requestCounter) add(n int, name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.inFlight += n
	c.peak = max(c.peak, c.inFlight)
	if c.inFlight > c.total && c.violation == "" {
		c.violation = fmt.Sprintf("%s: %d in flight, the cap is %d", name, c.inFlight, c.total)
	}
}

// result returns the peak of the requests in flight and the first violation of the cap,
// or "".
func (c *requestCounter) result() (peak int, violation string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.peak, c.violation
}

// startRequest starts a request if one is wanted and the limiter allows it. Three of
// four requests take maxRequestTime, the others a random time up to that.
func (inst *instance) startRequest(counter *requestCounter, name string) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if inst.inFlight >= inst.wanted || !inst.limiter.Allow("stock", "muscat", inst.inFlight, bootClock()) {
		return
	}
	inst.inFlight++
	counter.add(1, name)
	duration := maxRequestTime
	if inst.rng.IntN(4) == 0 {
		duration = time.Duration(inst.rng.Int64N(int64(maxRequestTime)))
	}
	time.AfterFunc(duration, func() {
		inst.mu.Lock()
		defer inst.mu.Unlock()
		inst.inFlight--
		counter.add(-1, name)
	})
}

// exchange reports the entry's use to the agent and sets the limits of the reply.
func (inst *instance) exchange() {
	inst.mu.Lock()
	inFlight := inst.inFlight
	inst.mu.Unlock()
	var usage []CapUsage
	for _, u := range inst.limiter.StatusesAndReset(bootClock()) {
		usage = append(usage, CapUsage{u.Service, u.Region, Usage{InFlight: inFlight, Refused: u.Refused, Limit: u.Limit}})
	}
	inst.limiter.Set(inst.allocator.ApplyUsage(usage))
}

// unfrozen reports which of the two processes are not frozen.
func (inst *instance) unfrozen() (agent, entry bool) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	now := time.Now()
	return now.After(inst.agentUntil), now.After(inst.entryUntil)
}

// freeze suspends the agent, the entry or both until a time.
func (inst *instance) freeze(agent, entry bool, until time.Time) {
	inst.mu.Lock()
	defer inst.mu.Unlock()
	if agent {
		inst.agentUntil = until
	}
	if entry {
		inst.entryUntil = until
	}
}

// run operates the agent and the entry until ctx ends. A frozen process does nothing
// and later continues with the state that it had.
func (inst *instance) run(ctx context.Context, counter *requestCounter, name string, cfg CapConfig) {
	for tick := 0; ctx.Err() == nil; tick++ {
		agent, entry := inst.unfrozen()
		if agent && tick%20 == 0 {
			call, cancel := context.WithTimeout(ctx, time.Second)
			_ = inst.allocator.Reconcile(call, []CapConfig{cfg}, maxRequestTime)
			cancel()
		}
		if agent && entry && tick%10 == 0 {
			inst.exchange()
		}
		inst.mu.Lock()
		if inst.rng.IntN(40) == 0 {
			inst.wanted = [...]int{0, 3, 50, 50}[inst.rng.IntN(4)]
		}
		inst.mu.Unlock()
		if entry {
			for range 10 {
				inst.startRequest(counter, name)
			}
		}
		time.Sleep(50*time.Millisecond + time.Duration(inst.rng.IntN(1000))*time.Microsecond)
	}
}

// runSchedule runs one generated schedule of the given length: four instances in the
// cap's region and three outside of it. With faulty set, injectFault is called at random
// times. It returns the counter of the requests.
func runSchedule(seed uint64, faulty bool, length time.Duration) *requestCounter {
	rng := rand.New(rand.NewPCG(seed, 9))
	store := standin.NewStore()
	counter := &requestCounter{total: 40}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var instances []*instance
	startInstance := func(id, region string) {
		inst := &instance{allocator: NewAllocator(store, id, region, bootClock, time.Now), limiter: NewLimiter(), rng: rand.New(rand.NewPCG(rng.Uint64(), 1)), wanted: rng.IntN(30)}
		instances = append(instances, inst)
		wg.Go(func() { inst.run(ctx, counter, id, config("muscat", counter.total)) })
	}
	for i := range 4 {
		startInstance(fmt.Sprint("home-", i), "muscat")
	}
	for i := range 3 {
		startInstance(fmt.Sprint("far-", i), "sohar")
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(rng.IntN(4000)) * time.Millisecond) {
		inst := instances[rng.IntN(len(instances))]
		if faulty {
			injectFault(rng, store, inst, len(instances), startInstance)
		}
	}
	store.SetFault(nil)
	cancel()
	wg.Wait()
	time.Sleep(time.Minute)
	return counter
}

// injectFault injects one random fault: a frozen agent, entry or both, or a store that is
// down, loses replies or delays them. In one of seven cases it instead repairs the store
// and, if there are fewer than 12 instances, starts another one.
func injectFault(rng *rand.Rand, store *standin.Store, inst *instance, n int, startInstance func(id, region string)) {
	until := time.Now().Add(time.Duration(rng.IntN(30)) * time.Second)
	switch rng.IntN(7) {
	case 0:
		inst.freeze(true, false, until)
	case 1:
		inst.freeze(false, true, until)
	case 2:
		inst.freeze(true, true, until)
	case 3:
		store.SetFault(func(standin.Op, string) standin.Fault { return standin.Fault{Down: true} })
	case 4:
		store.SetFault(func(op standin.Op, _ string) standin.Fault {
			return standin.Fault{LoseReply: op == standin.OpCompareAndSwap || op == standin.OpLease}
		})
	case 5:
		// The store calls the fault function under its lock, so the random source needs
		// no lock of its own.
		delays := rand.New(rand.NewPCG(rng.Uint64(), 1))
		store.SetFault(func(standin.Op, string) standin.Fault {
			return standin.Fault{Delay: time.Duration(delays.IntN(1500)) * time.Millisecond}
		})
	case 6:
		store.SetFault(nil)
		if n < 12 {
			startInstance(fmt.Sprint("replacement-", n), "muscat")
		}
	}
}

// TestCapHoldsUnderGeneratedSchedules checks at each request that the sum of the requests
// in flight is within the cap, whichever processes are frozen, cut off from the store or
// replaced.
func TestCapHoldsUnderGeneratedSchedules(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(21)
	params.MinSuccessfulTests = 40
	props := gopter.NewProperties(params)
	props.Property("the sum stays within the cap", prop.ForAll(func(seed uint64) string {
		var counter *requestCounter
		synctest.Test(t, func(*testing.T) { counter = runSchedule(seed, true, 4*time.Minute) })
		_, violation := counter.result()
		return violation
	}, gen.UInt64()))
	props.TestingRun(t)
}

// TestConcurrentAllocators lets all allocators read the ledger of a slow store at the same
// time, each with a demand for the whole pool. Without compare-and-swap their grants
// together would exceed the cap.
func TestConcurrentAllocators(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		calls := 0
		store.SetFault(func(standin.Op, string) standin.Fault {
			calls++
			return standin.Fault{Delay: time.Duration(10+calls*137%400) * time.Millisecond}
		})
		cfg := config("muscat", 40)
		var allocators []*Allocator
		for i := range 5 {
			allocators = append(allocators, NewAllocator(store, fmt.Sprint("home-", i), "muscat", bootClock, time.Now))
		}
		for range 5 {
			var wg sync.WaitGroup
			for _, a := range allocators {
				a.ApplyUsage([]CapUsage{{"stock", "muscat", Usage{InFlight: 40, Refused: 100}}})
				wg.Go(func() { _ = a.Reconcile(t.Context(), []CapConfig{cfg}, maxRequestTime) })
			}
			wg.Wait()
			sum := 0
			for _, a := range allocators {
				for _, l := range a.ApplyUsage(nil) {
					sum += l.At(bootClock())
				}
			}
			if sum > 40 {
				t.Errorf("the limits of all allocators sum up to %d, the cap is 40", sum)
			}
		}
	})
}

// TestMostOfCapIsUsed checks that without faults at least three quarters of the cap are in
// use at the peak.
func TestMostOfCapIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		counter := runSchedule(4, false, 2*time.Minute)
		peak, violation := counter.result()
		t.Logf("peak %d of %d", peak, counter.total)
		if violation != "" {
			t.Error(violation)
		}
		if peak < 30 {
			t.Errorf("peak of %d requests in flight, want at least 30 of the cap of %d", peak, counter.total)
		}
	})
}

// TestUsableCapDuringFailures logs how much of a cap is usable with all agents running,
// with one of four frozen and with the store down, and checks the least values that the
// settings guarantee. With the store down these are the floors of the four seats.
func TestUsableCapDuringFailures(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		counter := &requestCounter{total: 40}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var instances []*instance
		for i := range 4 {
			inst := &instance{allocator: NewAllocator(store, fmt.Sprint("home-", i), "muscat", bootClock, time.Now), limiter: NewLimiter(), rng: rand.New(rand.NewPCG(uint64(i), 1)), wanted: 100}
			instances = append(instances, inst)
			wg.Go(func() { inst.run(ctx, counter, "x", config("muscat", counter.total)) })
		}
		usable := func() int {
			n := 0
			for _, inst := range instances {
				for _, u := range inst.limiter.StatusesAndReset(bootClock()) {
					n += u.Limit
				}
			}
			return n
		}
		time.Sleep(time.Minute)
		withAll := usable()
		instances[3].freeze(true, false, time.Now().Add(time.Hour))
		time.Sleep(LeaseTTL)
		withoutOne := usable()
		time.Sleep(time.Minute)
		afterReclaim := usable()
		store.SetFault(func(standin.Op, string) standin.Fault { return standin.Fault{Down: true} })
		time.Sleep(time.Minute)
		withoutStore := usable()
		store.SetFault(nil)
		time.Sleep(time.Minute)
		t.Logf("usable of %d: all agents running %d, one of four frozen %d, after reclaim %d, store down %d, store back %d", counter.total, withAll, withoutOne, afterReclaim, withoutStore, usable())
		if withAll < 36 || afterReclaim < 32 || withoutStore != 4*4 {
			t.Error("less of the cap is usable than the settings guarantee")
		}
		cancel()
		wg.Wait()
		time.Sleep(time.Minute)
	})
}

func FuzzDecodeLedger(f *testing.F) {
	b, _ := Ledger{Seats: []Seat{{"a", 1}}, Grants: []Grant{{"a", 2, "stock", 3}}}.Encode()
	f.Add(b)
	f.Fuzz(func(t *testing.T, b []byte) {
		if l, err := DecodeLedger(b); err == nil {
			Plan(l, config("muscat", 10), Holder{ID: "a", Local: true, Lease: 2, Reclaimable: func(Grant) bool { return true }}, Demand{})
		}
	})
}
