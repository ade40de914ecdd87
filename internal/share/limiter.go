package share

import "sync"

// Limit is what an entry may use of a cap. The times are of the machine's clock
// since boot, in nanoseconds, which goes on while the process or the machine is
// paused.
type Limit struct {
	Service, Region string
	Floor           int
	FloorUntil      int64
	Grant           int
	GrantUntil      int64
}

// At returns how much may be used at a time.
func (l Limit) At(now int64) int {
	n := 0
	if now < l.FloorUntil {
		n += l.Floor
	}
	if now < l.GrantUntil {
		n += l.Grant
	}
	return n
}

// key names a cap.
type key struct{ service, region string }

// Limiter holds an entry's limits. It is safe for concurrent use.
type Limiter struct {
	mu      sync.Mutex
	limits  map[key]Limit
	refused map[key]int
}

// NewLimiter returns an empty Book, which allows nothing of any cap.
func NewLimiter() *Limiter { return &Limiter{limits: make(map[key]Limit), refused: make(map[key]int)} }

// Set replaces all limits. A time that has been extended stays so, since an
// older answer may come late.
func (b *Limiter) Set(limits []Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	next := make(map[key]Limit, len(limits))
	for _, l := range limits {
		next[key{l.Service, l.Region}] = l
	}
	b.limits = next
}

// Allow reports whether one more request may go to a region where inFlight are
// now, and counts a refusal.
func (b *Limiter) Allow(service, region string, inFlight int, now int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	k := key{service, region}
	if inFlight < b.limits[k].At(now) {
		return true
	}
	b.refused[k]++
	return false
}

// StatusesAndReset returns what may be used at a time, with the refusals since the last
// call.
func (b *Limiter) StatusesAndReset(now int64) []LimitStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.look(now)
	clear(b.refused)
	return out
}

// Statuses is Uses without an effect on the count of refusals, for dumps.
func (b *Limiter) Statuses(now int64) []LimitStatus {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.look(now)
}

func (b *Limiter) look(now int64) []LimitStatus {
	var out []LimitStatus
	for k, l := range b.limits {
		out = append(out, LimitStatus{k.service, k.region, l.At(now), b.refused[k]})
	}
	for k, n := range b.refused {
		if _, ok := b.limits[k]; !ok {
			out = append(out, LimitStatus{k.service, k.region, 0, n})
		}
	}
	return out
}

// LimitStatus is a limit in force with the refusals that it caused.
type LimitStatus struct {
	Service, Region string
	Limit           int
	Refused         int
}
