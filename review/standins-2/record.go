package main

import (
	"bufio"
	"fmt"
	"os"
	"slices"
	"sync"
	"time"
)

// line is one line of a record.
type line struct {
	at   time.Time
	text string
}

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []line
}

func newRecord() *record { return &record{began: time.Now()} }

func (r *record) addf(format string, args ...any) { r.addAt(time.Now(), fmt.Sprintf(format, args...)) }

func (r *record) addAt(at time.Time, text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{at, text})
}

// write writes the lines in the order of their times, which are seconds from the start.
func (r *record) write(path string) error {
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	w := bufio.NewWriter(f)
	r.mu.Lock()
	defer r.mu.Unlock()
	slices.SortStableFunc(r.lines, func(a, b line) int { return a.at.Compare(b.at) })
	for _, l := range r.lines {
		fmt.Fprintf(w, "%8.3f %s\n", l.at.Sub(r.began).Seconds(), l.text)
	}
	return w.Flush()
}
