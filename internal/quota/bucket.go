package quota

import (
	"math"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

const (
	// unseenFor is how long the other entries may not have heard of a request: a report to
	// the hub, from hub to hub and on to them, and the time that rates are told over.
	unseenFor = 600 * time.Millisecond
	// rateOver is the time over which the admitted requests are told, askedOver that for
	// those that were asked for.
	rateOver  = 200 * time.Millisecond
	askedOver = time.Second
	// slowOver is the time constant of the rate that a silent source is taken to go on with.
	slowOver = 1500 * time.Millisecond
	// extraShare is the part of the slack that is always there to be used, as if the burst
	// were larger. The rest is for requests that the entries do not know of each other.
	extraShare = 0.4
	// fewAtOnce is how many requests an entry may admit within unseenFor while there is
	// plenty, whatever its part: the part of a small organisation's limit at one entry is less
	// than a request. plenty is how many tokens there must be for each of them.
	fewAtOnce = 7.0
	plenty    = 4.0
	// evenShare is the part of the rate by which every entry that carries requests is taken to
	// ask for more than it does. An entry whose callers have just come has a part at once.
	evenShare = 0.3
	// maxDebt is how many seconds of the rate the level may be below zero.
	maxDebt = 2.0
	// minRetry and maxRetry bound when a refused caller is told to come back.
	minRetry = 50 * time.Millisecond
	maxRetry = 5 * time.Second
)

// use is the use of a limit by one source, in requests per second.
type use struct {
	admitted, asked float64
	// slow is admitted over a longer time, as of at.
	slow float64
	at   time.Time
}

// bucket is the limit of one organisation as one entry sees it: a token bucket that all
// entries share.
//
// The level follows the own requests as they are admitted and those of the other entries
// by the rates that they tell. What was admitted within unseenFor the others may not have
// counted yet. So the entry divides the level as it was before those requests by what each
// entry asks for, and admits no more than its part: the parts of all entries together are
// the level, whatever each does meanwhile.
type bucket struct {
	mu    sync.Mutex
	limit model.Limit
	slack float64
	level float64
	at    time.Time
	// admitted are the own requests that were let through, asked all of them.
	admitted, asked window
	// told is what each source told last.
	told map[string]use
	// heard is the sum of what the sources tell that are heard now, silent the rate that is
	// set aside for those that are not.
	heard  use
	silent float64
	// unknown is the part of the limit that is set aside for sources which have told
	// nothing yet.
	unknown float64
	// self is the share of this entry in the limit if all ask for the same.
	self float64
	// nextReturn is when the last refused caller was told to come back.
	nextReturn time.Time
	// refused counts the refused requests.
	refused int64
}

// rate is what is left of the limit's rate for this entry and those that it hears.
func (b *bucket) rate() float64 {
	return math.Max(0, b.limit.Rate*(1-b.unknown)-b.silent)
}

// capacity is the highest level. While others are not heard their part is not counted in.
func (b *bucket) capacity() float64 {
	return (b.limit.Burst + extraShare*b.slack) * b.rate() / b.limit.Rate
}

// advance brings the level up to a time.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.level += (b.rate() - b.heard.admitted) * elapsed
	b.level = math.Max(-maxDebt*b.limit.Rate-b.limit.Burst, math.Min(b.level, b.capacity()))
}

// part is the share of this entry in what those who hear each other may admit, by what
// each asks for. The own figure is as old as those of the others, so that in a surge that
// all see at once the parts are no more than the whole.
func (b *bucket) part(now time.Time) float64 {
	const told = 300 * time.Millisecond
	even := evenShare * b.limit.Rate
	own := b.asked.sum(now, told, told+askedOver) + even*b.self
	return own / (own + b.heard.asked + even*(1-b.self))
}

// room returns how many more requests this entry may admit now.
func (b *bucket) room(now time.Time) float64 {
	unseen := b.admitted.sum(now, 0, unseenFor)
	whole := b.level + unseen
	if whole <= 0 {
		return -unseen
	}
	few := math.Min(fewAtOnce, whole/plenty)
	return math.Max(b.part(now)*whole, few) - unseen
}

// take admits one request, or returns after what time the caller may come back.
func (b *bucket) take(now time.Time) (ok bool, retryAfter time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.Rate <= 0 {
		return true, 0
	}
	b.advance(now)
	b.asked.add(now, 1)
	if room := b.room(now); room <= 0 {
		b.refused++
		return false, b.retryAfter(now, -room)
	}
	b.spend(now, 1)
	return true, 0
}

// spend counts n admitted requests.
func (b *bucket) spend(now time.Time, n float64) {
	b.level -= n
	b.admitted.add(now, float32(n))
}

// charge counts n requests that are sent anyway; fewer than 0 were not run after all.
func (b *bucket) charge(now time.Time, n float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.Rate <= 0 {
		return
	}
	b.advance(now)
	b.spend(now, n)
}

// retryAfter returns when a refused caller may come back: at the rate at which this entry
// admits requests, after all those that were refused before and have not come back yet.
func (b *bucket) retryAfter(now time.Time, missing float64) time.Duration {
	each := time.Duration(float64(time.Second) / math.Max(b.part(now)*b.rate(), 1/maxRetry.Seconds()))
	first := now.Add(min(time.Duration(missing*float64(each)), maxRetry))
	if b.nextReturn.Before(first) {
		b.nextReturn = first
	}
	b.nextReturn = b.nextReturn.Add(each)
	if latest := now.Add(maxRetry); b.nextReturn.After(latest) {
		b.nextReturn = latest
	}
	return max(minRetry, b.nextReturn.Sub(now))
}

// hear takes in what a source tells.
func (b *bucket) hear(now time.Time, source string, admitted, asked float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	u := b.told[source]
	weight := 1.0
	if !u.at.IsZero() {
		weight = 1 - math.Exp(-float64(now.Sub(u.at))/float64(slowOver))
	}
	u.slow += (admitted - u.slow) * weight
	u.admitted, u.asked, u.at = admitted, asked, now
	if u.slow < minSlow && admitted == 0 && asked == 0 {
		delete(b.told, source)
		return
	}
	if b.told == nil {
		b.told = make(map[string]use)
	}
	b.told[source] = u
}

// minSlow is the rate in requests per second below which a source counts as one that uses
// nothing of a limit.
const minSlow = 0.01

// settle sums up what the sources tell.
func (b *bucket) settle(now time.Time, s *sources) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.limit.Rate > 0 {
		b.advance(now)
	}
	b.heard, b.silent, b.unknown, b.self = use{}, 0, s.unknown, s.self
	for name, u := range b.told {
		switch src, ok := s.byName[name]; {
		case !ok:
			delete(b.told, name)
		case src.silent(now):
			b.silent += u.slow
		default:
			b.heard.admitted += u.admitted
			b.heard.asked += u.asked
		}
	}
}

// own returns the rates of the own requests.
func (b *bucket) own(now time.Time) (admitted, asked float64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.admitted.sum(now, slotLength, slotLength+rateOver) / rateOver.Seconds(), b.asked.sum(now, slotLength, slotLength+askedOver) / askedOver.Seconds()
}
