package forward

import (
	"encoding/json"
	"net/http"
	"time"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/verdict"
)

// localReply is a response that the Proxy generates itself.
type localReply struct {
	status     int
	reason     string
	detail     string
	verdict    verdict.Verdict
	retryAfter time.Duration
	// entries are the addresses of other entries that the caller may use.
	entries []string
}

// ErrorResponse is the JSON body of a response that the Proxy generates itself.
type ErrorResponse struct {
	// Verdict is not-run, may-have-run or ran.
	Verdict string `json:"verdict"`
	// Reason is a short, stable identifier.
	Reason string `json:"reason"`
	// Detail explains the reason to people.
	Detail string `json:"detail,omitempty"`
	// RequestID is the ID of the request.
	RequestID string `json:"request_id,omitempty"`
	// RetryAfterMillis is the time in milliseconds after which the caller should retry; 0 means
	// no advice.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
	// Entries are the addresses of other entries that the caller may use.
	Entries []string `json:"entries,omitempty"`
}

func (e *RequestError) localReply() *localReply {
	return &localReply{status: e.Status, reason: e.Reason, detail: e.Detail, verdict: verdict.NotRun}
}

// write sends the response.
func (l *localReply) write(w http.ResponseWriter, protocol Protocol, id string) {
	h := w.Header()
	protocol.SetErrorHeaders(h, id, l.verdict, l.retryAfter)
	h.Set("Content-Type", "application/json")
	h.Set("Cache-Control", "no-store")
	defer limitWrite(w)()
	w.WriteHeader(l.status)
	_ = json.NewEncoder(w).Encode(ErrorResponse{
		Verdict:          l.verdict.String(),
		Reason:           l.reason,
		Detail:           l.detail,
		RequestID:        id,
		RetryAfterMillis: l.retryAfter.Milliseconds(),
		Entries:          l.entries,
	})
}

// withOutcome returns the response to a request that had attempts before, of which last is the
// last error; nil if it is not known. If one of them may have run, the response reports that error
// and outcome instead of l.
func (l *localReply) withOutcome(last *verdict.Error, outcome verdict.Verdict) *localReply {
	if outcome == verdict.NotRun {
		return l
	}
	if last == nil {
		last = verdict.New(outcome, l.reason, nil)
	}
	return replyFor(last, outcome)
}

// ImpliesNotRun reports whether callers take a status for a promise that the request was not run.
func ImpliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// replyFor returns the response for the error that ended a call.
func replyFor(err *verdict.Error, outcome verdict.Verdict) *localReply {
	return &localReply{
		status:     statusFor(err.Reason, outcome),
		reason:     err.Reason,
		detail:     detailOf(err),
		verdict:    outcome,
		retryAfter: err.RetryAfter,
	}
}

// statusFor returns the status for a reason and the verdict of all attempts.
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

// reply sends a response that the Proxy generated, with the status that its verdict allows.
func (p *Proxy) reply(w http.ResponseWriter, r *http.Request, body *replayBody, out *Outcome, reply *localReply) {
	closeUnlessComplete(w, r, body)
	if reply.verdict != verdict.NotRun && ImpliesNotRun(reply.status) {
		// A peer's response may have a status that contradicts its verdict.
		reply.status = statusFor(reply.reason, reply.verdict)
	}
	if out.HandoverFrom != "" {
		// Tells the other entry that no upstream has responded.
		w.Header().Set(verdict.Header, reply.verdict.String())
	}
	out.Status, out.Verdict, out.Reason, out.Detail = reply.status, reply.verdict, reply.reason, reply.detail
	reply.write(w, p.opt.Protocol, out.ID)
}

// unavailableRetryAfter is the Retry-After time where no better estimate exists.
const unavailableRetryAfter = time.Second

// unavailable returns the response of an entry that is stopping or has no snapshot yet.
func (p *Proxy) unavailable(snap *model.Snapshot) *localReply {
	reply := &localReply{status: http.StatusServiceUnavailable, reason: reasonLeaving, verdict: verdict.NotRun, retryAfter: elsewhereRetryAfter}
	if snap == nil {
		reply.reason, reply.retryAfter = reasonStarting, unavailableRetryAfter
		return reply
	}
	for _, m := range snap.LocalEntries() {
		reply.entries = append(reply.entries, m.Entry)
	}
	return reply
}
