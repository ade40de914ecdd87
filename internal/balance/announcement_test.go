package balance

import "time"

// finish ends the request of a Choice with an answer.
func (b *Balancer) finish(now time.Time, c Choice, a Announcement, r DoneInfo) Result {
	r.Observation = b.Observe(now, c, a)
	return b.Done(now, c, r)
}

// observeLimitOf applies an answer that states only a limit.
func (b *Balancer) observeLimitOf(now time.Time, c Choice, r RateLimit) bool {
	a := NoAnnouncement()
	a.Limit = r
	return b.Observe(now, c, a).LimitChanged
}
