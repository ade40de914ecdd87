package fleet

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/loomkeel/loomkeel/internal/verdict"
)

// Outcome is what a caller knows of one of its requests in the end.
type Outcome struct {
	ID      string
	Verdict verdict.Verdict
	// Attempts is how many entries the request was sent to; it goes on to the next
	// only after being told that it was not run.
	Attempts  int
	LastReply Reply
	// SentAt is when the first try began.
	SentAt time.Time
}

// LoadGenerator is a number of callers that send requests one after the other.
type LoadGenerator struct {
	Name    string
	Service string
	Method  string
	// Repeat is the mark of the requests.
	Repeat string
	Path   string
	Body   string
	// Entries returns the entries to try for a caller, in order.
	Entries func(caller int) []string
	Callers int
	// Pause is the time between a caller's requests.
	Pause time.Duration

	wg       sync.WaitGroup
	mu       sync.Mutex
	outcomes []Outcome
}

// Start lets the callers work until ctx ends.
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

// Wait waits until the callers have ended, and returns what they were told.
func (l *LoadGenerator) Wait() []Outcome {
	l.wg.Wait()
	return l.Outcomes()
}

// Outcomes returns what the callers were told so far.
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

// CountVerdicts returns how many outcomes have each verdict.
func CountVerdicts(outcomes []Outcome) map[verdict.Verdict]int {
	n := make(map[verdict.Verdict]int)
	for _, o := range outcomes {
		n[o.Verdict]++
	}
	return n
}

// CheckOutcomes compares what callers were told with how often each request ran at the
// upstreams, and returns every contradiction. Unsafe requests must run at most
// once.
func CheckOutcomes(outcomes []Outcome, runs map[string]int, unsafe bool) []string {
	var faults []string
	for _, o := range outcomes {
		n := runs[o.ID]
		switch {
		case o.Verdict == verdict.NotRun && n > 0:
			faults = append(faults, fmt.Sprintf("%s was told not run, ran %d times", o.ID, n))
		case o.Verdict == verdict.Ran && n == 0:
			faults = append(faults, fmt.Sprintf("%s was answered, but never ran", o.ID))
		case unsafe && n > 1:
			faults = append(faults, fmt.Sprintf("unsafe %s ran %d times", o.ID, n))
		}
		if o.Verdict == verdict.Ran && o.LastReply.Status == 200 && !strings.Contains(o.LastReply.Body, "for "+o.ID+"\n") {
			faults = append(faults, fmt.Sprintf("%s got an answer that is not its own: %.60q", o.ID, o.LastReply.Body))
		}
	}
	return faults
}
