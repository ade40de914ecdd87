package membership

import "math/rand/v2"

// MaxRelays is the number of peers that are asked to probe a member indirectly
// when it did not answer a direct probe.
const MaxRelays = 2

// Prober selects the members to probe. It is not safe for concurrent use.
type Prober struct {
	table *Table
	rnd   *rand.Rand
	// round holds the IDs that are still to be probed in the current round.
	round []string
}

// NewProber returns a Prober that selects members of table, with rnd as the
// source of randomness.
func NewProber(table *Table, rnd *rand.Rand) *Prober {
	return &Prober{table: table, rnd: rnd}
}

// Next returns the member to probe in this period, or false if there is none.
// Each round covers every peer in the probe scope once, in a new random order, so
// that a member that fails is probed again less than two rounds later.
func (p *Prober) Next() (Member, bool) {
	for range 2 {
		for len(p.round) > 0 {
			id := p.round[0]
			p.round = p.round[1:]
			if m, ok := p.table.Get(id); ok && m.Live() {
				return m, true
			}
		}
		p.refill()
	}
	return Member{}, false
}

// refill starts a new round with the peers in the probe scope, in random order.
func (p *Prober) refill() {
	p.round = p.round[:0]
	for _, m := range p.table.ProbeScope() {
		p.round = append(p.round, m.ID)
	}
	p.rnd.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
}

// RelaysFor returns up to MaxRelays random alive peers in the probe scope that
// can probe the member with the given ID indirectly.
func (p *Prober) RelaysFor(id string) []Member {
	peers := p.table.ProbeScope()
	p.rnd.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	var out []Member
	for _, m := range peers {
		if m.ID != id && m.State == Alive && len(out) < MaxRelays {
			out = append(out, m)
		}
	}
	return out
}

// RandomInDomain returns a random alive member of the failure domain of m, other
// than m and the own instance. It is probed next when m did not answer, because
// members of a failure domain tend to fail together.
func (p *Prober) RandomInDomain(m Member) (Member, bool) {
	return p.randomMember(func(o Member) bool {
		return o.ID != m.ID && o.State == Alive && o.Domain == m.Domain && o.Region == m.Region
	})
}

// RandomOutsideDomain returns a random live member outside the own failure domain.
// Readers exchange state with one such member each period, which connects the
// failure domains.
func (p *Prober) RandomOutsideDomain() (Member, bool) {
	self := p.table.Self()
	return p.randomMember(func(m Member) bool {
		return m.Live() && (m.Domain != self.Domain || m.Region != self.Region)
	})
}

// randomMember returns a random member other than the own for which in is true,
// by reservoir sampling in one pass over all members.
func (p *Prober) randomMember(in func(Member) bool) (Member, bool) {
	self := p.table.Self()
	all, _ := p.table.All()
	chosen, seen := -1, 0
	for i := range all {
		if all[i].ID == self.ID || !in(all[i]) {
			continue
		}
		seen++
		if p.rnd.IntN(seen) == 0 {
			chosen = i
		}
	}
	if chosen < 0 {
		return Member{}, false
	}
	return all[chosen], true
}
