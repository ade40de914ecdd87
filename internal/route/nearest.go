package route

import "github.com/loomkeel/loomkeel/internal/model"

// Nearest returns the live members with an entry in a region, or all with an
// entry if there is none in the region.
func Nearest(members []model.Member, region string) []model.Member {
	var near, all []model.Member
	for _, m := range members {
		if m.Entry == "" || !m.Live() {
			continue
		}
		all = append(all, m)
		if m.Region == region {
			near = append(near, m)
		}
	}
	if len(near) > 0 {
		return near
	}
	return all
}
