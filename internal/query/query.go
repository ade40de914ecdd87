// Package query serves the operators' read-only HTTP interface: the settings tree,
// its history, the members and the dumps of an instance's processes.
package query

import (
	"net/http"
	"sort"
	"strconv"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/loomkeel/loomkeel/internal/configlog"
	"github.com/loomkeel/loomkeel/internal/membership"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/tree"
)

// Source provides the data for the queries.
type Source interface {
	Log() *configlog.Log
	Table() *membership.Table
}

// Setting is one key that is set in the tree, with its value.
type Setting struct {
	Path     string `json:"path"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Tree is the response body of GET /v1/tree.
type Tree struct {
	Revision uint64    `json:"revision"`
	Settings []Setting `json:"settings"`
}

// Value is the response body of GET /v1/value: the effective value of a key at a
// path.
type Value struct {
	Revision uint64 `json:"revision"`
	Path     string `json:"path"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	// From is the path at which the value is set; empty for the key's default.
	From string `json:"from,omitempty"`
	// WrittenRevision is the revision that set the value; 0 for the key's default.
	WrittenRevision uint64 `json:"written_at,omitempty"`
	// Overridden reports whether the value is set at Path itself.
	Overridden bool `json:"overridden"`
}

// Change is one accepted change in the response body of GET /v1/history.
type Change struct {
	Revision uint64        `json:"revision"`
	ID       string        `json:"id"`
	Author   string        `json:"author"`
	Time     time.Time     `json:"time"`
	Note     string        `json:"note,omitempty"`
	Edits    []HistoryEdit `json:"edits"`
}

// HistoryEdit is one edit of a Change.
type HistoryEdit struct {
	Path  string `json:"path"`
	Key   string `json:"key"`
	Value string `json:"value,omitempty"`
	Unset bool   `json:"unset,omitempty"`
}

// defaultHistoryLimit is the largest number of changes in a history if the request
// has no valid limit.
const defaultHistoryLimit = 20

// AddRoutes adds the routes of the queries to a router.
func AddRoutes(r chi.Router, s Source) {
	r.Get("/v1/tree", func(w http.ResponseWriter, req *http.Request) {
		process.WriteJSON(w, http.StatusOK, treeOf(s.Log(), req.URL.Query().Get("path")))
	})
	r.Get("/v1/value", func(w http.ResponseWriter, req *http.Request) { serveValue(w, req, s.Log()) })
	r.Get("/v1/history", func(w http.ResponseWriter, req *http.Request) {
		n, err := strconv.Atoi(req.URL.Query().Get("limit"))
		if err != nil || n <= 0 {
			n = defaultHistoryLimit
		}
		process.WriteJSON(w, http.StatusOK, historyOf(s.Log().History(n)))
	})
	r.Get("/v1/changes/{id}", func(w http.ResponseWriter, req *http.Request) { serveChange(w, req, s.Log()) })
	r.Get("/v1/members", func(w http.ResponseWriter, _ *http.Request) {
		all, _ := s.Table().All()
		process.WriteJSON(w, http.StatusOK, all)
	})
}

// treeOf returns the settings at a path, or all settings if queryPath is empty,
// sorted by path and key.
func treeOf(log *configlog.Log, queryPath string) Tree {
	revision, t, _ := log.Current()
	out := Tree{Revision: revision, Settings: []Setting{}}
	add := func(path, key string, v tree.Setting) {
		if !v.Unset {
			out.Settings = append(out.Settings, Setting{path, key, v.Value, v.Revision})
		}
	}
	if queryPath == "" {
		t.VisitAll(add)
	} else {
		t.VisitPath(queryPath, func(key string, v tree.Setting) { add(queryPath, key, v) })
	}
	sort.Slice(out.Settings, func(i, j int) bool {
		a, b := out.Settings[i], out.Settings[j]
		if a.Path != b.Path {
			return a.Path < b.Path
		}
		return a.Key < b.Key
	})
	return out
}

// serveValue answers a query for the effective value of a key.
func serveValue(w http.ResponseWriter, req *http.Request, log *configlog.Log) {
	path, key := req.URL.Query().Get("path"), req.URL.Query().Get("key")
	if err := tree.CheckQuery(path, key); err != nil {
		process.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	revision, t, _ := log.Current()
	v := t.Get(path, key)
	process.WriteJSON(w, http.StatusOK, Value{revision, path, key, v.Value, v.From, v.Revision, v.From == path})
}

// historyOf converts records of the configuration log to the changes of a history.
func historyOf(records []configlog.Record) []Change {
	out := make([]Change, 0, len(records))
	for _, r := range records {
		c := Change{Revision: r.Revision, ID: r.ID, Author: r.Author, Time: r.Time, Note: r.Note}
		for _, e := range r.Edits {
			c.Edits = append(c.Edits, HistoryEdit{e.Path, e.Key, e.Value, e.Unset})
		}
		out = append(out, c)
	}
	return out
}

// serveChange answers a query for the change with an ID: accepted with its revision,
// or unknown if the log holds no such ID.
func serveChange(w http.ResponseWriter, req *http.Request, log *configlog.Log) {
	id := chi.URLParam(req, "id")
	revision := log.FindChange(id)
	if revision == 0 {
		process.WriteJSON(w, http.StatusNotFound, map[string]string{"id": id, "outcome": string(configlog.Unknown)})
		return
	}
	process.WriteJSON(w, http.StatusOK, map[string]any{"id": id, "outcome": configlog.Accepted, "revision": revision})
}
