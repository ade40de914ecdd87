package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/tree"
)

// maxOverflow is how many of the nearest other regions an entry may send to,
// beside those that an overflow list or a move names. With few regions it is
// all of them; with many it bounds what an entry has to hold.
const maxOverflow = 8

// OnePerServiceRegion returns a directory with one upstream of each service in each region.
func OnePerServiceRegion(list Directory) Directory {
	out := Directory{Version: list.Version}
	seen := make(map[[2]string]bool)
	for _, u := range list.Upstreams {
		place := [2]string{u.Service, u.Region}
		if !seen[place] {
			seen[place] = true
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	return out
}

// Reachable returns the upstreams of the regions that the entries of a region
// may send to.
func Reachable(t *tree.Tree, from string, list Directory) Directory {
	regions := reachableRegions(t, from, list)
	out := Directory{Version: list.Version}
	for _, u := range list.Upstreams {
		if regions[u.Region] {
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	return out
}

func reachableRegions(t *tree.Tree, from string, list Directory) map[string]bool {
	in := map[string]bool{from: true}
	services := make(map[string]bool)
	latency := make(map[string]time.Duration)
	for _, u := range list.Upstreams {
		services[u.Service] = true
		if _, ok := latency[u.Region]; !ok && u.Region != from {
			latency[u.Region] = t.Duration(tree.LinkPath(from, u.Region), tree.KeyLatency)
		}
	}
	near := make([]string, 0, len(latency))
	for r := range latency {
		near = append(near, r)
	}
	slices.SortFunc(near, func(a, b string) int { return cmp.Or(cmp.Compare(latency[a], latency[b]), cmp.Compare(a, b)) })
	for _, r := range near[:min(maxOverflow, len(near))] {
		in[r] = true
	}
	for s := range services {
		for _, r := range t.List(tree.ServicePath(s)+"/regions/"+from, tree.KeyOverflow) {
			in[r] = true
		}
	}
	for _, m := range t.Moves() {
		in[m.To] = in[m.To] || m.From == from
	}
	return in
}
