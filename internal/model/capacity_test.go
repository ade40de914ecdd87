package model

import (
	"fmt"
	"testing"

	"github.com/loomkeel/loomkeel/internal/membership"
)

// unlike returns the members of two failure domains, three strong ones in each.
func unlike() []Member {
	var out []Member
	for _, domain := range []string{"a", "b"} {
		for i := range 30 {
			m := Member{ID: fmt.Sprint(domain, i), Domain: domain, Region: "m", State: membership.Alive, Entry: "x", LinkMbps: 20, Cores: 0.16}
			if i < 3 {
				m.LinkMbps, m.Cores = 200, 0.8
			}
			out = append(out, m)
		}
	}
	return out
}

func TestCarriersOfEachDomain(t *testing.T) {
	got := Advertised(unlike())
	if len(got) != 6 {
		t.Fatalf("%d carriers", len(got))
	}
	for _, m := range got {
		if m.LinkMbps != 200 {
			t.Errorf("%s carries", m.ID)
		}
	}
}

// TestUpgradedMembersAreNotNamedAlone has half of the members of a domain not tell what
// processor they have.
func TestUpgradedMembersAreNotNamedAlone(t *testing.T) {
	var members []Member
	for i := range 6 {
		m := Member{ID: fmt.Sprint(i), Domain: "a", LinkMbps: 200}
		if i < 3 {
			m.Cores = 0.8
		}
		members = append(members, m)
	}
	if got := HighCapacity(members); len(got) != len(members) {
		t.Errorf("%d of %d named", len(got), len(members))
	}
}

// TestRetriesOfAll adds up the retries that all members may make at once: those that
// carry most requests may make most, and all together no more than the bound.
func TestRetriesOfAll(t *testing.T) {
	members := unlike()
	sum, strong := 0.0, 0.0
	for _, m := range members {
		s := CompileRouted(RoutedInput{
			Self: m.ID, Region: "m", Members: members, RetryBurst: 100,
			Config: &Config{Services: map[string]ServiceConfig{"s": {}}},
		})
		burst := s.Services["s"].RetryBurst
		sum += burst
		if m.LinkMbps == 200 {
			strong += burst
		}
	}
	if sum > 100.001 || sum < 99.999 || strong < 70 {
		t.Errorf("all may make %.1f, the strong ones %.1f", sum, strong)
	}
}
