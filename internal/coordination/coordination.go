// Package coordination is the client of the platform's coordination services: a key-value store
// with compare-and-swap, leases and watches, and a list of instances.
//
// Users of the package depend on the interfaces Store and InstanceLister, for which tests
// substitute the in-memory implementations of package standin. Client implements both over HTTP.
package coordination

import (
	"context"
	"errors"
	"time"
)

// Errors of a Store. After any other error it is unknown whether a write took effect.
// The texts, with their prefix, are sent to operators when a change fails.
var (
	// ErrConflict means that the key was not at the expected version and the write had no effect.
	ErrConflict = errors.New("platform: version conflict")
	// ErrRefused means that the service rejected the call without any effect.
	ErrRefused = errors.New("platform: call refused")
	// ErrLeaseNotFound means that the lease has expired or never existed.
	ErrLeaseNotFound = errors.New("platform: no such lease")
)

// MaxValueBytes is the largest size of a value in bytes.
const MaxValueBytes = 1 << 20

// Absent is the version of a key without a value.
const Absent uint64 = 0

// Entry is the value of a key. Version increases with every write to any key and is Absent if the
// key has no value.
type Entry struct {
	Value   []byte
	Version uint64
}

// Store is the key-value service. Implementations are safe for concurrent use.
type Store interface {
	// Get reads a key. It returns an Entry with version Absent for a missing key.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap writes value if the key is at version, and returns the new version. The
	// store removes the key when the lease expires, unless lease is zero.
	CompareAndSwap(ctx context.Context, key string, version uint64, value []byte, lease LeaseID) (uint64, error)
	// Delete removes the key if it is at version.
	Delete(ctx context.Context, key string, version uint64) error
	// Watch waits until the key's version differs from version, for at most wait, and returns
	// the entry of the key.
	Watch(ctx context.Context, key string, version uint64, wait time.Duration) (Entry, error)
	// Grant creates a lease that expires unless it is kept alive within ttl.
	Grant(ctx context.Context, ttl time.Duration) (LeaseID, error)
	// KeepAlive restarts the TTL of a lease.
	KeepAlive(ctx context.Context, id LeaseID) error
}

// LeaseID identifies a lease; zero means no lease.
type LeaseID uint64

// Kind distinguishes loomkeel's own instances from upstreams.
type Kind string

// The kinds of instances in the platform's list.
const (
	KindNode     Kind = "node"
	KindUpstream Kind = "upstream"
)

// Instance is one entry of the platform's instance list. Service, Slots and Connections are set
// for upstreams only.
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

// InstanceList is the platform's instance list at one version. The list may lag behind the
// actual instances.
type InstanceList struct {
	Version   uint64     `json:"version"`
	Instances []Instance `json:"instances"`
}

// InstanceLister reads the instance list. Implementations are safe for concurrent use.
type InstanceLister interface {
	// Instances waits until the list's version differs from version, for at most wait, and
	// returns the list.
	Instances(ctx context.Context, version uint64, wait time.Duration) (InstanceList, error)
}
