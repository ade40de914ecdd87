package quota

import "time"

const (
	// slotLength is the length of time that one slot of a window covers.
	slotLength = 50 * time.Millisecond
	// slots is the number of slots in a window.
	slots = 28
)

// window counts the events of the last 1.4 s in slots of time. The zero value is empty.
type window struct {
	counts [slots]float32
	// newest is the number of the newest slot, counted from the Unix epoch.
	newest int64
}

// advance clears the slots that have become too old.
func (w *window) advance(now time.Time) {
	slot := now.UnixNano() / int64(slotLength)
	if slot-w.newest >= slots {
		w.counts = [slots]float32{}
		w.newest = slot
		return
	}
	for w.newest < slot {
		w.newest++
		w.counts[w.newest%slots] = 0
	}
}

// add counts n events. If the clock was set back, they are counted in the newest slot.
func (w *window) add(now time.Time, n float32) {
	w.advance(now)
	w.counts[w.newest%slots] += n
}

// sum returns the number of events whose age is at least from and less than to, in whole
// slots.
func (w *window) sum(now time.Time, from, to time.Duration) float64 {
	w.advance(now)
	total := float32(0)
	for i := int64(from / slotLength); i < int64(to/slotLength); i++ {
		total += w.counts[(w.newest-i+slots)%slots]
	}
	return max(0, float64(total))
}
