package membership

// disputes reports whether from, a peer outside the own probe scope, states that
// an alive member inside the scope has failed. The caller holds mu.
func (t *Table) disputes(from, u Member) bool {
	e := t.entries[u.ID]
	if e == nil || e.State != Alive || u.Incarnation != e.Incarnation || u.State != Suspect && u.State != Dead {
		return false
	}
	in := t.inProbeScope()
	return in(u) && !in(from)
}

// minScopePeers is the smallest number of peers in a probe scope. If the failure
// domain has fewer, the scope is widened to the region, and then to all members.
const minScopePeers = 2

// ProbeScope returns the live peers that the own instance probes. Reports that one
// of them has failed are accepted only from peers in the scope.
func (t *Table) ProbeScope() []Member {
	t.mu.Lock()
	in, self := t.inProbeScope(), t.self.ID
	t.mu.Unlock()
	return t.Select(func(m Member) bool { return m.ID != self && m.Live() && in(m) })
}

// inProbeScope returns a filter for the probe scope: the own failure domain if it
// has at least minScopePeers live peers, else the own region, else all members.
// Suspected members count as live, so that a failure does not widen the scope at
// once. The caller holds mu.
func (t *Table) inProbeScope() func(Member) bool {
	self := t.self
	inDomain := func(m Member) bool { return m.Domain == self.Domain && m.Region == self.Region }
	inRegion := func(m Member) bool { return m.Region == self.Region }
	domain, region := 0, 0
	for _, e := range t.entries {
		if e.ID == self.ID || !e.Live() {
			continue
		}
		if inDomain(e.Member) {
			domain++
		}
		if inRegion(e.Member) {
			region++
		}
	}
	switch {
	case domain >= minScopePeers:
		return inDomain
	case region >= minScopePeers:
		return inRegion
	}
	return func(Member) bool { return true }
}
