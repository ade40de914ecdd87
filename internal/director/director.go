// Package director answers callers' look-ups: which entry instances to use for
// a service.
package director

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/loomkeel/loomkeel/internal/model"
	"github.com/loomkeel/loomkeel/internal/process"
	"github.com/loomkeel/loomkeel/internal/route"
)

// Director is the HTTP interface to callers. It is safe for concurrent use.
type Director struct {
	now    func() time.Time
	table  atomic.Pointer[route.Table]
	blocks *route.Blocks
	counts struct{ answered, refused atomic.Int64 }
}

// New returns a Director that refuses look-ups until its first Update.
func New(now func() time.Time) *Director { return &Director{now: now} }

// Update installs a newer snapshot. It must not be called concurrently.
func (d *Director) Update(s *model.Snapshot) {
	d.blocks = route.NewBlocks(s.Tree, d.blocks)
	d.table.Store(route.NewTable(s, d.blocks))
}

// Ready reports whether look-ups can be answered.
func (d *Director) Ready() bool { return d.table.Load() != nil }

// Handler returns the interface to callers.
func (d *Director) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/lookup", d.lookup)
	return r
}

// Entry is one entry instance of an answer.
type Entry struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Region  string  `json:"region"`
	Weight  float64 `json:"weight"`
}

// Answer is the answer to a look-up: entries in order of preference.
type Answer struct {
	Service string  `json:"service"`
	Entries []Entry `json:"entries"`
	// Lifetime is how long the answer may be used, in seconds.
	Lifetime float64 `json:"lifetime_s"`
	Revision uint64  `json:"revision"`
}

// Failure is the answer to a look-up that is refused.
type Failure struct {
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
	// RetryAfter is when to ask again, in seconds.
	RetryAfter float64 `json:"retry_after_s,omitempty"`
}

// retryAfter is the advice while there is nothing to answer.
const retryAfter = time.Second

func (d *Director) lookup(w http.ResponseWriter, r *http.Request) {
	t := d.table.Load()
	if t == nil {
		d.refuse(w, http.StatusServiceUnavailable, Failure{"starting", "no configuration yet", retryAfter.Seconds()})
		return
	}
	q := r.URL.Query()
	caller, err := callerOf(q.Get("client"), r.RemoteAddr)
	if err != nil {
		d.refuse(w, http.StatusBadRequest, Failure{"bad-client", err.Error(), 0})
		return
	}
	service := q.Get("service")
	if !t.HasService(service) {
		d.refuse(w, http.StatusNotFound, Failure{"unknown-service", "service " + service + " is not known", 0})
		return
	}
	a := t.Lookup(service, caller, d.now())
	if a.N == 0 {
		d.refuse(w, http.StatusServiceUnavailable, Failure{"no-entry", "no entry instance is live", retryAfter.Seconds()})
		return
	}
	d.counts.answered.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answerOf(service, &a))
}

func answerOf(service string, a *route.Answer) Answer {
	out := Answer{Service: service, Lifetime: a.Lifetime.Seconds(), Revision: a.Revision, Entries: make([]Entry, a.N)}
	for i, e := range a.Entries[:a.N] {
		out.Entries[i] = Entry{e.ID, e.Addr, e.Region, e.Weight}
	}
	return out
}

func callerOf(client, remote string) (netip.Addr, error) {
	if client != "" {
		return netip.ParseAddr(client)
	}
	ap, err := netip.ParseAddrPort(remote)
	return ap.Addr(), err
}

func (d *Director) refuse(w http.ResponseWriter, status int, f Failure) {
	d.counts.refused.Add(1)
	if f.RetryAfter > 0 {
		w.Header().Set("Retry-After", "1")
	}
	process.WriteJSON(w, status, f)
}

// Dump is everything that the director decides by.
type Dump struct {
	Ready    bool  `json:"ready"`
	Blocks   int   `json:"blocks"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Table is the routing table.
	Table *route.TableDump `json:"table,omitempty"`
}

// Dump returns the director's state.
func (d *Director) Dump() Dump {
	out := Dump{Answered: d.counts.answered.Load(), Refused: d.counts.refused.Load()}
	if t := d.table.Load(); t != nil {
		dump := t.Dump()
		out.Ready, out.Blocks, out.Table = true, dump.Blocks, &dump
	}
	return out
}
