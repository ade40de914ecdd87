package tree

import (
	"fmt"
	"strings"
	"time"
)

// RuleError reports settings that are each allowed, but not in combination.
type RuleError struct {
	Paths  []string
	Reason string
}

// Error implements error.
func (e *RuleError) Error() string {
	return strings.Join(e.Paths, ", ") + ": " + e.Reason
}

// CheckEdits checks each edit on its own and returns all errors.
func CheckEdits(edits []Edit) []error {
	var errs []error
	for _, e := range edits {
		if err := checkEdit(e); err != nil {
			errs = append(errs, err)
		}
	}
	return errs
}

// checkEdit checks the path and key of an edit and, unless it unsets the key, the
// value.
func checkEdit(e Edit) error {
	if !e.Unset {
		return CheckValue(e.Path, e.Key, e.Value)
	}
	kind, _, err := ParsePath(e.Path)
	if err != nil {
		return err
	}
	if kind == KindBlocks {
		return checkPrefix(e.Path, e.Key, e.Value)
	}
	_, err = checkKey(kind, e.Path, e.Key)
	return err
}

// Check checks the rules on combinations of settings and returns all errors. When
// it is called on the tree that results from a change, it also finds concurrent
// changes that are each allowed, but not together.
func (t *Tree) Check() []error {
	drains := t.Drains()
	moves := t.Moves()
	var errs []error
	for _, d := range drains {
		errs = append(errs, d.check()...)
	}
	for _, m := range moves {
		errs = append(errs, m.check()...)
	}
	errs = append(errs, t.checkDrainedDomains(drains)...)
	return append(errs, t.checkShift(moves)...)
}

// check checks that the drain has a target, and its settings against each other.
func (d Drain) check() []error {
	var errs []error
	if d.Upstream == "" && d.Region == "" {
		errs = append(errs, &RuleError{[]string{d.Path}, "a drain names an upstream, or a region with or without a failure domain"})
	}
	if d.Domain != "" && d.Region == "" {
		errs = append(errs, &RuleError{[]string{d.Path}, "a failure domain needs its region"})
	}
	if !d.End.IsZero() && !d.End.After(d.Start) {
		errs = append(errs, &RuleError{[]string{d.Path}, "end is not after start"})
	}
	return errs
}

// check checks that the move's required settings are present and that its regions
// differ.
func (m Move) check() []error {
	var errs []error
	if m.Service == "" || m.From == "" || m.To == "" || m.Start.IsZero() {
		errs = append(errs, &RuleError{[]string{m.Path}, "a move needs service, from, to and start"})
	}
	if m.From == m.To {
		errs = append(errs, &RuleError{[]string{m.Path}, "from and to are the same region"})
	}
	return errs
}

// checkDrainedDomains returns an error for each drain at whose start more failure
// domains of its region would be drained than KeyMaxDrainedDomains allows. Drains
// of a whole region or of one upstream do not count.
func (t *Tree) checkDrainedDomains(drains []Drain) []error {
	var errs []error
	for _, d := range drains {
		if d.Domain == "" {
			continue
		}
		limit := t.Int(RegionPath(d.Region), KeyMaxDrainedDomains)
		domains := map[string]bool{d.Domain: true}
		paths := []string{d.Path}
		for _, other := range drains {
			if other.Region != d.Region || other.Domain == "" || !other.covers(d.Start) || domains[other.Domain] {
				continue
			}
			domains[other.Domain] = true
			paths = append(paths, other.Path)
		}
		if len(domains) > limit {
			errs = append(errs, &RuleError{paths, fmt.Sprintf("%d failure domains of region %s drained at one time, at most %d may be", len(domains), d.Region, limit)})
		}
	}
	return errs
}

// covers reports whether the time at is in the drain's time span.
func (d Drain) covers(at time.Time) bool {
	return !at.Before(d.Start) && (d.End.IsZero() || at.Before(d.End))
}

// checkShift finds moves of one service out of one region that together exceed
// the service's shift cap or shift rate. The fractions of all moves are summed,
// because a move keeps its whole fraction after its duration.
func (t *Tree) checkShift(moves []Move) []error {
	type source struct{ service, from string }
	bySource := make(map[source][]Move)
	for _, m := range moves {
		s := source{m.Service, m.From}
		bySource[s] = append(bySource[s], m)
	}
	var errs []error
	for s, ms := range bySource {
		limit := t.Float(ServicePath(s.service), KeyShiftCap)
		rate := t.Float(ServicePath(s.service), KeyShiftRate)
		var sum, fastest float64
		var paths []string
		for _, m := range ms {
			sum += m.Fraction
			fastest = max(fastest, shiftRateAt(ms, m.Start))
			paths = append(paths, m.Path)
		}
		if sum > limit+epsilon {
			errs = append(errs, &RuleError{paths, fmt.Sprintf("moves of service %s out of %s shift %.3g of its traffic, shift_cap is %.3g", s.service, s.from, sum, limit)})
		}
		if fastest > rate+epsilon {
			errs = append(errs, &RuleError{paths, fmt.Sprintf("moves of service %s out of %s shift %.3g of its traffic in a minute, shift_rate is %.3g", s.service, s.from, fastest, rate)})
		}
	}
	return errs
}

// epsilon is the tolerance for rounding errors in sums of fractions.
const epsilon = 1e-9

// shiftRateAt returns the share of traffic per minute that the moves together
// shift at a time. A move shorter than a second counts as a second long.
func shiftRateAt(moves []Move, at time.Time) float64 {
	var sum float64
	for _, m := range moves {
		if at.Before(m.Start) || !at.Before(m.Start.Add(max(m.Duration, time.Second))) {
			continue
		}
		sum += m.Fraction / max(m.Duration, time.Second).Minutes()
	}
	return sum
}
