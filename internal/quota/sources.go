package quota

import (
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
)

// reportTimeout is the time without a report after which a reporter is considered unreachable.
// idleReportTimeout applies to a reporter with few requests, which reports every half second.
const (
	reportTimeout     = 400 * time.Millisecond
	idleReportTimeout = 1500 * time.Millisecond
)

// DepartureHold is how long the part of an entry that has left the fleet stays reserved for it, and how
// long the entry itself goes on to use it after its registration has ended: it may serve callers until
// then, and the others' reports to it cease. It is also the time after a new registration in which the
// entry relies only on reports, as others may not know it yet.
const DepartureHold = 3 * time.Second

// Self is an entry's own place in the limits.
type Self struct {
	// Weight is the weight of the entry; see Fleet in package inflight.
	Weight int
	// Registration is the period in which the entry is certainly a member of the fleet for the
	// others, nil if it always is.
	Registration *model.Registration
}

// holdsPart reports whether the entry's part of the limits is reserved for it by all others, whether
// or not they report to it.
func (s Self) holdsPart(now time.Time) bool {
	r := s.Registration
	return r == nil || !r.Since.IsZero() && now.Sub(r.Since) >= DepartureHold && now.Sub(r.Until) < DepartureHold
}

// Source is a group of other entries whose usage is reported together: a failure domain, or
// all entries that this entry's hub reports on. One or several entries report for it, or none if its
// entries have left the fleet within DepartureHold.
type Source struct {
	Name string
	// Weight is the sum of the weights of the group's entries; see Fleet in package inflight.
	Weight int
	// Complete is set if each reporter covers the whole group. Otherwise each covers a part,
	// and their reports add up.
	Complete bool
}

// reporter is an entry that reports for a source.
type reporter struct {
	source string
	// coveredWeight is the weight of the entries that the last report covered.
	coveredWeight int
	// lastReport is the time of the last report.
	lastReport time.Time
	// idle is set if the last report announced the longer interval of an entry with few
	// requests.
	idle bool
}

// fresh reports whether the last report is recent enough to count.
func (r *reporter) fresh(now time.Time) bool {
	if r.idle {
		return now.Sub(r.lastReport) < idleReportTimeout
	}
	return now.Sub(r.lastReport) < reportTimeout
}

// sources holds the expected sources and the entries that report for them.
type sources struct {
	list      []Source
	self      Self
	reporters map[string]*reporter
	// lastShares are the shares when the buckets were last aggregated.
	lastShares shares
}

// shares are parts of the whole limit, from 0 to 1.
type shares struct {
	// missing is reserved for other entries that no report covers.
	missing float64
	// self is the part of this entry, and withheld what it must not use of that because others may
	// have given it to each other.
	self, withheld float64
}

// set replaces the sources. It reports whether the buckets have to be aggregated again,
// because the sources have changed, have timed out or are reported on again.
func (s *sources) set(self Self, list []Source, now time.Time) bool {
	changed := len(list) != len(s.list)
	previous := make(map[Source]bool, len(s.list))
	for _, src := range s.list {
		previous[src] = true
	}
	for _, src := range list {
		changed = changed || !previous[src]
	}
	s.list, s.self = list, self
	for name, r := range s.reporters {
		if !r.fresh(now) {
			delete(s.reporters, name)
			changed = true
		}
	}
	return s.refresh(now) || changed
}

// refresh computes the shares anew, and reports whether they have changed.
func (s *sources) refresh(now time.Time) bool {
	before := s.lastShares
	s.lastShares = s.shares(now)
	return s.lastShares != before
}

// record records the sender of a report. It reports whether the report's source is expected.
func (s *sources) record(report Report, now time.Time) bool {
	for _, src := range s.list {
		if src.Name == report.Source {
			if s.reporters == nil {
				s.reporters = make(map[string]*reporter)
			}
			s.reporters[report.Reporter] = &reporter{report.Source, report.CoveredWeight, now, report.Idle}
			return true
		}
	}
	return false
}

// reportersOf returns the reporters of a source whose reports count, and the weight that they
// cover together, which exceeds that of the source if they know of entries that this one does not. For
// a Complete source only the reporter that covers the most counts.
func (s *sources) reportersOf(src Source, now time.Time) (names []string, covered int) {
	for name, r := range s.reporters {
		switch {
		case r.source != src.Name || !r.fresh(now):
		case !src.Complete:
			names = append(names, name)
			covered += r.coveredWeight
		case names == nil || r.coveredWeight > covered || r.coveredWeight == covered && name < names[0]:
			names, covered = []string{name}, r.coveredWeight
		}
	}
	return names, covered
}

// currentReporters returns the set of reporters whose reports count, over all sources.
func (s *sources) currentReporters(now time.Time) map[string]bool {
	out := make(map[string]bool, len(s.reporters))
	for _, src := range s.list {
		names, _ := s.reportersOf(src, now)
		for _, name := range names {
			out[name] = true
		}
	}
	return out
}

// coveredWeight returns the weight of the entries that are covered by the current reporters
// for which include returns true.
func (s *sources) coveredWeight(include func(reporter string) bool, now time.Time) int {
	n := 0
	for name := range s.currentReporters(now) {
		if include(name) {
			n += s.reporters[name].coveredWeight
		}
	}
	return n
}

// withheldPerUncovered is how much of its own part an entry without a registration that holds gives up,
// for each part of the others that do not report to it. One such entry alone would need to give up no
// more than the same part; several of them report to each other, and up to half of the fleet gives up
// all.
const withheldPerUncovered = 2

// shares returns the present shares. An entry whose registration does not hold uses its own part only
// as far as the others report to it: those from which it gets no reports may have divided that part
// among themselves.
func (s *sources) shares(now time.Time) shares {
	others, uncovered := 0, 0
	for _, src := range s.list {
		_, covered := s.reportersOf(src, now)
		others += max(src.Weight, covered)
		uncovered += max(0, src.Weight-covered)
	}
	total := float64(s.self.Weight + others)
	if total == 0 {
		return shares{self: 1}
	}
	out := shares{missing: float64(uncovered) / total, self: float64(s.self.Weight) / total}
	if others > 0 && !s.self.holdsPart(now) {
		out.withheld = out.self * min(1, withheldPerUncovered*float64(uncovered)/float64(others))
	}
	return out
}
