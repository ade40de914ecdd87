package fairshare

import (
	"cmp"
	"flag"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/balance"
	"github.com/loomkeel/loomkeel/internal/demand"
	"github.com/loomkeel/loomkeel/internal/eventsim"
	"github.com/loomkeel/loomkeel/internal/overload"
)

// The tests in this file play the gates of a fleet in virtual time. The upstreams are one pool of slots
// with a first-come queue, so that what callers get depends on the gates alone.

var fairSeeds = flag.Uint64("fair-seeds", 2, "seeds of the loads on the fleets of gates")

const (
	poolSlots = 36
	// warmWork and coldWork are the times for which requests hold a slot, coldPart the part of the
	// requests that find their object cold. The pool serves meanRate requests per second.
	warmWork = 120 * time.Millisecond
	coldWork = 400 * time.Millisecond
	coldPart = 0.1
	meanRate = 243.0
	// maxPerSlot is the number of requests per slot, running and waiting, that the pool takes.
	maxPerSlot = 3
	// callerTime is the time for which callers wait in all.
	callerTime = 3 * time.Second
	// dialTime is the time that a returning caller takes for its new connection.
	dialTime = 4 * time.Millisecond
	// reportDelay is the age of the demand that entries know of.
	reportDelay = 400 * time.Millisecond
)

var fleetStart = time.Unix(1_800_000_000, 0)

// stream is a part of a load: requests of one rank and organisation.
type stream struct {
	rank         int
	organisation uint32
	objective    time.Duration
	// rate is the number of first attempts per second at a time since the start.
	rate func(since time.Duration) float64
	// ignores is set if its callers return at once, whatever they are told.
	ignores bool
}

// result counts what the callers of a stream got.
type result struct{ asked, inTime, served, promised, kept int }

func (r result) inTimePart() float64 { return float64(r.inTime) / float64(max(1, r.asked)) }
func (r result) servedPart() float64 { return float64(r.served) / float64(max(1, r.asked)) }

// gateFleet is a fleet of gates in front of the pool.
type gateFleet struct {
	scheduler *eventsim.Scheduler
	rng       *rand.Rand
	gates     []*Gate
	// organisations is the number of configured organisations.
	organisations int
	// arrived counts arrivals at each entry, decayed over a second.
	arrived []map[Key]float64
	// heard says which entries' counts an entry receives; nil means all.
	heard func(entry, from int) bool
	// total is the sum of the counts of all entries at totalAt.
	total   map[Key]float64
	totalAt time.Time
	// workKnown is the mean work that the entries know, relative to the true one.
	workKnown float64
	busy      int
	waiting   []func()
	// usedSlots is the time for which slots were busy since measureFrom.
	usedSlots   time.Duration
	measureFrom time.Duration
	results     []result
	begun       int
}

func newGateFleet(seed uint64, entries int) *gateFleet {
	f := &gateFleet{
		scheduler: eventsim.New(fleetStart), rng: rand.New(rand.NewPCG(seed, 55)), workKnown: 1,
		organisations: 10, measureFrom: 3 * time.Second,
	}
	for i := range entries {
		f.gates = append(f.gates, NewGate(uint32(i)))
		f.arrived = append(f.arrived, make(map[Key]float64))
		f.updateRegularly(i)
	}
	f.scheduler.After(Interval, f.decay)
	return f
}

func (f *gateFleet) since() time.Duration { return f.scheduler.Now().Sub(fleetStart) }

// decay lets the counts of arrivals lose weight.
func (f *gateFleet) decay() {
	for _, arrived := range f.arrived {
		for key := range arrived {
			arrived[key] *= 1 - Interval.Seconds()
		}
	}
	f.scheduler.After(Interval, f.decay)
}

// reported returns the sum of the counts that an entry receives, and of how many entries.
func (f *gateFleet) reported(entry int) (sums map[Key]float64, reporters int) {
	if f.heard == nil && f.totalAt.Equal(f.scheduler.Now()) {
		return f.total, len(f.gates)
	}
	sums = make(map[Key]float64)
	for from, arrived := range f.arrived {
		if from != entry && f.heard != nil && !f.heard(entry, from) {
			continue
		}
		reporters++
		for key, n := range arrived {
			sums[key] += n
		}
	}
	f.total, f.totalAt = sums, f.scheduler.Now()
	return sums, reporters
}

// updateRegularly updates the gate of an entry with counts that reach it after reportDelay.
func (f *gateFleet) updateRegularly(entry int) {
	sums, reporters := f.reported(entry)
	in := Input{Organisations: f.organisations, ReportedAt: f.scheduler.Now().Add(reportDelay)}
	if reporters == 1 && len(f.gates) > 1 {
		in.ReportedAt = fleetStart
	}
	for key, n := range sums {
		in.Rows = append(in.Rows, demand.Row{Key: demand.Key{Rank: key.Rank, Organisation: key.Organisation}, Arrived: n})
	}
	f.scheduler.After(reportDelay, func() {
		work := time.Duration(f.workKnown * poolSlots / meanRate * float64(time.Second))
		in.Room = balance.Room{Slots: poolSlots, Busy: float64(f.busy + len(f.waiting)), Work: work}
		if _, changed := f.gates[entry].Update(f.scheduler.Now(), in); changed {
			f.begun++
		}
	})
	f.scheduler.After(Interval, func() { f.updateRegularly(entry) })
}

// play runs streams for a time, and lets the last requests end.
func (f *gateFleet) play(end time.Duration, streams ...stream) []result {
	f.results = make([]result, len(streams))
	for i, s := range streams {
		f.arriveRegularly(i, s, end)
	}
	f.scheduler.RunUntil(fleetStart.Add(end + callerTime))
	return f.results
}

func (f *gateFleet) arriveRegularly(i int, s stream, end time.Duration) {
	rate := s.rate(f.since())
	gap := time.Duration(f.rng.ExpFloat64() / max(rate, 1) * float64(time.Second))
	f.scheduler.After(gap, func() {
		if f.since() >= end {
			return
		}
		if rate > 0 {
			r := &request{stream: s, result: &f.results[i], start: f.scheduler.Now(), counted: f.since() >= f.measureFrom}
			r.count(func(n *result) { n.asked++ })
			f.send(r)
		}
		f.arriveRegularly(i, s, end)
	})
}

// request is a request of a caller, with all of its attempts.
type request struct {
	stream
	result *result
	start  time.Time
	// counted is set if the request counts in the result. returned is set from the second attempt, and
	// promised if room was promised for it.
	counted, returned, promised bool
}

func (r *request) count(change func(*result)) {
	if r.counted {
		change(r.result)
	}
}

// send makes an attempt at any entry.
func (f *gateFleet) send(r *request) {
	now, entry := f.scheduler.Now(), f.rng.IntN(len(f.gates))
	f.arrived[entry][Key{r.rank, r.organisation}]++
	work := warmWork
	if f.rng.Float64() < coldPart {
		work = coldWork
	}
	v := f.gates[entry].Admit(now, overload.Request{
		Rank: r.rank, Organisation: r.organisation, Arrived: now, Deadline: r.start.Add(callerTime), Objective: r.objective,
	})
	if v.Refused || f.busy+len(f.waiting) >= maxPerSlot*poolSlots {
		f.refuse(r, v)
		return
	}
	run := func() { f.run(r, work) }
	if f.busy >= poolSlots {
		f.waiting = append(f.waiting, run)
		return
	}
	run()
}

// refuse lets the caller return once: when it was told, else at once.
func (f *gateFleet) refuse(r *request, v overload.Verdict) {
	if r.returned {
		return
	}
	r.returned = true
	wait := v.RetryAfter
	if left := r.start.Add(callerTime).Sub(f.scheduler.Now()); r.ignores || wait > left/3 {
		wait = 0
	}
	if v.RetryAfter > 0 && !r.ignores {
		r.promised = true
		r.count(func(n *result) { n.promised++ })
	}
	f.scheduler.After(wait+dialTime, func() { f.send(r) })
}

func (f *gateFleet) run(r *request, work time.Duration) {
	f.busy++
	f.scheduler.After(work, func() {
		f.busy--
		if f.since() >= f.measureFrom {
			f.usedSlots += work
		}
		f.finish(r)
		if len(f.waiting) > 0 {
			next := f.waiting[0]
			f.waiting = f.waiting[1:]
			next()
		}
	})
}

func (f *gateFleet) finish(r *request) {
	took := f.scheduler.Now().Sub(r.start)
	if took > callerTime {
		return
	}
	r.count(func(n *result) {
		n.served++
		if took <= r.objective {
			n.inTime++
		}
		if r.promised {
			n.kept++
		}
	})
}

// utilisation returns the used part of the slots from measureFrom until end.
func (f *gateFleet) utilisation(end time.Duration) float64 {
	return f.usedSlots.Seconds() / (poolSlots * (end - f.measureFrom).Seconds())
}

func constant(rate float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return rate }
}

// from returns a rate of base before a time and of later after it.
func from(at time.Duration, base, later float64) func(time.Duration) float64 {
	return func(since time.Duration) float64 {
		if since < at {
			return base
		}
		return later
	}
}

var objectives = []time.Duration{500 * time.Millisecond, 600 * time.Millisecond, 1500 * time.Millisecond}

// ranks returns streams of the three ranks, each with a tenth of its requests from each organisation.
func ranks(rates ...func(time.Duration) float64) []stream {
	var out []stream
	for rank, rate := range rates {
		out = append(out, stream{rank: rank, organisation: uint32(rank + 1), objective: objectives[rank], rate: rate})
	}
	return out
}

// forFleets runs a test for fleets of 12 and 73 entries with each seed.
func forFleets(t *testing.T, test func(t *testing.T, f *gateFleet)) {
	for _, entries := range []int{12, 73} {
		for seed := range *fairSeeds {
			t.Run(fmt.Sprintf("%d entries, seed %d", entries, seed), func(t *testing.T) {
				t.Parallel()
				f := newGateFleet(seed, entries)
				test(t, f)
				t.Logf("use of the room %.2f, plans begun or ended %d, results %+v", f.utilisation(playTime), f.begun, f.results)
			})
		}
	}
}

const playTime = 20 * time.Second

// checkKept checks that nine of ten promised returns are served, but for the deviation of a sample.
func checkKept(t *testing.T, results []result) {
	t.Helper()
	var all result
	for _, r := range results {
		all.promised += r.promised
		all.kept += r.kept
	}
	deviation := math.Sqrt(0.9 * 0.1 * float64(all.promised))
	if float64(all.kept) < 0.9*float64(all.promised)-2*deviation {
		t.Errorf("%d of %d promised returns served", all.kept, all.promised)
	}
}

// checkOrder checks that no stream is served worse in time than the next one, which is less urgent.
func checkOrder(t *testing.T, results []result) {
	t.Helper()
	for i := 1; i < len(results); i++ {
		if results[i-1].inTimePart() < results[i].inTimePart()-0.02 {
			t.Errorf("rank %d: %.2f in time, rank %d: %.2f", i-1, results[i-1].inTimePart(), i, results[i].inTimePart())
		}
	}
}

func checkServed(t *testing.T, what string, got, least float64) {
	t.Helper()
	if got < least {
		t.Errorf("%s: %.3f, want at least %.2f", what, got, least)
	}
}

// TestRoomForAll checks that nothing is refused while there is room.
func TestRoomForAll(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		for i, r := range f.play(playTime, ranks(constant(70), constant(70), constant(50))...) {
			checkServed(t, fmt.Sprint("in time, rank ", i), r.inTimePart(), 0.95)
		}
		if f.begun > 0 {
			t.Errorf("%d plans", f.begun)
		}
	})
}

// TestLoadOfAllRanks plays twice and four times the room.
func TestLoadOfAllRanks(t *testing.T) {
	for _, times := range []float64{2, 4} {
		t.Run(fmt.Sprint(times, " times the room"), func(t *testing.T) {
			forFleets(t, func(t *testing.T, f *gateFleet) {
				rate := constant(times * meanRate / 3)
				results := f.play(playTime, ranks(rate, rate, rate)...)
				if times == 2 {
					checkServed(t, "most urgent in time", results[0].inTimePart(), 0.85)
				}
				checkServed(t, "use of the room", f.utilisation(playTime), 0.9)
				checkOrder(t, results)
				checkKept(t, results)
				checkServed(t, "least urgent, of all that are served", results[2].servedPart(), 0.25*(results[0].servedPart()+results[1].servedPart()+results[2].servedPart())/3)
			})
		})
	}
}

// TestSurgeOfLeastUrgentRank checks that a surge of the least urgent rank costs the others nothing.
func TestSurgeOfLeastUrgentRank(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		results := f.play(playTime, ranks(constant(80), constant(50), constant(500))...)
		checkServed(t, "rank 0 in time", results[0].inTimePart(), 0.95)
		checkServed(t, "rank 1 in time", results[1].inTimePart(), 0.95)
		checkServed(t, "use of the room", f.utilisation(playTime), 0.9)
		checkKept(t, results)
	})
}

// TestSurgeAfterLessUrgent lets the most urgent rank ask for the whole room after the least urgent one
// alone has used it.
func TestSurgeAfterLessUrgent(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		f.measureFrom = 13 * time.Second
		results := f.play(playTime, ranks(from(10*time.Second, 0, 120), constant(0), constant(500))...)
		checkServed(t, "rank 0 in time", results[0].inTimePart(), 0.85)
		checkKept(t, results)
	})
}

// TestHotOrganisation lets one of ten organisations ask for seven times its usual and more.
func TestHotOrganisation(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		var streams []stream
		for o := range 10 {
			rate := 190.0 / 9
			if o == 0 {
				rate = 400
			}
			streams = append(streams, stream{organisation: uint32(o + 1), objective: objectives[0], rate: constant(rate)})
		}
		results := f.play(playTime, streams...)
		var nine result
		for _, r := range results[1:] {
			nine.asked += r.asked
			nine.inTime += r.inTime
		}
		checkServed(t, "nine organisations in time", nine.inTimePart(), 0.95)
		checkServed(t, "use of the room", f.utilisation(playTime), 0.9)
		checkKept(t, results)
	})
}

// TestUnknownWork gives the entries a mean work that is off by the factor between cold and warm
// objects. The utilisation corrects it.
func TestUnknownWork(t *testing.T) {
	for _, known := range []float64{1.0 / 3, 3} {
		t.Run(fmt.Sprintf("%.2f of the work", known), func(t *testing.T) {
			forFleets(t, func(t *testing.T, f *gateFleet) {
				f.workKnown, f.measureFrom = known, 10*time.Second
				rate := constant(2 * meanRate / 3)
				results := f.play(2*playTime, ranks(rate, rate, rate)...)
				checkServed(t, "most urgent in time", results[0].inTimePart(), 0.85)
				checkServed(t, "use of the room", f.utilisation(2*playTime), 0.9)
				checkOrder(t, results)
			})
		})
	}
}

// TestWave lets the demand rise above the room and fall again. Callers get no less than without gates.
func TestWave(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		wave := func(since time.Duration) float64 {
			phase := since.Seconds() / 10
			return meanRate / 3 * (1 + 0.8*(1-4*max(phase-float64(int(phase))-0.5, 0.5-phase+float64(int(phase)))))
		}
		results := f.play(2*playTime, ranks(wave, wave, wave)...)
		checkServed(t, "rank 0 in time", results[0].inTimePart(), 0.9)
		checkOrder(t, results)
		checkKept(t, results)
	})
}

// TestHerd lets many callers come at one moment, once. After the herd, as soon as its queue is served,
// others are served as before.
func TestHerd(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		herd := func(since time.Duration) float64 {
			if since > 5*time.Second && since < 5500*time.Millisecond {
				return 1000
			}
			return 40
		}
		f.measureFrom = 6 * time.Second
		results := f.play(playTime, ranks(herd, constant(40), constant(40))...)
		checkServed(t, "rank 1 in time", results[1].inTimePart(), 0.95)
		checkKept(t, results)
		for i, g := range f.gates {
			if g.Status().Short {
				t.Errorf("entry %d still refuses", i)
			}
		}
	})
}

// TestIgnoringRetryAfter compares callers who return when they are told with callers who return at once.
func TestIgnoringRetryAfter(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		heeds := stream{organisation: 1, objective: objectives[0], rate: constant(meanRate)}
		ignores := heeds
		ignores.organisation, ignores.ignores = 2, true
		results := f.play(playTime, heeds, ignores)
		const deviation = 0.01 // of the difference of two samples of 4,000 callers
		checkServed(t, "callers who heed, beyond those who ignore", results[0].servedPart()-results[1].servedPart(), -2*deviation)
		checkKept(t, results[:1])
	})
}

// TestLostReports loses all reports for a while. Nothing is refused then; afterwards order returns.
func TestLostReports(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		f.measureFrom = 14 * time.Second
		f.heard = func(int, int) bool { return f.since() < 6*time.Second || f.since() > 10*time.Second }
		f.scheduler.After(9*time.Second, func() {
			for i, g := range f.gates {
				if v := g.Admit(f.scheduler.Now(), overload.Request{Rank: 2, Organisation: 3}); v.Refused {
					t.Errorf("entry %d refuses without reports", i)
				}
			}
		})
		rate := constant(2 * meanRate / 3)
		results := f.play(playTime, ranks(rate, rate, rate)...)
		checkServed(t, "most urgent in time", results[0].inTimePart(), 0.85)
	})
}

// TestCutFleet cuts the fleet into halves that don't hear each other. Each knows half of the demand.
func TestCutFleet(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		f.heard = func(entry, from int) bool {
			return f.since() < 6*time.Second || f.since() > 10*time.Second || entry%2 == from%2
		}
		f.measureFrom = 14 * time.Second
		rate := constant(2 * meanRate / 3)
		results := f.play(playTime, ranks(rate, rate, rate)...)
		checkServed(t, "most urgent in time after the cut", results[0].inTimePart(), 0.85)
		checkOrder(t, results)
	})
}

// TestRestartedEntry replaces a gate in the middle.
func TestRestartedEntry(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		f.scheduler.After(8*time.Second, func() { f.gates[0] = NewGate(99) })
		rate := constant(2 * meanRate / 3)
		results := f.play(playTime, ranks(rate, rate, rate)...)
		checkServed(t, "most urgent in time", results[0].inTimePart(), 0.85)
		checkKept(t, results)
	})
}

// TestChangedConfiguration makes an organisation more urgent and removes another one meanwhile.
func TestChangedConfiguration(t *testing.T) {
	forFleets(t, func(t *testing.T, f *gateFleet) {
		const change = 8 * time.Second
		f.measureFrom = change + 2*time.Second
		before := stream{rank: 2, organisation: 1, objective: objectives[2], rate: from(change, 60, 0)}
		after := stream{rank: 0, organisation: 1, objective: objectives[0], rate: from(change, 0, 60)}
		removed := stream{rank: 1, organisation: 2, objective: objectives[1], rate: from(change, 100, 0)}
		others := stream{rank: 1, organisation: 3, objective: objectives[1], rate: constant(400)}
		f.scheduler.After(change, func() { f.organisations-- })
		results := f.play(playTime, before, after, removed, others)
		checkServed(t, "preferred organisation in time", results[1].inTimePart(), 0.95)
		checkKept(t, results)
	})
}

// TestPartsAreExact checks that an entry admits exactly its part of any number of requests, also of an
// organisation that it hasn't seen before.
func TestPartsAreExact(t *testing.T) {
	g := NewGate(1)
	now := fleetStart
	g.apply(now, Plan{Parts: map[Key]float64{{0, 0}: 0.5, {0, 1}: 0.25}, LastRank: 5}, warmWork)
	for organisation, every := range map[uint32]int{0: 2, 77: 2, 1: 4} {
		admitted := 0
		for range 100 * every {
			if !g.Admit(now, overload.Request{Organisation: organisation}).Refused {
				admitted++
			}
		}
		if diff := admitted - 100; diff < -1 || diff > 1 {
			t.Errorf("organisation %d: %d of %d admitted", organisation, admitted, 100*every)
		}
	}
	if g.Admit(now, overload.Request{Rank: 3}).Refused {
		t.Error("a rank without demand is refused")
	}
	if g.Admit(now.Add(planTTL+1), overload.Request{Organisation: cmp.Or(uint32(0), uint32(1))}).Refused {
		t.Error("a request is refused after the plan has expired")
	}
}
