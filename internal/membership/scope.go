package membership

// disputes reports whether a belief that a live member of the own scope has
// failed comes from outside the scope.
func (t *Table) disputes(from, u Member) bool {
	e := t.entries[u.ID]
	if e == nil || e.State != Alive || u.Incarnation != e.Incarnation || u.State != Suspect && u.State != Dead {
		return false
	}
	in := t.scopeFilter()
	return in(u) && !in(from)
}

// minScope is the fewest peers that watch over each other; a failure domain with
// fewer is widened to its region, then to all.
const minScope = 2

// ProbeScope returns the live peers that the own instance probes, and whose word on
// each other counts.
func (t *Table) ProbeScope() []Member {
	t.mu.Lock()
	in, self := t.scopeFilter(), t.self.ID
	t.mu.Unlock()
	return t.Select(func(m Member) bool { return m.ID != self && m.Live() && in(m) })
}

// scopeFilter returns the smallest of domain, region and all that holds enough
// peers. Suspects count, so that a failure does not widen the scope at once.
func (t *Table) scopeFilter() func(Member) bool {
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
	case domain >= minScope:
		return inDomain
	case region >= minScope:
		return inRegion
	}
	return func(Member) bool { return true }
}
