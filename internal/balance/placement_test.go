package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// largeService returns a service with 1044 upstreams in nine failure domains.
func largeService() (*model.Service, []model.Member) {
	s := &model.Service{Name: "stock", Routed: true}
	var entries []model.Member
	for d := range 9 {
		domain := fmt.Sprint("d", d)
		region := fmt.Sprint("r", d/3)
		for i := range 3 {
			entries = append(entries, model.Member{ID: fmt.Sprint(domain, "-entry-", i), Region: region, Domain: domain})
		}
		for i := range 116 {
			s.Upstreams = append(s.Upstreams, model.Upstream{ID: fmt.Sprint(domain, "-", i), Region: region, Domain: domain, Slots: 9})
		}
	}
	return s, entries
}

// TestTopByScoreMatchesFullOrder compares the first upstreams of many objects with those of the
// fully sorted order.
func TestTopByScoreMatchesFullOrder(t *testing.T) {
	s, entries := largeService()
	lb := balancerAt(s, entries, entries[0])
	rnd := rand.New(rand.NewPCG(1, 2))
	for range 300 {
		req := ObjectRequest{Object: rnd.Uint64()}
		for _, n := range []int{1, 2, 5, 2000} {
			got := append([]candidate(nil), lb.topByScore(t0, req, n)...)
			whole := lb.byScore(t0, req)
			if len(got) != min(n, len(whole)) {
				t.Fatalf("got %d candidates for n = %d", len(got), n)
			}
			for i := range got {
				if got[i] != whole[i] {
					t.Fatalf("object %x: candidate %d of %d is %s, want %s", req.Object, i, n, got[i].state.ID, whole[i].state.ID)
				}
			}
		}
	}
}

// BenchmarkPickObject measures a pick among about a thousand upstreams.
func BenchmarkPickObject(b *testing.B) {
	s, entries := largeService()
	lb := balancerAt(s, entries, entries[0])
	b.ReportAllocs()
	for i := range b.N {
		c, err := lb.PickObject(t0, ObjectRequest{Object: mix(uint64(i)), Class: "r", Objective: time.Second})
		if err != nil {
			b.Fatal(err)
		}
		lb.Done(t0, c, DoneInfo{Result: Abandoned})
	}
}
