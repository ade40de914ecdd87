package route

import (
	"math"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// MaxEntries is the largest number of entries in an answer.
const MaxEntries = 3

// leadTime is the time before a scheduled change in which answers get a shorter lifetime.
const leadTime = 5 * time.Minute

// shortLifetime is the lifetime of answers just before a scheduled change.
const shortLifetime = 2 * time.Second

// Entry is an entry instance with its weight.
type Entry struct {
	ID     string
	Addr   string
	Region string
	Weight float64
	hash   uint64
}

// Answer is the result of a look-up: N entries in order of preference. Entries is an
// array so that a look-up allocates no memory.
type Answer struct {
	Entries [MaxEntries]*Entry
	N       int
	// Lifetime is the time for which a caller may cache the answer.
	Lifetime time.Duration
	// Revision is the revision of the configuration from which the answer was computed.
	Revision uint64
}

// group holds the entries of one failure domain of a region, which share a weight.
type group struct {
	domain  string
	weight  float64
	entries []Entry
}

// region holds the entries of a region by failure domain.
type region struct {
	name   string
	groups []group
}

// Table answers look-ups. It is immutable.
type Table struct {
	blocks  *Blocks
	regions map[string]*region
	// order lists all regions, nearest first.
	order    []string
	revision uint64
	// services has the usual lifetime of answers for each service.
	services map[string]time.Duration
	// changes are the start times of drains and moves.
	changes []time.Time
}

// NewTable returns the table for a snapshot.
func NewTable(s *model.Snapshot, blocks *Blocks) *Table {
	t := &Table{
		blocks:   blocks,
		regions:  make(map[string]*region),
		order:    s.Regions,
		revision: s.Revision,
		services: make(map[string]time.Duration),
	}
	for _, m := range s.Members {
		t.add(s.Tree, m)
	}
	for name, svc := range s.Services {
		t.services[name] = svc.Lifetime
	}
	for _, d := range s.Drains {
		t.changes = append(t.changes, d.Start)
	}
	for _, m := range s.Moves {
		t.changes = append(t.changes, m.Start)
	}
	return t
}

// add adds the entry of a member. Members without an entry and members of failure domains
// with weight 0 are skipped.
func (t *Table) add(settings *tree.Tree, m membership.Member) {
	if m.Entry == "" {
		return
	}
	weight := settings.Float(tree.RegionPath(m.Region)+"/domains/"+m.Domain, tree.KeyWeight)
	if weight <= 0 {
		return
	}
	r := t.regions[m.Region]
	if r == nil {
		r = &region{name: m.Region}
		t.regions[m.Region] = r
	}
	g := r.group(m.Domain, weight)
	g.entries = append(g.entries, Entry{m.ID, m.Entry, m.Region, weight, xxhash.Sum64String(m.ID)})
}

// group returns the group of a failure domain, which it creates with the given weight if
// there is none.
func (r *region) group(domain string, weight float64) *group {
	for i := range r.groups {
		if r.groups[i].domain == domain {
			return &r.groups[i]
		}
	}
	r.groups = append(r.groups, group{domain: domain, weight: weight})
	return &r.groups[len(r.groups)-1]
}

// HasService reports whether a service exists.
func (t *Table) HasService(service string) bool {
	_, ok := t.services[service]
	return ok
}

// Lookup returns the entries for a caller: up to two of the caller's first region that
// has entries, and one each of the regions after it, so that the caller can use another
// region when its own is lost. The regions of the caller's block come first, then all
// others by latency.
func (t *Table) Lookup(service string, caller netip.Addr, now time.Time) Answer {
	a := Answer{Revision: t.revision, Lifetime: t.lifetime(service, now)}
	key := callerHash(caller)
	regions := t.blocks.Regions(caller)
	for _, name := range regions {
		t.fill(&a, t.regions[name], key)
	}
	for _, name := range t.order {
		if a.N == MaxEntries {
			break
		}
		t.fill(&a, t.regions[name], key)
	}
	return a
}

// fill adds the best entries of a region to an answer: up to two for the first region of
// the answer, one for each later region.
func (t *Table) fill(a *Answer, r *region, key uint64) {
	if r == nil || a.N == MaxEntries || a.has(r.name) {
		return
	}
	first, second := r.best(key)
	a.Entries[a.N] = first
	a.N++
	if a.N == 1 && second != nil {
		a.Entries[a.N] = second
		a.N++
	}
}

// has reports whether the answer has an entry of a region.
func (a *Answer) has(region string) bool {
	for _, e := range a.Entries[:a.N] {
		if e.Region == region {
			return true
		}
	}
	return false
}

// best returns the entry with the highest weighted rendezvous score for a caller's hash,
// and the best entry of another failure domain, so that the two seldom fail together. In a
// region of one failure domain the second is the entry with the next highest score.
//
// The score is -weight/ln(u) for u uniform in (0,1), which selects each entry in
// proportion to its weight (Schindelhauer and Schomaker, 2005). Inside a group,
// where weights are equal, u itself gives the same order without a logarithm.
func (r *region) best(key uint64) (first, second *Entry) {
	top, next := math.Inf(-1), math.Inf(-1)
	var sameDomain *Entry
	for i := range r.groups {
		a, b, u := r.groups[i].best(key)
		s := -r.groups[i].weight / math.Log(u)
		switch {
		case s > top:
			second, next = first, top
			first, top, sameDomain = a, s, b
		case s > next:
			second, next = a, s
		}
	}
	if second == nil {
		second = sameDomain
	}
	return first, second
}

// best returns the two entries with the largest hashes for a caller's hash, and the
// largest hash scaled to (0,1).
func (g *group) best(key uint64) (first, second *Entry, u float64) {
	var top, next uint64
	for i := range g.entries {
		e := &g.entries[i]
		h := mix(key ^ e.hash)
		switch {
		case first == nil || h > top:
			second, next = first, top
			first, top = e, h
		case second == nil || h > next:
			second, next = e, h
		}
	}
	return first, second, (float64(top>>11) + 0.5) / (1 << 53)
}

// mix is the finalizer of SplitMix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// callerHash returns the hash of a caller's address; an IPv4 address has the hash of its
// IPv4-mapped IPv6 form.
func callerHash(addr netip.Addr) uint64 {
	b := addr.As16()
	return xxhash.Sum64(b[:])
}

// lifetime returns the lifetime of an answer at the given time. It shrinks ahead of a
// scheduled change, so that callers do not use cached answers long after the change.
func (t *Table) lifetime(service string, now time.Time) time.Duration {
	usual := t.services[service]
	for _, at := range t.changes {
		until := at.Sub(now)
		if until > 0 && until < leadTime {
			usual = min(usual, max(shortLifetime, until/2))
		}
	}
	return usual
}

// TableDump is the content of a Table in the debug dump.
type TableDump struct {
	Revision uint64             `json:"revision"`
	Blocks   int                `json:"blocks"`
	Regions  []string           `json:"regions"`
	Entries  map[string][]Entry `json:"entries"`
}

// Dump returns the content of the table for the debug dump.
func (t *Table) Dump() TableDump {
	d := TableDump{Revision: t.revision, Blocks: t.blocks.Len(), Regions: t.order, Entries: make(map[string][]Entry)}
	for name, r := range t.regions {
		for _, g := range r.groups {
			d.Entries[name] = append(d.Entries[name], g.entries...)
		}
	}
	return d
}
