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
	ID   string
	Told verdict.Verdict
	// Tries is how many entries the request was sent to; it goes on to the next
	// only after being told that it was not run.
	Tries int
	Last  Reply
	// Sent is when the first try began.
	Sent time.Time
}

// Load is a number of callers that send requests one after the other.
type Load struct {
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
func (l *Load) Start(ctx context.Context) {
	for c := range l.Callers {
		l.wg.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				l.add(l.one(c, fmt.Sprintf("%s-%d-%d", l.Name, c, i)))
				select {
				case <-ctx.Done():
				case <-time.After(l.Pause):
				}
			}
		})
	}
}

// Wait waits until the callers have ended, and returns what they were told.
func (l *Load) Wait() []Outcome {
	l.wg.Wait()
	return l.Outcomes()
}

// Outcomes returns what the callers were told so far.
func (l *Load) Outcomes() []Outcome {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]Outcome(nil), l.outcomes...)
}

func (l *Load) add(o Outcome) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes = append(l.outcomes, o)
}

// one sends a request to one entry after the other, as long as it is told that
// it was not run.
func (l *Load) one(caller int, id string) Outcome {
	o := Outcome{ID: id, Told: verdict.NotRun, Sent: time.Now()}
	for _, entry := range l.Entries(caller) {
		o.Tries++
		o.Last = Do(context.Background(), Request{
			Entry: entry, Method: l.Method, Path: l.Path, Service: l.Service, Repeat: l.Repeat, ID: id, Body: l.Body,
		})
		if o.Told = o.Last.Told(); o.Told != verdict.NotRun {
			break
		}
	}
	return o
}

// Count returns how many outcomes have each verdict.
func Count(outcomes []Outcome) map[verdict.Verdict]int {
	n := make(map[verdict.Verdict]int)
	for _, o := range outcomes {
		n[o.Told]++
	}
	return n
}

// Judge compares what callers were told with how often each request ran at the
// upstreams, and returns every contradiction. Unsafe requests must run at most
// once.
func Judge(outcomes []Outcome, runs map[string]int, unsafe bool) []string {
	var faults []string
	for _, o := range outcomes {
		n := runs[o.ID]
		switch {
		case o.Told == verdict.NotRun && n > 0:
			faults = append(faults, fmt.Sprintf("%s was told not run, ran %d times", o.ID, n))
		case o.Told == verdict.Ran && n == 0:
			faults = append(faults, fmt.Sprintf("%s was answered, but never ran", o.ID))
		case unsafe && n > 1:
			faults = append(faults, fmt.Sprintf("unsafe %s ran %d times", o.ID, n))
		}
		if o.Told == verdict.Ran && o.Last.Status == 200 && !strings.Contains(o.Last.Body, "for "+o.ID+"\n") {
			faults = append(faults, fmt.Sprintf("%s got an answer that is not its own: %.60q", o.ID, o.Last.Body))
		}
	}
	return faults
}
