package sim

import "time"

// Result is what callers got in a play.
type Result struct {
	site    *Site
	Classes []Tally
	// Windows are the tallies of the requests by when they were first sent.
	Windows []Tally
}

// vainReturn is the part of its worth that a request costs which is refused again.
const vainReturn = 0.3

// windowLength is the length of a window of a Result.
const windowLength = 2 * time.Second

// Tally counts requests by how they ended, each once however often it was tried.
type Tally struct {
	// Asked requests were sent; InTime of them were answered within their objective,
	// Late after it, Refused at last, and Failed without an answer.
	Asked, InTime, Late, Refused, Failed int
	// Owed is the worth of all, Earned that of the answers.
	Owed, Earned float64
}

// Worth is the part of the worth that was earned.
func (t Tally) Worth() float64 {
	if t.Owed == 0 {
		return 1
	}
	return t.Earned / t.Owed
}

// Plus returns the sum of two tallies.
func (t Tally) Plus(o Tally) Tally {
	return Tally{
		t.Asked + o.Asked, t.InTime + o.InTime, t.Late + o.Late, t.Refused + o.Refused, t.Failed + o.Failed,
		t.Owed + o.Owed, t.Earned + o.Earned,
	}
}

func newResult(s *Site) *Result {
	return &Result{site: s, Classes: make([]Tally, len(s.Classes)), Windows: make([]Tally, 1+s.Length/windowLength)}
}

// Total sums up all classes.
func (r *Result) Total() Tally {
	var sum Tally
	for _, t := range r.Classes {
		sum = sum.Plus(t)
	}
	return sum
}

// count adds to the tallies of a request.
func (r *Result) count(class int, first time.Time, add Tally) {
	r.Classes[class] = r.Classes[class].Plus(add)
	w := int(first.Sub(epoch) / windowLength)
	r.Windows[w] = r.Windows[w].Plus(add)
}

func (r *Result) asked(class int, now time.Time) {
	r.count(class, now, Tally{Asked: 1, Owed: r.site.Classes[class].Worth})
}

func (r *Result) served(q *Request, now time.Time) {
	c := r.site.Classes[q.Class]
	if now.Sub(q.first) <= c.Objective {
		r.count(q.Class, q.first, Tally{InTime: 1, Earned: c.Worth})
		return
	}
	r.count(q.Class, q.first, Tally{Late: 1, Earned: c.Late * c.Worth})
}

// refused counts a request that was refused at last. One that came back as it was told
// costs part of its worth: its caller waited for nothing.
func (r *Result) refused(q *Request) {
	t := Tally{Refused: 1}
	if q.again {
		t.Earned = -vainReturn * r.site.Classes[q.Class].Worth
	}
	r.count(q.Class, q.first, t)
}

func (r *Result) failed(q *Request) { r.count(q.Class, q.first, Tally{Failed: 1}) }
