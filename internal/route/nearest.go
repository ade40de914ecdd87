package route

import (
	"slices"

	"github.com/loomkeel/loomkeel/internal/model"
)

// minDomainMembers is the number of members from which on a failure domain is returned
// alone: with two members a caller can fail over to the other.
const minDomainMembers = 2

// Nearest returns the live members with an entry that are nearest to a caller in the given
// region and failure domain: the members of the failure domain if there are at least
// minDomainMembers, else of the region, else of the serving regions, which are the regions
// that may serve the caller's requests, else all members. Of these it returns only the
// high-capacity members if they can serve the requests of all; see model.HighCapacity.
// servingRegions is called only if the region has no member; nil means none.
func Nearest(members []model.Member, region, domain string, servingRegions func() []string) []model.Member {
	inRegion := func(m *model.Member) bool { return m.Region == region }
	inDomain := func(m *model.Member) bool { return m.Region == region && m.Domain == domain }
	if domainMembers := withEntry(members, inDomain); len(domainMembers) >= minDomainMembers {
		return model.HighCapacity(domainMembers)
	}
	if regionMembers := withEntry(members, inRegion); len(regionMembers) > 0 {
		return model.HighCapacity(regionMembers)
	}
	if serving := inServingRegions(members, servingRegions); len(serving) > 0 {
		return model.HighCapacity(serving)
	}
	return model.HighCapacity(withEntry(members, func(*model.Member) bool { return true }))
}

// inServingRegions returns the live members with an entry in the serving regions.
func inServingRegions(members []model.Member, servingRegions func() []string) []model.Member {
	if servingRegions == nil {
		return nil
	}
	regions := servingRegions()
	return withEntry(members, func(m *model.Member) bool { return slices.Contains(regions, m.Region) })
}

// withEntry returns the live members with an entry that match a condition. It is called for
// each look-up and copies only these members, as a fleet may be large.
func withEntry(members []model.Member, match func(*model.Member) bool) []model.Member {
	var out []model.Member
	for i := range members {
		m := &members[i]
		if match(m) && m.Entry != "" && m.Live() {
			out = append(out, *m)
		}
	}
	return out
}
