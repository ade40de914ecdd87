package quota

import (
	"math"
	"sync"
	"sync/atomic"
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
	// newsAge is how old what other entries tell is on the average.
	newsAge = 300 * time.Millisecond
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

// use is the use of a limit in requests per second: what is admitted, and what is asked for.
type use struct {
	admitted, asked float64
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
	name string
	hash uint32
	// active is set while the bucket is one that others are told of.
	active atomic.Bool

	mu    sync.Mutex
	limit model.Limit
	slack float64
	level float64
	at    time.Time
	// admitted are the own requests that were let through, asked all of them.
	admitted, asked window
	// told is what each speaker told last.
	told map[string]use
	// heard is the sum of what the sources tell that are heard now.
	heard use
	// missing is the part of the limit that is set aside for entries which are not heard:
	// they may go on, and set the part of this one aside in turn.
	missing float64
	// setAside is what was taken off the level for them.
	setAside float64
	// self is the share of this entry in the limit if all ask for the same.
	self float64
	// settled is set once missing and self were worked out.
	settled bool
	// nextReturn is when the last refused caller was told to come back.
	nextReturn time.Time
	// refused counts the refused requests.
	refused int64
}

// rate is what is left of the limit's rate for this entry and those that it hears.
func (b *bucket) rate() float64 { return b.limit.Rate * (1 - b.missing) }

// capacity is the highest level. While others are not heard their part is not counted in.
func (b *bucket) capacity() float64 {
	return (b.limit.Burst + extraShare*b.slack) * (1 - b.missing)
}

// advance brings the level up to a time.
func (b *bucket) advance(now time.Time) {
	elapsed := now.Sub(b.at).Seconds()
	if elapsed <= 0 {
		return
	}
	b.at = now
	if b.limit.Rate <= 0 {
		return
	}
	b.level += (b.rate() - b.heard.admitted) * elapsed
	b.level = math.Max(-maxDebt*b.limit.Rate-b.limit.Burst, math.Min(b.level, b.capacity()))
}

// part is the share of this entry in what those who hear each other may admit, by what
// each asks for. The own figure is as old as those of the others, so that in a surge that
// all see at once the parts are no more than the whole.
func (b *bucket) part(now time.Time) float64 {
	even := evenShare * b.limit.Rate
	own := b.asked.sum(now, newsAge, newsAge+askedOver) + even*b.self
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

// hear takes in what a speaker tells. It reports whether that is news.
func (b *bucket) hear(speaker string, u use) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.told[speaker] == u {
		return false
	}
	if u == (use{}) {
		delete(b.told, speaker)
		return true
	}
	if b.told == nil {
		b.told = make(map[string]use)
	}
	b.told[speaker] = u
	return true
}

// settle sums up what the sources tell.
func (b *bucket) settle(now time.Time, s *sources) {
	missing, self := s.missing(now)
	voices := s.voices(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	if b.settled {
		b.setAsideFor(missing)
	}
	b.heard, b.missing, b.self, b.settled = use{}, missing, self, true
	for name, u := range b.told {
		switch {
		case s.speakers[name] == nil:
			delete(b.told, name)
		case voices[name]:
			b.heard.admitted += u.admitted
			b.heard.asked += u.asked
		}
	}
}

// setAsideFor takes off the level what is left in it for the latest requests of those that
// are not heard any more: it is theirs. Once they are heard again it is given back.
func (b *bucket) setAsideFor(missing float64) {
	more := (missing - b.missing) * b.limit.Rate * unseenFor.Seconds()
	more = math.Max(more, -b.setAside)
	b.level -= more
	b.setAside += more
}

// uses returns the rates of the own requests, and those that the speakers told that are
// asked for.
func (b *bucket) uses(from func(speaker string) bool, now time.Time) (own, told use) {
	b.mu.Lock()
	defer b.mu.Unlock()
	own.admitted = b.admitted.sum(now, slotLength, slotLength+rateOver) / rateOver.Seconds()
	own.asked = b.asked.sum(now, slotLength, slotLength+askedOver) / askedOver.Seconds()
	for name, u := range b.told {
		if from(name) {
			told.admitted += u.admitted
			told.asked += u.asked
		}
	}
	return own, told
}

// idle reports whether neither this entry nor another has had a request of late.
func (b *bucket) idle(now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.told) == 0 && b.asked.sum(now, 0, slots*slotLength) == 0 && b.admitted.sum(now, 0, slots*slotLength) == 0
}

// set changes the limit. What was admitted under the one before counts.
func (b *bucket) set(limit model.Limit, slack float64, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	b.limit, b.slack = limit, slack
	b.level = math.Min(b.level, b.capacity())
}

// status is the state for metrics and dumps; false if there is no limit.
func (b *bucket) status(now time.Time) (Status, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.advance(now)
	return Status{
		Organisation: b.name, Rate: b.limit.Rate, Burst: b.limit.Burst, Level: b.level, Share: b.part(now),
		OwnRate: b.admitted.sum(now, 0, askedOver) / askedOver.Seconds(), OthersRate: b.heard.admitted, MissingShare: b.missing, Refused: b.refused,
	}, b.limit.Rate > 0
}
