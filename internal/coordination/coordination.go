// Package coordination is the client of what the platform gives: a key-value
// service with compare-and-swap, leases and watches, and a list of instances.
//
// Both are reached through small interfaces, so that decisions and tests run
// against an in-memory stand-in. Client is the HTTP implementation.
package coordination

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. Any other error leaves the effect of a write unknown.
var (
	// ErrConflict reports that the key was not at the expected version.
	// The write had no effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrRefused reports that the service refused the call before running it.
	ErrRefused = errors.New("platform: call refused")
	// ErrLeaseNotFound reports that the lease has lapsed or never was.
	ErrLeaseNotFound = errors.New("platform: no such lease")
)

// MaxValueBytes is the largest value in bytes that the service holds.
const MaxValueBytes = 1 << 20

// Absent is the version of a key that has no value.
const Absent uint64 = 0

// Entry is the value of a key. Version rises with every write to any key and is
// Absent when the key has no value.
type Entry struct {
	Value   []byte
	Version uint64
}

// Store is the key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Get reads one key. A missing key gives an Entry with version Absent.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key is at version, and returns the new version.
	// A lease other than zero removes the key when the lease lapses.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key if it is at version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits until the key's version differs from version, or until wait has
	// passed, and returns the key's entry.
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Entry, error)
	// Grant makes a lease that lapses unless it is kept alive within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive extends a lease by its ttl.
	KeepAlive(ctx context.Context, id LeaseID) error
}

// LeaseID names a lease; zero means none.
type LeaseID uint64

// Kind tells loomkeel's own instances from upstreams.
type Kind string

// The kinds of instances in the platform's list.
const (
	KindNode     Kind = "node"
	KindUpstream Kind = "upstream"
)

// Instance is one line of the platform's list.
type Instance struct {
	ID          string `json:"id"`
	Kind        Kind   `json:"kind"`
	Service     string `json:"service,omitempty"`
	Region      string `json:"region"`
	Domain      string `json:"domain"`
	Address     string `json:"address"`
	Slots       int    `json:"slots,omitempty"`
	Connections int    `json:"connections,omitempty"`
	Leaving     bool   `json:"leaving,omitempty"`
}

// InstanceList is the platform's list at one version. The list lags.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// InstanceLister reads the instance list.
type InstanceLister interface {
	// Instances waits until the list's version differs from version, or until
	// wait has passed, and returns the list.
	Instances(ctx context.Context, version uint64, wait time.Duration) (InstanceList, error)
}
