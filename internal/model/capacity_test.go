package model

import (
	"fmt"
	"testing"

	"github.com/loomkeel/loomkeel/internal/membership"
)

// mixedCapacities returns the members of two failure domains, each with three of high
// capacity and 27 of low capacity.
func mixedCapacities() []Member {
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

func TestAdvertisedOfEachDomain(t *testing.T) {
	got := Advertised(mixedCapacities())
	if len(got) != 6 {
		t.Fatalf("%d members advertised, want 6", len(got))
	}
	for _, m := range got {
		if m.LinkMbps != 200 {
			t.Errorf("%s is advertised, a member of low capacity", m.ID)
		}
	}
}

// TestMembersOfUnknownCoresAreAdvertised has half of the members of a domain report no
// number of cores, as during an upgrade to a version that reports it.
func TestMembersOfUnknownCoresAreAdvertised(t *testing.T) {
	var members []Member
	for i := range 6 {
		m := Member{ID: fmt.Sprint(i), Domain: "a", LinkMbps: 200}
		if i < 3 {
			m.Cores = 0.8
		}
		members = append(members, m)
	}
	if got := HighCapacity(members); len(got) != len(members) {
		t.Errorf("%d of %d members selected", len(got), len(members))
	}
}

// TestRetryBurstOverAllMembers adds up the retry bursts of all members: the members of
// high capacity get most of them, and the sum is the configured burst.
func TestRetryBurstOverAllMembers(t *testing.T) {
	members := mixedCapacities()
	sum, high := 0.0, 0.0
	for _, m := range members {
		s := CompileRouted(RoutedInput{
			Self: m.ID, Region: "m", Members: members, RetryBurst: 100,
			Config: &Config{Services: map[string]ServiceConfig{"s": {}}},
		})
		burst := s.Services["s"].RetryBurst
		sum += burst
		if m.LinkMbps == 200 {
			high += burst
		}
	}
	if sum > 100.001 || sum < 99.999 || high < 70 {
		t.Errorf("the bursts add up to %.1f, those of high capacity to %.1f; want 100 and at least 70", sum, high)
	}
}
