// Package metrics records latency percentiles and publishes variables through expvar.
package metrics

import (
	"expvar"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxLatency is the largest latency that a histogram records; longer ones count as this.
	maxLatency = time.Hour
	// significantDigits is the precision of a histogram in decimal digits.
	significantDigits = 2
	// shards is the number of separately locked histograms of one LatencyHistogram.
	shards = 8
)

// LatencyHistogram records durations and computes their percentiles. It is sharded to reduce lock
// contention and safe for concurrent use.
type LatencyHistogram struct {
	shard [shards]struct {
		mu   sync.Mutex
		hist *hdrhistogram.Histogram
	}
}

// NewLatencyHistogram returns an empty LatencyHistogram.
func NewLatencyHistogram() *LatencyHistogram {
	l := new(LatencyHistogram)
	for i := range l.shard {
		l.shard[i].hist = hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
	}
	return l
}

// Record adds one duration, limited to the range from zero to maxLatency. The key selects the
// shard; concurrent callers should pass different keys.
func (l *LatencyHistogram) Record(key uint32, d time.Duration) {
	s := &l.shard[key%shards]
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.hist.RecordValue(min(max(d, 0), maxLatency).Microseconds())
}

// Summary holds the count, percentiles and maximum of a LatencyHistogram; durations are in
// microseconds.
type Summary struct {
	Count int64 `json:"count"`
	P50   int64 `json:"p50_us"`
	P99   int64 `json:"p99_us"`
	P999  int64 `json:"p999_us"`
	Max   int64 `json:"max_us"`
}

// Summary returns the percentiles of all durations recorded since the start.
func (l *LatencyHistogram) Summary() Summary {
	sum := hdrhistogram.New(1, maxLatency.Microseconds(), significantDigits)
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

// Publish publishes the result of f as an expvar variable. It does nothing if a variable with this
// name exists.
func Publish(name string, f func() any) {
	if expvar.Get(name) == nil {
		expvar.Publish(name, expvar.Func(f))
	}
}
