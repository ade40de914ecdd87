package route

import (
	"testing"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
)

func TestNearest(t *testing.T) {
	member := func(id, region, domain string, s membership.State) model.Member {
		return model.Member{ID: id, Region: region, Domain: domain, State: s, Entry: id}
	}
	members := []model.Member{
		member("a1", "muscat", "a", membership.Alive),
		member("a2", "muscat", "a", membership.Suspect),
		member("a3", "muscat", "a", membership.Leaving),
		member("b1", "muscat", "b", membership.Alive),
		member("c1", "sohar", "c", membership.Alive),
		{ID: "x", Region: "muscat", Domain: "a", State: membership.Alive},
	}
	for _, tt := range []struct {
		name, region, domain string
		servingRegions       []string
		want                 string
	}{
		{"two in the domain", "muscat", "a", nil, "a1a2"},
		{"one in the domain", "muscat", "b", nil, "a1a2b1"},
		{"unknown domain", "muscat", "z", nil, "a1a2b1"},
		{"none in the region", "salalah", "s", nil, "a1a2b1c1"},
		{"none in the region, one in the serving regions", "salalah", "s", []string{"sohar"}, "c1"},
		{"none in the region nor in the serving regions", "salalah", "s", []string{"nizwa"}, "a1a2b1c1"},
		{"the own region, which is not a serving region", "muscat", "b", []string{"sohar"}, "a1a2b1"},
	} {
		got := ""
		for _, m := range Nearest(members, tt.region, tt.domain, func() []string { return tt.servingRegions }) {
			got += m.ID
		}
		if got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestHighCapacityMembersAreReturnedAlone has members of different link rates and numbers of
// cores in a failure domain.
func TestHighCapacityMembersAreReturnedAlone(t *testing.T) {
	fleet := func(high, low int) []model.Member {
		var out []model.Member
		for i := range high + low {
			m := model.Member{ID: "low", Region: "m", Domain: "a", State: membership.Alive, Entry: "x", LinkMbps: 20, Cores: 0.16}
			if i < high {
				m.ID, m.LinkMbps, m.Cores = "high", 200, 0.8
			}
			out = append(out, m)
		}
		return out
	}
	slowLink := fleet(2, 4)
	slowLink[1].LinkMbps = 20
	for _, tt := range []struct {
		name    string
		members []model.Member
		want    int
	}{
		{"three with more than a third of the capacity", fleet(3, 34), 3},
		{"two with most of the capacity", fleet(2, 10), 2},
		{"one with most of the capacity", fleet(1, 3), 4},
		{"two with less than a third of the capacity", fleet(2, 60), 62},
		{"equal capacities", fleet(0, 5), 5},
		{"no capacities reported", []model.Member{{Region: "m", Domain: "a", State: membership.Alive, Entry: "x"}, {Region: "m", Domain: "a", State: membership.Alive, Entry: "y"}}, 2},
		{"many cores on a slow link", slowLink, 6},
	} {
		if got := Nearest(tt.members, "m", "a", nil); len(got) != tt.want {
			t.Errorf("%s: %d members returned, want %d", tt.name, len(got), tt.want)
		}
	}
}
