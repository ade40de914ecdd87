package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Outcome is the result of one request as its caller sees it.
type Outcome struct {
	ID      string
	Verdict verdict.Verdict
	// Attempts is the number of entries that the request was sent to. It is sent to
	// another entry only after the verdict "not run".
	Attempts  int
	LastReply Reply
	// SentAt is the start of the first attempt.
	SentAt time.Time
}

// LoadGenerator runs callers, each of which sends its requests one after the other. Set
// the exported fields before Start.
type LoadGenerator struct {
	// Name is the prefix of the request IDs.
	Name    string
	Service string
	Method  string
	// Repeat is the value of the header Loomkeel-Repeat; empty sends none.
	Repeat string
	Path   string
	Body   string
	// Entries returns the addresses of the entries to try for a caller, in order.
	Entries func(caller int) []string
	Callers int
	// Pause is the time from the end of a caller's request to its next one.
	Pause time.Duration

	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []Outcome
}

// Start starts the callers, which send requests until ctx ends.
func (l *LoadGenerator) Start(ctx context.Context) {
	for c := range l.Callers {
		l.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.add(l.sendRequest(c, fmt.Sprintf("%s-%d-%d", l.Name, c, i)))
				select {
				case <-ctx.Done():
				case <-time.After(l.Pause):
				}
			}
		})
	}
}

// Wait waits until all callers have ended and returns the outcomes of their requests.
func (l *LoadGenerator) Wait() []Outcome {
	l.wg.Wait()
	return l.Outcomes()
}

// Outcomes returns a copy of the outcomes so far.
func (l *LoadGenerator) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome(nil), l.outcomes...)
}

func (l *LoadGenerator) add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// sendRequest sends a request to one entry after the other until one of them gives a verdict
// other than "not run".
func (l *LoadGenerator) sendRequest(caller int, id string) Outcome {
	o := Outcome{ID: id, Verdict: verdict.NotRun, SentAt: time.Now()}
	for _, entry := range l.Entries(caller) {
		o.Attempts++
		o.LastReply = Do(context.Background(), Request{
			Entry: entry, Method: l.Method, Path: l.Path, Service: l.Service, Repeat: l.Repeat, ID: id, Body: l.Body,
		})
		if o.Verdict = o.LastReply.CallerVerdict(); o.Verdict != verdict.NotRun {
			break
		}
	}
	return o
}

// CountVerdicts returns the number of outcomes of each verdict.
func CountVerdicts(outcomes []Outcome) map[verdict.Verdict]int {
	n := make(map[verdict.Verdict]int)
	for _, o := range outcomes {
		n[o.Verdict]++
	}
	return n
}

// CheckOutcomes compares the callers' verdicts with runs, which holds by request ID how
// often the upstreams ran a request. It returns a description of every contradiction:
// a request "not run" that ran, one "ran" that did not, an answer to another request,
// and, with unsafe, a request that ran more than once.
func CheckOutcomes(outcomes []Outcome, runs map[string]int, unsafe bool) []string {
	var faults []string
	for _, o := range outcomes {
		n := runs[o.ID]
		switch {
		case o.Verdict == verdict.NotRun && n > 0:
			faults = append(faults, fmt.Sprintf("%s: the verdict is not run, but it ran %d times", o.ID, n))
		case o.Verdict == verdict.Ran && n == 0:
			faults = append(faults, fmt.Sprintf("%s: the verdict is ran, but it never ran", o.ID))
		case unsafe && n > 1:
			faults = append(faults, fmt.Sprintf("%s is unsafe, but ran %d times", o.ID, n))
		}
		if o.Verdict == verdict.Ran && o.LastReply.Status == 200 && !strings.Contains(o.LastReply.Body, "for "+o.ID+"\n") {
			faults = append(faults, fmt.Sprintf("%s got the answer to another request: %.60q", o.ID, o.LastReply.Body))
		}
	}
	return faults
}
