package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// trickle is the least rate in requests per second. An upstream that gets nothing could
	// not tell that its limit has ended.
	trickle = 0.25
	// burstTokens and burstTime are how many tokens a full bucket has, and how many seconds of
	// the rate beside.
	burstTokens = 2.25
	burstTime   = 0.1
	// maxDebt is how many seconds of the rate the level may be below zero, beside the burst.
	maxDebt = 1.0
	// unheardAfter is after what time without a word a sender is silent. From its last word on
	// its part of the rate is left to it.
	unheardAfter = 450 * time.Millisecond
	// maxGap is the longest time that the bucket fills for at once. An entry that did not look
	// at it for longer stood still, and has not heard what the others sent.
	maxGap = time.Second
	// maxRetry is the longest time that a refused caller is told to wait.
	maxRetry = 5 * time.Second
)

// Bucket is the token bucket of one upstream as one of its senders sees it.
type Bucket struct {
	// rate is in requests per second.
	rate  float64
	level float64
	at    time.Time
	// sender is set if this entry may send, peers are the others that may.
	sender bool
	peers  []peer
	// sent counts the own requests.
	sent uint32
	// nextReturn is when the next refused caller is told to come back.
	nextReturn time.Time
}

// peer is another sender.
type peer struct {
	id string
	// sent is how many requests it told of last, in which of its lives; 0 means that it has
	// not told yet.
	sent  uint32
	life  uint64
	heard time.Time
	// silent is set while it is not heard.
	silent bool
}

// NewBucket returns an empty Bucket without senders, at the least rate.
func NewBucket(now time.Time) *Bucket { return &Bucket{rate: trickle, at: now} }

// DiscardTokens leaves no token in the bucket.
func (b *Bucket) DiscardTokens(now time.Time) {
	b.advance(now)
	b.level = math.Min(b.level, 0)
}

// SetRate changes the limit.
func (b *Bucket) SetRate(perSecond float64, now time.Time) {
	b.advance(now)
	b.rate = math.Max(perSecond, trickle)
	b.level = math.Min(b.level, b.burst())
}

// SetSenders sets the entries that may send. An entry that becomes one begins
// with an empty bucket: it does not know what the others have sent of late.
func (b *Bucket) SetSenders(self string, ids []string, now time.Time) {
	b.advance(now)
	was := b.sender
	b.sender = slices.Contains(ids, self)
	var peers []peer
	for _, id := range ids {
		if id == self {
			continue
		}
		p := peer{id: id, heard: now}
		if i := b.indexOf(id); i >= 0 {
			p = b.peers[i]
		}
		peers = append(peers, p)
	}
	b.peers = peers
	if !was {
		b.level = math.Min(b.level, 0)
	}
}

func (b *Bucket) indexOf(id string) int {
	return slices.IndexFunc(b.peers, func(p peer) bool { return p.id == id })
}

// IsSender reports whether this entry may send at all.
func (b *Bucket) IsSender() bool { return b.sender }

// VisitPeers calls visit with the id of each other sender.
func (b *Bucket) VisitPeers(visit func(id string)) {
	for i := range b.peers {
		visit(b.peers[i].id)
	}
}

// Sent returns how many requests this entry has sent.
func (b *Bucket) Sent() uint32 { return b.sent }

// MarkPeerAlive records that another sender is there.
func (b *Bucket) MarkPeerAlive(id string, now time.Time) {
	if i := b.indexOf(id); i >= 0 {
		b.advance(now)
		b.peers[i].heard, b.peers[i].silent = now, false
	}
}

// RecordPeerSent takes in how many requests another sender has sent in its life, which is a number
// above 0 that grows with each start.
func (b *Bucket) RecordPeerSent(id string, life uint64, sent uint32, now time.Time) {
	i := b.indexOf(id)
	if i < 0 {
		return
	}
	b.advance(now)
	p := &b.peers[i]
	news := float64(sent)
	switch {
	case life < p.life, life == p.life && sent < p.sent:
		// Overtaken by a later word.
		return
	case life == p.life:
		news -= float64(p.sent)
	case p.life == 0:
		// Not all of them were sent of late.
		news = math.Min(news, b.burst())
	}
	if p.silent {
		news = math.Max(0, news-b.part()*now.Sub(p.heard).Seconds())
	}
	b.take(news)
	p.sent, p.life, p.heard, p.silent = sent, life, now, false
}

// Wait returns after what time this entry may send a request: 0 if it may now. It is longer
// than any request waits if the entry is no sender.
func (b *Bucket) Wait(now time.Time) time.Duration {
	return b.until(1, now)
}

// WaitFull returns after what time the bucket is full, which shows that the senders do not use
// the whole limit.
func (b *Bucket) WaitFull(now time.Time) time.Duration { return b.until(b.burst(), now) }

// until returns after what time the level is reached.
func (b *Bucket) until(level float64, now time.Time) time.Duration {
	if !b.sender {
		return math.MaxInt64
	}
	b.advance(now)
	missing := level - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.fills() * float64(time.Second))
}

// Spend counts a request that this entry sends.
func (b *Bucket) Spend(now time.Time) {
	b.advance(now)
	b.sent++
	b.take(1)
}

// RetryAfter returns after what time a refused caller may come back whose request may go after a
// wait: after that, and after those who were told so before.
func (b *Bucket) RetryAfter(wait time.Duration, now time.Time) time.Duration {
	first := now.Add(min(wait, maxRetry))
	if b.nextReturn.Before(first) {
		b.nextReturn = first
	}
	wait = min(b.nextReturn.Sub(now), maxRetry)
	b.nextReturn = b.nextReturn.Add(time.Duration(float64(time.Second) / b.fills()))
	return wait
}

// Level returns how many requests all senders may send now, as this entry knows.
func (b *Bucket) Level(now time.Time) float64 {
	b.advance(now)
	return b.level
}

func (b *Bucket) take(n float64) {
	b.level = math.Max(b.level-n, -(b.burst() + maxDebt*b.rate))
}

// advance brings the level up to a time.
func (b *Bucket) advance(now time.Time) {
	elapsed := min(now.Sub(b.at), maxGap)
	if elapsed <= 0 {
		return
	}
	b.at = now
	b.leaveSilent(now)
	b.level = math.Min(b.level+b.fills()*elapsed.Seconds(), b.burst())
}

// leaveSilent takes off the level what senders that have fallen silent may have sent since
// their last word.
func (b *Bucket) leaveSilent(now time.Time) {
	for i := range b.peers {
		p := &b.peers[i]
		if !p.silent && now.Sub(p.heard) >= unheardAfter {
			p.silent = true
			b.take(b.part() * unheardAfter.Seconds())
		}
	}
}

// part is the rate that is left to a sender that is not heard.
func (b *Bucket) part() float64 { return b.rate / float64(1+len(b.peers)) }

// fills returns the rate at which the bucket fills: the whole, but for the parts of senders
// that are not heard. They may go on with theirs.
func (b *Bucket) fills() float64 {
	heard := 1
	for i := range b.peers {
		if !b.peers[i].silent {
			heard++
		}
	}
	return b.part() * float64(heard)
}

// burst is the highest level: how many requests may come at once.
func (b *Bucket) burst() float64 {
	return math.Min(burstTokens, 1+2*b.rate) + burstTime*b.rate
}
