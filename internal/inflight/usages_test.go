package inflight

import (
	"reflect"
	"testing"

	"github.com/loomkeel/loomkeel/internal/quota"
)

func TestUsagesRoundTrip(t *testing.T) {
	want := Report{Entry: "edge-sohar-hall-12", Scope: ScopeNone, HasUsages: true, UsagesScope: ScopeDomain, CoveredWeight: 3, Last: allUpstreams}
	var usages []quota.Usage
	for i := range 2*maxUsages + 7 {
		usages = append(usages, quota.Usage{Organisation: uint32(i) << 20, Admitted: 100_000, Requested: 200_000.5})
	}
	var got []quota.Usage
	next := uint32(0)
	parts := splitUsages(want, usages)
	for _, r := range parts {
		b := r.Append(nil)
		if len(b) > maxDatagram {
			t.Errorf("report has %d bytes, more than a datagram", len(b))
		}
		back, err := Decode(b)
		if err != nil {
			t.Fatal(err)
		}
		if !back.HasUsages || back.UsagesScope != ScopeDomain || back.CoveredWeight != 3 || back.First != next {
			t.Errorf("%+v", back)
		}
		next = back.Last + 1
		got = append(got, back.Usages...)
	}
	if len(parts) != 3 || next != 0 || !reflect.DeepEqual(got, usages) {
		t.Errorf("%d reports, next hash %d, %d usages", len(parts), next, len(got))
	}
}

func TestMalformedUsagesAreRefused(t *testing.T) {
	r := Report{Entry: "e", Scope: ScopeNone, HasUsages: true, CoveredWeight: maxCovered + 1, Last: allUpstreams}
	if _, err := Decode(r.Append(nil)); err == nil {
		t.Error("a report that covers too large a weight is accepted")
	}
	r.CoveredWeight, r.Usages = 1, []quota.Usage{{Organisation: 1, Admitted: maxUsageUnits}}
	if _, err := Decode(r.Append(nil)); err == nil {
		t.Error("a usage above maxUsageUnits is accepted")
	}
	r.Usages = []quota.Usage{{Organisation: 1, Admitted: 5, Requested: 5}}
	whole := r.Append(nil)
	for n := 1; n < 6; n++ {
		if _, err := Decode(whole[:len(whole)-n]); err == nil {
			t.Errorf("a report cut by %d bytes is accepted", n)
		}
	}
}

// TestSourcesOfAHub checks that a hub has the entries of its failure domain as one source and each
// of the other domains as another, whereas all peers are one source in a fleet with direct
// reports, and checks the weights.
func TestSourcesOfAHub(t *testing.T) {
	f := Fleet{
		Peers: []Peer{
			{ID: "a1", Domain: "a", Advertised: true}, {ID: "a2", Domain: "a"},
			{ID: "b1", Domain: "b", Advertised: true}, {ID: "b2", Domain: "b", Advertised: true}, {ID: "c1", Domain: "c"},
		},
		HubCandidates: []Peer{{ID: "self"}, {ID: "a1"}, {ID: "a2"}},
	}
	got := make(map[string]int)
	for _, s := range f.hubSources(f.weights()) {
		got[s.Name] = s.Weight
	}
	if want := map[string]int{"peers": 1333, "*b": 2000, "*c": 333}; !reflect.DeepEqual(got, want) {
		t.Errorf("%v", got)
	}
	if w := f.weights(); w.self != 333 || w.all() != 3666 {
		t.Errorf("weights are %d and %d", w.self, w.all())
	}
	f.Advertised = true
	if w := f.weights(); w.self != advertisedWeight || w.unadvertised != 666 {
		t.Errorf("weights are %d and %d", w.self, w.unadvertised)
	}
}
