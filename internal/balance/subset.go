package balance

import (
	"cmp"
	"slices"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Subset divides a service's upstreams in a region evenly among the region's
// entries and returns those of one entry. All entries work out the same from the
// same members; while they disagree two may own an upstream, which costs no more
// than a shed.
func Subset(upstreams []model.Upstream, region, self string, entries []string) map[string]bool {
	var ids []string
	for _, u := range upstreams {
		if u.Region == region {
			ids = append(ids, u.ID)
		}
	}
	slices.SortFunc(ids, cmp.Compare[string])
	sorted := slices.Sorted(slices.Values(entries))
	owned := make(map[string]bool)
	for i, id := range ids {
		if len(sorted) > 0 && sorted[i%len(sorted)] == self {
			owned[id] = true
		}
	}
	return owned
}
