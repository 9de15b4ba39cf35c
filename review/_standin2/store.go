package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

// storeDelay is the time of the platform's store for an answer.
const storeDelay = 4 * time.Millisecond

// kvItem is an item as the store sends it.
type kvItem struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type kvLease struct {
	ttl time.Duration
	end time.Time
}

// kvStore is the platform's store in memory.
type kvStore struct {
	mu       sync.Mutex
	items    map[string]kvItem
	leases   map[int64]*kvLease
	revision int64
	history  []kvItem
	changed  chan struct{}
}

func newStore() *kvStore {
	s := &kvStore{items: make(map[string]kvItem), leases: make(map[int64]*kvLease), revision: 1, changed: make(chan struct{})}
	go func() {
		for range time.Tick(20 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.end) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

func (s *kvStore) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) put(key string, value []byte, lease int64) {
	it := kvItem{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.history = append(s.history, it)
}

func (s *kvStore) remove(key string) {
	if _, ok := s.items[key]; ok {
		delete(s.items, key)
		s.history = append(s.history, kvItem{Key: key, Revision: s.revision, Deleted: true})
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.remove(key)
		}
	}
	s.wake()
}

// write writes a key as the operator and the runners do.
func (s *kvStore) write(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, value, 0)
	s.wake()
}

// erase removes a key as the platform does with the entry of a runner that is gone.
func (s *kvStore) erase(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.remove(key)
	s.wake()
}

func (s *kvStore) get(key string) (kvItem, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[key]
	return it, ok
}

func (s *kvStore) serve(mux *http.ServeMux) {
	handle := func(pattern string, h func(r *http.Request) (int, any)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeDelay)
			status, body := h(r)
			reply(w, status, body)
		})
	}
	handle("GET /v1/kv-key", s.handleGet)
	handle("GET /v1/kv-range", s.handleRange)
	handle("GET /v1/kv-watch", s.handleWatch)
	handle("POST /v1/kv-txn", s.handleTxn)
	handle("POST /v1/kv-lease", s.handleGrant)
	handle("POST /v1/kv-keep/{id}", s.handleKeep)
	handle("DELETE /v1/kv-lease-end/{id}", s.handleEnd)
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

type object = map[string]any

func (s *kvStore) handleGet(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	it, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		return http.StatusNotFound, object{}
	}
	return http.StatusOK, object{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "at": s.revision}
}

// pageItems is the number of items on a page of a range.
const pageItems = 500

func (s *kvStore) handleRange(r *http.Request) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	all := []kvItem{}
	for key, it := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			all = append(all, it)
		}
	}
	sort.Slice(all, func(i, j int) bool { return all[i].Key < all[j].Key })
	n := min(len(all), pageItems)
	return http.StatusOK, object{"items": all[:n], "has_more": n < len(all), "at": s.revision}
}

func (s *kvStore) handleWatch(r *http.Request) (int, any) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	end := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		events := []kvItem{}
		first := sort.Search(len(s.history), func(i int) bool { return s.history[i].Revision > after })
		for _, it := range s.history[first:] {
			if strings.HasPrefix(it.Key, q.Get("prefix")) {
				events = append(events, it)
			}
		}
		at, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 {
			return http.StatusOK, object{"events": events, "at": at}
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return http.StatusOK, object{"events": events, "at": at}
		case <-end:
			return http.StatusOK, object{"events": events, "at": at}
		}
	}
}

type kvTxn struct {
	Expected []struct {
		Key      string `json:"key"`
		Revision int64  `json:"revision"`
	} `json:"expected_revision"`
	Puts []struct {
		Key   string `json:"key"`
		Value []byte `json:"value"`
		Lease int64  `json:"lease"`
	} `json:"puts"`
	Remove []string `json:"remove"`
}

func (s *kvStore) handleTxn(r *http.Request) (int, any) {
	var t kvTxn
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > 32 {
		return http.StatusBadRequest, object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, current := true, []kvItem{}
	for _, e := range t.Expected {
		it, ok := s.items[e.Key]
		holds = holds && it.Revision == e.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !holds {
		return http.StatusPreconditionFailed, object{"items": current}
	}
	for _, p := range t.Puts {
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return http.StatusForbidden, object{}
		}
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return http.StatusNotFound, object{}
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.remove(key)
	}
	s.wake()
	return http.StatusOK, object{"revision": s.revision}
}

func (s *kvStore) handleGrant(r *http.Request) (int, any) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if json.NewDecoder(r.Body).Decode(&b) != nil {
		return http.StatusBadRequest, object{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	ttl := min(max(time.Duration(b.TTL)*time.Millisecond, time.Second), 10*time.Minute)
	s.revision++
	s.leases[s.revision] = &kvLease{ttl: ttl, end: time.Now().Add(ttl)}
	return http.StatusOK, object{"lease": s.revision, "ttl_ms": ttl.Milliseconds()}
}

func (s *kvStore) handleKeep(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l := s.leases[id]
	if l == nil || time.Now().After(l.end) {
		return http.StatusNotFound, object{}
	}
	l.end = time.Now().Add(l.ttl)
	return http.StatusOK, object{"lease": id, "ttl_ms": l.ttl.Milliseconds()}
}

func (s *kvStore) handleEnd(r *http.Request) (int, any) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		return http.StatusNotFound, object{}
	}
	s.endLease(id)
	return http.StatusOK, object{}
}
