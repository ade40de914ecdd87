package sim

import "time"

// Result holds the results of all requests of a simulation.
type Result struct {
	scenario *Scenario
	// Classes are the tallies by class of request.
	Classes []Tally
	// Windows are the tallies by when the requests were first sent, one per windowLength.
	Windows []Tally
}

// refusedRetryCost is the part of its value that a request costs if its retry is refused as
// well.
const refusedRetryCost = 0.3

// windowLength is the length of a window of a Result.
const windowLength = 2 * time.Second

// Tally counts requests by how they ended. A request and its retry count as one.
type Tally struct {
	// Of the Sent requests, InTime were answered within their objective and Late after
	// it. Refused were refused in the end, and Failed got no answer.
	Sent, InTime, Late, Refused, Failed int
	// TotalValue is the sum of the values of all requests, EarnedValue that of the answers
	// less the costs of refused retries.
	TotalValue, EarnedValue float64
}

// ValueRatio returns the earned part of the total value, or 1 without any value.
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

// newResult returns a Result without requests.
func newResult(s *Scenario) *Result {
	return &Result{scenario: s, Classes: make([]Tally, len(s.Classes)), Windows: make([]Tally, 1+s.Duration/windowLength)}
}

// Total returns the sum of the tallies of all classes.
func (r *Result) Total() Tally {
	var sum Tally
	for _, t := range r.Classes {
		sum = sum.Add(t)
	}
	return sum
}

// count adds to the tallies of a class and of the window of firstSent.
func (r *Result) count(class int, firstSent time.Time, add Tally) {
	r.Classes[class] = r.Classes[class].Add(add)
	w := int(firstSent.Sub(epoch) / windowLength)
	r.Windows[w] = r.Windows[w].Add(add)
}

// recordSent counts a new request.
func (r *Result) recordSent(class int, now time.Time) {
	r.count(class, now, Tally{Sent: 1, TotalValue: r.scenario.Classes[class].Value})
}

// recordAnswered counts a request whose answer reached the caller now.
func (r *Result) recordAnswered(q *Request, now time.Time) {
	c := r.scenario.Classes[q.Class]
	if now.Sub(q.firstSent) <= c.Objective {
		r.count(q.Class, q.firstSent, Tally{InTime: 1, EarnedValue: c.Value})
		return
	}
	r.count(q.Class, q.firstSent, Tally{Late: 1, EarnedValue: c.LateValue * c.Value})
}

// recordRefused counts a request that was refused in the end. A refused retry costs
// refusedRetryCost of the value, because the caller waited without getting an answer.
func (r *Result) recordRefused(q *Request) {
	t := Tally{Refused: 1}
	if q.isRetry {
		t.EarnedValue = -refusedRetryCost * r.scenario.Classes[q.Class].Value
	}
	r.count(q.Class, q.firstSent, t)
}

// recordFailed counts a request that got no answer.
func (r *Result) recordFailed(q *Request) { r.count(q.Class, q.firstSent, Tally{Failed: 1}) }
