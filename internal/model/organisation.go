package model

import (
	"errors"
	"fmt"
	"slices"
)

// Organisation is a customer on whose behalf callers send requests. It is immutable.
type Organisation struct {
	Name string
	// Priority is the rank of its requests in place of their routes'; 0 is the most urgent,
	// RoutePriority leaves it to the route.
	Priority int
	Limit    Limit
	// Regions are those that may serve its requests; empty means all.
	Regions []string
}

// PriorityFromRoute is the priority of an organisation that does not set one.
const PriorityFromRoute = -1

// Limit bounds the requests of an organisation that upstreams run, over all entries together.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is how many requests beyond the rate may run at once.
	Burst float64
}

// Anonymous stands for callers without a key on routes that ask for none.
var Anonymous = &Organisation{Priority: PriorityFromRoute}

// Allows reports whether a region may serve the organisation's requests. Nil allows all.
func (o *Organisation) Allows(region string) bool {
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Key is what a caller proves its organisation by. It is a secret: however a Key is
// printed, or encoded as a value, it does not show.
type Key string

// hiddenKey stands in for a key's value.
const hiddenKey = "(key)"

// MaxKeyBytes is the longest key.
const MaxKeyBytes = 512

// String implements fmt.Stringer.
func (Key) String() string { return hiddenKey }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return hiddenKey }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(hiddenKey), nil }

// Organisations finds the organisation of a key. It is immutable.
type Organisations struct {
	list  []*Organisation
	byKey map[Key]*Organisation
}

// NewOrganisations returns a table of organisations with their keys, by name. The error
// names every fault, and no key.
func NewOrganisations(list []*Organisation, keys map[string][]Key) (*Organisations, error) {
	t := &Organisations{list: list, byKey: make(map[Key]*Organisation)}
	var faults []error
	for _, o := range list {
		for i, k := range keys[o.Name] {
			if err := t.add(o, k); err != nil {
				faults = append(faults, fmt.Errorf("organisation %q, key %d: %w", o.Name, i+1, err))
			}
		}
	}
	return t, errors.Join(faults...)
}

func (t *Organisations) add(o *Organisation, k Key) error {
	if len(k) == 0 || len(k) > MaxKeyBytes {
		return fmt.Errorf("has %d bytes; allowed: 1 to %d", len(k), MaxKeyBytes)
	}
	if holder := t.byKey[k]; holder != nil && holder != o {
		return fmt.Errorf("is also one of %q; allowed: one organisation for each key", holder.Name)
	}
	t.byKey[k] = o
	return nil
}

// ByKey returns the organisation of a key, or nil if it has none.
func (t *Organisations) ByKey(k Key) *Organisation { return t.byKey[k] }

// All returns the organisations.
func (t *Organisations) All() []*Organisation {
	if t == nil {
		return nil
	}
	return t.list
}
