package inflight

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/poison"
)

// BenchmarkClaims is what an entry pays in each round for a number of requests that are
// held, and the bytes in a second that it sends to each peer: those of its own claims,
// or, as a hub, also those of two others about each.
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
						now = now.Add(farPeriod)
						rounds++
						for claims := range slices.Chunk(tr.Claims(now, claimsPerRound, hub), maxClaims) {
							r := Report{Entry: "edge-qurum-hall-10", Scope: ScopeNone, Last: allUpstreams, Claims: claims}
							bytes += len(r.Append(nil))
						}
					}
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(rounds), "ns/round")
				b.ReportMetric(float64(bytes)/float64(rounds)*float64(time.Second/farPeriod), "bytes/s")
			})
		}
	}
}

// heldTracker holds a number of requests, under which upstreams ended here and at two
// others. Each has the key of its caller and that of anyone.
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
