package forward

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/loomkeel/loomkeel/internal/verdict"
)

// refusal is an answer that loomkeel itself makes.
type refusal struct {
	status     int
	reason     string
	detail     string
	verdict    verdict.Verdict
	retryAfter time.Duration
	// entries are others that the caller may turn to.
	entries []string
}

// ErrorResponse is the JSON body of an answer that loomkeel itself makes.
type ErrorResponse struct {
	// Verdict is not-run, may-have-run or ran.
	Verdict string `json:"verdict"`
	// Reason is a short stable word.
	Reason string `json:"reason"`
	// Detail explains the reason to a person.
	Detail string `json:"detail,omitempty"`
	// RequestID is that of the request.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMillis is when to come back; 0 means no advice.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Entries are entry instances to use instead.
	Entries []string `json:"entries,omitempty"`
}

func (f *RequestError) refusal() *refusal {
	return &refusal{status: f.Status, reason: f.Reason, detail: f.Detail, verdict: verdict.NotRun}
}

// write sends the refusal as the final answer.
func (f *refusal) write(w http.ResponseWriter, p Protocol, id string) {
	h := w.Header()
	p.SetErrorHeaders(h, id, f.verdict, f.retryAfter)
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	w.WriteHeader(f.status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{
		Verdict:          f.verdict.String(),
		Reason:           f.reason,
		Detail:           f.detail,
		RequestID:        id,
		RetryAfterMillis: f.retryAfter.Milliseconds(),
		Entries:          f.entries,
	})
}

// after returns the refusal of a request that had attempts before, the last of which ended
// with an error. If one of them may have run, that is what the caller has to know.
func (f *refusal) after(last *verdict.Error, outcome verdict.Verdict) *refusal {
	if last == nil || outcome == verdict.NotRun {
		return f
	}
	return refusalFor(last, outcome)
}

// refusalFor turns the error that ended a call into its answer.
func refusalFor(err *verdict.Error, outcome verdict.Verdict) *refusal {
	return &refusal{
		status:     statusFor(err.Reason, outcome),
		reason:     err.Reason,
		detail:     detailOf(err),
		verdict:    outcome,
		retryAfter: err.RetryAfter,
	}
}

func statusFor(reason string, outcome verdict.Verdict) int {
	switch {
	case reason == reasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case reason == reasonCallerBody:
		return http.StatusBadRequest
	case outcome == verdict.NotRun:
		return http.StatusServiceUnavailable
	case reason == reasonTimeout:
		return http.StatusGatewayTimeout
	}
	return http.StatusBadGateway
}

func detailOf(err *verdict.Error) string {
	if err.Err == nil {
		return ""
	}
	return err.Err.Error()
}
