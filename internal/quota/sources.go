package quota

import "time"

// silentAfter is after what time without a report a source is taken to go on with what it
// used on the average, until it is not expected any more.
const silentAfter = 800 * time.Millisecond

// Source is who tells of the use of limits: an entry, or the hub of a failure domain for
// all of its entries, or the own hub for all others.
type Source struct {
	Name string
	// Weight is the share of the limits that is set aside for the source until it tells.
	Weight float64
}

// source is what is known of a Source.
type source struct {
	weight float64
	// at is when it told last; zero if never.
	at time.Time
}

func (s *source) silent(now time.Time) bool { return now.Sub(s.at) >= silentAfter }

// sources are those that are expected to tell. The Limiter's lock guards them.
type sources struct {
	byName map[string]*source
	// unknown is the weight of those that have told nothing yet, self that of the own entry.
	unknown, self float64
}

// expect replaces the sources. One that stays is known as before.
func (s *sources) expect(list []Source) {
	next := make(map[string]*source, len(list))
	s.unknown, s.self = 0, 1
	for _, e := range list {
		src := s.byName[e.Name]
		if src == nil {
			src = &source{}
		}
		src.weight = e.Weight
		s.self -= e.Weight
		next[e.Name] = src
		if src.at.IsZero() {
			s.unknown += e.Weight
		}
	}
	s.byName = next
	s.unknown, s.self = min(1, s.unknown), max(0, s.self)
}

// heard records that a source tells. It reports whether it is expected.
func (s *sources) heard(name string, now time.Time) bool {
	src := s.byName[name]
	if src == nil {
		return false
	}
	if src.at.IsZero() {
		s.unknown = max(0, s.unknown-src.weight)
	}
	src.at = now
	return true
}
