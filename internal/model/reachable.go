package model

import (
	"cmp"
	"slices"
	"time"

	"github.com/loomkeel/loomkeel/internal/tree"
)

// maxOverflow is the number of nearest other regions to which an entry may send
// requests, in addition to the regions of overflow lists and moves. With many regions it
// bounds the number of upstreams that an entry holds; with few, all are reachable.
const maxOverflow = 8

// OnePerServiceRegion returns the directory reduced to the first upstream of each
// service in each region.
func OnePerServiceRegion(list Directory) Directory {
	out := Directory{Version: list.Version}
	seen := make(map[[2]string]bool)
	for _, u := range list.Upstreams {
		key := [2]string{u.Service, u.Region}
		if !seen[key] {
			seen[key] = true
			out.Upstreams = append(out.Upstreams, u)
		}
	}
	return out
}

// Reachable returns the directory reduced to the upstreams of the regions to which
// the entries of a region may send requests.
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

// reachableRegions returns the own region, the nearest maxOverflow other regions, and
// the regions that overflow settings and moves name for the own region.
func reachableRegions(t *tree.Tree, from string, list Directory) map[string]bool {
	reachable := map[string]bool{from: true}
	services := make(map[string]bool)
	latency := make(map[string]time.Duration)
	for _, u := range list.Upstreams {
		services[u.Service] = true
		if _, ok := latency[u.Region]; !ok && u.Region != from {
			latency[u.Region] = t.Duration(tree.LinkPath(from, u.Region), tree.KeyLatency)
		}
	}
	byLatency := make([]string, 0, len(latency))
	for r := range latency {
		byLatency = append(byLatency, r)
	}
	slices.SortFunc(byLatency, func(a, b string) int { return cmp.Or(cmp.Compare(latency[a], latency[b]), cmp.Compare(a, b)) })
	for _, r := range byLatency[:min(maxOverflow, len(byLatency))] {
		reachable[r] = true
	}
	for s := range services {
		for _, r := range t.List(tree.ServicePath(s)+"/regions/"+from, tree.KeyOverflow) {
			reachable[r] = true
		}
	}
	for _, m := range t.Moves() {
		reachable[m.To] = reachable[m.To] || m.From == from
	}
	return reachable
}
