package route

import "github.com/loomkeel/loomkeel/internal/model"

// enough is how many members of a failure domain are named alone: with two of
// them a caller has another to turn to.
const enough = 2

// Nearest returns the live members with an entry that are nearest to a place:
// those of the failure domain, if there are enough, else of the region, else all; and
// of these the strongest, if they can carry the requests of all.
func Nearest(members []model.Member, region, domain string) []model.Member {
	var beside, near, all []model.Member
	for _, m := range members {
		if m.Entry == "" || !m.Live() {
			continue
		}
		all = append(all, m)
		if m.Region != region {
			continue
		}
		near = append(near, m)
		if m.Domain == domain {
			beside = append(beside, m)
		}
	}
	switch {
	case len(beside) >= enough:
		return model.Strongest(beside)
	case len(near) > 0:
		return model.Strongest(near)
	}
	return model.Strongest(all)
}
