// Package membership tells which loomkeel instances are alive.
//
// Instances probe each other inside their failure domain and spread what they
// learn with the probes, after the SWIM protocol (Das, Gupta and Motivala,
// 2002): a member that answers neither a probe nor a relayed one is suspected,
// and declared dead if it does not refute that in time by a higher incarnation.
// The platform's instance list only names whom to ask; it lags, so it neither
// declares a member alive nor dead.
//
// Table is the state and its rules, without sockets or clocks.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets the times of a Table.
type Config struct {
	// SuspicionTimeout is how long a suspected member has to refute.
	SuspicionTimeout time.Duration
	// DeadRetention is how long the dead and the departed are remembered, so that
	// late gossip cannot bring them back.
	DeadRetention time.Duration
	// RetransmitLimit is how often an update is passed on.
	RetransmitLimit int
}

// DefaultConfig returns the times for probes once a second.
func DefaultConfig() Config {
	return Config{SuspicionTimeout: 4 * time.Second, DeadRetention: time.Hour, RetransmitLimit: 8}
}

type entry struct {
	Member
	// since is when the state was learnt.
	since time.Time
	// left is how often the state is still to be passed on.
	left int
}

// Table holds what one instance believes of all. It is safe for concurrent use.
type Table struct {
	mu      sync.Mutex
	cfg     Config
	self    Member
	entries map[string]*entry
	changed chan struct{}
	// sorted is the list that All returns, nil when it has to be made anew.
	sorted []Member
	// digests are the checksums over the live members, by failure domain, and
	// digest that over all.
	digests map[string]uint64
	digest  uint64
	// due counts the entries that are still to be passed on.
	due int
}

// NewTable returns a Table that knows only self.
func NewTable(self Member, cfg Config) *Table {
	t := &Table{
		cfg:     cfg,
		self:    self,
		entries: make(map[string]*entry),
		changed: make(chan struct{}),
		digests: make(map[string]uint64),
	}
	t.put(entry{Member: self, left: cfg.RetransmitLimit})
	return t
}

// put replaces the entry of a member.
func (t *Table) put(e entry) {
	t.drop(e.ID)
	t.entries[e.ID] = &e
	t.sum(&e)
	if e.left > 0 {
		t.due++
	}
}

// drop removes the entry of a member, if there is one.
func (t *Table) drop(id string) {
	t.sorted = nil
	e := t.entries[id]
	if e == nil {
		return
	}
	t.sum(e)
	if e.left > 0 {
		t.due--
	}
	delete(t.entries, id)
}

// sum adds a live member to the digests, or takes it out again.
func (t *Table) sum(e *entry) {
	if !e.Live() {
		return
	}
	h := e.hash()
	t.digest ^= h
	t.digests[e.Domain] ^= h
	if t.digests[e.Domain] == 0 {
		delete(t.digests, e.Domain)
	}
}

// setState changes what is believed of a member.
func (t *Table) setState(now time.Time, e *entry, s State) {
	next := *e
	next.State, next.since, next.left = s, now, t.cfg.RetransmitLimit
	t.put(next)
	t.wake()
}

// Self returns the own member.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Merge takes in what a peer believes. It returns beliefs that it did not take
// in: that a member of the own scope has failed, from a peer outside the scope.
// The peer may merely have been cut off from that member, so the member itself
// has to be told, and will refute.
func (t *Table) Merge(now time.Time, from Member, updates ...Member) (disputed []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	changed := t.merge(now, from)
	for _, u := range updates {
		switch {
		case u.ID == t.self.ID:
			t.refute(now, u)
		case t.disputes(from, u):
			disputed = append(disputed, u)
		default:
			changed = t.merge(now, u) || changed
		}
	}
	if changed {
		t.wake()
	}
	return disputed
}

// refute answers a belief about the own instance that is not so, also one left
// over from an earlier life with a faster clock.
func (t *Table) refute(now time.Time, u Member) {
	if u.Incarnation < t.self.Incarnation {
		return
	}
	if u.Incarnation == t.self.Incarnation && u.State <= t.self.State {
		return
	}
	t.self.Incarnation = u.Incarnation + 1
	t.setSelf(now)
}

func (t *Table) setSelf(now time.Time) {
	t.put(entry{Member: t.self, since: now, left: t.cfg.RetransmitLimit})
	t.wake()
}

// AddMembers takes in a member list that a peer holds, without passing it on: what is
// new here is not new to others.
func (t *Table) AddMembers(now time.Time, members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if m.Live() && t.entries[m.ID] == nil {
			t.put(entry{Member: m, since: now})
		}
	}
	t.wake()
}

func (t *Table) merge(now time.Time, u Member) bool {
	if u.ID == "" || u.ID == t.self.ID || u.State < Alive || u.State > Dead {
		return false
	}
	e := t.entries[u.ID]
	if e == nil && !u.Live() {
		// Whoever has forgotten a dead member must not learn of it again, or no
		// one ever would forget it.
		return false
	}
	if e != nil && (u.Incarnation < e.Incarnation || u.Incarnation == e.Incarnation && u.State <= e.State) {
		return false
	}
	t.put(entry{Member: u, since: now, left: t.cfg.RetransmitLimit})
	return true
}

// MarkSuspect records that a member answered neither a probe nor a relayed one.
func (t *Table) MarkSuspect(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.State != Alive {
		return
	}
	t.setState(now, e, Suspect)
}

// Tick declares dead who was suspected for too long, and forgets the dead.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		age := now.Sub(e.since)
		switch {
		case e.State == Suspect && age >= t.cfg.SuspicionTimeout:
			t.setState(now, e, Dead)
		case id != t.self.ID && !e.Live() && age >= t.cfg.DeadRetention:
			t.drop(id)
		}
	}
}

// Leave marks the own instance as leaving.
func (t *Table) Leave(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = Leaving
	t.setSelf(now)
}

// UpdateSelf changes the addresses of the own member under a new incarnation.
func (t *Table) UpdateSelf(now time.Time, change func(*Member)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.self
	change(&t.self)
	if t.self == before {
		return
	}
	t.self.Incarnation++
	t.setSelf(now)
}

// NextUpdates returns what is still to be passed on, at most limit, the least
// spread first. The caller sends them with its next message.
func (t *Table) NextUpdates(limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.due == 0 {
		return nil
	}
	var due []*entry
	for _, e := range t.entries {
		if e.left > 0 {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.left, a.left), cmp.Compare(a.ID, b.ID))
	})
	var out []Member
	for _, e := range due[:min(limit, len(due))] {
		e.left--
		if e.left == 0 {
			t.due--
		}
		out = append(out, e.Member)
	}
	return out
}

// PendingUpdates returns how many members are still to be passed on.
func (t *Table) PendingUpdates() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.due
}

// All returns every member, the dead ones too, in order of their ids, and a
// channel that closes when one changes. The caller must not change the slice.
func (t *Table) All() ([]Member, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all(), t.changed
}

func (t *Table) all() []Member {
	if t.sorted != nil {
		return t.sorted
	}
	t.sorted = make([]Member, 0, len(t.entries))
	for _, e := range t.entries {
		t.sorted = append(t.sorted, e.Member)
	}
	slices.SortFunc(t.sorted, func(a, b Member) int { return cmp.Compare(a.ID, b.ID) })
	return t.sorted
}

// Select returns the members for which in is true, in order of their ids.
func (t *Table) Select(in func(Member) bool) []Member {
	all, _ := t.All()
	var out []Member
	for i := range all {
		if in(all[i]) {
			out = append(out, all[i])
		}
	}
	return out
}

// DomainMembers returns the members of a failure domain, the dead ones too.
func (t *Table) DomainMembers(domain string) []Member {
	return t.Select(func(m Member) bool { return m.Domain == domain })
}

// DeadMembers returns the members that are believed to have failed without a farewell.
func (t *Table) DeadMembers() []Member {
	return t.Select(func(m Member) bool { return m.State == Dead })
}

// Get returns one member.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Digest returns a checksum over the live members, which is equal at two tables
// that believe the same.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// DomainDigests returns a checksum over the live members of each failure domain.
func (t *Table) DomainDigests() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.digests)
}

func (e *entry) hash() uint64 {
	var d xxhash.Digest
	_, _ = d.WriteString(e.ID)
	_, _ = d.Write([]byte{0, byte(e.State)})
	var inc [8]byte
	for i := range inc {
		inc[i] = byte(e.Incarnation >> (8 * i))
	}
	_, _ = d.Write(inc[:])
	return d.Sum64()
}

func (t *Table) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}
