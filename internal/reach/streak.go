package reach

import "time"

// streak is a series of failures without an answer in between.
type streak struct {
	// minDuration is the shortest time for which the failures must continue to be evidence.
	minDuration time.Duration
	// failing holds the last failure of each upstream; first and last are the times of the first and
	// the last failure of any.
	failing     map[string]failure
	first, last time.Time
	// since is the time from which answers at peers show that the failures are this entry's own.
	since time.Time
	// endedAt is the time of the last answer.
	endedAt time.Time
}

// failure is the last failed attempt at an upstream of a failure domain.
type failure struct {
	domain string
	sent   time.Time
}

func newStreak(minDuration time.Duration) streak {
	return streak{minDuration: minDuration, failing: make(map[string]failure)}
}

// add adds a failed attempt. An attempt that began before the last answer is ignored: its
// connection may have broken before that answer.
func (s *streak) add(now time.Time, a Attempt) { s.addSince(now, now, a) }

// addSince adds an attempt that has failed since an earlier time.
func (s *streak) addSince(since, now time.Time, a Attempt) {
	if !a.Sent.After(s.endedAt) {
		return
	}
	if len(s.failing) == 0 {
		s.first, s.since = now, since
	}
	s.failing[a.Upstream.ID] = failure{a.Upstream.Domain, a.Sent}
	s.last = now
}

// end ends the streak with an answer.
func (s *streak) end(now time.Time) {
	s.endedAt = now
	clear(s.failing)
}

// lastsFor returns the time since the first failure; 0 without any.
func (s *streak) lastsFor(now time.Time) time.Duration {
	if len(s.failing) == 0 {
		return 0
	}
	return now.Sub(s.first)
}

// count returns the numbers of upstreams that failed attempts sent after a time, and of their
// failure domains.
func (s *streak) count(after time.Time) Known {
	domains := make(map[string]bool)
	n := 0
	for _, f := range s.failing {
		if f.sent.After(after) {
			n++
			domains[f.domain] = true
		}
	}
	return Known{Upstreams: n, Domains: len(domains)}
}

// everywhere reports whether the failures of attempts sent after a time show that no upstream can
// be reached.
func (s *streak) everywhere(known Known, after time.Time) bool {
	n := s.count(after)
	return n.Upstreams > 1 && n.Upstreams >= min(minUpstreams, known.Upstreams) &&
		n.Domains >= min(minDomains, known.Domains) && s.last.Sub(s.first) >= s.minDuration
}

// StreakStatus describes failures without an answer in between.
type StreakStatus struct {
	// Upstreams is the number of upstreams that failed, Domains that of their failure domains.
	Upstreams int `json:"upstreams"`
	Domains   int `json:"domains"`
	// Millis is the time since the first failure; 0 without any.
	Millis int64 `json:"ms"`
}

func (s *streak) status(now time.Time) StreakStatus {
	n := s.count(time.Time{})
	return StreakStatus{Upstreams: n.Upstreams, Domains: n.Domains, Millis: s.lastsFor(now).Milliseconds()}
}
