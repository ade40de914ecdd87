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

// hold is the longest time that a request of these tests takes.
const hold = 15 * time.Second

func terms(region string, total int) Terms {
	return Terms{Region: region, Caps: []Cap{{"stock", total}}, Floor: 0.5, Seats: 5}
}

// clock is the virtual time since boot.
func clock() int64 { return time.Now().UnixNano() }

// bench runs instances whose entries use one cap as much as they may.
type bench struct {
	mu       sync.Mutex
	inFlight int
	total    int
	peak     int
	over     string
}

// instance is an agent's keeper with the entry beside it.
type instance struct {
	keeper *Keeper
	book   *Book
	rnd    *rand.Rand
	mu     sync.Mutex
	mine   int
	wish   int
	// agentUntil and entryUntil are until when the processes are frozen.
	agentUntil, entryUntil time.Time
}

func (b *bench) add(n int, who string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.inFlight += n
	b.peak = max(b.peak, b.inFlight)
	if b.inFlight > b.total && b.over == "" {
		b.over = fmt.Sprintf("%s: %d in flight, the cap is %d", who, b.inFlight, b.total)
	}
}

// result returns the peak and the first breach of the cap, or "".
func (b *bench) result() (peak int, over string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.peak, b.over
}

// begin starts a request if the book allows it.
func (x *instance) begin(b *bench, name string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.mine >= x.wish || !x.book.Allow("stock", "muscat", x.mine, clock()) {
		return
	}
	x.mine++
	b.add(1, name)
	took := hold
	if x.rnd.IntN(4) == 0 {
		took = time.Duration(x.rnd.Int64N(int64(hold)))
	}
	time.AfterFunc(took, func() {
		x.mu.Lock()
		defer x.mu.Unlock()
		x.mine--
		b.add(-1, name)
	})
}

// exchange is the entry's report to the agent with its answer.
func (x *instance) exchange() {
	x.mu.Lock()
	mine := x.mine
	x.mu.Unlock()
	var usage []Reported
	for _, u := range x.book.Uses(clock()) {
		usage = append(usage, Reported{u.Service, u.Region, Usage{InFlight: mine, Refused: u.Refused, Limit: u.Limit}})
	}
	x.book.Set(x.keeper.Report(usage))
}

// awake reports which of the processes are not frozen.
func (x *instance) awake() (agent, entry bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	now := time.Now()
	return now.After(x.agentUntil), now.After(x.entryUntil)
}

// freeze stops processes until a time.
func (x *instance) freeze(agent, entry bool, until time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if agent {
		x.agentUntil = until
	}
	if entry {
		x.entryUntil = until
	}
}

// run works until ctx ends. The processes do nothing while they are frozen, and
// go on where they were.
func (x *instance) run(ctx context.Context, b *bench, name string, home Terms) {
	for tick := 0; ctx.Err() == nil; tick++ {
		agent, entry := x.awake()
		if agent && tick%20 == 0 {
			call, cancel := context.WithTimeout(ctx, time.Second)
			_ = x.keeper.Round(call, []Terms{home}, hold)
			cancel()
		}
		if agent && entry && tick%10 == 0 {
			x.exchange()
		}
		x.mu.Lock()
		if x.rnd.IntN(40) == 0 {
			x.wish = [...]int{0, 3, 50, 50}[x.rnd.IntN(4)]
		}
		x.mu.Unlock()
		if entry {
			for range 10 {
				x.begin(b, name)
			}
		}
		time.Sleep(50*time.Millisecond + time.Duration(x.rnd.IntN(1000))*time.Microsecond)
	}
}

// schedule is one generated run: instances in and out of the region, freezes,
// a twin that takes itself for a replaced instance, store outages, lost and
// delayed replies. It returns the bench and what the instances could use.
func schedule(seed uint64, faulty bool, length time.Duration) *bench {
	rnd := rand.New(rand.NewPCG(seed, 9))
	store := standin.NewStore()
	b := &bench{total: 40}
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	var all []*instance
	start := func(id, home string) {
		x := &instance{keeper: NewKeeper(store, id, home, clock, time.Now), book: NewBook(), rnd: rand.New(rand.NewPCG(rnd.Uint64(), 1)), wish: rnd.IntN(30)}
		all = append(all, x)
		wg.Go(func() { x.run(ctx, b, id, terms("muscat", b.total)) })
	}
	for i := range 4 {
		start(fmt.Sprint("home-", i), "muscat")
	}
	for i := range 3 {
		start(fmt.Sprint("far-", i), "sohar")
	}
	for end := time.Now().Add(length); time.Now().Before(end); time.Sleep(time.Duration(rnd.IntN(4000)) * time.Millisecond) {
		x := all[rnd.IntN(len(all))]
		if faulty {
			disturb(rnd, store, x, len(all), start)
		}
	}
	store.SetFault(nil)
	cancel()
	wg.Wait()
	time.Sleep(time.Minute)
	return b
}

// disturb does one random thing.
func disturb(rnd *rand.Rand, store *standin.Store, x *instance, n int, start func(id, home string)) {
	until := time.Now().Add(time.Duration(rnd.IntN(30)) * time.Second)
	switch rnd.IntN(7) {
	case 0:
		x.freeze(true, false, until)
	case 1:
		x.freeze(false, true, until)
	case 2:
		x.freeze(true, true, until)
	case 3:
		store.SetFault(func(standin.Op, string) standin.Fault { return standin.Fault{Down: true} })
	case 4:
		store.SetFault(func(op standin.Op, _ string) standin.Fault {
			return standin.Fault{LoseReply: op == standin.OpCompareAndSwap || op == standin.OpLease}
		})
	case 5:
		// Called with the store locked, so that its source needs no lock.
		delays := rand.New(rand.NewPCG(rnd.Uint64(), 1))
		store.SetFault(func(standin.Op, string) standin.Fault {
			return standin.Fault{Delay: time.Duration(delays.IntN(1500)) * time.Millisecond}
		})
	case 6:
		store.SetFault(nil)
		if n < 12 {
			start(fmt.Sprint("replacement-", n), "muscat")
		}
	}
}

// TestCapHoldsUnderGeneratedSchedules checks at every request that the sum in
// flight is within the cap, whoever is frozen, cut off or replaced.
func TestCapHoldsUnderGeneratedSchedules(t *testing.T) {
	params := gopter.DefaultTestParametersWithSeed(21)
	params.MinSuccessfulTests = 40
	props := gopter.NewProperties(params)
	props.Property("the sum stays within the cap", prop.ForAll(func(seed uint64) string {
		var b *bench
		synctest.Test(t, func(*testing.T) { b = schedule(seed, true, 4*time.Minute) })
		_, over := b.result()
		return over
	}, gen.UInt64()))
	props.TestingRun(t)
}

// TestRacingKeepers lets all keepers read a slow store's ledger at once, each in
// need of the whole pool.
func TestRacingKeepers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		calls := 0
		store.SetFault(func(standin.Op, string) standin.Fault {
			calls++
			return standin.Fault{Delay: time.Duration(10+calls*137%400) * time.Millisecond}
		})
		want := terms("muscat", 40)
		var keepers []*Keeper
		for i := range 5 {
			keepers = append(keepers, NewKeeper(store, fmt.Sprint("home-", i), "muscat", clock, time.Now))
		}
		for range 5 {
			var wg sync.WaitGroup
			for _, k := range keepers {
				k.Report([]Reported{{"stock", "muscat", Usage{InFlight: 40, Refused: 100}}})
				wg.Go(func() { _ = k.Round(t.Context(), []Terms{want}, hold) })
			}
			wg.Wait()
			sum := 0
			for _, k := range keepers {
				for _, l := range k.Report(nil) {
					sum += l.At(clock())
				}
			}
			if sum > 40 {
				t.Errorf("the keepers rely on %d of 40", sum)
			}
		}
	})
}

// TestCapIsUsed checks that without faults nearly all of the cap gets used.
func TestCapIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := schedule(4, false, 2*time.Minute)
		peak, over := b.result()
		t.Logf("peak %d of %d", peak, b.total)
		if over != "" {
			t.Error(over)
		}
		if peak < 30 {
			t.Errorf("peak %d of %d", peak, b.total)
		}
	})
}

// TestUsableInEachState logs how much of a cap can be used with all, some and
// no shares, and checks what the settings promise.
func TestUsableInEachState(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := standin.NewStore()
		b := &bench{total: 40}
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		var all []*instance
		for i := range 4 {
			x := &instance{keeper: NewKeeper(store, fmt.Sprint("home-", i), "muscat", clock, time.Now), book: NewBook(), rnd: rand.New(rand.NewPCG(uint64(i), 1)), wish: 100}
			all = append(all, x)
			wg.Go(func() { x.run(ctx, b, "x", terms("muscat", b.total)) })
		}
		usable := func() int {
			n := 0
			for _, x := range all {
				for _, u := range x.book.Uses(clock()) {
					n += u.Limit
				}
			}
			return n
		}
		time.Sleep(time.Minute)
		whole := usable()
		all[3].freeze(true, false, time.Now().Add(time.Hour))
		time.Sleep(LeaseTTL)
		some := usable()
		time.Sleep(time.Minute)
		regained := usable()
		store.SetFault(func(standin.Op, string) standin.Fault { return standin.Fault{Down: true} })
		time.Sleep(time.Minute)
		none := usable()
		store.SetFault(nil)
		time.Sleep(time.Minute)
		t.Logf("usable of %d: all shares %d, one of four agents frozen %d then %d, store away %d, back %d", b.total, whole, some, regained, none, usable())
		if whole < 36 || regained < 32 || none != 4*4 {
			t.Error("less is usable than the settings promise")
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
			Plan(l, terms("muscat", 10), Holder{ID: "a", Home: true, Lease: 2, Lapsed: func(Grant) bool { return true }}, Demand{})
		}
	})
}
