package reach

import (
	"fmt"
	"testing"
	"time"
)

// event is one step of a scenario at a time after its start.
type event struct {
	at   time.Duration
	what string
	// upstream is the number of an upstream; its failure domain is upstream modulo 3.
	upstream int
}

const (
	answers = "answers"
	fails   = "fails"
	peer    = "peer answered"
)

func run(d *Detector, events []event) (isolated bool) {
	start := time.Unix(1000, 0)
	for _, e := range events {
		now := start.Add(e.at)
		u := Upstream{ID: fmt.Sprint("u", e.upstream), Domain: fmt.Sprint("d", e.upstream%3)}
		switch e.what {
		case answers:
			d.RecordAnswer(now, u, now.Add(-10*time.Millisecond))
		case fails:
			d.RecordFailure(now, u, now.Add(-time.Millisecond))
		case peer:
			d.RecordPeerAnswers(now, "p")
		}
		isolated, _ = d.Evaluate(now)
	}
	return isolated
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestIsolation(t *testing.T) {
	cut := []event{{0, answers, 0}, {ms(100), fails, 1}, {ms(200), fails, 2}, {ms(400), fails, 3}}
	with := func(events []event, more ...event) []event { return append(append([]event{}, events...), more...) }
	isolated := with(cut, event{ms(850), peer, 0})
	for name, c := range map[string]struct {
		known  Known
		events []event
		want   bool
	}{
		"failures everywhere while a peer is answered": {Known{18, 6}, isolated, true},
		"no peer is answered":                          {Known{18, 6}, cut, false},
		"a peer was answered before the failures only": {Known{18, 6}, with(cut, event{ms(500), peer, 0}), false},
		"an answer in between":                         {Known{18, 6}, []event{{ms(100), fails, 1}, {ms(200), fails, 2}, {ms(300), answers, 4}, {ms(400), fails, 3}, {ms(1200), peer, 0}}, false},
		"all at one moment":                            {Known{18, 6}, []event{{ms(100), fails, 1}, {ms(101), fails, 2}, {ms(102), fails, 3}, {ms(900), peer, 0}}, false},
		"one failure domain of several":                {Known{18, 6}, []event{{ms(100), fails, 1}, {ms(200), fails, 4}, {ms(400), fails, 7}, {ms(900), peer, 0}}, false},
		"the only failure domain":                      {Known{18, 1}, []event{{ms(100), fails, 1}, {ms(200), fails, 4}, {ms(400), fails, 7}, {ms(900), peer, 0}}, true},
		"one upstream again and again":                 {Known{18, 6}, []event{{ms(100), fails, 1}, {ms(300), fails, 1}, {ms(500), fails, 1}, {ms(900), peer, 0}}, false},
		"the only upstream":                            {Known{1, 1}, []event{{ms(100), fails, 1}, {ms(300), fails, 1}, {ms(900), peer, 0}}, false},
		"one upstream answers again":                   {Known{18, 6}, with(isolated, event{ms(900), answers, 1}), true},
		"two upstreams answer again":                   {Known{18, 6}, with(isolated, event{ms(900), answers, 1}, event{ms(950), answers, 2}), false},
		"answers with a failure in between":            {Known{18, 6}, with(isolated, event{ms(900), answers, 1}, event{ms(950), fails, 3}, event{ms(990), answers, 2}), true},
		"peers are answered no more":                   {Known{18, 6}, with(isolated, event{ms(2900), fails, 1}), false},
	} {
		d := NewDetector()
		d.SetKnown(c.known)
		if got := run(d, c.events); got != c.want {
			t.Errorf("%s: isolated %v, want %v", name, got, c.want)
		}
	}
}

// TestOlderAttemptsAreNoEvidence lets attempts fail that were sent before the last answer, as when
// all connections of an instance are reset at once.
func TestOlderAttemptsAreNoEvidence(t *testing.T) {
	d := NewDetector()
	now := time.Unix(1000, 0)
	d.RecordAnswer(now, Upstream{"u0", "d0"}, now.Add(-ms(100)))
	d.RecordFailure(now.Add(ms(10)), Upstream{"u1", "d1"}, now.Add(-ms(50)))
	if d.Failing() || d.Suspected(now.Add(ms(10))) {
		t.Error("an attempt from before the last answer counts as a failure since")
	}
}

func TestSuspicionEnds(t *testing.T) {
	d := NewDetector()
	now := time.Unix(1000, 0)
	d.RecordFailure(now, Upstream{"u1", "d1"}, now.Add(-ms(1)))
	if !d.Suspected(now) {
		t.Error("a failure without an answer is not suspected")
	}
	if d.Suspected(now.Add(maxSuspicion)) {
		t.Error("suspected without end")
	}
	if !d.Failing() {
		t.Error("the failure is forgotten")
	}
}

func TestAnsweredIsReportedForSelectedEntries(t *testing.T) {
	d := NewDetector()
	now := time.Unix(1000, 0)
	d.RecordPeerAnswers(now, "a")
	if d.Answered(now, true, func(p string) bool { return p == "b" }) {
		t.Error("the answers of a peer that is not selected are reported")
	}
	if !d.Answered(now, false, func(p string) bool { return p == "a" }) {
		t.Error("the answers of a selected peer are not reported")
	}
	d.RecordAnswer(now, Upstream{"u1", "d1"}, now.Add(-ms(1)))
	if !d.Answered(now, true, nil) || d.Answered(now, false, nil) || d.Answered(now.Add(AnswerWindow), true, nil) {
		t.Error("own answers are not reported as recent for AnswerWindow")
	}
}
