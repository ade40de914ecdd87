// Package fairshare divides the room of a service among the ranks and organisations whose requests
// compete for it while they ask for more than there is. The more urgent rank comes first, and each
// organisation of a rank gets what it asks for up to a common level. Refused callers are told when to
// return only if room is kept for them then. The package does no I/O and reads no clock.
package fairshare

import (
	"cmp"
	"math"
	"slices"
)

const (
	// floorShare is the least part of its demand that a rank is granted, relative to the part that
	// all ranks together are granted, so that no rank starves. Some of what is granted is still refused
	// for want of a slot in time, most of it of the least urgent rank.
	floorShare = 0.4
	// returnShare is the part of the room that is kept for the returns of refused callers.
	returnShare = 0.05
	// maxOrganisations is the number of organisations of a service that are told apart, the ones with
	// the largest demand. The others share a part.
	maxOrganisations = 16
	// maxRanks is the number of ranks that are told apart; less urgent ones count as the last.
	maxRanks = 8
	// maxSlots bounds a single demand, in slots.
	maxSlots = 1e9
)

// Key selects the requests that share a part.
type Key struct {
	// Rank is the priority of the requests; 0 is the most urgent.
	Rank int
	// Organisation is the hash of the organisation's name; 0 stands for all organisations that are not
	// told apart, and for requests without organisation.
	Organisation uint32
}

// Claim is the demand of the requests that a Key selects.
type Claim struct {
	Key
	// Slots is the mean number of slots that serving all of the requests would occupy.
	Slots float64
}

// Plan is a division of the room of a service.
type Plan struct {
	// Parts holds the part of its requests that each key is granted, from 0 to 1.
	Parts map[Key]float64
	// Returns holds the slots kept for returns, by rank.
	Returns map[int]float64
	// LastRank is the least urgent rank that is told apart.
	LastRank int
}

// Divide divides a room, in slots, among claims. organisations is the number of organisations that may
// send requests: those without a claim of their own share the claim of organisation 0, which counts as
// many times as there are such organisations, but at least once.
func Divide(room float64, claims []Claim, organisations int) Plan {
	claims, last := merge(claims)
	claims = tellApart(claims)
	others := float64(max(1, organisations-namedOrganisations(claims)))
	total := 0.0
	for _, c := range claims {
		total += c.Slots
	}
	plan := Plan{Parts: make(map[Key]float64, len(claims)), Returns: make(map[int]float64), LastRank: last}
	if !(room > 0) {
		room = 0
	}
	if total <= room {
		for _, c := range claims {
			plan.Parts[c.Key] = 1
		}
		return plan
	}
	ranks := byRank(claims)
	demand := demandOf(ranks)
	granted := fillRanks(room*(1-returnShare), demand)
	unmet := make([]float64, len(ranks))
	for i, rank := range ranks {
		unmet[i] = demand[i] - granted[i]
		for j, slots := range maxMin(rank, granted[i], others) {
			plan.Parts[rank[j].Key] = min(1, slots/rank[j].Slots)
		}
	}
	for i, slots := range fillRanks(room*returnShare, unmet) {
		plan.Returns[ranks[i][0].Rank] = slots
	}
	return plan
}

// merge returns one claim for each key with demand, in the order of ranks and organisations, and the
// least urgent rank that is told apart.
func merge(claims []Claim) ([]Claim, int) {
	last := lastRank(claims)
	sums := make(map[Key]float64, len(claims))
	for _, c := range claims {
		if !(c.Slots > 0) {
			continue
		}
		c.Rank = min(c.Rank, last)
		sums[c.Key] = min(maxSlots, sums[c.Key]+c.Slots)
	}
	return sortedClaims(sums), last
}

func lastRank(claims []Claim) int {
	var ranks []int
	for _, c := range claims {
		if c.Slots > 0 {
			ranks = append(ranks, c.Rank)
		}
	}
	slices.Sort(ranks)
	ranks = slices.Compact(ranks)
	if len(ranks) <= maxRanks {
		return math.MaxInt
	}
	return ranks[maxRanks-1]
}

func sortedClaims(sums map[Key]float64) []Claim {
	out := make([]Claim, 0, len(sums))
	for key, slots := range sums {
		out = append(out, Claim{key, slots})
	}
	slices.SortFunc(out, func(a, b Claim) int {
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(a.Organisation, b.Organisation))
	})
	return out
}

// tellApart joins the claims of all but the maxOrganisations organisations with the largest demand.
func tellApart(claims []Claim) []Claim {
	demand := make(map[uint32]float64)
	for _, c := range claims {
		if c.Organisation != 0 {
			demand[c.Organisation] += c.Slots
		}
	}
	if len(demand) <= maxOrganisations {
		return claims
	}
	heaviest := make([]uint32, 0, len(demand))
	for organisation := range demand {
		heaviest = append(heaviest, organisation)
	}
	slices.SortFunc(heaviest, func(a, b uint32) int {
		return cmp.Or(cmp.Compare(demand[b], demand[a]), cmp.Compare(a, b))
	})
	for _, organisation := range heaviest[maxOrganisations:] {
		delete(demand, organisation)
	}
	sums := make(map[Key]float64, len(claims))
	for _, c := range claims {
		if _, ok := demand[c.Organisation]; !ok {
			c.Organisation = 0
		}
		sums[c.Key] += c.Slots
	}
	return sortedClaims(sums)
}

func namedOrganisations(claims []Claim) int {
	named := make(map[uint32]bool)
	for _, c := range claims {
		if c.Organisation != 0 {
			named[c.Organisation] = true
		}
	}
	return len(named)
}

// byRank groups claims, sorted by rank, by their ranks.
func byRank(claims []Claim) [][]Claim {
	var out [][]Claim
	for i, c := range claims {
		if i == 0 || c.Rank != claims[i-1].Rank {
			out = append(out, nil)
		}
		out[len(out)-1] = append(out[len(out)-1], c)
	}
	return out
}

func demandOf(ranks [][]Claim) []float64 {
	out := make([]float64, len(ranks))
	for i, rank := range ranks {
		for _, c := range rank {
			out[i] += c.Slots
		}
	}
	return out
}

// fillRanks divides room among ranks, the most urgent first, and returns the slots of each rank. Each
// rank is granted at least the floor.
func fillRanks(room float64, demand []float64) []float64 {
	total := 0.0
	for _, d := range demand {
		total += d
	}
	granted := make([]float64, len(demand))
	if total <= room {
		copy(granted, demand)
		return granted
	}
	floor := floorShare * room / total
	left := room * (1 - floorShare)
	for i, d := range demand {
		more := min(left, d*(1-floor))
		granted[i] = d*floor + more
		left -= more
	}
	return granted
}

// maxMin divides room among the claims of one rank: each gets what it asks for up to a common level.
// The claim of organisation 0 counts as others claims.
func maxMin(claims []Claim, room, others float64) []float64 {
	weights, total := make([]float64, len(claims)), 0.0
	order := make([]int, len(claims))
	for i, c := range claims {
		order[i], weights[i] = i, 1
		if c.Organisation == 0 {
			weights[i] = others
		}
		total += weights[i]
	}
	slices.SortFunc(order, func(a, b int) int {
		return cmp.Compare(claims[a].Slots/weights[a], claims[b].Slots/weights[b])
	})
	granted := make([]float64, len(claims))
	for _, i := range order {
		granted[i] = min(claims[i].Slots, max(0, room)*weights[i]/total)
		room -= granted[i]
		total -= weights[i]
	}
	return granted
}
