package overload

import (
	"maps"
	"time"
)

const (
	// minMinority is the part of the requests from which those of other urgency than most need an order.
	// Below it, letting them past changes little, and waiting in order costs all of them time.
	minMinority = 0.1
	// minArrivals is the number of recent requests from which the parts are known. Before, requests are
	// taken to differ, as their configuration allows.
	minArrivals = 10
	// maxUrgencies bounds the urgencies that a Mix tells apart. Further ones are not counted.
	maxUrgencies = 64
)

// urgency is what the order of two requests depends on.
type urgency struct {
	rank      int
	objective time.Duration
}

// Mix measures whether requests of different urgency arrive. The zero value is empty. A Mix is not safe
// for concurrent use.
type Mix struct {
	arrivals map[urgency]*decayed
}

// Arrive counts a request.
func (m *Mix) Arrive(now time.Time, r Request) {
	u := urgency{r.Rank, r.Objective}
	d := m.arrivals[u]
	if d == nil {
		if len(m.arrivals) >= maxUrgencies {
			maps.DeleteFunc(m.arrivals, func(_ urgency, d *decayed) bool { return d.value(now) < minActive })
		}
		if len(m.arrivals) >= maxUrgencies {
			return
		}
		if m.arrivals == nil {
			m.arrivals = make(map[urgency]*decayed)
		}
		d = new(decayed)
		m.arrivals[u] = d
	}
	d.add(now, 1)
}

// Contended reports whether a notable part of the recent requests differs in urgency from the most
// frequent ones, or too few are known to tell.
func (m *Mix) Contended(now time.Time) bool {
	all, most := 0.0, 0.0
	for _, d := range m.arrivals {
		n := d.value(now)
		all += n
		most = max(most, n)
	}
	return all < minArrivals || all-most >= minMinority*all
}
