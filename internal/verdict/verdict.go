// Package verdict defines what is known about whether an upstream has run a request.
//
// Every error of the proxy (package forward) and of the configuration log carries a verdict.
// The zero value is MayHaveRun, so code that sets no verdict gives the cautious one.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Header is the HTTP header in which the native protocol (package forward) reports the verdict
// of a response that loomkeel generated itself.
const Header = "Loomkeel-Verdict"

// Verdict states whether an upstream has run a request.
type Verdict uint8

// The verdicts, from the least to the most certain knowledge of a run.
const (
	// MayHaveRun means that an upstream may have run the request or a part of it.
	MayHaveRun Verdict = iota
	// NotRun means that no upstream has run any part of the request or will run it.
	NotRun
	// Ran means that an upstream responded to the request.
	Ran
)

var names = [...]string{MayHaveRun: "may-have-run", NotRun: "not-run", Ran: "ran"}

// String returns the verdict as it is written in HTTP headers. An invalid Verdict is written as
// MayHaveRun.
func (v Verdict) String() string {
	if int(v) < len(names) {
		return names[v]
	}
	return names[MayHaveRun]
}

// Parse returns the verdict for a string that String returned. For any other string it returns
// MayHaveRun and an error.
func Parse(s string) (Verdict, error) {
	for v, n := range names {
		if n == s {
			return Verdict(v), nil
		}
	}
	return MayHaveRun, fmt.Errorf("verdict: parsing %q: not one of %v", s, names)
}

// Join returns the verdict of a request that had two attempts: NotRun if both attempts have
// NotRun, else Ran if one of them has Ran, else MayHaveRun.
func Join(a, b Verdict) Verdict {
	if a == NotRun && b == NotRun {
		return NotRun
	}
	if a == Ran || b == Ran {
		return Ran
	}
	return MayHaveRun
}

// Error is a failed request or change, with its verdict.
type Error struct {
	// Verdict is the verdict of the request or change.
	Verdict Verdict
	// Reason is a short, stable identifier of the failure for callers and metrics.
	Reason string
	// RetryAfter is how long the caller should wait before a retry; 0 means no advice.
	RetryAfter time.Duration
	// Err is the cause, or nil.
	Err error
}

// New returns an Error without a RetryAfter.
func New(v Verdict, reason string, err error) *Error {
	return &Error{Verdict: v, Reason: reason, Err: err}
}

// WithRetryAfter returns a copy of e with its RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error implements error. It returns the reason, the verdict and the cause.
func (e *Error) Error() string {
	if e.Err == nil {
		return e.Reason + " (" + e.Verdict.String() + ")"
	}
	return e.Reason + " (" + e.Verdict.String() + "): " + e.Err.Error()
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Err }

// Of returns the verdict of the outermost Error in err's chain, or MayHaveRun if the chain has
// none.
func Of(err error) Verdict {
	var e *Error
	if errors.As(err, &e) {
		return e.Verdict
	}
	return MayHaveRun
}
