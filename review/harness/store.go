package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is a key of the store or, with Deleted set, the deletion of a key.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// lease is a lease that has not ended.
type lease struct {
	ttl     time.Duration
	expires time.Time
}

// txn is the body of a call to /kv-txn.
type txn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expectedRevision"`
	Set []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"setKeys"`
	Remove []string `json:"remove"`
}

// store is the platform's metadata store.
type store struct {
	addr string
	srv  *http.Server

	mu       sync.Mutex
	changed  chan struct{}
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	nextID   int64
}

func newStore(ip string) *store {
	s := &store{changed: make(chan struct{}), revision: 1, items: map[string]item{}, leases: map[int64]*lease{}, nextID: 100}
	l, err := net.Listen("tcp", ip+":0")
	check(err)
	s.addr = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.key)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	s.srv = &http.Server{Handler: mux}
	go s.srv.Serve(l)
	go s.expire()
	return s
}

// expire ends leases whose time is over.
func (s *store) expire() {
	for range time.Tick(20 * time.Millisecond) {
		s.mu.Lock()
		now := time.Now()
		for id, l := range s.leases {
			if now.After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.change(item{Key: k, Deleted: true})
		}
	}
}

// change applies one change. The lock must be held.
func (s *store) change(it item) {
	s.revision++
	it.Revision = s.revision
	if it.Deleted {
		delete(s.items, it.Key)
	} else {
		it.CreateRevision = it.Revision
		if old, ok := s.items[it.Key]; ok {
			it.CreateRevision = old.CreateRevision
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key for the operator or a target.
func (s *store) put(key string, value any) {
	raw, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.change(item{Key: key, Value: raw})
}

func reply(w http.ResponseWriter, status int, v any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(v)
}

func (s *store) key(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		reply(w, 404, map[string]any{"asOf": s.revision})
		return
	}
	reply(w, 200, it)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, q.Get("pathPrefix")) && k > q.Get("after") {
			items = append(items, it)
		}
	}
	sort.Slice(items, func(i, j int) bool { return items[i].Key < items[j].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	reply(w, 200, map[string]any{"items": items, "truncated": truncated, "asOf": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("waitMs"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		s.mu.Lock()
		events := []item{}
		for _, it := range s.history {
			if it.Revision > after && strings.HasPrefix(it.Key, q.Get("pathPrefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			reply(w, 200, map[string]any{"events": events, "asOf": at})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			reply(w, 200, map[string]any{"events": events, "asOf": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	raw, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t txn
	if err := json.Unmarshal(raw, &t); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	status, body := s.do(&t)
	reply(w, status, body)
}

// do does everything of a transaction or nothing.
func (s *store) do(t *txn) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range t.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return 412, map[string]any{"items": []item{}}
		}
	}
	for _, set := range t.Set {
		if _, ok := s.leases[set.Lease]; set.Lease != 0 && !ok {
			return 404, map[string]any{}
		}
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return 403, map[string]any{}
		}
	}
	for _, set := range t.Set {
		s.change(item{Key: set.Key, Value: set.Value, Lease: set.Lease})
	}
	for _, k := range t.Remove {
		if _, ok := s.items[k]; ok {
			s.change(item{Key: k, Deleted: true})
		}
	}
	return 200, map[string]any{"revision": s.revision}
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var in struct {
		TTL float64 `json:"ttlS_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&in); err != nil {
		reply(w, 400, map[string]any{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	ttl := time.Duration(max(1, in.TTL) * float64(time.Second))
	s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
	reply(w, 200, map[string]any{"lease": s.nextID, "ttlS_time": ttl.Seconds()})
}

func leaseID(r *http.Request) int64 {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	return id
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[leaseID(r)]
	if l == nil {
		reply(w, 404, map[string]any{})
		return
	}
	l.expires = time.Now().Add(l.ttl)
	reply(w, 200, map[string]any{"ttlS_time": l.ttl.Seconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[leaseID(r)] == nil {
		reply(w, 404, map[string]any{})
		return
	}
	s.endLease(leaseID(r))
	reply(w, 200, map[string]any{})
}

// config is an operator's configuration.
func config(version int, routes map[string]any, services ...string) map[string]any {
	all := map[string]any{}
	for _, name := range services {
		all[name] = map[string]any{"healthPath": "/healthz", "maxConnections": 390, "protocol": "h1", "tls": false, "warmupS": 3.0, "warmupPerS": 11.0}
	}
	return map[string]any{
		"version": fmt.Sprintf("r%d", version), "routes": routes, "services": all,
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 67108864, "headerTimeoutS": 3, "idleTimeoutS": 15},
	}
}
