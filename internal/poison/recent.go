package poison

import "time"

// maxRecent is the capacity of each of the two generations of recent responses. At a hundred
// requests per second with two keys each, they cover at least responseTrustTime.
const maxRecent = 2048

// recentResponses holds the times of the last responses to requests, in two generations. When
// the newer one is full, the older one is dropped.
type recentResponses struct{ newer, older map[Key]time.Time }

// newRecentResponses returns an empty recentResponses.
func newRecentResponses() recentResponses {
	return recentResponses{make(map[Key]time.Time), make(map[Key]time.Time)}
}

// put records a response to a request.
func (r *recentResponses) put(key Key, now time.Time) {
	if len(r.newer) >= maxRecent {
		r.newer, r.older = make(map[Key]time.Time), r.newer
	}
	r.newer[key] = now
}

// last returns the time of the last response to a request, or the zero time if none is
// recorded.
func (r *recentResponses) last(key Key) time.Time {
	if at, ok := r.newer[key]; ok {
		return at
	}
	return r.older[key]
}
