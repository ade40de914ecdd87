// Package rollout moves the requests of a service from its present upstreams to upstreams of
// another version, which run beside them.
//
// An operator orders a rollout. Until the new version has proved itself, each entry sends it a
// small share of the requests, by a Gate, and counts the answers of both versions, in a Tracker.
// A Ledger sums the counts of all entries, and a Judge compares the two versions. A Plan decides on
// the next step. The step is stored with a condition in the platform's key-value store, so that
// any entry can take it and no two entries take different ones.
//
// The package does no I/O and reads no clock.
package rollout

import (
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Order is an operator's order to move a service to a version.
type Order struct {
	Service string
	Version string
	// Duration is the time within which the rollout must be completed or rolled back.
	Duration time.Duration
	// Revision is the store's revision of the order. It tells apart orders for the same service.
	Revision int64
}

// Key identifies the order in reports between entries.
func (o *Order) Key() uint64 {
	return xxhash.Sum64(binary.BigEndian.AppendUint64([]byte(o.Service+"\x00"), uint64(o.Revision)))
}

// State is how far a rollout has come.
type State string

// The states.
const (
	Running    State = "running"
	Completed  State = "completed"
	RolledBack State = "rolled_back"
)

// Stage is the part of a running rollout.
type Stage string

// The stages, in their order.
const (
	// Canary gives the new version a small share of the requests, to compare the versions.
	Canary Stage = "canary"
	// Shift gives it a growing share.
	Shift Stage = "shift"
	// Switch gives it all requests, while those at the other versions end.
	Switch Stage = "switch"
)

// Progress is the stored state of a rollout.
type Progress struct {
	State   State
	Version string
	// Order is the Revision of the order.
	Order int64
	Stage Stage
	// Share is the share of the requests that upstreams of the new version get.
	Share float64
	// Elapsed is the time since the order as of the write of this progress.
	Elapsed time.Duration
	// Reason explains the last step to operators.
	Reason string
	// Revision is the store's revision of this progress; 0 if it is not stored.
	Revision int64
}

// Of reports whether the progress is that of an order.
func (p *Progress) Of(o *Order) bool { return p != nil && o != nil && p.Order == o.Revision }

// Traffic is how a rollout divides the requests of a service. It is immutable.
type Traffic struct {
	// Key is the Key of the order.
	Key     uint64
	Version string
	// Share is the share of the requests for upstreams of Version; the others get the rest.
	Share float64
	Stage Stage
}

// TrafficOf returns how a rollout divides the requests; nil if it does not divide them, because
// there is no order, no entry has taken it up, or it has ended.
func TrafficOf(o *Order, p *Progress) *Traffic {
	if !p.Of(o) || p.State != Running {
		return nil
	}
	return &Traffic{Key: o.Key(), Version: o.Version, Share: p.Share, Stage: p.Stage}
}
