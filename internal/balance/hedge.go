package balance

import (
	"slices"
	"time"
)

const (
	// workSamples is how many work times of a class are kept to judge the next ones, and minWorkSamples
	// how many it takes for a judgement.
	workSamples    = 64
	minWorkSamples = 16
	// minHedgeGain is the least chance that a second send makes an answer meet its objective that would
	// have missed it. A second send costs about the work of one request.
	minHedgeGain = 0.15
	// minHedgeChance is the least chance that the second upstream answers in time.
	minHedgeChance = 0.5
	// maxHedgeLoad is the share of the slots in use up to which a second run takes no slot that another
	// request would wait for.
	maxHedgeLoad = 0.65
)

// workTimes holds the last work times of runs that had a free slot at once.
type workTimes struct {
	samples [workSamples]time.Duration
	count   int
}

func (w *workTimes) add(d time.Duration) {
	w.samples[w.count%workSamples] = d
	w.count++
}

// known returns the samples, in no particular order.
func (w *workTimes) known() []time.Duration { return w.samples[:min(w.count, workSamples)] }

// addCancelled adds a run that was cancelled after a time. It counts as the median of those that took
// longer, if there are any.
func (w *workTimes) addCancelled(after time.Duration) {
	var longer []time.Duration
	for _, d := range w.known() {
		if d > after {
			longer = append(longer, d)
		}
	}
	if len(longer) > 0 {
		slices.Sort(longer)
		after = longer[len(longer)/2]
	}
	w.add(after)
}

// beyond returns the share of the runs that took longer than d; 1 if too few are known.
func (w *workTimes) beyond(d time.Duration) float64 {
	known := w.known()
	if len(known) < minWorkSamples {
		return 1
	}
	n := 0
	for _, took := range known {
		if took > d {
			n++
		}
	}
	return float64(n) / float64(len(known))
}

// hedgePoint returns the time after which a second run gains most: the chance that the first one, which has
// not ended by then, does not end within left, times the chance that a second one does. It returns 0 if
// that is less than minHedgeGain at all times.
func hedgePoint(first, second *workTimes, left time.Duration) time.Duration {
	if len(first.known()) < minWorkSamples || len(second.known()) < minWorkSamples {
		return 0
	}
	late := first.beyond(left)
	if late == 0 {
		return 0
	}
	var best time.Duration
	most := minHedgeGain
	for _, at := range first.known() {
		if at >= left {
			continue
		}
		chance := 1 - second.beyond(left-at)
		if gain := late / first.beyond(at) * chance; chance >= minHedgeChance && gain >= most {
			best, most = at, gain
		}
	}
	return best
}

// recordWorkTime records the work time of a run that had a free slot at once.
func (b *Balancer) recordWorkTime(c Choice, took time.Duration) {
	if c.class != "" && c.immediate && took > 0 {
		b.classStats(c.class).workTimes(c.Warm).add(took)
	}
}

// recordCancelled records a run that was cancelled after a time because a second one ended first.
func (b *Balancer) recordCancelled(c Choice, after time.Duration) {
	if c.class != "" && c.immediate && after > 0 {
		b.classStats(c.class).workTimes(c.Warm).addCancelled(after)
	}
}

// workTimes returns the work times at upstreams that had recently served the object, or at others.
func (t *classStats) workTimes(warm bool) *workTimes {
	if warm {
		return &t.warmWork
	}
	return &t.unknownWorkTimes
}

// HedgeAfter returns how long after SendAt a request that may run twice is sent to a second upstream if
// the first has not answered; 0 if it should not be. left is the time from SendAt within which the answer
// meets its objective. The upstream must tell its load.
func (b *Balancer) HedgeAfter(c Choice, left time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	if c.state.reportedAt.IsZero() {
		return 0
	}
	t := b.classStats(c.class)
	before := b.roundTrip[c.Region] + c.wait
	at := hedgePoint(t.workTimes(c.Warm), &t.warmWork, left-before)
	if at == 0 {
		return 0
	}
	return before + at
}

// PickHedge picks a second upstream for a request that the first has not answered: the next replica of the
// object, if it has a free slot and probably answers within left, and takes one of its slots. It returns
// false if that is not so, or if the upstreams have so little room that a second run would delay others.
func (b *Balancer) PickHedge(now time.Time, req ObjectRequest, first Choice, left time.Duration) (Choice, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if room := b.room(now); room.Busy > maxHedgeLoad*room.Slots {
		return Choice{}, false
	}
	req.Tried = append(slices.Clone(req.Tried), first.ID)
	others := b.replicasFor(now, req)
	others = others[:min(replicas-1, len(others))]
	second, _ := b.leastExpected(now, req, others, func(_ int, u *upstreamState) bool { return b.mayHedgeTo(u, now, req, left) })
	if second == nil {
		return Choice{}, false
	}
	rank := 0
	if first.Rank == 0 {
		rank = 1
	}
	return b.take(now, req, second, rank, 0), true
}

// mayHedgeTo reports whether an upstream has a free slot and probably answers within left.
func (b *Balancer) mayHedgeTo(u *upstreamState, now time.Time, req ObjectRequest, left time.Duration) bool {
	if !b.hasSpareSlots(u, now, 1) || u.recovering(now) || b.cold(u, now) {
		return false
	}
	work := time.Duration(float64(left-b.roundTrip[u.Region]) / u.currentSlowdown(now))
	times := b.classStats(req.Class).workTimes(u.isWarm(req.Object, now))
	return 1-times.beyond(work) >= minHedgeChance
}
