package overload

import (
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
)

var t0 = time.Unix(1_800_000_000, 0)

// at returns the time some milliseconds after t0.
func at(ms int) time.Time { return t0.Add(time.Duration(ms) * time.Millisecond) }

// request returns a request that arrives at t0 and must be sent by a time for its objective.
func request(rank int) Request {
	return Request{Rank: rank, Arrived: t0, Deadline: at(3000), Objective: 500 * time.Millisecond, Work: 100 * time.Millisecond}
}

func TestOrder(t *testing.T) {
	props := gopter.NewProperties(nil)
	props.Property("by rank and time left, late requests last", prop.ForAll(func(latest []int, ranks []int, now int) bool {
		var q Queue[int]
		n := min(len(latest), len(ranks))
		for i := range n {
			q.Push(t0, request(ranks[i]), at(latest[i]), i)
		}
		order := slices.Collect(q.Order(at(now)))
		return len(order) == n && q.Len() == n && slices.IsSortedFunc(order, func(a, b *Waiter[int]) int {
			switch lateA, lateB := a.Latest.Before(at(now)), b.Latest.Before(at(now)); {
			case lateA != lateB && lateA:
				return 1
			case lateA != lateB:
				return -1
			case a.Rank != b.Rank:
				return a.Rank - b.Rank
			}
			return a.Latest.Compare(b.Latest)
		})
	}, gen.SliceOf(gen.IntRange(0, 1000)), gen.SliceOf(gen.IntRange(0, 4)), gen.IntRange(0, 1000)))
	props.Property("a request that leaves is no longer in the order", prop.ForAll(func(latest []int, leaves int) bool {
		var q Queue[int]
		var all []*Waiter[int]
		for i, ms := range latest {
			all = append(all, q.Push(t0, request(ms%3), at(ms), i))
		}
		if len(all) == 0 {
			return true
		}
		w := all[leaves%len(all)]
		q.Leave(t0, w, CallerLeft)
		q.Leave(t0, w, CallerLeft)
		return q.Len() == len(all)-1 && !slices.Contains(slices.Collect(q.Order(t0)), w)
	}, gen.SliceOf(gen.IntRange(0, 1000)), gen.IntRange(0, 100)))
	props.TestingRun(t)
}

// TestNoRankStarves sends one request after the other while all ranks ask for more than there is. Each must
// get its guaranteed part, and the most urgent all that is left.
func TestNoRankStarves(t *testing.T) {
	const sends = 1000
	props := gopter.NewProperties(nil)
	props.Property("guaranteed parts", prop.ForAll(func(asked []int) bool {
		var q Queue[int]
		all := 0
		for _, n := range asked {
			all += n
		}
		sent := make([]int, len(asked))
		for i := range sends {
			now := at(i * 5)
			for rank, n := range asked {
				for range n {
					q.Arrive(now, rank, 200)
				}
				if len(q.state(now, rank).waiters) == 0 {
					q.Push(now, request(rank), at(i*5+10_000), 0)
				}
			}
			for w := range q.Order(now) {
				q.Send(now, w)
				sent[w.Rank]++
				break
			}
		}
		for rank, n := range asked[1:] {
			least := guaranteedPart * float64(n) / float64(all) * sends
			if got := float64(sent[rank+1]); got < 0.95*least-maxOwed || got > least+maxOwed+1 {
				t.Logf("asked %v, sent %v", asked, sent)
				return false
			}
		}
		return true
	}, gen.SliceOfN(3, gen.IntRange(1, 10))))
	props.TestingRun(t)
}

// TestAdmit lets requests in while a queue of more urgent, equal and less urgent ones waits.
func TestAdmit(t *testing.T) {
	const perSecond = 20
	fill := func(waiting map[int]int) *Queue[int] {
		q := new(Queue[int])
		for rank, n := range waiting {
			for range n {
				q.Arrive(t0, rank, perSecond)
				q.Push(t0, request(rank), at(300), 0)
			}
		}
		return q
	}
	for _, tt := range []struct {
		name    string
		waiting map[int]int
		refused bool
	}{
		{"nothing waits", nil, false},
		{"only less urgent ones wait", map[int]int{2: 100}, false},
		{"few more urgent ones wait", map[int]int{0: 1}, false},
		{"many more urgent ones wait", map[int]int{0: 12}, true},
		{"many of the same rank wait", map[int]int{1: 12}, true},
	} {
		q := fill(tt.waiting)
		q.Arrive(t0, 1, perSecond)
		v := q.Admit(t0, request(1), at(300))
		if v.Refused != tt.refused {
			t.Errorf("%s: refused: %v", tt.name, v.Refused)
		}
		if v.Refused && (v.RetryAfter < 100*time.Millisecond || v.RetryAfter > maxRetryAfter) {
			t.Errorf("%s: retry after %v", tt.name, v.RetryAfter)
		}
	}
}

// TestExcess adds more urgent requests before waiting ones. Those that then come too late are given up,
// the latest of the least urgent rank first, and only as many as needed.
func TestExcess(t *testing.T) {
	var q Queue[int]
	for i := range 4 {
		q.Arrive(t0, 2, 20)
		q.Push(t0, request(2), at(300+i), i)
	}
	if got := q.Excess(t0); len(got) > 0 {
		t.Errorf("%d requests given up without need", len(got))
	}
	for i := range 8 {
		q.Arrive(t0, 0, 20)
		q.Push(t0, request(0), at(300), 10+i)
	}
	var given []int
	for _, w := range q.Excess(t0) {
		if w.Rank != 2 {
			t.Errorf("a request of rank %d is given up", w.Rank)
		}
		given = append(given, w.Value)
	}
	if len(given) == 0 || !slices.IsSorted(given) {
		t.Errorf("given up: %v", given)
	}
}

// TestReserved compares the places that ranks leave to others under light and heavy load.
func TestReserved(t *testing.T) {
	for _, tt := range []struct {
		name  string
		asked [3]int
		want  [3]float64
	}{
		{"light load", [3]int{4, 4, 4}, [3]float64{0, 0, 0}},
		{"surge of the least urgent", [3]int{4, 4, 200}, [3]float64{0, 0, 1}},
		{"surge of the most urgent", [3]int{200, 4, 4}, [3]float64{0, 0.5, 1}},
		{"one rank", [3]int{0, 0, 200}, [3]float64{0, 0, 0}},
	} {
		var q Queue[int]
		for rank, n := range tt.asked {
			for range n {
				q.Arrive(t0, rank, 20)
			}
		}
		for rank, want := range tt.want {
			if got := q.Reserved(t0, rank); got != want {
				t.Errorf("%s: rank %d leaves %.2f, want %.2f", tt.name, rank, got, want)
			}
		}
	}
}

// TestIdleRanksAreForgotten uses many ranks one after the other.
func TestIdleRanksAreForgotten(t *testing.T) {
	var q Queue[int]
	for i := range 1000 {
		q.Arrive(at(i*1000), i, 20)
	}
	if n := len(q.Status()); n > 30 {
		t.Errorf("%d ranks are remembered", n)
	}
}

func TestShortage(t *testing.T) {
	var q Queue[int]
	for range 20 {
		q.Arrive(t0, 1, 20)
		q.Push(t0, request(1), at(300), 0)
	}
	if short, changed := q.Shortage(t0); short || changed {
		t.Error("short of room before a request is refused")
	}
	if !q.Admit(t0, request(1), at(300)).Refused {
		t.Fatal("admitted")
	}
	if short, changed := q.Shortage(t0); !short || !changed {
		t.Error("not short of room after a refusal")
	}
	if short, changed := q.Shortage(at(10_000)); short || !changed {
		t.Error("still short of room ten seconds later")
	}
}
