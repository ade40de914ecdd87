package ratelimit

import (
	"math"
	"slices"
	"time"
)

const (
	// minRate is the lowest rate in requests per second. An upstream that receives no requests
	// could not announce that its limit has ended.
	minRate = 0.25
	// burstTokens and burstSeconds determine the capacity of a bucket: a number of tokens, plus
	// the tokens of some seconds at the rate.
	burstTokens  = 2.25
	burstSeconds = 0.1
	// maxDebt bounds how far the level falls below zero, in seconds of the rate, beyond the
	// burst.
	maxDebt = 1.0
	// peerTimeout is the time without a message after which a sender is considered unreachable.
	// Its share of the rate is reserved for it from its last message on.
	peerTimeout = 450 * time.Millisecond
	// maxRefillTime is the longest time that is refilled at once. An entry that did not use the
	// bucket for longer was suspended, and has not received the counts of the other senders.
	maxRefillTime = time.Second
	// maxRetryAfter is the longest delay after which a refused caller is told to retry.
	maxRetryAfter = 5 * time.Second
)

// Bucket is one sender's view of the token bucket of an upstream.
type Bucket struct {
	// rate is in requests per second.
	rate  float64
	level float64
	// updated is the time that level is valid for.
	updated time.Time
	// sender is set if this entry may send. peers holds the other senders.
	sender bool
	peers  []peer
	// sent counts the requests that this entry has sent.
	sent uint32
	// nextRetry is the time at which the next refused caller is told to retry.
	nextRetry time.Time
}

// peer is another sender.
type peer struct {
	id string
	// sent is the last count of requests that the peer reported, and incarnation the
	// incarnation that it is of. An incarnation of 0 means that the peer has not reported yet.
	sent        uint32
	incarnation uint64
	// lastSeen is the time of the last message from the peer.
	lastSeen time.Time
	// unreachable is set while the peer's last message is older than peerTimeout.
	unreachable bool
}

// NewBucket returns an empty Bucket without senders, at the lowest rate.
func NewBucket(now time.Time) *Bucket { return &Bucket{rate: minRate, updated: now} }

// DiscardTokens removes all tokens from the bucket.
func (b *Bucket) DiscardTokens(now time.Time) {
	b.refill(now)
	b.level = math.Min(b.level, 0)
}

// SetRate changes the limit, in requests per second over all senders.
func (b *Bucket) SetRate(perSecond float64, now time.Time) {
	b.refill(now)
	b.rate = math.Max(perSecond, minRate)
	b.level = math.Min(b.level, b.capacity())
}

// SetSenders sets the IDs of the entries that may send; self is the ID of this entry. An entry
// that becomes a sender starts with an empty bucket, because it has not received the recent
// counts of the other senders.
func (b *Bucket) SetSenders(self string, ids []string, now time.Time) {
	b.refill(now)
	wasSender := b.sender
	b.sender = slices.Contains(ids, self)
	var peers []peer
	for _, id := range ids {
		if id == self {
			continue
		}
		p := peer{id: id, lastSeen: now}
		if i := b.indexOf(id); i >= 0 {
			p = b.peers[i]
		}
		peers = append(peers, p)
	}
	b.peers = peers
	if !wasSender {
		b.level = math.Min(b.level, 0)
	}
}

// indexOf returns the index of a peer, or -1.
func (b *Bucket) indexOf(id string) int {
	return slices.IndexFunc(b.peers, func(p peer) bool { return p.id == id })
}

// IsSender reports whether this entry may send at all.
func (b *Bucket) IsSender() bool { return b.sender }

// VisitPeers calls visit with the ID of each other sender.
func (b *Bucket) VisitPeers(visit func(id string)) {
	for i := range b.peers {
		visit(b.peers[i].id)
	}
}

// Sent returns the number of requests that this entry has sent.
func (b *Bucket) Sent() uint32 { return b.sent }

// MarkPeerAlive records that another sender is reachable.
func (b *Bucket) MarkPeerAlive(id string, now time.Time) {
	if i := b.indexOf(id); i >= 0 {
		b.refill(now)
		b.peers[i].lastSeen, b.peers[i].unreachable = now, false
	}
}

// RecordPeerSent takes off the requests that another sender has sent since its last report.
// The count sent is that of the sender's incarnation, a number above 0 that grows with each
// start.
func (b *Bucket) RecordPeerSent(id string, incarnation uint64, sent uint32, now time.Time) {
	i := b.indexOf(id)
	if i < 0 {
		return
	}
	b.refill(now)
	p := &b.peers[i]
	unaccounted := float64(sent)
	switch {
	case incarnation < p.incarnation, incarnation == p.incarnation && sent < p.sent:
		// A later report has overtaken this one.
		return
	case incarnation == p.incarnation:
		unaccounted -= float64(p.sent)
	case p.incarnation == 0:
		// This is the first report: not all of the requests were sent recently.
		unaccounted = math.Min(unaccounted, b.capacity())
	}
	if p.unreachable {
		unaccounted = math.Max(0, unaccounted-b.share()*now.Sub(p.lastSeen).Seconds())
	}
	b.take(unaccounted)
	p.sent, p.incarnation, p.lastSeen, p.unreachable = sent, incarnation, now, false
}

// Wait returns the time until this entry may send a request, 0 if it may send now. For an entry
// that is not a sender, it is longer than any request waits.
func (b *Bucket) Wait(now time.Time) time.Duration {
	return b.timeTo(1, now)
}

// WaitFull returns the time until the bucket is full. A full bucket shows that the senders do
// not use the whole limit.
func (b *Bucket) WaitFull(now time.Time) time.Duration { return b.timeTo(b.capacity(), now) }

// timeTo returns the time until the bucket reaches a level.
func (b *Bucket) timeTo(level float64, now time.Time) time.Duration {
	if !b.sender {
		return math.MaxInt64
	}
	b.refill(now)
	missing := level - b.level
	if missing <= 0 {
		return 0
	}
	return time.Duration(missing / b.refillRate() * float64(time.Second))
}

// Spend counts a request that this entry sends.
func (b *Bucket) Spend(now time.Time) {
	b.refill(now)
	b.sent++
	b.take(1)
}

// RetryAfter returns the delay after which a refused caller may retry whose request could be
// sent after wait. Retries are spaced, each after those of the callers that were refused before.
func (b *Bucket) RetryAfter(wait time.Duration, now time.Time) time.Duration {
	first := now.Add(min(wait, maxRetryAfter))
	if b.nextRetry.Before(first) {
		b.nextRetry = first
	}
	wait = min(b.nextRetry.Sub(now), maxRetryAfter)
	b.nextRetry = b.nextRetry.Add(time.Duration(float64(time.Second) / b.refillRate()))
	return wait
}

// Level returns the number of tokens, which is this entry's estimate of how many requests all
// senders together may send now.
func (b *Bucket) Level(now time.Time) float64 {
	b.refill(now)
	return b.level
}

// take removes n tokens, down to the largest debt.
func (b *Bucket) take(n float64) {
	b.level = math.Max(b.level-n, -(b.capacity() + maxDebt*b.rate))
}

// refill adds the tokens of the time up to now.
func (b *Bucket) refill(now time.Time) {
	elapsed := min(now.Sub(b.updated), maxRefillTime)
	if elapsed <= 0 {
		return
	}
	b.updated = now
	b.checkPeers(now)
	b.level = math.Min(b.level+b.refillRate()*elapsed.Seconds(), b.capacity())
}

// checkPeers marks the peers that have timed out as unreachable, and takes off what they may
// have sent since their last message.
func (b *Bucket) checkPeers(now time.Time) {
	for i := range b.peers {
		p := &b.peers[i]
		if !p.unreachable && now.Sub(p.lastSeen) >= peerTimeout {
			p.unreachable = true
			b.take(b.share() * peerTimeout.Seconds())
		}
	}
}

// share returns the rate that is reserved for each unreachable sender: an equal part of the
// whole, in requests per second.
func (b *Bucket) share() float64 { return b.rate / float64(1+len(b.peers)) }

// refillRate returns the rate at which the bucket fills, in tokens per second: the limit without
// the shares of unreachable senders, which may go on to use them.
func (b *Bucket) refillRate() float64 {
	reachable := 1
	for i := range b.peers {
		if !b.peers[i].unreachable {
			reachable++
		}
	}
	return b.share() * float64(reachable)
}

// capacity returns the highest level, which is the largest burst. At low rates 1+2*rate takes the
// place of burstTokens.
func (b *Bucket) capacity() float64 {
	return math.Min(burstTokens, 1+2*b.rate) + burstSeconds*b.rate
}
