// Package verdict says whether a request may have run at an upstream.
//
// Every error path of the carrier and of the configuration log ends in one
// verdict. The zero value is MayHaveRun, so a path that forgets to decide errs
// on the cautious side.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Header carries the verdict on every answer that loomkeel itself makes.
const Header = "Loomkeel-Verdict"

// Verdict is what is known about the execution of a request.
type Verdict uint8

// The verdicts, from the least to the most that is known.
const (
	// MayHaveRun means that the request, or a part of it, may have been executed.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream executed any part of the request, nor will.
	NotRun
	// Ran means that an upstream answered.
	Ran
)

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the wire name.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return names[MayHaveRun]
}

// Parse reads a wire name.
func Parse(s string) (Verdict, error) {
	for v, n := range names {
		if n == s {
			return Verdict(v), nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict: %q is none of %v", s, names)
}

// Join returns the verdict of a request that had two attempts. It is NotRun
// only if both attempts are.
func Join(a, b Verdict) Verdict {
	if a == NotRun && b == NotRun {
		return NotRun
	}
	if a == Ran || b == Ran {
		return Ran
	}
	return MayHaveRun
}

// Error is a failure with its verdict.
type Error struct {
	Verdict Verdict
	// Reason is a short stable word for callers and counters.
	Reason string
	// RetryAfter is how long the caller should wait; zero means no advice.
	RetryAfter time.Duration
	// Err is the cause; it may be nil.
	Err error
}

// New returns an Error.
func New(v Verdict, reason string, err error) *Error {
	return &Error{Verdict: v, Reason: reason, Err: err}
}

// WithRetryAfter returns a copy of e that advises the caller to come back after d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Reason + " (" + e.Verdict.String() + ")"
	}
	return e.Reason + " (" + e.Verdict.String() + "): " + e.Err.Error()
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of err: that of the outermost Error in its chain, and
// MayHaveRun for any other error.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
