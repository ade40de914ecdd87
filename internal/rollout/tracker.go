package rollout

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxRoutes bounds the routes of one order for which an entry counts answers. Those of further
// routes count together.
const maxRoutes = 24

// otherRoutes is the key in Evidence of the routes beyond maxRoutes.
const otherRoutes = 0

// Tracker holds what one entry knows of the running rollouts: which of its requests go to the new
// version, its own evidence and that of other entries, and which rollouts were found to be bad.
// It is safe for concurrent use.
type Tracker struct {
	mu sync.Mutex
	// orders has the running rollouts by Key.
	orders map[uint64]*tracked
	ledger *Ledger
}

// tracked is the state of one order.
type tracked struct {
	gates  map[uint32]*Gate
	own    Evidence
	judge  *Judge
	halted bool
}

// NewTracker returns a Tracker without orders.
func NewTracker() *Tracker {
	return &Tracker{orders: make(map[uint64]*tracked), ledger: NewLedger()}
}

// SetTraffic sets the running rollouts by service. State of rollouts that have ended is dropped.
func (t *Tracker) SetTraffic(traffic map[string]*Traffic) {
	t.mu.Lock()
	defer t.mu.Unlock()
	running := make(map[uint64]bool, len(traffic))
	for _, tr := range traffic {
		running[tr.Key] = true
		if t.orders[tr.Key] == nil {
			t.orders[tr.Key] = &tracked{gates: make(map[uint32]*Gate), own: make(Evidence), judge: NewJudge()}
		}
	}
	for key := range t.orders {
		if !running[key] {
			delete(t.orders, key)
		}
	}
	t.ledger.SetOrders(running)
}

// Active reports whether there is any running rollout.
func (t *Tracker) Active() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.orders) > 0
}

// HashRoute returns the hash of a route's name as used in Evidence.
func HashRoute(name string) uint32 { return max(1, uint32(xxhash.Sum64String(name))) }

// Choose counts a request for an object and reports whether it goes to the new version.
func (t *Tracker) Choose(tr *Traffic, route string, object uint64) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[tr.Key]
	if o == nil || o.halted {
		return false
	}
	return o.gate(HashRoute(route)).Choose(object, tr.Share)
}

// Refund takes back the choice of a request that did not go to the new version after all.
func (t *Tracker) Refund(tr *Traffic, route string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if o := t.orders[tr.Key]; o != nil {
		o.gate(HashRoute(route)).Refund()
	}
}

func (o *tracked) gate(route uint32) *Gate {
	g := o.gates[route]
	if g == nil {
		g = new(Gate)
		o.gates[route] = g
	}
	return g
}

// Answer is an answer of an upstream.
type Answer struct {
	Route    string
	Version  string
	Upstream string
	Bad      bool
}

// Record counts an answer.
func (t *Tracker) Record(tr *Traffic, a Answer) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[tr.Key]
	if o == nil {
		return
	}
	route := HashRoute(a.Route)
	if _, known := o.own[route]; !known && len(o.own) >= maxRoutes {
		route = otherRoutes
	}
	c := o.own[route]
	c.add(a, a.Version == tr.Version)
	o.own[route] = c
}

// add counts an answer of the new version or of another one.
func (c *Counts) add(a Answer, isNew bool) {
	switch {
	case isNew && a.Bad:
		c.New++
		c.NewBad++
		c.BadUpstreams |= 1 << (xxhash.Sum64String(a.Upstream) % 64)
	case isNew:
		c.New++
	case a.Bad:
		c.Old++
		c.OldBad++
	default:
		c.Old++
	}
}

// Rows returns the evidence of the running rollouts: that of the reporters that from selects, and
// this entry's own if own is set.
func (t *Tracker) Rows(own bool, from func(reporter string) bool) []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for key, o := range t.orders {
		for route, c := range t.sum(key, o, own, from) {
			out = append(out, Row{Key: key, Route: route, Counts: c, Halted: o.halted})
		}
	}
	return out
}

// Halts returns a row without counts for each rollout that was found to be bad.
func (t *Tracker) Halts() []Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out []Row
	for key, o := range t.orders {
		if o.halted {
			out = append(out, Row{Key: key, Halted: true})
		}
	}
	return out
}

// sum returns the evidence of an order. t.mu must be held.
func (t *Tracker) sum(key uint64, o *tracked, own bool, from func(reporter string) bool) Evidence {
	out := t.ledger.Sum(key, from)
	if own {
		for route, c := range o.own {
			out[route] = out[route].plus(c)
		}
	}
	return out
}

// Apply applies a row of a reporter's report.
func (t *Tracker) Apply(reporter string, r Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[r.Key]
	if o == nil {
		return
	}
	o.halted = o.halted || r.Halted
	if r.Counts != (Counts{}) {
		t.ledger.Apply(reporter, r)
	}
}

// Judge evaluates the evidence of all entries on an order, whose new version has a number of
// upstreams. It returns the evidence, and the reason if the new version is bad.
func (t *Tracker) Judge(key uint64, upstreams int, now time.Time) (e Evidence, badReason string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	o := t.orders[key]
	if o == nil {
		return nil, ""
	}
	e = t.sum(key, o, true, func(string) bool { return true })
	if o.judge.Observe(e, upstreams, now) {
		o.halted = true
	}
	return e, o.judge.Reason()
}
