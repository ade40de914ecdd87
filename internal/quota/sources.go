package quota

import "time"

// silentAfter is after what time without a report a source counts as one that is not heard.
const silentAfter = 500 * time.Millisecond

// Source is who tells of the use of limits: an entry, or the hub of a failure domain for
// all of its entries, or the own hub for all others.
type Source struct {
	Name string
	// Carriers is how many entries that carry requests it ought to speak for.
	Carriers int
}

// source is what is known of a Source.
type source struct {
	carriers int
	// covered is how many of these it last spoke for, at when.
	covered int
	at      time.Time
	// counted is what known was when the buckets were settled last.
	counted int
}

// known is how many carriers the source speaks for now, fewer than 0 if it is silent.
func (s *source) known(now time.Time) int {
	if !s.fresh(now) {
		return -1
	}
	return min(s.covered, s.carriers)
}

func (s *source) fresh(now time.Time) bool { return now.Sub(s.at) < silentAfter }

// sources are those that are expected to tell.
type sources struct {
	byName map[string]*source
}

// expect replaces the sources. One that stays is known as before. It reports whether there
// is a change since it was last called: sources that are others or speak for more or
// fewer, or that have fallen silent or are heard again.
func (s *sources) expect(list []Source, now time.Time) (changed bool) {
	changed = len(list) != len(s.byName)
	next := make(map[string]*source, len(list))
	for _, e := range list {
		src := s.byName[e.Name]
		if src == nil {
			src = &source{}
			changed = true
		}
		if known := src.known(now); src.carriers != e.Carriers || src.counted != known {
			src.carriers, src.counted = e.Carriers, known
			changed = true
		}
		next[e.Name] = src
	}
	s.byName = next
	return changed
}

// heard records that a source speaks for a number of carriers. It reports whether it is
// expected.
func (s *sources) heard(name string, covered int, now time.Time) bool {
	src := s.byName[name]
	if src == nil {
		return false
	}
	src.covered, src.at = covered, now
	return true
}

// covered is how many carriers the named sources speak for.
func (s *sources) covered(from func(source string) bool, now time.Time) int {
	n := 0
	for name, src := range s.byName {
		if src.fresh(now) && from(name) {
			n += min(src.covered, src.carriers)
		}
	}
	return n
}

// missing is the share of the carriers that no source speaks for, self the share of the
// own entry, which counts as one of them.
func (s *sources) missing(now time.Time) (missing, self float64) {
	all, silent := 1, 0
	for _, src := range s.byName {
		all += src.carriers
		silent += src.carriers
		if src.fresh(now) {
			silent -= min(src.covered, src.carriers)
		}
	}
	return float64(silent) / float64(all), 1 / float64(all)
}
