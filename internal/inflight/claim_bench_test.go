package inflight

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// BenchmarkClaims measures the cost of one round of Claims for a number of held requests, and
// the bytes per second that an entry sends to each peer: its own Claims, or, as a hub, also
// those of two other entries about each request.
func BenchmarkClaims(b *testing.B) {
	for _, n := range []int{0, 1, 100} {
		for _, hub := range []bool{false, true} {
			b.Run(fmt.Sprintf("%d requests, hub %v", n, hub), func(b *testing.B) {
				b.ReportAllocs()
				rounds, bytes := 0, 0
				for b.Loop() {
					b.StopTimer()
					tr, now := heldTracker(n), t0
					b.StartTimer()
					for range 300 {
						now = now.Add(remotePeriod)
						rounds++
						for claims := range slices.Chunk(tr.Claims(now, claimsPerRound, hub), maxClaims) {
							r := Report{Entry: "edge-qurum-hall-10", Scope: ScopeNone, Last: allUpstreams, Claims: claims}
							bytes += len(r.Append(nil))
						}
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds), "ns/round")
				b.ReportMetric(float64(bytes)/float64(rounds)*float64(time.Second/remotePeriod), "bytes/s")
			})
		}
	}
}

// heldTracker returns a tracker that holds a number of requests, each of which crashed an
// upstream of this entry and of two others. Each request has two keys, with and without its
// caller.
func heldTracker(n int) *poison.Tracker {
	tr := poison.NewTracker("self")
	for i := range n {
		r := poison.Request{Method: "GET", Target: fmt.Sprint("/", i), Caller: "c"}
		keys := r.HeadKeys()
		tr.RecordCrash(t0, keys, keys, uint32(3*i))
		for peer := range 2 {
			for _, key := range keys.All() {
				tr.HandleClaim(t0, poison.Claim{Key: key, Head: key, Source: uint32(peer + 1), Crashes: []poison.Crash{{Upstream: uint32(3*i + peer + 1)}}})
			}
		}
	}
	return tr
}
