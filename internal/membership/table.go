// Package membership maintains the list of live loomkeel instances.
//
// Instances probe each other inside their failure domain and gossip state changes
// with the probes, following the SWIM protocol (Das, Gupta and Motivala, 2002): a
// member that answers neither a direct nor an indirect probe is suspected, and
// declared dead if it does not refute the suspicion in time with a higher
// incarnation. The platform's instance list only supplies addresses to contact.
// Because it lags, it declares members neither alive nor dead.
//
// Table holds the state and its transition rules, without network access or
// clocks.
package membership

import (
	"cmp"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Config sets the timeouts and the gossip limit of a Table.
type Config struct {
	// SuspicionTimeout is how long a member stays suspected before it is declared
	// dead.
	SuspicionTimeout time.Duration
	// DeadRetention is how long dead and leaving members stay in the table, so that
	// late gossip does not add them again.
	DeadRetention time.Duration
	// RetransmitLimit is the number of messages that carry each update.
	RetransmitLimit int
}

// DefaultConfig returns the configuration for a probe period of one second.
func DefaultConfig() Config {
	return Config{SuspicionTimeout: 4 * time.Second, DeadRetention: time.Hour, RetransmitLimit: 8}
}

// entry is a member with its local bookkeeping.
type entry struct {
	Member
	// changedAt is the local time at which the member's present state was received or
	// set.
	changedAt time.Time
	// transmitsLeft is the number of messages that still have to carry the state.
	transmitsLeft int
}

// Table holds the state of all members as seen by one instance. It is safe for
// concurrent use.
type Table struct {
	mu      sync.Mutex
	cfg     Config
	self    Member
	entries map[string]*entry
	// changed is closed and replaced when a member changes.
	changed chan struct{}
	// sorted caches the list that All returns; nil after a change.
	sorted []Member
	// domainDigests holds the checksum over the live members of each failure
	// domain, and digest the checksum over all live members.
	domainDigests map[string]uint64
	digest        uint64
	// pending is the number of entries whose transmitsLeft is above 0.
	pending int
}

// NewTable returns a Table whose only member is self.
func NewTable(self Member, cfg Config) *Table {
	t := &Table{
		cfg:           cfg,
		self:          self,
		entries:       make(map[string]*entry),
		changed:       make(chan struct{}),
		domainDigests: make(map[string]uint64),
	}
	t.put(entry{Member: self, transmitsLeft: cfg.RetransmitLimit})
	return t
}

// put adds the entry of a member or replaces it. The caller holds mu.
func (t *Table) put(e entry) {
	t.remove(e.ID)
	t.entries[e.ID] = &e
	t.toggleDigest(&e)
	if e.transmitsLeft > 0 {
		t.pending++
	}
}

// remove deletes the entry of a member, if there is one. The caller holds mu.
func (t *Table) remove(id string) {
	t.sorted = nil
	e := t.entries[id]
	if e == nil {
		return
	}
	t.toggleDigest(e)
	if e.transmitsLeft > 0 {
		t.pending--
	}
	delete(t.entries, id)
}

// toggleDigest adds a live member to the digests, or removes it if it is included:
// the digests are the XOR of the members' hashes.
func (t *Table) toggleDigest(e *entry) {
	if !e.Live() {
		return
	}
	h := e.hash()
	t.digest ^= h
	t.domainDigests[e.Domain] ^= h
	if t.domainDigests[e.Domain] == 0 {
		delete(t.domainDigests, e.Domain)
	}
}

// setState changes the state of a member and queues the change for gossip. The
// caller holds mu.
func (t *Table) setState(now time.Time, e *entry, s State) {
	next := *e
	next.State, next.changedAt, next.transmitsLeft = s, now, t.cfg.RetransmitLimit
	t.put(next)
	t.notifyChanged()
}

// Self returns the own member.
func (t *Table) Self() Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.self
}

// Merge applies the member states that the peer from has sent. It returns the
// updates that it rejected because a peer outside the probe scope states that an
// alive member inside the scope has failed. That peer may only be partitioned from
// the member, so the caller should send the update to the member, which then refutes
// it.
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
		t.notifyChanged()
	}
	return disputed
}

// refute raises the own incarnation above that of an update about the own instance
// that would override the own state. This includes updates from an earlier process
// of the instance whose clock was ahead. The caller holds mu.
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

// setSelf stores the own member and queues it for gossip. The caller holds mu.
func (t *Table) setSelf(now time.Time) {
	t.put(entry{Member: t.self, changedAt: now, transmitsLeft: t.cfg.RetransmitLimit})
	t.notifyChanged()
}

// AddMembers adds the live members of a peer's list that are not in the table yet.
// They are not queued for gossip, because they are new to this table only.
func (t *Table) AddMembers(now time.Time, members []Member) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, m := range members {
		if m.Live() && t.entries[m.ID] == nil {
			t.put(entry{Member: m, changedAt: now})
		}
	}
	t.notifyChanged()
}

// merge applies an update about another member if it takes precedence over the
// entry, and reports whether it did. The caller holds mu.
func (t *Table) merge(now time.Time, u Member) bool {
	if u.ID == "" || u.ID == t.self.ID || u.State < Alive || u.State > Dead {
		return false
	}
	e := t.entries[u.ID]
	if e == nil && !u.Live() {
		// An expired dead member must not be added again: otherwise peers would keep
		// restoring the entry in each other's tables and it would never expire.
		return false
	}
	if e != nil && (u.Incarnation < e.Incarnation || u.Incarnation == e.Incarnation && u.State <= e.State) {
		return false
	}
	t.put(entry{Member: u, changedAt: now, transmitsLeft: t.cfg.RetransmitLimit})
	return true
}

// MarkSuspect changes an alive member to Suspect, after it answered neither a
// direct nor an indirect probe. It does nothing for members in other states.
func (t *Table) MarkSuspect(now time.Time, id string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil || e.State != Alive {
		return
	}
	t.setState(now, e, Suspect)
}

// Tick declares members dead whose suspicion has timed out, and removes dead and
// leaving members after DeadRetention.
func (t *Table) Tick(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for id, e := range t.entries {
		age := now.Sub(e.changedAt)
		switch {
		case e.State == Suspect && age >= t.cfg.SuspicionTimeout:
			t.setState(now, e, Dead)
		case id != t.self.ID && !e.Live() && age >= t.cfg.DeadRetention:
			t.remove(id)
		}
	}
}

// Leave changes the own state to Leaving and queues it for gossip.
func (t *Table) Leave(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.self.State = Leaving
	t.setSelf(now)
}

// UpdateSelf applies change to the own member. If the member differs afterwards,
// its incarnation is raised and it is queued for gossip.
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

// NextUpdates returns up to limit queued member states, those with the most
// transmissions left first, and counts one transmission of each. The caller must
// send them with its next message.
func (t *Table) NextUpdates(limit int) []Member {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.pending == 0 {
		return nil
	}
	var due []*entry
	for _, e := range t.entries {
		if e.transmitsLeft > 0 {
			due = append(due, e)
		}
	}
	slices.SortFunc(due, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(b.transmitsLeft, a.transmitsLeft), cmp.Compare(a.ID, b.ID))
	})
	var out []Member
	for _, e := range due[:min(limit, len(due))] {
		e.transmitsLeft--
		if e.transmitsLeft == 0 {
			t.pending--
		}
		out = append(out, e.Member)
	}
	return out
}

// PendingUpdates returns the number of members whose state is queued for gossip.
func (t *Table) PendingUpdates() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.pending
}

// All returns all members, including dead ones, sorted by ID, and a channel that
// is closed at the next change. The caller must not modify the slice.
func (t *Table) All() ([]Member, <-chan struct{}) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.all(), t.changed
}

// all returns the cached sorted list of members. The caller holds mu.
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

// Select returns the members for which in is true, sorted by ID.
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

// DomainMembers returns the members of all failure domains with the given name,
// including dead ones, sorted by ID.
func (t *Table) DomainMembers(domain string) []Member {
	return t.Select(func(m Member) bool { return m.Domain == domain })
}

// DeadMembers returns the members in state Dead: those that stopped answering
// without announcing that they leave. They are sorted by ID.
func (t *Table) DeadMembers() []Member {
	return t.Select(func(m Member) bool { return m.State == Dead })
}

// Get returns the member with the given ID, or false if it is not in the table.
func (t *Table) Get(id string) (Member, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	e := t.entries[id]
	if e == nil {
		return Member{}, false
	}
	return e.Member, true
}

// Digest returns a checksum over the IDs, states and incarnations of the live
// members. Tables that agree on these have equal digests.
func (t *Table) Digest() uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.digest
}

// DomainDigests returns a copy of the checksums over the live members of each
// failure domain, by the domain's name.
func (t *Table) DomainDigests() map[string]uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return maps.Clone(t.domainDigests)
}

// hash returns a hash of the member's ID, state and incarnation.
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

// notifyChanged closes the channel that All returned, and replaces it. The caller
// holds mu.
func (t *Table) notifyChanged() {
	close(t.changed)
	t.changed = make(chan struct{})
}
