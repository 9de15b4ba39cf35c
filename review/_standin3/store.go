package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is an item of the platform's store. Bytes are encoded as base64 text by the JSON
// package.
type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// kvStore is the platform's metadata store. It keeps its whole history, answers at once and
// loses nothing.
type kvStore struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []item
	leases   map[int64]*time.Timer
	ttls     map[int64]time.Duration
	next     int64
	changed  chan struct{}
	// floor is the revision up to which the history is discarded, and cut is closed then.
	floor int64
	cut   chan struct{}
	// oneWay is the time of a call or of its answer on the way, and answerTime that of the
	// store itself.
	oneWay, answerTime time.Duration
}

func newStore() *kvStore {
	return &kvStore{
		revision: 1, items: make(map[string]item), leases: make(map[int64]*time.Timer),
		ttls: make(map[int64]time.Duration), changed: make(chan struct{}), cut: make(chan struct{}),
	}
}

// write puts or removes a key under a revision. s.mu is held.
func (s *kvStore) write(it item) {
	if it.Deleted {
		if _, ok := s.items[it.Key]; !ok {
			return
		}
		delete(s.items, it.Key)
	} else {
		it.Created = it.Revision
		if old, ok := s.items[it.Key]; ok {
			it.Created = old.Created
		}
		s.items[it.Key] = it
	}
	s.history = append(s.history, it)
}

// wake ends the wait of the watches. s.mu is held.
func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// put writes a key as the operator or a runner does.
func (s *kvStore) put(key string, value any) int64 {
	b, err := json.Marshal(value)
	check(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Value: b, Revision: s.revision})
	s.wake()
	return s.revision
}

// remove removes a key as the platform does when a runner has left.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.write(item{Key: key, Revision: s.revision, Deleted: true})
	s.wake()
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/kv-key", s.get)
	mux.HandleFunc("GET /v1/kv-range", s.list)
	mux.HandleFunc("GET /v1/kv-watch", s.watch)
	mux.HandleFunc("POST /v1/kv-txn", s.txn)
	mux.HandleFunc("POST /v1/kv-lease", s.grant)
	mux.HandleFunc("POST /v1/kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /v1/kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(s.oneWay + s.answerTime)
		late := &delayed{ResponseWriter: w, by: s.oneWay}
		mux.ServeHTTP(late, r)
	})
}

// delayed sends an answer later.
type delayed struct {
	http.ResponseWriter
	by     time.Duration
	status int
}

func (d *delayed) WriteHeader(status int) { d.status = status }

func (d *delayed) Write(b []byte) (int, error) {
	time.Sleep(d.by)
	d.ResponseWriter.WriteHeader(d.status)
	return d.ResponseWriter.Write(b)
}

// discard discards the history and cuts the watches that wait.
func (s *kvStore) discard() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.floor, s.history = s.revision, nil
	close(s.cut)
	s.cut = make(chan struct{})
}

func reply(w http.ResponseWriter, status int, v any) {
	b, err := json.Marshal(v)
	check(err)
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(b)))
	w.WriteHeader(status)
	_, _ = w.Write(b)
}

type object = map[string]any

func (s *kvStore) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, http.StatusNotFound, object{})
		return
	}
	reply(w, http.StatusOK, it)
}

func (s *kvStore) list(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	page := []item{}
	for k, it := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			page = append(page, it)
		}
	}
	at := s.revision
	s.mu.Unlock()
	slices.SortFunc(page, func(a, b item) int { return strings.Compare(a.Key, b.Key) })
	n, size := 0, 0
	for n < len(page) && n < 500 && (n == 0 || size+len(page[n].Value) <= 1<<20) {
		size += len(page[n].Value)
		n++
	}
	reply(w, http.StatusOK, object{"items": page[:n], "has_more": n < len(page), "at": at})
}

func (s *kvStore) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	over := time.After(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	cut := s.cut
	s.mu.Unlock()
	for {
		s.mu.Lock()
		if after < s.floor {
			s.mu.Unlock()
			reply(w, http.StatusGone, object{})
			return
		}
		events := []item{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].Revision > after; i-- {
			if strings.HasPrefix(s.history[i].Key, q.Get("prefix")) {
				events = append(events, s.history[i])
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		slices.Reverse(events)
		done := len(events) > 0
		select {
		case <-over:
			done = true
		default:
		}
		if done {
			reply(w, http.StatusOK, object{"events": events, "at": at})
			return
		}
		select {
		case <-cut:
			panic(http.ErrAbortHandler)
		case <-changed:
		case <-over:
			reply(w, http.StatusOK, object{"events": events, "at": at})
			return
		case <-r.Context().Done():
			return
		}
	}
}

func (s *kvStore) txn(w http.ResponseWriter, r *http.Request) {
	var b struct {
		Conditions []condition `json:"expected_revision"`
		Puts       []put
		Remove     []string
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || len(b.Conditions)+len(b.Puts)+len(b.Remove) > 32 {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	status, out := s.apply(b.Conditions, b.Puts, b.Remove)
	reply(w, status, out)
}

type condition struct {
	Key      string
	Revision int64
}

type put struct {
	Key   string
	Value []byte
	Lease int64
}

// apply applies a transaction, all or nothing.
func (s *kvStore) apply(conditions []condition, puts []put, remove []string) (int, object) {
	s.mu.Lock()
	defer s.mu.Unlock()
	current, holds := []item{}, true
	for _, c := range conditions {
		it, ok := s.items[c.Key]
		if ok {
			current = append(current, it)
		}
		holds = holds && it.Revision == c.Revision
	}
	if !holds {
		return http.StatusPreconditionFailed, object{"items": current}
	}
	for _, p := range puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, object{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, object{}
		}
	}
	s.revision++
	for _, p := range puts {
		s.write(item{Key: p.Key, Value: p.Value, Revision: s.revision, Lease: p.Lease})
	}
	for _, k := range remove {
		s.write(item{Key: k, Revision: s.revision, Deleted: true})
	}
	s.wake()
	return http.StatusOK, object{"revision": s.revision}
}

func (s *kvStore) grant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil || b.TTL < 1000 {
		reply(w, http.StatusBadRequest, object{})
		return
	}
	s.mu.Lock()
	s.next++
	id, ttl := s.next, time.Duration(b.TTL)*time.Millisecond
	s.ttls[id] = ttl
	s.leases[id] = time.AfterFunc(ttl, func() { s.expire(id) })
	s.mu.Unlock()
	reply(w, http.StatusOK, object{"lease": id, "ttl_ms": b.TTL})
}

// expire ends a lease and removes its keys.
func (s *kvStore) expire(id int64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.leases[id]
	if t == nil {
		return false
	}
	t.Stop()
	delete(s.leases, id)
	s.revision++
	for k, it := range s.items {
		if it.Lease == id {
			s.write(item{Key: k, Revision: s.revision, Deleted: true})
		}
	}
	s.wake()
	return true
}

func (s *kvStore) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	t, ttl := s.leases[id], s.ttls[id]
	renewed := t != nil && t.Stop()
	if renewed {
		t.Reset(ttl)
	}
	s.mu.Unlock()
	if !renewed {
		reply(w, http.StatusNotFound, object{})
		return
	}
	reply(w, http.StatusOK, object{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *kvStore) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	if !s.expire(id) {
		reply(w, http.StatusNotFound, object{})
		return
	}
	reply(w, http.StatusOK, object{})
}
