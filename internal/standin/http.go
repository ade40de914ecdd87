package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/go-chi/chi/v5"

	"github.com/loomkeel/loomkeel/internal/coordination"
)

// Server serves a Store and an InstanceList over HTTP, with further routes to inject faults.
type Server struct {
	Store     *Store
	Instances *InstanceList

	mu   sync.Mutex
	mode string
}

// Handler returns the HTTP handler: /v1/ is the interface that coordination.Client calls, the other
// routes inject faults and return call counts.
func (s *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/kv/{key}", s.get)
	r.Put("/v1/kv/{key}", s.put)
	r.Delete("/v1/kv/{key}", s.del)
	r.Post("/v1/leases", s.grant)
	r.Put("/v1/leases/{id}", s.keepAlive)
	r.Get("/v1/instances", s.instances)
	r.Post("/fault/{mode}", s.fault)
	r.Post("/leaving/{id}", s.leaving)
	r.Get("/calls", s.calls)
	return r
}

// get serves a read, or a watch if the request has a wait parameter.
func (s *Server) get(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "key")
	wait, watching := waitParam(r)
	if !watching {
		e, err := s.Store.Get(r.Context(), key)
		writeEntry(w, e, err)
		return
	}
	e, err := s.Store.Watch(r.Context(), key, uintParam(r, "not"), wait)
	writeEntry(w, e, err)
}

func (s *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, coordination.MaxValueBytes+1))
	if err != nil {
		return
	}
	lease := coordination.LeaseID(uintParam(r, "lease"))
	version, err := s.Store.CompareAndSwap(r.Context(), chi.URLParam(r, "key"), uintParam(r, "version"), value, lease)
	writeEntry(w, coordination.Entry{Version: version}, err)
}

func (s *Server) del(w http.ResponseWriter, r *http.Request) {
	err := s.Store.Delete(r.Context(), chi.URLParam(r, "key"), uintParam(r, "version"))
	writeEntry(w, coordination.Entry{Version: 1}, err)
}

func (s *Server) grant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := s.Store.Grant(r.Context(), ttl)
	writeEntry(w, coordination.Entry{Value: []byte(strconv.FormatUint(uint64(id), 10)), Version: 1}, err)
}

func (s *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	writeEntry(w, coordination.Entry{Version: 1}, s.Store.KeepAlive(r.Context(), coordination.LeaseID(id)))
}

func (s *Server) instances(w http.ResponseWriter, r *http.Request) {
	wait, _ := waitParam(r)
	l, err := s.Instances.Instances(r.Context(), uintParam(r, "not"), wait)
	body, _ := json.Marshal(l)
	writeEntry(w, coordination.Entry{Value: body, Version: l.Version}, err)
}

// fault sets the fault of the store and the instance list. The mode lose-replies affects
// CompareAndSwap only, and the modes lose-replies and slow do not affect the list.
func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	mode := chi.URLParam(r, "mode")
	faults := map[string]Fault{
		"none":         {},
		"down":         {Down: true},
		"lose-replies": {LoseReply: true},
		"slow":         {Delay: time.Second},
	}
	f, ok := faults[mode]
	if !ok {
		http.Error(w, "fault: one of none, down, lose-replies, slow", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	s.mode = mode
	s.mu.Unlock()
	s.Instances.SetDown(f.Down)
	s.Store.SetFault(func(op Op, _ string) Fault {
		if f.LoseReply && op != OpCompareAndSwap {
			return Fault{}
		}
		return f
	})
}

// leaving marks the instance with the ID in the path as leaving.
func (s *Server) leaving(_ http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	s.Instances.Update(func(instances []coordination.Instance) []coordination.Instance {
		for i := range instances {
			if instances[i].ID == id {
				instances[i].Leaving = true
			}
		}
		return instances
	})
}

// calls writes the number of calls of each kind, one kind per line.
func (s *Server) calls(w http.ResponseWriter, _ *http.Request) {
	for _, op := range []Op{OpGet, OpCompareAndSwap, OpDelete, OpWatch, OpLease} {
		fmt.Fprintf(w, "%s %d\n", op, s.Store.CallCount(op))
	}
}

// uintParam returns a query parameter as a number, or 0 if it is missing or invalid.
func uintParam(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

// waitParam returns the wait parameter of the query, and whether it is present and valid.
func waitParam(r *http.Request) (time.Duration, bool) {
	s := r.URL.Query().Get("wait")
	if s == "" {
		return 0, false
	}
	d, err := time.ParseDuration(s)
	return d, err == nil
}

// writeEntry writes the response of a call that returned e and err. For a lost reply it closes the
// connection without a response.
func writeEntry(w http.ResponseWriter, e coordination.Entry, err error) {
	switch {
	case err == nil && e.Version == coordination.Absent:
		w.WriteHeader(http.StatusNotFound)
	case err == nil:
		w.Header().Set(coordination.VersionHeader, strconv.FormatUint(e.Version, 10))
		_, _ = w.Write(e.Value)
	case errors.Is(err, coordination.ErrConflict):
		w.WriteHeader(http.StatusConflict)
	case errors.Is(err, coordination.ErrLeaseNotFound):
		w.WriteHeader(http.StatusGone)
	case errors.Is(err, coordination.ErrRefused):
		w.WriteHeader(http.StatusRequestEntityTooLarge)
	case errors.Is(err, ErrReplyLost):
		panic(http.ErrAbortHandler)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}
