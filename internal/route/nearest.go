package route

import (
	"slices"

	"github.com/loomkeel/loomkeel/internal/model"
)

// enough is how many members of a failure domain are named alone: with two of
// them a caller has another to turn to.
const enough = 2

// Nearest returns the live members with an entry that are nearest to a place:
// those of the failure domain, if there are enough, else of the region, else of the homes,
// which are the regions that may serve the caller's requests, else all; and
// of these the strongest, if they can carry the requests of all. Homes is called only if it
// comes to them; nil means none.
func Nearest(members []model.Member, region, domain string, homes func() []string) []model.Member {
	inRegion := func(m *model.Member) bool { return m.Region == region }
	inDomain := func(m *model.Member) bool { return m.Region == region && m.Domain == domain }
	if beside := named(members, inDomain); len(beside) >= enough {
		return model.HighCapacity(beside)
	}
	if near := named(members, inRegion); len(near) > 0 {
		return model.HighCapacity(near)
	}
	if serving := atHome(members, homes); len(serving) > 0 {
		return model.HighCapacity(serving)
	}
	return model.HighCapacity(named(members, func(*model.Member) bool { return true }))
}

// atHome returns the live members with an entry in the homes.
func atHome(members []model.Member, homes func() []string) []model.Member {
	if homes == nil {
		return nil
	}
	regions := homes()
	return named(members, func(m *model.Member) bool { return slices.Contains(regions, m.Region) })
}

// named returns the live members with an entry in a place. In a large fleet few of all are
// copied, as each look-up asks for them.
func named(members []model.Member, in func(*model.Member) bool) []model.Member {
	var out []model.Member
	for i := range members {
		m := &members[i]
		if in(m) && m.Entry != "" && m.Live() {
			out = append(out, *m)
		}
	}
	return out
}
