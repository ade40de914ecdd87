package balance

import (
	"testing"
	"time"
)

func TestLongest(t *testing.T) {
	for _, tt := range []struct {
		name    string
		samples []time.Duration
		want    time.Duration
	}{
		{"none", nil, 0},
		{"one", []time.Duration{time.Second}, 2 * time.Second},
		{"four", []time.Duration{time.Second, 4 * time.Second, 2 * time.Second, time.Second}, 5 * time.Second},
	} {
		var w workTimes
		for _, s := range tt.samples {
			w.add(s)
		}
		if got := w.longest(); got != tt.want {
			t.Errorf("%s: %v, want %v", tt.name, got, tt.want)
		}
	}
}

func TestLongestWait(t *testing.T) {
	const mean = time.Second
	for _, tt := range []struct {
		turns, slots float64
		least, most  time.Duration
	}{
		{0, 10, 0, 0},
		{1, 1, mean, mean},
		{0.5, 2, mean / 2, mean},
		{0.1, 10, mean / 10, mean / 3},
		{0.5, 10, mean / 2, mean},
		{2, 10, 2 * mean, 2 * mean},
		{1.1, 10, mean + mean/10, mean + mean/3},
	} {
		if got := longestWait(tt.turns, tt.slots, mean); got < tt.least || got > tt.most {
			t.Errorf("%v turns, %v slots: %v, want %v to %v", tt.turns, tt.slots, got, tt.least, tt.most)
		}
	}
}

// TestLongestAnswerAllowsForTheTail checks that the few long runs count, not the mean.
func TestLongestAnswerAllowsForTheTail(t *testing.T) {
	s, entries := twoRegionService(2, 8)
	lb := balancerAt(s, entries, entries[0])
	now := t0.Add(time.Second)
	if got := lb.LongestAnswer(now, pickObject(t, lb, now, 1)); got != 0 {
		t.Errorf("%v without a run", got)
	}
	learnWork(t, lb, 1, 40, 10)
	if got := lb.LongestAnswer(now, pickObject(t, lb, now, 1)); got < tailWork || got > tailWork+usualWork {
		t.Errorf("%v, want a little more than %v", got, tailWork)
	}
}

// TestLongestAnswerOfASilentUpstream checks that an upstream which has turned slow is not expected to answer
// in the usual time.
func TestLongestAnswerOfASilentUpstream(t *testing.T) {
	s, entries := twoRegionService(2, 8)
	lb := balancerAt(s, entries, entries[0])
	learnWork(t, lb, 1, 40, 0)
	now := t0.Add(time.Second)
	first := pickObject(t, lb, now, 1)
	const silence = 3 * time.Second
	second := first
	second.SendAt = now.Add(silence)
	first.state.inFlight++
	if got := lb.LongestAnswer(now.Add(silence), second); got < silence {
		t.Errorf("%v after %v without an answer", got, silence)
	}
}
