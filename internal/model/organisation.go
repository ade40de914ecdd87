package model

import (
	"errors"
	"fmt"
	"slices"
)

// Organisation is a customer on whose behalf callers send requests. It is immutable.
type Organisation struct {
	Name string
	// Priority replaces the priority of the routes for the organisation's requests;
	// 0 is the most urgent, PriorityFromRoute keeps the route's.
	Priority int
	Limit    Limit
	// Regions are the regions that may serve the organisation's requests; empty means all.
	Regions []string
}

// PriorityFromRoute is the Priority of an organisation that sets none.
const PriorityFromRoute = -1

// Limit bounds the rate at which all entries together send an organisation's requests
// to upstreams.
type Limit struct {
	// Rate is in requests per second; 0 means no limit.
	Rate float64
	// Burst is the number of requests beyond the rate that may run at once.
	Burst float64
}

// Anonymous is the organisation of callers without a key on routes that need none.
var Anonymous = &Organisation{Priority: PriorityFromRoute}

// Allows reports whether a region may serve the organisation's requests. A nil
// Organisation allows all regions.
func (o *Organisation) Allows(region string) bool {
	return o == nil || len(o.Regions) == 0 || slices.Contains(o.Regions, region)
}

// Key is the secret by which a caller authenticates as an organisation. Printing a Key,
// or encoding it as a value (not as a map key), writes a placeholder.
type Key string

// redactedKey is the placeholder for a key's value.
const redactedKey = "(key)"

// MaxKeyBytes is the largest length of a key in bytes.
const MaxKeyBytes = 512

// String implements fmt.Stringer.
func (Key) String() string { return redactedKey }

// GoString implements fmt.GoStringer.
func (Key) GoString() string { return redactedKey }

// MarshalText implements encoding.TextMarshaler.
func (Key) MarshalText() ([]byte, error) { return []byte(redactedKey), nil }

// Organisations maps keys to organisations. It is immutable.
type Organisations struct {
	list  []*Organisation
	byKey map[Key]*Organisation
}

// NewOrganisations returns the table of a list of organisations. keys holds the keys of
// each organisation by its name. The error joins all faults and contains no key.
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

// add maps a key to an organisation. It fails if the key's length is out of range or the
// key belongs to another organisation.
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

// ByKey returns the organisation of a key, or nil if the key is unknown.
func (t *Organisations) ByKey(k Key) *Organisation { return t.byKey[k] }

// All returns the organisations in the order given to NewOrganisations.
func (t *Organisations) All() []*Organisation {
	if t == nil {
		return nil
	}
	return t.list
}
