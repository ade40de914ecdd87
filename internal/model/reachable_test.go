package model

import (
	"fmt"
	"testing"

	"github.com/loomkeel/loomkeel/internal/tree"
)

func TestReachable(t *testing.T) {
	var list Directory
	for i := range 20 {
		list.Upstreams = append(list.Upstreams, Upstream{ID: fmt.Sprint(i), Service: "stock", Region: fmt.Sprintf("r%02d", i)})
	}
	edits := []tree.Edit{
		{Path: "/links/r00/r19", Key: tree.KeyLatency, Value: "1ms"},
		{Path: "/services/stock", Key: tree.KeyOverflow, Value: "r17"},
		{Path: "/moves/m", Key: tree.KeyFrom, Value: "r00"},
		{Path: "/moves/m", Key: tree.KeyTo, Value: "r18"},
	}
	tr := new(tree.Tree).Apply(edits, 1)
	got := make(map[string]bool)
	for _, u := range Reachable(tr, "r00", list).Upstreams {
		got[u.Region] = true
	}
	for _, r := range []string{"r00", "r01", "r07", "r17", "r18", "r19"} {
		if !got[r] {
			t.Errorf("%s is not reachable", r)
		}
	}
	if want := 1 + maxOverflow + 2; len(got) != want {
		t.Errorf("%d regions reachable, want %d: %v", len(got), want, got)
	}
}

func TestOnePerServiceRegion(t *testing.T) {
	list := Directory{Upstreams: []Upstream{{ID: "a", Service: "s", Region: "r"}, {ID: "b", Service: "s", Region: "r"}, {ID: "c", Service: "s", Region: "q"}}}
	if got := len(OnePerServiceRegion(list).Upstreams); got != 2 {
		t.Errorf("%d upstreams, want 2", got)
	}
}
