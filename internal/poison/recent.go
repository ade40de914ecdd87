package poison

import "time"

// maxRecent bounds each of the two halves of the answers that are remembered: at a
// hundred requests a second, with two keys each, at least trustAnswerFor.
const maxRecent = 2048

// recentKeys remembers when requests were last answered. Of two halves the older one is
// dropped when the newer one is full.
type recentKeys struct{ newer, older map[Key]time.Time }

func newRecentKeys() recentKeys {
	return recentKeys{make(map[Key]time.Time), make(map[Key]time.Time)}
}

func (r *recentKeys) put(key Key, now time.Time) {
	if len(r.newer) >= maxRecent {
		r.newer, r.older = make(map[Key]time.Time), r.newer
	}
	r.newer[key] = now
}

// at returns when a request was last answered; the zero time if it is not remembered.
func (r *recentKeys) at(key Key) time.Time {
	if at, ok := r.newer[key]; ok {
		return at
	}
	return r.older[key]
}
