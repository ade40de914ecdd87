package fairshare

import (
	"math"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

const tolerance = 1e-6

// claimsOf returns claims of three ranks in turn; each value is the demand of one organisation. The
// first of each rank is that of organisation 0.
func claimsOf(demands []float64) []Claim {
	claims := make([]Claim, len(demands))
	for i, d := range demands {
		claims[i] = Claim{Key{Rank: i % 3, Organisation: uint32(i / 3)}, d}
	}
	return claims
}

// granted returns the slots that a plan grants to claims, in total and by rank, and the demand by rank.
func granted(plan Plan, claims []Claim) (total float64, byRank, demand map[int]float64) {
	byRank, demand = make(map[int]float64), make(map[int]float64)
	for _, c := range claims {
		part, ok := plan.Parts[c.Key]
		if !ok {
			part, ok = plan.Parts[Key{Rank: c.Rank}]
		}
		if !ok {
			part = 1
		}
		total += part * c.Slots
		byRank[c.Rank] += part * c.Slots
		demand[c.Rank] += c.Slots
	}
	return total, byRank, demand
}

func checkPlans(t *testing.T, name string, holds func(room float64, claims []Claim, plan Plan) bool) {
	t.Helper()
	props := gopter.NewProperties(gopter.DefaultTestParametersWithSeed(55))
	props.Property(name, prop.ForAll(func(room float64, demands []float64) bool {
		claims := claimsOf(demands)
		return holds(room, claims, Divide(room, claims, len(claims)/3))
	}, gen.Float64Range(0, 500), gen.SliceOf(gen.Float64Range(0, 100))))
	props.TestingRun(t)
}

func TestPlanFitsRoom(t *testing.T) {
	checkPlans(t, "grants and kept returns are at most the room, and the room is used", func(room float64, claims []Claim, plan Plan) bool {
		total, _, demand := granted(plan, claims)
		kept, asked := 0.0, 0.0
		for _, r := range plan.Returns {
			kept += r
		}
		for _, d := range demand {
			asked += d
		}
		return total+kept <= room+tolerance && total >= min(asked, room*(1-returnShare))-tolerance
	})
}

func TestPlanPrefersUrgentRanks(t *testing.T) {
	checkPlans(t, "no rank is granted a smaller part than a less urgent one", func(_ float64, claims []Claim, plan Plan) bool {
		_, byRank, demand := granted(plan, claims)
		for rank := range 2 {
			if demand[rank] == 0 || demand[rank+1] == 0 {
				continue
			}
			if byRank[rank]/demand[rank] < byRank[rank+1]/demand[rank+1]-tolerance {
				return false
			}
		}
		return true
	})
}

func TestPlanStarvesNoRank(t *testing.T) {
	checkPlans(t, "each rank is granted a quarter of the overall part", func(_ float64, claims []Claim, plan Plan) bool {
		total, byRank, demand := granted(plan, claims)
		all := 0.0
		for _, d := range demand {
			all += d
		}
		for rank, d := range demand {
			if d > 0 && byRank[rank]/d < 0.25*total/all-tolerance {
				return false
			}
		}
		return true
	})
}

func TestPlanIsMaxMinFair(t *testing.T) {
	checkPlans(t, "an organisation that is cut gets at least what any other of its rank gets", func(_ float64, claims []Claim, plan Plan) bool {
		if len(plan.Parts) != len(claims) || len(claims) > 3*maxOrganisations {
			return true
		}
		for _, a := range claims {
			for _, b := range claims {
				if a.Rank != b.Rank || a.Organisation == 0 || b.Organisation == 0 || plan.Parts[a.Key] >= 1 {
					continue
				}
				if plan.Parts[a.Key]*a.Slots < plan.Parts[b.Key]*b.Slots-tolerance {
					return false
				}
			}
		}
		return true
	})
}

func TestPlanGrowsWithRoom(t *testing.T) {
	checkPlans(t, "more room gives nobody less", func(room float64, claims []Claim, plan Plan) bool {
		more := Divide(room*1.3+1, claims, len(claims)/3)
		for key, part := range plan.Parts {
			if more.Parts[key] < part-tolerance {
				return false
			}
		}
		return true
	})
}

// TestPlanOfUnusualInput checks that demand and room that make no sense give parts from 0 to 1.
func TestPlanOfUnusualInput(t *testing.T) {
	values := []float64{0, -1, 1e-300, 1, 1e300, math.MaxFloat64, math.Inf(1), math.Inf(-1), math.NaN()}
	for _, room := range values {
		for _, a := range values {
			for _, b := range values {
				claims := []Claim{{Key{0, 1}, a}, {Key{0, 2}, b}, {Key{math.MaxInt, 1}, a}, {Key{-1, 0}, b}}
				plan := Divide(room, claims, -1)
				for key, part := range plan.Parts {
					if !(part >= 0 && part <= 1) {
						t.Fatalf("room %v, demand %v and %v: part %v of %+v", room, a, b, part, key)
					}
				}
			}
		}
	}
}

// TestPlanOfManyOrganisations gives one of many organisations as much demand as the others have
// together. Only this one may be cut, whether the others have claims of their own or not.
func TestPlanOfManyOrganisations(t *testing.T) {
	for _, organisations := range []int{1, 10, 79, 2000} {
		const hot = 7
		each := 100.0 / float64(organisations)
		var claims []Claim
		for i := range organisations {
			claims = append(claims, Claim{Key{0, uint32(i + 100)}, each})
		}
		claims = append(claims, Claim{Key{0, hot}, 100})
		plan := Divide(150, claims, organisations+1)
		if len(plan.Parts) > maxOrganisations+1 {
			t.Errorf("%d organisations: %d parts", organisations, len(plan.Parts))
		}
		unseen := Key{0, 0}
		if part, ok := plan.Parts[unseen]; ok && part < 1 {
			t.Errorf("%d organisations: part %v for the lighter ones", organisations, part)
		}
		for key, part := range plan.Parts {
			if key.Organisation != hot && part < 1 && organisations > 1 {
				t.Errorf("%d organisations: part %v of %+v", organisations, part, key)
			}
		}
		if part := plan.Parts[Key{0, hot}]; part >= 1 {
			t.Errorf("%d organisations: the hot one is granted all", organisations)
		}
	}
}
