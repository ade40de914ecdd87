// Package query is the operators' interface for reading: the tree, its history
// and the members.
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

// Source is what the queries read.
type Source interface {
	Log() *configlog.Log
	Table() *membership.Table
}

// Setting is one key written in the tree.
type Setting struct {
	Path     string `json:"path"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
}

// Tree is the answer to a query for settings.
type Tree struct {
	Revision uint64    `json:"revision"`
	Settings []Setting `json:"settings"`
}

// Value is the answer to a query for one effective value.
type Value struct {
	Revision uint64 `json:"revision"`
	Path     string `json:"path"`
	Key      string `json:"key"`
	Value    string `json:"value"`
	// From is the path that sets the value; empty for the key's default.
	From       string `json:"from,omitempty"`
	WrittenAt  uint64 `json:"written_at,omitempty"`
	Overridden bool   `json:"overridden"`
}

// Change is one line of the history.
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

// defaultHistory is how many changes a history shows unless asked for more.
const defaultHistory = 20

// Routes adds the queries to a router.
func Routes(r chi.Router, s Source) {
	r.Get("/v1/tree", func(w http.ResponseWriter, req *http.Request) {
		process.WriteJSON(w, http.StatusOK, treeOf(s.Log(), req.URL.Query().Get("path")))
	})
	r.Get("/v1/value", func(w http.ResponseWriter, req *http.Request) { value(w, req, s.Log()) })
	r.Get("/v1/history", func(w http.ResponseWriter, req *http.Request) {
		n, err := strconv.Atoi(req.URL.Query().Get("limit"))
		if err != nil || n <= 0 {
			n = defaultHistory
		}
		process.WriteJSON(w, http.StatusOK, historyOf(s.Log().History(n)))
	})
	r.Get("/v1/changes/{id}", func(w http.ResponseWriter, req *http.Request) { change(w, req, s.Log()) })
	r.Get("/v1/members", func(w http.ResponseWriter, _ *http.Request) {
		all, _ := s.Table().All()
		process.WriteJSON(w, http.StatusOK, all)
	})
}

func treeOf(log *configlog.Log, under string) Tree {
	revision, t, _ := log.View()
	out := Tree{Revision: revision, Settings: []Setting{}}
	add := func(path, key string, v tree.Setting) {
		if !v.Unset {
			out.Settings = append(out.Settings, Setting{path, key, v.Value, v.Revision})
		}
	}
	if under == "" {
		t.Walk(add)
	} else {
		t.Node(under, func(key string, v tree.Setting) { add(under, key, v) })
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

func value(w http.ResponseWriter, req *http.Request, log *configlog.Log) {
	path, key := req.URL.Query().Get("path"), req.URL.Query().Get("key")
	if err := tree.CheckKey(path, key); err != nil {
		process.WriteJSON(w, http.StatusBadRequest, map[string]string{"error": err.Error()})
		return
	}
	revision, t, _ := log.View()
	v := t.Get(path, key)
	process.WriteJSON(w, http.StatusOK, Value{revision, path, key, v.Value, v.From, v.Revision, v.From == path})
}

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

// change tells whether a change id is known to have been accepted.
func change(w http.ResponseWriter, req *http.Request, log *configlog.Log) {
	id := chi.URLParam(req, "id")
	revision := log.Find(id)
	if revision == 0 {
		process.WriteJSON(w, http.StatusNotFound, map[string]string{"id": id, "outcome": string(configlog.Unknown)})
		return
	}
	process.WriteJSON(w, http.StatusOK, map[string]any{"id": id, "outcome": configlog.Accepted, "revision": revision})
}
