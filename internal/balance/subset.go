package balance

import (
	"cmp"
	"slices"

	"github.com/loomkeel/loomkeel/internal/model"
)

// Subset divides a service's upstreams in a region evenly among the region's entries and returns
// the IDs of those assigned to self. All entries compute the same division from the same list of
// entries. While their lists differ, two entries may use the same upstream first; the worst effect
// is that it sheds a request.
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
