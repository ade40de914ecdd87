package node

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/forward"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/route"
	"github.com/loomkeel/loomkeel/internal/view"
)

// largeNode returns a node of a fleet of 295 nodes and 1,617 upstreams in nine failure
// domains.
func largeNode() *Node {
	regions := make(map[string]string)
	for d := range 9 {
		regions[fmt.Sprint("d", d)] = fmt.Sprint("r", d/3)
	}
	self := model.Member{ID: "n0", Region: "r0", Domain: "d0", State: membership.Alive, Entry: "10.0.0.1:80", Agent: "10.0.0.1:7200", LinkMbps: 200, Cores: 0.8}
	n := New(view.Options{Self: self, Regions: regions, ReregistrationGrace: time.Second}, forward.Options{Self: self.ID, Domain: self.Domain, MaxInFlight: 100, Now: time.Now})
	n.Apply(func(v *view.View, _ time.Time) {
		v.SetConfig(&model.Config{Version: 1, Services: map[string]model.ServiceConfig{"s0": {}, "s1": {}, "s2": {}}})
		for i := range 1617 {
			v.PutUpstream(largeUpstream(i))
		}
		for i := 1; i < 295; i++ {
			m := self
			m.ID, m.Domain, m.Region = fmt.Sprint("n", i), fmt.Sprint("d", i%9), regions[fmt.Sprint("d", i%9)]
			if i >= 27 {
				m.LinkMbps, m.Cores = 20, 0.16
			}
			v.PutNode(m.ID, m)
		}
	})
	n.MarkSynced()
	return n
}

// largeUpstream returns the upstream with index i of the fleet of largeNode.
func largeUpstream(i int) model.Upstream {
	return model.Upstream{ID: fmt.Sprint("i-", i), Service: fmt.Sprint("s", i%3), Domain: fmt.Sprint("d", i%9), Address: "10.0.1.1:80", Slots: 9}
}

// BenchmarkApply measures the application of a change of one upstream.
func BenchmarkApply(b *testing.B) {
	n := largeNode()
	b.ReportAllocs()
	for i := range b.N {
		n.activate()
		n.Apply(func(v *view.View, _ time.Time) { v.PutUpstream(largeUpstream(i % 1617)) })
	}
}

// TestQuietNodeDefersSnapshots applies changes to a node without requests: none may be compiled
// before the next request, which must see all of them.
func TestQuietNodeDefersSnapshots(t *testing.T) {
	n := largeNode()
	first := n.Entry.Proxy.Snapshot()
	for i := range 1000 {
		n.Apply(func(v *view.View, now time.Time) { v.RemoveUpstreamNow(largeUpstream(i).ID, now) })
	}
	if n.Entry.Proxy.Snapshot() != first {
		t.Error("changes were compiled though no request needed them")
	}
	serve := func() int {
		n.Handler().ServeHTTP(httptest.NewRecorder(), httptest.NewRequest(http.MethodGet, "/", nil))
		total := 0
		for _, svc := range n.Entry.Proxy.Snapshot().Services {
			total += len(svc.Upstreams)
		}
		return total
	}
	if got := serve(); got != 617 {
		t.Errorf("a request sees %d upstreams, want 617", got)
	}
	n.Apply(func(v *view.View, now time.Time) { v.RemoveUpstreamNow(largeUpstream(1000).ID, now) })
	if s := n.Entry.Proxy.Snapshot(); len(s.Services["s1"].Upstreams)+len(s.Services["s0"].Upstreams)+len(s.Services["s2"].Upstreams) != 616 {
		t.Error("a change soon after a request was not compiled at once")
	}
}

// TestQuietNodeFollowsConfiguration changes the configuration of a node without requests: look-ups
// and readiness follow it without a snapshot.
func TestQuietNodeFollowsConfiguration(t *testing.T) {
	n := largeNode()
	if !n.Ready() {
		t.Error("the node is not ready")
	}
	n.Apply(func(v *view.View, _ time.Time) {
		route := &model.Route{Name: "r", Host: "a.example", Prefix: "/", Regions: []string{"r1"}}
		v.SetConfig(&model.Config{Version: 2, Routes: []*model.Route{route}, Services: map[string]model.ServiceConfig{"s0": {}}})
	})
	if got := n.ServingRegions("a.example"); len(got) != 1 || got[0] != "r1" {
		t.Errorf("serving regions %v, want r1", got)
	}
	if n.Entry.Proxy.Snapshot() != nil {
		t.Error("a snapshot was compiled though no request needed it")
	}
}

// TestStatusNeedsNoSnapshot reads the metrics of a quiet node.
func TestStatusNeedsNoSnapshot(t *testing.T) {
	n := largeNode()
	n.Apply(func(v *view.View, now time.Time) {
		u := largeUpstream(0)
		u.Leaving = true
		v.PutUpstream(u)
		v.PutDrain("d1", now)
	})
	s := n.Status()
	if s.ConfigVersion != 1 || s.Upstreams["s0"] != 539 || s.Draining["s0"] != 1 || s.Draining["s1"] != 180 || s.Draining["s2"] != 0 {
		t.Errorf("%+v", s)
	}
	if n.Entry.Proxy.Snapshot() != nil {
		t.Error("metrics compiled a snapshot")
	}
}

// BenchmarkLookupMembers measures the choice of the nodes that a look-up returns.
func BenchmarkLookupMembers(b *testing.B) {
	n := largeNode()
	b.ReportAllocs()
	for range b.N {
		route.Nearest(n.LookupMembers(), "r0", "d0", nil)
	}
}

// BenchmarkFirstRequestAfterLull measures what the requests wait that arrive after a lull in which one
// upstream has changed, until the snapshot is compiled and in force.
func BenchmarkFirstRequestAfterLull(b *testing.B) {
	for _, upstreams := range []int{1617, 10000} {
		b.Run(fmt.Sprint(upstreams, " upstreams"), func(b *testing.B) {
			n := largeNode()
			n.Apply(func(v *view.View, _ time.Time) {
				for i := range upstreams {
					v.PutUpstream(largeUpstream(i))
				}
			})
			n.activate()
			b.ResetTimer()
			for i := range b.N {
				n.Apply(func(v *view.View, _ time.Time) {
					u := largeUpstream(i % upstreams)
					u.Slots += i % 2
					v.PutUpstream(u)
				})
				n.mu.Lock()
				n.compile()
				n.mu.Unlock()
			}
		})
	}
}
