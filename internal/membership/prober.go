package membership

import "math/rand/v2"

// MaxRelays is how many peers are asked to probe a member that did not answer.
const MaxRelays = 2

// Prober chooses whom to probe. It is not safe for concurrent use.
type Prober struct {
	table *Table
	rnd   *rand.Rand
	round []string
}

// NewProber returns a Prober over a table.
func NewProber(table *Table, rnd *rand.Rand) *Prober {
	return &Prober{table: table, rnd: rnd}
}

// Next returns the member to probe in this period. Every peer in the scope
// comes once in a round, in a new random order each round, so that a failure is
// noticed within one round at the latest.
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

func (p *Prober) refill() {
	p.round = p.round[:0]
	for _, m := range p.table.ProbeScope() {
		p.round = append(p.round, m.ID)
	}
	p.rnd.Shuffle(len(p.round), func(i, j int) { p.round[i], p.round[j] = p.round[j], p.round[i] })
}

// RelaysFor returns peers that can probe a member in the own place.
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

// RandomInDomain returns a random live member of the failure domain of one that did not
// answer. What fails together stands together, so it is probed next.
func (p *Prober) RandomInDomain(m Member) (Member, bool) {
	return p.pick(func(o Member) bool {
		return o.ID != m.ID && o.State == Alive && o.Domain == m.Domain && o.Region == m.Region
	})
}

// RandomOutsideDomain returns a random live member outside the own failure domain. Readers
// exchange with one each period, which joins the domains.
func (p *Prober) RandomOutsideDomain() (Member, bool) {
	self := p.table.Self()
	return p.pick(func(m Member) bool {
		return m.Live() && (m.Domain != self.Domain || m.Region != self.Region)
	})
}

// pick returns a random member other than the own that is in a set, by one pass
// over all (reservoir sampling).
func (p *Prober) pick(in func(Member) bool) (Member, bool) {
	self := p.table.Self()
	all, _ := p.table.All()
	at, seen := -1, 0
	for i := range all {
		if all[i].ID == self.ID || !in(all[i]) {
			continue
		}
		seen++
		if p.rnd.IntN(seen) == 0 {
			at = i
		}
	}
	if at < 0 {
		return Member{}, false
	}
	return all[at], true
}
