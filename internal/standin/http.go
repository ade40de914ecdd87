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

// Server serves a Store and a List over HTTP in the form that
// coordination.Client expects, with a page to inject faults.
type Server struct {
	Store     *Store
	Instances *InstanceList

	mu   sync.Mutex
	mode string
}

// Handler returns the HTTP interface.
func (p *Server) Handler() http.Handler {
	r := chi.NewRouter()
	r.Get("/v1/kv/{key}", p.get)
	r.Put("/v1/kv/{key}", p.put)
	r.Delete("/v1/kv/{key}", p.del)
	r.Post("/v1/leases", p.grant)
	r.Put("/v1/leases/{id}", p.keepAlive)
	r.Get("/v1/instances", p.instances)
	r.Post("/fault/{mode}", p.fault)
	r.Post("/leaving/{id}", p.leaving)
	r.Get("/calls", p.calls)
	return r
}

func (p *Server) get(w http.ResponseWriter, r *http.Request) {
	key := chi.URLParam(r, "key")
	wait, watching := waitOf(r)
	if !watching {
		e, err := p.Store.Get(r.Context(), key)
		answer(w, e, err)
		return
	}
	e, err := p.Store.Watch(r.Context(), key, numberOf(r, "not"), wait)
	answer(w, e, err)
}

func (p *Server) put(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, coordination.MaxValueBytes+1))
	if err != nil {
		return
	}
	lease := coordination.LeaseID(numberOf(r, "lease"))
	version, err := p.Store.CompareAndSwap(r.Context(), chi.URLParam(r, "key"), numberOf(r, "version"), value, lease)
	answer(w, coordination.Entry{Version: version}, err)
}

func (p *Server) del(w http.ResponseWriter, r *http.Request) {
	err := p.Store.Delete(r.Context(), chi.URLParam(r, "key"), numberOf(r, "version"))
	answer(w, coordination.Entry{Version: 1}, err)
}

func (p *Server) grant(w http.ResponseWriter, r *http.Request) {
	ttl, err := time.ParseDuration(r.URL.Query().Get("ttl"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	id, err := p.Store.Grant(r.Context(), ttl)
	answer(w, coordination.Entry{Value: []byte(strconv.FormatUint(uint64(id), 10)), Version: 1}, err)
}

func (p *Server) keepAlive(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseUint(chi.URLParam(r, "id"), 10, 64)
	answer(w, coordination.Entry{Version: 1}, p.Store.KeepAlive(r.Context(), coordination.LeaseID(id)))
}

func (p *Server) instances(w http.ResponseWriter, r *http.Request) {
	wait, _ := waitOf(r)
	l, err := p.Instances.Instances(r.Context(), numberOf(r, "not"), wait)
	body, _ := json.Marshal(l)
	answer(w, coordination.Entry{Value: body, Version: l.Version}, err)
}

// fault switches the store and the list between up, down, lose-replies and slow.
func (p *Server) fault(w http.ResponseWriter, r *http.Request) {
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
	p.mu.Lock()
	p.mode = mode
	p.mu.Unlock()
	p.Instances.SetDown(f.Down)
	p.Store.SetFault(func(op Op, _ string) Fault {
		if f.LoseReply && op != OpSwap {
			return Fault{}
		}
		return f
	})
}

// leaving marks an instance of the list as leaving.
func (p *Server) leaving(_ http.ResponseWriter, r *http.Request) {
	id := chi.URLParam(r, "id")
	p.Instances.Update(func(instances []coordination.Instance) []coordination.Instance {
		for i := range instances {
			if instances[i].ID == id {
				instances[i].Leaving = true
			}
		}
		return instances
	})
}

func (p *Server) calls(w http.ResponseWriter, _ *http.Request) {
	for _, op := range []Op{OpGet, OpSwap, OpDelete, OpWatch, OpLease} {
		fmt.Fprintf(w, "%s %d\n", op, p.Store.CallCount(op))
	}
}

func numberOf(r *http.Request, name string) uint64 {
	n, _ := strconv.ParseUint(r.URL.Query().Get(name), 10, 64)
	return n
}

func waitOf(r *http.Request) (time.Duration, bool) {
	s := r.URL.Query().Get("wait")
	if s == "" {
		return 0, false
	}
	d, err := time.ParseDuration(s)
	return d, err == nil
}

func answer(w http.ResponseWriter, e coordination.Entry, err error) {
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
