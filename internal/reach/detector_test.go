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
	// reused is set if an open connection was used.
	reused bool
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
			d.RecordAnswer(now, Attempt{u, now.Add(-10 * time.Millisecond), !e.reused})
		case fails:
			d.RecordFailure(now, Attempt{u, now.Add(-time.Millisecond), !e.reused})
		case peer:
			d.RecordPeerAnswers(now, "p")
		}
		isolated, _ = d.Evaluate(now)
	}
	return isolated
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }

func TestIsolation(t *testing.T) {
	cut := []event{{0, peer, 0, false}, {0, answers, 0, false}, {ms(100), fails, 1, false}, {ms(200), fails, 2, false}, {ms(400), fails, 3, false}}
	with := func(events []event, more ...event) []event { return append(append([]event{}, events...), more...) }
	isolated := with(cut, event{ms(850), peer, 0, false})
	for name, c := range map[string]struct {
		known  Known
		events []event
		want   bool
	}{
		"failures everywhere while a peer is answered": {Known{18, 6}, isolated, true},
		"no peer is answered":                          {Known{18, 6}, cut, false},
		"a peer was answered before the failures only": {Known{18, 6}, with(cut, event{ms(500), peer, 0, false}), false},
		"an answer in between":                         {Known{18, 6}, []event{{0, peer, 0, false}, {ms(100), fails, 1, false}, {ms(200), fails, 2, false}, {ms(300), answers, 4, false}, {ms(400), fails, 3, false}, {ms(1200), peer, 0, false}}, false},
		"all at one moment":                            {Known{18, 6}, []event{{0, peer, 0, false}, {ms(100), fails, 1, false}, {ms(101), fails, 2, false}, {ms(102), fails, 3, false}, {ms(900), peer, 0, false}}, false},
		"one failure domain of several":                {Known{18, 6}, []event{{0, peer, 0, false}, {ms(100), fails, 1, false}, {ms(200), fails, 4, false}, {ms(400), fails, 7, false}, {ms(900), peer, 0, false}}, false},
		"the only failure domain":                      {Known{18, 1}, []event{{0, peer, 0, false}, {ms(100), fails, 1, false}, {ms(200), fails, 4, false}, {ms(400), fails, 7, false}, {ms(900), peer, 0, false}}, true},
		"one upstream again and again":                 {Known{18, 6}, []event{{0, peer, 0, false}, {ms(100), fails, 1, false}, {ms(300), fails, 1, false}, {ms(500), fails, 1, false}, {ms(900), peer, 0, false}}, false},
		"the only upstream":                            {Known{1, 1}, []event{{0, peer, 0, false}, {ms(100), fails, 1, false}, {ms(300), fails, 1, false}, {ms(900), peer, 0, false}}, false},
		"open connections live on":                     {Known{18, 6}, []event{{0, peer, 0, false}, {ms(100), fails, 1, false}, {ms(200), fails, 2, false}, {ms(250), answers, 4, true}, {ms(700), fails, 3, false}, {ms(750), answers, 4, true}, {ms(900), peer, 0, false}}, true},
		"open connections break, new ones work":        {Known{18, 6}, []event{{0, peer, 0, false}, {ms(100), fails, 1, true}, {ms(200), fails, 2, true}, {ms(250), answers, 4, false}, {ms(700), fails, 3, true}, {ms(900), peer, 0, false}}, false},
		"peers are answered again after an outage":     {Known{18, 6}, []event{{ms(100), fails, 1, false}, {ms(200), fails, 2, false}, {ms(700), fails, 3, false}, {ms(5000), peer, 0, false}}, false},
		"one upstream answers again":                   {Known{18, 6}, with(isolated, event{ms(900), answers, 1, false}), true},
		"two upstreams answer again":                   {Known{18, 6}, with(isolated, event{ms(900), answers, 1, false}, event{ms(950), answers, 2, false}), false},
		"answers with a failure in between":            {Known{18, 6}, with(isolated, event{ms(900), answers, 1, false}, event{ms(950), fails, 3, false}, event{ms(990), answers, 2, false}), true},
		"peers are answered no more":                   {Known{18, 6}, with(isolated, event{ms(2900), fails, 1, false}), false},
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
	d.RecordAnswer(now, Attempt{Upstream{"u0", "d0"}, now.Add(-ms(100)), true})
	d.RecordFailure(now.Add(ms(10)), Attempt{Upstream{"u1", "d1"}, now.Add(-ms(50)), true})
	if d.Failing() || d.Suspected(now.Add(ms(10))) {
		t.Error("an attempt from before the last answer counts as a failure since")
	}
}

func TestSuspicionEnds(t *testing.T) {
	d := NewDetector()
	now := time.Unix(1000, 0)
	d.RecordFailure(now, Attempt{Upstream{"u1", "d1"}, now.Add(-ms(1)), true})
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
	d.RecordAnswer(now, Attempt{Upstream{"u1", "d1"}, now.Add(-ms(1)), true})
	if !d.Answered(now, true, nil) || d.Answered(now, false, nil) || d.Answered(now.Add(AnswerWindow), true, nil) {
		t.Error("own answers are not reported as recent for AnswerWindow")
	}
}

// TestSilenceStartsHealthChecks has attempts wait, end without an answer, and be answered.
func TestSilenceStartsHealthChecks(t *testing.T) {
	d := NewDetector()
	now := time.Unix(1000, 0)
	answer := Attempt{Upstream{"u1", "d1"}, now, false}
	d.BeginAttempt(now)
	d.BeginAttempt(now.Add(ms(500)))
	if d.Unanswered(now.Add(maxQuiet - 1)) {
		t.Error("unanswered before maxQuiet")
	}
	if !d.Unanswered(now.Add(maxQuiet)) {
		t.Error("not unanswered after maxQuiet")
	}
	d.RecordAnswer(now.Add(maxQuiet), answer)
	d.EndAttempt(false)
	if d.Unanswered(now.Add(2*maxQuiet - 1)) {
		t.Error("an answer to one attempt does not restart the wait for the others")
	}
	d.EndAttempt(true)
	if !d.Unanswered(now.Add(2 * maxQuiet)) {
		t.Error("an attempt that was given up counts as answered")
	}
	d.RecordAnswer(now.Add(2*maxQuiet), answer)
	if d.Unanswered(now.Add(9 * maxQuiet)) {
		t.Error("unanswered without attempts after a health check was answered")
	}
}

// TestSilentHealthChecksShowIsolation has health checks of several upstreams time out while peers are
// answered: evidence only without an answer on any connection in between.
func TestSilentHealthChecksShowIsolation(t *testing.T) {
	for _, answered := range []bool{false, true} {
		d := NewDetector()
		d.SetKnown(Known{18, 6})
		now := time.Unix(1000, 0)
		for i, at := range []int{700, 700, 1000} {
			sent := now.Add(ms(at - 700))
			d.RecordSilence(now.Add(ms(at)), Attempt{Upstream{fmt.Sprint("u", i), fmt.Sprint("d", i)}, sent.Add(1), true})
			if answered && i == 1 {
				d.RecordAnswer(now.Add(ms(800)), Attempt{Upstream{"u9", "d9"}, now, false})
			}
		}
		for _, at := range []int{-100, 400, 900} {
			d.RecordPeerAnswers(now.Add(ms(at)), "p")
		}
		if isolated, _ := d.Evaluate(now.Add(ms(1000))); isolated == answered {
			t.Errorf("an answer in between: %v, isolated: %v", answered, isolated)
		}
	}
}

// TestUnsentAttemptsDoNotEndWait lets an attempt end without having been sent after another was given
// up: the wait for an answer goes on. Without one that was given up it ends.
func TestUnsentAttemptsDoNotEndWait(t *testing.T) {
	for _, givenUp := range []bool{true, false} {
		d := NewDetector()
		now := time.Unix(1000, 0)
		for _, unanswered := range []bool{givenUp, false, false} {
			d.BeginAttempt(now)
			d.EndAttempt(unanswered)
		}
		if got := d.Unanswered(now.Add(maxQuiet)); got != givenUp {
			t.Errorf("given up %v: unanswered %v", givenUp, got)
		}
		d.RecordAnswer(now.Add(maxQuiet), Attempt{Upstream{"u0", "d0"}, now, true})
		if d.Unanswered(now.Add(9 * maxQuiet)) {
			t.Error("unanswered after an answer")
		}
	}
}
