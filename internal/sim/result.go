package sim

import "time"

// Result is what callers got in a play.
type Result struct {
	site    *Scenario
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
	// Sent requests were sent; InTime of them were answered within their objective,
	// Late after it, Refused at last, and Failed without an answer.
	Sent, InTime, Late, Refused, Failed int
	// TotalValue is the worth of all, EarnedValue that of the answers.
	TotalValue, EarnedValue float64
}

// ValueRatio is the part of the worth that was earned.
func (t Tally) ValueRatio() float64 {
	if t.TotalValue == 0 {
		return 1
	}
	return t.EarnedValue / t.TotalValue
}

// Add returns the sum of two tallies.
func (t Tally) Add(o Tally) Tally {
	return Tally{
		t.Sent + o.Sent, t.InTime + o.InTime, t.Late + o.Late, t.Refused + o.Refused, t.Failed + o.Failed,
		t.TotalValue + o.TotalValue, t.EarnedValue + o.EarnedValue,
	}
}

func newResult(s *Scenario) *Result {
	return &Result{site: s, Classes: make([]Tally, len(s.Classes)), Windows: make([]Tally, 1+s.Duration/windowLength)}
}

// Total sums up all classes.
func (r *Result) Total() Tally {
	var sum Tally
	for _, t := range r.Classes {
		sum = sum.Add(t)
	}
	return sum
}

// count adds to the tallies of a request.
func (r *Result) count(class int, first time.Time, add Tally) {
	r.Classes[class] = r.Classes[class].Add(add)
	w := int(first.Sub(epoch) / windowLength)
	r.Windows[w] = r.Windows[w].Add(add)
}

func (r *Result) asked(class int, now time.Time) {
	r.count(class, now, Tally{Sent: 1, TotalValue: r.site.Classes[class].Value})
}

func (r *Result) served(q *Request, now time.Time) {
	c := r.site.Classes[q.Class]
	if now.Sub(q.first) <= c.Objective {
		r.count(q.Class, q.first, Tally{InTime: 1, EarnedValue: c.Value})
		return
	}
	r.count(q.Class, q.first, Tally{Late: 1, EarnedValue: c.LateValue * c.Value})
}

// refused counts a request that was refused at last. One that came back as it was told
// costs part of its worth: its caller waited for nothing.
func (r *Result) refused(q *Request) {
	t := Tally{Refused: 1}
	if q.again {
		t.EarnedValue = -vainReturn * r.site.Classes[q.Class].Value
	}
	r.count(q.Class, q.first, t)
}

func (r *Result) failed(q *Request) { r.count(q.Class, q.first, Tally{Failed: 1}) }
