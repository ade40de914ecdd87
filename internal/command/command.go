// Package command is the operators' interface for changes.
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

// maxBody is the largest change in bytes.
const maxBody = 1 << 20

// Committer has changes accepted.
type Committer interface {
	Commit(ctx context.Context, c configlog.Change) configlog.Result
}

// Edit is one edit of a Change.
type Edit struct {
	Path  string `json:"path"`
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Unset bool   `json:"unset,omitempty"`
}

// Change is the body of a request for a change.
type Change struct {
	ID     string `json:"id"`
	Author string `json:"author"`
	Note   string `json:"note,omitempty"`
	// Base is the revision that the author has seen; 0 means the agent's own.
	Base  uint64 `json:"base,omitempty"`
	Edits []Edit `json:"edits"`
}

// Result is the answer to a request for a change.
type Result struct {
	Outcome  configlog.Outcome     `json:"outcome"`
	ID       string                `json:"id"`
	Revision uint64                `json:"revision,omitempty"`
	Kind     configlog.RefusalKind `json:"kind,omitempty"`
	Faults   []string              `json:"faults,omitempty"`
	// RetryAfterMillis is when to try again; 0 means that it would not help.
	RetryAfterMillis int64 `json:"retry_after_ms,omitempty"`
}

// Routes adds the commands to a router. A commit takes at most timeout.
func Routes(r chi.Router, c Committer, timeout time.Duration) {
	r.Post("/v1/changes", func(w http.ResponseWriter, req *http.Request) {
		var body Change
		dec := json.NewDecoder(http.MaxBytesReader(w, req.Body, maxBody))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&body); err != nil {
			fault := fmt.Sprintf("body: %v", err)
			process.WriteJSON(w, http.StatusBadRequest, Result{Outcome: configlog.Refused, Kind: configlog.RefusedInvalid, Faults: []string{fault}})
			return
		}
		// The commit goes on when the operator hangs up: a change half way in
		// the store is better brought to its end.
		ctx, cancel := context.WithTimeout(context.WithoutCancel(req.Context()), timeout)
		defer cancel()
		res := resultOf(body.ID, c.Commit(ctx, body.change()))
		klog.InfoS("change", "id", body.ID, "author", body.Author, "outcome", res.Outcome, "revision", res.Revision)
		process.WriteJSON(w, statusOf(res), res)
	})
}

func (c Change) change() configlog.Change {
	out := configlog.Change{ID: c.ID, Author: c.Author, Note: c.Note, Base: c.Base}
	for _, e := range c.Edits {
		out.Edits = append(out.Edits, tree.Edit{Path: e.Path, Key: e.Key, Value: e.Value, Unset: e.Unset})
	}
	return out
}

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
