package relay

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
)

// fleet returns some members of each of four failure domains in two regions.
func fleet(each int) []model.Member {
	var out []model.Member
	for _, d := range []string{"m1", "m2", "s1", "s2"} {
		for i := range each {
			id := fmt.Sprint(d, "-", i)
			out = append(out, model.Member{ID: id, Region: d[:1], Domain: d, Agent: id + ":1", State: membership.Alive})
		}
	}
	return out
}

func TestOneReaderADomain(t *testing.T) {
	all := fleet(5)
	readers := make(map[string][]string)
	followed := make(map[string]map[Source]bool)
	for _, m := range all {
		plan := RankSources(m, all)
		if plan[0] == StoreSource {
			readers[m.Domain] = append(readers[m.Domain], m.ID)
			continue
		}
		if followed[m.Domain] == nil {
			followed[m.Domain] = make(map[Source]bool)
		}
		followed[m.Domain][plan[0]] = true
		if last := plan[len(plan)-1]; last != StoreSource {
			t.Errorf("%s: %v", m.ID, plan)
		}
	}
	for domain, ids := range readers {
		if len(ids) != 1 || len(followed[domain]) != 1 || !followed[domain][Source{ids[0], ids[0] + ":1"}] {
			t.Errorf("%s: readers %v, followed %v", domain, ids, followed[domain])
		}
	}
	if len(readers) != 4 {
		t.Errorf("readers %v", readers)
	}
}

// The second choice is a reader of another failure domain, in the own region if
// there is one, and never one of the own domain, which would not read.
func TestSecondChoiceIsARemoteReader(t *testing.T) {
	all := fleet(5)
	readers := make(map[string]bool)
	for _, m := range all {
		if RankSources(m, all)[0] == StoreSource {
			readers[m.ID] = true
		}
	}
	for _, m := range all {
		plan := RankSources(m, all)
		second := plan[1]
		if !readers[second.ID] || second.ID[:1] != m.Region || second.ID[:2] == m.Domain {
			t.Errorf("%s: %v", m.ID, plan)
		}
	}
}

// TestCutOffAllReadersAreAsked has an entry that the service does not answer. Whoever is
// cut off with it, it must come to ask one that is not, and the service last.
func TestCutOffAllReadersAreAsked(t *testing.T) {
	all := fleet(5)
	for _, m := range all {
		plan := RankSourcesCutOff(m, all)
		asked := make(map[string]int)
		for _, s := range plan[:len(plan)-1] {
			if s.ID == m.ID || s == StoreSource {
				t.Errorf("%s asks itself or the service first: %v", m.ID, plan)
			}
			asked[s.ID[:2]]++
		}
		if plan[len(plan)-1] != StoreSource {
			t.Errorf("%s does not ask the service last: %v", m.ID, plan)
		}
		for _, domain := range []string{"m1", "m2", "s1", "s2"} {
			if asked[domain] == 0 {
				t.Errorf("%s asks nobody of %s: %v", m.ID, domain, plan)
			}
		}
	}
}

func TestAloneTheServiceIsRead(t *testing.T) {
	m := fleet(1)[0]
	if plan := RankSources(m, nil); len(plan) != 1 || plan[0] != StoreSource {
		t.Error(plan)
	}
}

func TestTheDeadAreNotFollowed(t *testing.T) {
	all := fleet(2)
	for i := range all {
		if all[i].ID != "m1-0" {
			all[i].State = membership.Dead
		}
	}
	if plan := RankSources(all[0], all); len(plan) != 1 || plan[0] != StoreSource {
		t.Error(plan)
	}
}

func TestChooser(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := Source{ID: "a"}, Source{ID: "b"}
	plan := []Source{a, b, StoreSource}
	c := NewPicker()
	expect := func(want Source, untried bool) {
		t.Helper()
		if got, ok := c.Pick(plan, now); got != want || ok != untried {
			t.Errorf("%v, %v; want %v, %v", got, ok, want, untried)
		}
	}
	expect(a, true)
	c.RecordFailure(a, now)
	expect(b, true)
	now = now.Add(time.Second)
	c.RecordFailure(b, now)
	expect(StoreSource, true)
	c.RecordFailure(StoreSource, now)
	expect(a, false)
	now = now.Add(avoidFor)
	expect(a, true)
}

// TestFastLinkReads has one member of each failure domain on a link that carries
// much more: a reader sends each change to all of its domain.
func TestFastLinkReads(t *testing.T) {
	all := fleet(5)
	for i := range all {
		all[i].LinkMbps = 10
		if strings.HasSuffix(all[i].ID, "-3") {
			all[i].LinkMbps = 200
		}
	}
	for _, m := range all {
		plan := RankSources(m, all)
		fast := m.Domain + "-3"
		if reads := plan[0] == StoreSource; reads != (m.ID == fast) || !reads && plan[0].ID != fast {
			t.Errorf("%s: %v", m.ID, plan)
		}
	}
}
