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
		homes                []string
		want                 string
	}{
		{"two in the domain", "muscat", "a", nil, "a1a2"},
		{"one in the domain", "muscat", "b", nil, "a1a2b1"},
		{"unknown domain", "muscat", "z", nil, "a1a2b1"},
		{"none in the region", "salalah", "s", nil, "a1a2b1c1"},
		{"none in the region, one at home", "salalah", "s", []string{"sohar"}, "c1"},
		{"none in the region nor at home", "salalah", "s", []string{"nizwa"}, "a1a2b1c1"},
		{"the own region though it is no home", "muscat", "b", []string{"sohar"}, "a1a2b1"},
	} {
		got := ""
		for _, m := range Nearest(members, tt.region, tt.domain, func() []string { return tt.homes }) {
			got += m.ID
		}
		if got != tt.want {
			t.Errorf("%s: %s, want %s", tt.name, got, tt.want)
		}
	}
}

// TestStrongMembersAreNamedAlone has members of unlike links and processors in a domain.
func TestStrongMembersAreNamedAlone(t *testing.T) {
	fleet := func(strong, weak int) []model.Member {
		var out []model.Member
		for i := range strong + weak {
			m := model.Member{ID: "weak", Region: "m", Domain: "a", State: membership.Alive, Entry: "x", LinkMbps: 20, Cores: 0.16}
			if i < strong {
				m.ID, m.LinkMbps, m.Cores = "strong", 200, 0.8
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
		{"a third of the strength in three", fleet(3, 34), 3},
		{"two that hold most", fleet(2, 10), 2},
		{"one that holds most", fleet(1, 3), 4},
		{"two that cannot carry the others", fleet(2, 60), 62},
		{"all alike", fleet(0, 5), 5},
		{"nothing told", []model.Member{{Region: "m", Domain: "a", State: membership.Alive, Entry: "x"}, {Region: "m", Domain: "a", State: membership.Alive, Entry: "y"}}, 2},
		{"fast processor on a slow link", slowLink, 6},
	} {
		if got := Nearest(tt.members, "m", "a", nil); len(got) != tt.want {
			t.Errorf("%s: %d named, want %d", tt.name, len(got), tt.want)
		}
	}
}
