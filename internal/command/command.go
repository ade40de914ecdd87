// Package command serves the operators' HTTP interface for changes to the
// configuration.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/go-chi/chi/v5"
	"k8s.io/klog/v2"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// maxBodyBytes is the largest request body.
const maxBodyBytes = 1 << 20

// Committer commits changes to the configuration log.
type Committer interface {
	Commit(ctx context.Context, c configlog.Change) configlog.Result
}

// Edit sets or unsets one key of the settings tree.
type Edit struct {
	Path  string `json:"path"`
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Unset bool   `json:"unset,omitempty"`
}

// Change is the request body of POST /v1/changes.
type Change struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// Base is the revision on which the author based the edits; 0 means the agent's
	// current revision.
	Base  uint64 `json:"base,omitempty"`
	Edits []Edit `json:"edits"`
}

// Result is the response body of POST /v1/changes.
type Result struct {
	Outcome  configlog.Outcome     `json:"outcome"`
	ID       string                `json:"id"`
	Revision uint64                `json:"revision,omitempty"`
	Kind     configlog.RefusalKind `json:"kind,omitempty"`
	Faults   []string              `json:"faults,omitempty"`
	// RetryAfterMillis is the time to wait before a retry; 0 means that a retry
	// would not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// AddRoutes adds the route POST /v1/changes to a router. A commit takes at most
// timeout.
func AddRoutes(r chi.Router, c Committer, timeout time.Duration) {
	r.Post("/v1/changes", func(w http.ResponseWriter, req *http.Request) {
		var body Change
		dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBodyBytes))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&body); err != nil {
			reason := fmt.Sprintf("body: %v", err)
			process.WriteJSON(w, http.StatusBadRequest, Result{Outcome: configlog.Refused, Kind: configlog.RefusedInvalid, Faults: []string{reason}})
			return
		}
		// The commit continues if the operator disconnects: if it were canceled after the
		// write to the store was sent, the outcome would be unknown.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), timeout)
		defer cancel()
		res := resultOf(body.ID, c.Commit(ctx, body.change()))
		klog.InfoS("commit finished", "id", body.ID, "author", body.Author, "outcome", res.Outcome, "revision", res.Revision)
		process.WriteJSON(w, statusOf(res), res)
	})
}

// change converts the request body to a change of the configuration log.
func (c Change) change() configlog.Change {
	out := configlog.Change{ID: c.ID, Author: c.Author, Note: c.Note, Base: c.Base}
	for _, e := range c.Edits {
		out.Edits = append(out.Edits, tree.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset})
	}
	return out
}

// resultOf returns the response body for the result of committing the change with
// the given ID.
func resultOf(id string, r configlog.Result) Result {
	out := Result{Outcome: r.Outcome, ID: id, Revision: r.Revision}
	if r.Refusal != nil {
		out.Kind, out.Faults = r.Refusal.Kind, r.Refusal.Faults
		out.RetryAfterMillis = r.Refusal.RetryAfter.Milliseconds()
	}
	if r.Err != nil && !errors.Is(r.Err, context.Canceled) {
		out.Faults = append(out.Faults, r.Err.Error())
	}
	return out
}

// statusOf returns the HTTP status for a result.
func statusOf(r Result) int {
	switch {
	case r.Outcome == configlog.Accepted:
		return http.StatusOK
	case r.Outcome == configlog.Unknown:
		return http.StatusGatewayTimeout
	case r.Kind == configlog.RefusedConflict:
		return http.StatusConflict
	case r.Kind == configlog.RefusedUnavailable:
		return http.StatusServiceUnavailable
	}
	return http.StatusUnprocessableEntity
}
