package poison

import (
	"fmt"
	"testing"
	"time"
)

// BenchmarkKeys is what each request pays: its keys, with the beginning of its body, and
// the note that it was answered. Without a Tracker it is nothing.
func BenchmarkKeys(b *testing.B) {
	for _, bytes := range []int{0, 360_000} {
		b.Run(fmt.Sprint(bytes, " bytes of body"), func(b *testing.B) {
			tr, body := NewTracker("n"), make([]byte, bytes)
			now := time.Now()
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				r := Request{Method: "POST", Host: "novo81.example", Target: "/novo81/23/eaca", Object: "23", Caller: "100.65.0.28", Length: int64(i % 5000)}
				head := r.Head()
				if tr.Known(head) {
					b.Fatal("known")
				}
				tr.Answered(now, head.WithBody(body))
			}
		})
	}
}

// BenchmarkWords is what an entry pays in each round for a number of requests that end
// upstreams, and what it sends.
func BenchmarkWords(b *testing.B) {
	for _, n := range []int{0, 1, 100} {
		b.Run(fmt.Sprint(n, " requests"), func(b *testing.B) {
			tr, now := NewTracker("n"), time.Now()
			for i := range n {
				k := keysOf(fmt.Sprint("/", i), "c")
				for u := range 3 {
					tr.Broke(now, k, k, uint32(3*i+u))
				}
			}
			words := 0
			b.ReportAllocs()
			for b.Loop() {
				now = now.Add(200 * time.Millisecond)
				words += len(tr.Words(now, 60, false))
			}
			b.ReportMetric(float64(words)/float64(b.N), "words/round")
		})
	}
}
