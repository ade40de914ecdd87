package rollout

import "math/bits"

// Counts are the answers of the two versions to requests of one route, since the order.
type Counts struct {
	// New and NewBad count the answers of the new version and the bad ones among them, Old and
	// OldBad those of the other versions. Failures and answers that take several times as long as
	// usual are bad.
	New, NewBad, Old, OldBad uint64
	// BadUpstreams is the set of the upstreams of the new version with bad answers, as bits at
	// their hashes modulo 64.
	BadUpstreams uint64
}

// plus returns the sum of two counts of different entries.
func (c Counts) plus(d Counts) Counts {
	return Counts{c.New + d.New, c.NewBad + d.NewBad, c.Old + d.Old, c.OldBad + d.OldBad, c.BadUpstreams | d.BadUpstreams}
}

// Spread returns the least number of upstreams of the new version that gave bad answers.
func (c Counts) Spread() int { return bits.OnesCount64(c.BadUpstreams) }

// Evidence holds the counts of an order by the hash of the route.
type Evidence map[uint32]Counts

// Total returns the sum over all routes.
func (e Evidence) Total() Counts {
	var sum Counts
	for _, c := range e {
		sum = sum.plus(c)
	}
	return sum
}

// Row is an entry's report of its counts of one order and route.
type Row struct {
	// Key is the Key of the order, Route the hash of the route's name.
	Key   uint64
	Route uint32
	Counts
	// Halted is set if the reporter found the new version to be bad.
	Halted bool
}

// Ledger sums the evidence that the entries report. Each report replaces the reporter's earlier
// one, so that lost and repeated reports do no harm. Access to it is not synchronized.
type Ledger struct {
	// rows has the last counts by order, reporter and route.
	rows map[uint64]map[string]Evidence
}

// NewLedger returns an empty Ledger.
func NewLedger() *Ledger { return &Ledger{rows: make(map[uint64]map[string]Evidence)} }

// Apply applies a row of a reporter's report if there is such an order.
func (l *Ledger) Apply(reporter string, r Row) {
	reporters, ok := l.rows[r.Key]
	if !ok {
		return
	}
	if reporters[reporter] == nil {
		reporters[reporter] = make(Evidence)
	}
	reporters[reporter][r.Route] = r.Counts
}

// SetOrders drops the evidence of all orders but those with the given keys.
func (l *Ledger) SetOrders(keys map[uint64]bool) {
	for key := range l.rows {
		if !keys[key] {
			delete(l.rows, key)
		}
	}
	for key := range keys {
		if l.rows[key] == nil {
			l.rows[key] = make(map[string]Evidence)
		}
	}
}

// Sum returns the sum of the evidence of an order over the reporters that from selects.
func (l *Ledger) Sum(key uint64, from func(reporter string) bool) Evidence {
	out := make(Evidence)
	for reporter, e := range l.rows[key] {
		if !from(reporter) {
			continue
		}
		for route, c := range e {
			out[route] = out[route].plus(c)
		}
	}
	return out
}
