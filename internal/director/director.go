// Package director answers callers' look-ups, which return the entry instances
// to use for a service.
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

// Director serves look-ups over HTTP. It is safe for concurrent use, except for Update.
type Director struct {
	now func() time.Time
	// table is nil before the first Update. Only Update uses blocks.
	table  atomic.Pointer[route.Table]
	blocks *route.Blocks
	// counts holds the numbers of look-ups since the start.
	counts struct{ answered, refused atomic.Int64 }
}

// New returns a Director that rejects look-ups until the first Update. The function now
// returns the current time.
func New(now func() time.Time) *Director { return &Director{now: now} }

// Update puts a newer snapshot into force. It must not be called concurrently.
func (d *Director) Update(s *model.Snapshot) {
	d.blocks = route.NewBlocks(s.Tree, d.blocks)
	d.table.Store(route.NewTable(s, d.blocks))
}

// Ready reports whether look-ups can be answered.
func (d *Director) Ready() bool { return d.table.Load() != nil }

// Handler returns the HTTP handler for callers.
func (d *Director) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/lookup", d.lookup)
	return r
}

// Entry is an entry instance in an Answer.
type Entry struct {
	ID      string  `json:"id"`
	Address string  `json:"address"`
	Region  string  `json:"region"`
	Weight  float64 `json:"weight"`
}

// Answer is the response to a look-up, with the entries in order of preference.
type Answer struct {
	Service string  `json:"service"`
	Entries []Entry `json:"entries"`
	// Lifetime is the time for which a caller may cache the answer, in seconds.
	Lifetime float64 `json:"lifetime_s"`
	// Revision is the revision of the configuration.
	Revision uint64 `json:"revision"`
}

// ErrorResponse is the response to a look-up that is rejected.
type ErrorResponse struct {
	// Reason identifies the error; Detail is a text for people.
	Reason string `json:"reason"`
	Detail string `json:"detail,omitempty"`
	// RetryAfter is the time to wait before a retry, in seconds; 0 means that a retry would
	// not help.
	RetryAfter float64 `json:"retry_after_s,omitempty"`
}

// retryAfter is the time after which callers should retry a look-up that cannot be answered
// yet.
const retryAfter = time.Second

// lookup handles a look-up. The parameter client takes precedence over the remote address
// as the caller's address.
func (d *Director) lookup(w http.ResponseWriter, r *http.Request) {
	t := d.table.Load()
	if t == nil {
		d.writeError(w, http.StatusServiceUnavailable, ErrorResponse{"starting", "no configuration yet", retryAfter.Seconds()})
		return
	}
	q := r.URL.Query()
	caller, err := callerAddr(q.Get("client"), r.RemoteAddr)
	if err != nil {
		d.writeError(w, http.StatusBadRequest, ErrorResponse{"bad-client", err.Error(), 0})
		return
	}
	service := q.Get("service")
	if !t.HasService(service) {
		d.writeError(w, http.StatusNotFound, ErrorResponse{"unknown-service", "service " + service + " is not known", 0})
		return
	}
	a := t.Lookup(service, caller, d.now())
	if a.N == 0 {
		d.writeError(w, http.StatusServiceUnavailable, ErrorResponse{"no-entry", "no entry instance is live", retryAfter.Seconds()})
		return
	}
	d.counts.answered.Add(1)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newAnswer(service, &a))
}

// newAnswer converts the result of a look-up for JSON.
func newAnswer(service string, a *route.Answer) Answer {
	out := Answer{Service: service, Lifetime: a.Lifetime.Seconds(), Revision: a.Revision, Entries: make([]Entry, a.N)}
	for i, e := range a.Entries[:a.N] {
		out.Entries[i] = Entry{e.ID, e.Addr, e.Region, e.Weight}
	}
	return out
}

// callerAddr returns the IP address in client or, if client is empty, the one in remote,
// which has the form IP:PORT.
func callerAddr(client, remote string) (netip.Addr, error) {
	if client != "" {
		return netip.ParseAddr(client)
	}
	ap, err := netip.ParseAddrPort(remote)
	return ap.Addr(), err
}

// writeError counts a rejected look-up and writes its response.
func (d *Director) writeError(w http.ResponseWriter, status int, e ErrorResponse) {
	d.counts.refused.Add(1)
	if e.RetryAfter > 0 {
		w.Header().Set("Retry-After", "1")
	}
	process.WriteJSON(w, status, e)
}

// Dump is the state on which the director's answers depend, for debugging.
type Dump struct {
	// Blocks is the number of blocks of client addresses. Answered and Refused count the
	// look-ups since the start.
	Ready    bool  `json:"ready"`
	Blocks   int   `json:"blocks"`
	Answered int64 `json:"answered"`
	Refused  int64 `json:"refused"`
	// Table is the routing table; nil before the first Update.
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
