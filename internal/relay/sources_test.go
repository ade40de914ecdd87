package relay

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
)

// fleet returns perDomain members of each of four failure domains in two regions.
func fleet(perDomain int) []model.Member {
	var out []model.Member
	for _, d := range []string{"m1", "m2", "s1", "s2"} {
		for i := range perDomain {
			id := fmt.Sprint(d, "-", i)
			out = append(out, model.Member{ID: id, Region: d[:1], Domain: d, Agent: id + ":1", State: membership.Alive})
		}
	}
	return out
}

// TestOneReaderPerDomain checks that one member of each failure domain follows the store and
// that the others follow that member first. The last source of two of them is the store; the
// others do not read it.
func TestOneReaderPerDomain(t *testing.T) {
	all := fleet(5)
	readers := make(map[string][]string)
	followed := make(map[string]map[Source]bool)
	deputies := make(map[string]int)
	for _, m := range all {
		sources := Rank(m, all).Sources
		if sources[0] == StoreSource {
			readers[m.Domain] = append(readers[m.Domain], m.ID)
			continue
		}
		if followed[m.Domain] == nil {
			followed[m.Domain] = make(map[Source]bool)
		}
		followed[m.Domain][sources[0]] = true
		switch slices.Index(sources, StoreSource) {
		case -1:
		case len(sources) - 1:
			deputies[m.Domain]++
		default:
			t.Errorf("%s: the store is not the last source: %v", m.ID, sources)
		}
	}
	for domain, n := range deputies {
		if n != MaxStoreReaders-1 {
			t.Errorf("%s: the store is a source of %d nodes beside the reader, want %d", domain, n, MaxStoreReaders-1)
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

// TestSecondSourceIsRemoteReader checks that the second source is a reader of another failure
// domain in the same region. Another member of the node's own failure domain would not follow
// the store.
func TestSecondSourceIsRemoteReader(t *testing.T) {
	all := fleet(5)
	readers := make(map[string]bool)
	for _, m := range all {
		if Rank(m, all).Sources[0] == StoreSource {
			readers[m.ID] = true
		}
	}
	for _, m := range all {
		sources := Rank(m, all).Sources
		second := sources[1]
		if !readers[second.ID] || second.ID[:1] != m.Region || second.ID[:2] == m.Domain {
			t.Errorf("%s: %v", m.ID, sources)
		}
	}
}

// TestCutOffNodeTriesAllReaders has a node that the store does not answer. Its sources must
// include readers of all failure domains, since any of them may be cut off too, and for the first
// members of a failure domain the store last.
func TestCutOffNodeTriesAllReaders(t *testing.T) {
	all := fleet(5)
	for _, m := range all {
		sources := Rank(m, all).CutOff
		tried := make(map[string]int)
		peers, mayRead := sources, slices.Contains(Rank(m, all).Sources, StoreSource)
		if mayRead {
			peers = sources[:len(sources)-1]
		}
		for _, s := range peers {
			if s.ID == m.ID || s == StoreSource {
				t.Errorf("%s tries itself, or the store before the peers: %v", m.ID, sources)
			}
			tried[s.ID[:2]]++
		}
		if mayRead && sources[len(sources)-1] != StoreSource {
			t.Errorf("%s does not try the store last: %v", m.ID, sources)
		}
		for _, domain := range []string{"m1", "m2", "s1", "s2"} {
			if tried[domain] == 0 {
				t.Errorf("%s tries no member of %s: %v", m.ID, domain, sources)
			}
		}
	}
}

// TestSingleNodeFollowsStore ranks the sources of a node without other members.
func TestSingleNodeFollowsStore(t *testing.T) {
	m := fleet(1)[0]
	if sources := Rank(m, nil).Sources; len(sources) != 1 || sources[0] != StoreSource {
		t.Error(sources)
	}
}

// TestDeadMembersNotFollowed ranks the sources of a node whose other members are all dead.
func TestDeadMembersNotFollowed(t *testing.T) {
	all := fleet(2)
	for i := range all {
		if all[i].ID != "m1-0" {
			all[i].State = membership.Dead
		}
	}
	if sources := Rank(all[0], all).Sources; len(sources) != 1 || sources[0] != StoreSource {
		t.Error(sources)
	}
}

// TestPicker lets one source after the other fail.
func TestPicker(t *testing.T) {
	now := time.Unix(1_800_000_000, 0)
	a, b := Source{ID: "a"}, Source{ID: "b"}
	sources := []Source{a, b, StoreSource}
	p := NewPicker()
	expect := func(want Source, available bool) {
		t.Helper()
		if got, ok := p.Pick(sources, now); got != want || ok != available {
			t.Errorf("%v, %v; want %v, %v", got, ok, want, available)
		}
	}
	expect(a, true)
	p.RecordFailure(a, false, now)
	expect(b, true)
	now = now.Add(time.Second)
	p.RecordFailure(b, false, now)
	expect(StoreSource, true)
	p.RecordFailure(StoreSource, false, now)
	expect(a, false)
	now = now.Add(failureBackoff)
	expect(a, true)
}

// TestFastLinkMemberIsReader has one member of each failure domain on a much faster link. It
// must be the reader, which sends each change to all members of its failure domain.
func TestFastLinkMemberIsReader(t *testing.T) {
	all := fleet(5)
	for i := range all {
		all[i].LinkMbps = 10
		if strings.HasSuffix(all[i].ID, "-3") {
			all[i].LinkMbps = 200
		}
	}
	for _, m := range all {
		sources := Rank(m, all).Sources
		fast := m.Domain + "-3"
		if reads := sources[0] == StoreSource; reads != (m.ID == fast) || !reads && sources[0].ID != fast {
			t.Errorf("%s: %v", m.ID, sources)
		}
	}
}
