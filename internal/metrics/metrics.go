// Package metrics publishes counters and latency percentiles by expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// longest is the largest latency that a histogram tells apart.
	longest = time.Hour
	// digits is the number of significant digits kept.
	digits = 2
	// shards is how many histograms share the load of one Latency.
	shards = 8
)

// LatencyHistogram records durations and gives their percentiles. It is safe for
// concurrent use.
type LatencyHistogram struct {
	shard [shards]struct {
		mu   sync.Mutex
		hist *hdrhistogram.Histogram
	}
}

// NewLatencyHistogram returns an empty Latency.
func NewLatencyHistogram() *LatencyHistogram {
	l := new(LatencyHistogram)
	for i := range l.shard {
		l.shard[i].hist = hdrhistogram.New(1, longest.Microseconds(), digits)
	}
	return l
}

// Record adds one duration. Key spreads the callers over the shards.
func (l *LatencyHistogram) Record(key uint32, d time.Duration) {
	s := &l.shard[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.hist.RecordValue(min(max(d, 0), longest).Microseconds())
}

// Summary are the percentiles of a Latency in microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// Summary returns the percentiles of all that was recorded.
func (l *LatencyHistogram) Summary() Summary {
	sum := hdrhistogram.New(1, longest.Microseconds(), digits)
	for i := range l.shard {
		s := &l.shard[i]
		s.mu.Lock()
		sum.Merge(s.hist)
		s.mu.Unlock()
	}
	return Summary{
		Count: sum.TotalCount(),
		P50:   sum.ValueAtQuantile(50),
		P99:   sum.ValueAtQuantile(99),
		P999:  sum.ValueAtQuantile(99.9),
		Max:   sum.Max(),
	}
}

// Publish makes the result of f a variable of expvar. A name that is taken
// already keeps its variable.
func Publish(name string, f func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(f))
	}
}
