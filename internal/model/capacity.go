package model

const (
	// enoughStrong is how many members stand in for each other at least, if only strong
	// ones are to carry requests.
	enoughStrong = 2
	// alike is from what part of the strongest member's strength on another one counts
	// as strong. Callers choose evenly among those they are told of, so that a weak one
	// would get as many requests as a strong one.
	alike = 0.5
	// fairShare is what part of the strength of all the strong members must have to carry
	// the requests alone. They then have at most three times the load that they would
	// have if all carried requests by their strength.
	fairShare = 1.0 / 3
)

// HighCapacity returns the members that are about as strong as the strongest, if there are
// enough of them and they hold a fair share of the strength of all; else all. Callers are
// told of these alone: few members that see many requests each know the upstreams better
// and use connections to them again, where each of many would open one for nearly every
// request.
func HighCapacity(members []Member) []Member {
	best := best(members)
	var out []Member
	sum, total := 0.0, 0.0
	for _, m := range members {
		s := strength(m, best)
		total += s
		if s >= alike {
			sum += s
			out = append(out, m)
		}
	}
	if len(out) < enoughStrong || sum < fairShare*total {
		return members
	}
	return out
}

// best returns the most of each resource that a member has.
func best(members []Member) (b Member) {
	for _, m := range members {
		b.LinkMbps = max(b.LinkMbps, m.LinkMbps)
		b.Cores = max(b.Cores, m.Cores)
	}
	return b
}

// strength is what a member can carry as a part of the best: the least of its resources
// decides. One that a member does not tell is taken to be no less than the best's, or in
// an upgrade the first members that tell it would be named alone and get all requests.
func strength(m, best Member) float64 {
	s := 1.0
	if m.LinkMbps > 0 {
		s = min(s, m.LinkMbps/best.LinkMbps)
	}
	if m.Cores > 0 {
		s = min(s, m.Cores/best.Cores)
	}
	return s
}

// Advertised returns the strongest members of each failure domain, which carry nearly all
// requests.
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
