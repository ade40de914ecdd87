package quota

import "time"

// reportTimeout is the time without a report after which a reporter is considered unreachable.
// idleReportTimeout applies to a reporter with few requests, which reports every half second.
const (
	reportTimeout     = 400 * time.Millisecond
	idleReportTimeout = 1500 * time.Millisecond
)

// Source is a group of other entries whose usage is reported together: a failure domain, or
// all entries that this entry's hub reports on. One or several entries report for it.
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
	list []Source
	// selfWeight is the weight of this entry.
	selfWeight int
	reporters  map[string]*reporter
	// lastMissing is the missing share when the buckets were last aggregated.
	lastMissing float64
}

// set replaces the sources. It reports whether the buckets have to be aggregated again,
// because the sources have changed, have timed out or are reported on again.
func (s *sources) set(selfWeight int, list []Source, now time.Time) bool {
	changed := len(list) != len(s.list) || selfWeight != s.selfWeight
	previous := make(map[Source]bool, len(s.list))
	for _, src := range s.list {
		previous[src] = true
	}
	for _, src := range list {
		changed = changed || !previous[src]
	}
	s.list, s.selfWeight = list, selfWeight
	for name, r := range s.reporters {
		if !r.fresh(now) {
			delete(s.reporters, name)
			changed = true
		}
	}
	missing, _ := s.missingShare(now)
	if missing != s.lastMissing {
		s.lastMissing = missing
		changed = true
	}
	return changed
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
// cover together. For a Complete source only the reporter that covers the most counts.
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
	return names, min(covered, src.Weight)
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

// missingShare returns the share of the total weight that no reporter covers, and that of this
// entry.
func (s *sources) missingShare(now time.Time) (missing, self float64) {
	total, uncovered := s.selfWeight, 0
	for _, src := range s.list {
		_, covered := s.reportersOf(src, now)
		total += src.Weight
		uncovered += src.Weight - covered
	}
	if total == 0 {
		return 0, 1
	}
	return float64(uncovered) / float64(total), float64(s.selfWeight) / float64(total)
}
