package main

import (
	"cmp"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// maxPage is the largest number of items of one page of a listing.
const maxPage = 500

// item is a key of the store, or the deletion of a key, as the store encodes it.
type item struct {
	Key            string `json:"key"`
	Value          []byte `json:"value,omitempty"`
	Revision       int64  `json:"revision"`
	CreateRevision int64  `json:"createRevision,omitempty"`
	Lease          int64  `json:"lease,omitempty"`
	Deleted        bool   `json:"deleted,omitempty"`
}

// lease is a lease with its end.
type lease struct {
	ttl  time.Duration
	ends time.Time
}

// store is the platform's metadata store. It keeps its whole history, and its answers are
// linearizable.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*lease
	lastID   int64
	// changed is closed at the next change.
	changed chan struct{}
	rec     *record
}

func newStore(rec *record) *store {
	s := &store{revision: 100, items: make(map[string]item), leases: make(map[int64]*lease), lastID: 70000, changed: make(chan struct{}), rec: rec}
	go s.expireLeases()
	return s
}

// expireLeases ends the leases that are over, for as long as the process runs.
func (s *store) expireLeases() {
	for range time.Tick(20 * time.Millisecond) {
		now := time.Now()
		s.mu.Lock()
		for id, l := range s.leases {
			if !now.Before(l.ends) {
				s.rec.addf("store: lease %d is over", id)
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

// endLease ends a lease and deletes its keys. The lock must be held.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.rec.addf("store: %s goes with lease %d", key, id)
			s.delete(key)
		}
	}
}

// put writes a key. The lock must be held.
func (s *store) put(key string, value []byte, lease int64) {
	s.revision++
	created := s.items[key].CreateRevision
	if created == 0 {
		created = s.revision
	}
	it := item{Key: key, Value: value, Revision: s.revision, CreateRevision: created, Lease: lease}
	s.items[key] = it
	s.notify(it)
}

// delete deletes a key. The lock must be held.
func (s *store) delete(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	s.revision++
	delete(s.items, key)
	s.notify(item{Key: key, Revision: s.revision, Deleted: true})
}

func (s *store) notify(it item) {
	s.history = append(s.history, it)
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put writes a key for the operator or a target.
func (s *store) Put(key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.put(key, raw, 0)
}

// Delete deletes a key for the operator or a target.
func (s *store) Delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delete(key)
}

// door is the address at which one node finds the store. A closed door turns the node away.
type door struct {
	store *store
	name  string
	addr  string
	mu    sync.Mutex
	// shut is closed when the door closes; nil while it is closed.
	shut chan struct{}
}

// openDoor serves the store at a free port of an IP address.
func (s *store) openDoor(name, ip string) (*door, error) {
	l, err := net.Listen("tcp", net.JoinHostPort(ip, "0"))
	if err != nil {
		return nil, err
	}
	d := &door{store: s, name: name, addr: l.Addr().String(), shut: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", d.serve(s.getKey))
	mux.HandleFunc("GET /kv-range", d.serve(s.getRange))
	mux.HandleFunc("GET /kv-watch", d.watch)
	mux.HandleFunc("POST /kv-txn", d.serve(s.postTxn))
	mux.HandleFunc("POST /kv-lease", d.serve(s.postLease))
	mux.HandleFunc("POST /kv-keep/{id}", d.serve(s.postKeep))
	mux.HandleFunc("DELETE /kv-lease-end/{id}", d.serve(s.deleteLease))
	go http.Serve(l, mux)
	return d, nil
}

// close makes the store turn the node away with 503; open ends that.
func (d *door) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.shut)
	d.shut = nil
}

func (d *door) open() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.shut = make(chan struct{})
}

func (d *door) state() chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.shut
}

// serve turns a call away while the door is closed. A 503 means that nothing was done.
func (d *door) serve(h func(r *http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		if d.state() == nil {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		status, body := h(r)
		answer(w, status, body)
	}
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body == nil {
		body = struct{}{}
	}
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) getKey(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, nil
	}
	return http.StatusOK, struct {
		item
		AsOf int64 `json:"asOf"`
	}{it, s.revision}
}

func (s *store) getRange(r *http.Request) (int, any) {
	q := r.URL.Query()
	s.mu.Lock()
	defer s.mu.Unlock()
	items := []item{}
	for key, it := range s.items {
		if strings.HasPrefix(key, q.Get("pathPrefix")) && key > q.Get("after") {
			items = append(items, it)
		}
	}
	slices.SortFunc(items, func(a, b item) int { return cmp.Compare(a.Key, b.Key) })
	truncated := len(items) > maxPage
	return http.StatusOK, map[string]any{"items": items[:min(len(items), maxPage)], "truncated": truncated, "asOf": s.revision}
}

// watch answers as soon as there is an event, or at the end of its wait. A waiting watch is cut when
// the door closes.
func (d *door) watch(w http.ResponseWriter, r *http.Request) {
	shut := d.state()
	if shut == nil {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("waitMs"), 10, 64)
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		events, revision, changed := d.store.since(q.Get("pathPrefix"), after)
		if len(events) > 0 {
			answer(w, http.StatusOK, map[string]any{"events": events, "asOf": revision})
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			answer(w, http.StatusOK, map[string]any{"events": []item{}, "asOf": revision})
			return
		case <-shut:
			panic(http.ErrAbortHandler)
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) since(prefix string, after int64) ([]item, int64, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var events []item
	for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
		if strings.HasPrefix(s.history[i].Key, prefix) {
			events = append(events, s.history[i])
		}
	}
	slices.Reverse(events)
	return events, s.revision, s.changed
}

func (s *store) postTxn(r *http.Request) (int, any) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range body.Expected {
		if s.items[e.Key].Revision != e.Revision {
			return http.StatusPreconditionFailed, map[string]any{"items": []item{s.items[e.Key]}}
		}
	}
	for _, set := range body.Set {
		if strings.HasPrefix(set.Key, "op/") || strings.HasPrefix(set.Key, "servers/") {
			return http.StatusForbidden, nil
		}
		if set.Lease != 0 && s.leases[set.Lease] == nil {
			return http.StatusNotFound, nil
		}
	}
	for _, set := range body.Set {
		s.rec.addf("store: %s is written under lease %d", set.Key, set.Lease)
		s.put(set.Key, set.Value, set.Lease)
	}
	for _, key := range body.Remove {
		s.delete(key)
	}
	return http.StatusOK, map[string]any{"revision": s.revision}
}

func (s *store) postLease(r *http.Request) (int, any) {
	var body struct {
		TTL float64 `json:"ttlS_time"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || body.TTL < 1 {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastID++
	ttl := time.Duration(body.TTL * float64(time.Second))
	s.leases[s.lastID] = &lease{ttl: ttl, ends: time.Now().Add(ttl)}
	return http.StatusOK, map[string]any{"lease": s.lastID, "ttlS_time": body.TTL}
}

func (s *store) postKeep(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil {
		return http.StatusNotFound, nil
	}
	l.ends = time.Now().Add(l.ttl)
	return http.StatusOK, map[string]any{"ttlS_time": l.ttl.Seconds()}
}

func (s *store) deleteLease(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, nil
	}
	s.endLease(id)
	return http.StatusOK, nil
}
