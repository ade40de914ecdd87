package tree

import (
	"fmt"
	"strings"
	"time"
)

// RuleError reports settings that are each allowed, but not together.
type RuleError struct {
	Paths  []string
	Reason string
}

// Error implements error.
func (e *RuleError) Error() string {
	return strings.Join(e.Paths, ", ") + ": " + e.Reason
}

// CheckEdits checks each edit by itself and returns all faults.
func CheckEdits(edits []Edit) []error {
	var faults []error
	for _, e := range edits {
		if err := checkEdit(e); err != nil {
			faults = append(faults, err)
		}
	}
	return faults
}

func checkEdit(e Edit) error {
	if !e.Unset {
		return CheckValue(e.Path, e.Key, e.Value)
	}
	kind, _, err := ParsePath(e.Path)
	if err != nil || kind == KindBlocks {
		return err
	}
	_, err = checkKey(kind, e.Path, e.Key)
	return err
}

// Check checks the rules that bind several settings of the tree together and
// returns all faults. Run on the tree as it would be after a change, it finds
// every pair of concurrent changes that breaks a rule only together.
func (t *Tree) Check() []error {
	drains := t.Drains()
	moves := t.Moves()
	var faults []error
	for _, d := range drains {
		faults = append(faults, d.check()...)
	}
	for _, m := range moves {
		faults = append(faults, m.check(t)...)
	}
	faults = append(faults, t.checkDrainedDomains(drains)...)
	return append(faults, t.checkShift(moves)...)
}

func (d Drain) check() []error {
	var faults []error
	if d.Upstream == "" && d.Region == "" {
		faults = append(faults, &RuleError{[]string{d.Path}, "a drain names an upstream, or a region with or without a failure domain"})
	}
	if d.Domain != "" && d.Region == "" {
		faults = append(faults, &RuleError{[]string{d.Path}, "a failure domain needs its region"})
	}
	if !d.End.IsZero() && !d.End.After(d.Start) {
		faults = append(faults, &RuleError{[]string{d.Path}, "end is not after start"})
	}
	return faults
}

func (m Move) check(t *Tree) []error {
	var faults []error
	if m.Service == "" || m.From == "" || m.To == "" || m.Start.IsZero() {
		faults = append(faults, &RuleError{[]string{m.Path}, "a move needs service, from, to and start"})
	}
	if m.From == m.To {
		faults = append(faults, &RuleError{[]string{m.Path}, "from and to are the same region"})
	}
	return faults
}

// checkDrainedDomains finds drains that together take more failure domains of
// a region than may be drained at one time.
func (t *Tree) checkDrainedDomains(drains []Drain) []error {
	var faults []error
	for _, d := range drains {
		if d.Domain == "" {
			continue
		}
		most := t.Int(RegionPath(d.Region), KeyMaxDrainedDomains)
		domains := map[string]bool{d.Domain: true}
		paths := []string{d.Path}
		for _, other := range drains {
			if other.Region != d.Region || other.Domain == "" || !other.covers(d.Start) || domains[other.Domain] {
				continue
			}
			domains[other.Domain] = true
			paths = append(paths, other.Path)
		}
		if len(domains) > most {
			faults = append(faults, &RuleError{paths, fmt.Sprintf("%d failure domains of region %s drained at one time, at most %d may be", len(domains), d.Region, most)})
		}
	}
	return faults
}

func (d Drain) covers(at time.Time) bool {
	return !at.Before(d.Start) && (d.End.IsZero() || at.Before(d.End))
}

// checkShift finds moves of one service out of one region that together pass
// its shift cap or shift rate. Moves add up, since one that has ended its ramp
// still holds its share.
func (t *Tree) checkShift(moves []Move) []error {
	type lane struct{ service, from string }
	byLane := make(map[lane][]Move)
	for _, m := range moves {
		l := lane{m.Service, m.From}
		byLane[l] = append(byLane[l], m)
	}
	var faults []error
	for l, ms := range byLane {
		most := t.Float(ServicePath(l.service), KeyShiftCap)
		rate := t.Float(ServicePath(l.service), KeyShiftRate)
		var sum, fastest float64
		var paths []string
		for _, m := range ms {
			sum += m.Fraction
			fastest = max(fastest, rateAt(ms, m.Start))
			paths = append(paths, m.Path)
		}
		if sum > most+epsilon {
			faults = append(faults, &RuleError{paths, fmt.Sprintf("moves of service %s out of %s shift %.3g of its traffic, shift_cap is %.3g", l.service, l.from, sum, most)})
		}
		if fastest > rate+epsilon {
			faults = append(faults, &RuleError{paths, fmt.Sprintf("moves of service %s out of %s shift %.3g of its traffic in a minute, shift_rate is %.3g", l.service, l.from, fastest, rate)})
		}
	}
	return faults
}

// epsilon absorbs rounding in sums of fractions.
const epsilon = 1e-9

// rateAt returns the share per minute that all moves shift at one time.
func rateAt(moves []Move, at time.Time) float64 {
	var sum float64
	for _, m := range moves {
		if at.Before(m.Start) || !at.Before(m.Start.Add(max(m.Duration, time.Second))) {
			continue
		}
		sum += m.Fraction / max(m.Duration, time.Second).Minutes()
	}
	return sum
}
