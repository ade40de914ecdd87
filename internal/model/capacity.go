package model

const (
	// minHighCapacity is the smallest number of members that HighCapacity selects, so
	// that they can take over each other's requests.
	minHighCapacity = 2
	// highCapacityRatio is the part of the largest capacity from which on a member
	// counts as high-capacity. Callers choose evenly among the advertised members, so
	// a smaller member would get as many requests as a larger one.
	highCapacityRatio = 0.5
	// minCapacityShare is the part of the capacity of all members that the selected
	// members must have. Their load is then at most three times the load under a
	// distribution over all members in proportion to capacity.
	minCapacityShare = 1.0 / 3
)

// HighCapacity returns the members whose capacity is close to the largest, if they are at
// least minHighCapacity and have at least minCapacityShare of the capacity of all; else it
// returns all members. Few entries with many requests each have recent load reports of the
// upstreams and reuse connections to them, where each of many entries would open a
// connection for nearly every request.
func HighCapacity(members []Member) []Member {
	maxResources := maxResources(members)
	var out []Member
	sum, total := 0.0, 0.0
	for _, m := range members {
		c := relativeCapacity(m, maxResources)
		total += c
		if c >= highCapacityRatio {
			sum += c
			out = append(out, m)
		}
	}
	if len(out) < minHighCapacity || sum < minCapacityShare*total {
		return members
	}
	return out
}

// maxResources returns a Member with the largest link rate and the largest number of
// cores of any member.
func maxResources(members []Member) (b Member) {
	for _, m := range members {
		b.LinkMbps = max(b.LinkMbps, m.LinkMbps)
		b.Cores = max(b.Cores, m.Cores)
	}
	return b
}

// relativeCapacity returns the capacity of a member in relation to the largest resources
// of any member, from 0 to 1. The scarcest resource decides. A resource that a member
// does not report counts as the largest: otherwise, during an upgrade, the first members
// that report it would be advertised alone and get all requests.
func relativeCapacity(m, best Member) float64 {
	c := 1.0
	if m.LinkMbps > 0 {
		c = min(c, m.LinkMbps/best.LinkMbps)
	}
	if m.Cores > 0 {
		c = min(c, m.Cores/best.Cores)
	}
	return c
}

// Advertised returns the high-capacity members of each failure domain, which look-ups
// return and which serve nearly all requests.
func Advertised(members []Member) []Member {
	byDomain := make(map[string][]Member)
	var domains []string
	for _, m := range members {
		if _, ok := byDomain[m.Domain]; !ok {
			domains = append(domains, m.Domain)
		}
		byDomain[m.Domain] = append(byDomain[m.Domain], m)
	}
	var out []Member
	for _, domain := range domains {
		out = append(out, HighCapacity(byDomain[domain])...)
	}
	return out
}
