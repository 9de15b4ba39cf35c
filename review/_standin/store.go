package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// storeLatency is the time of one call.
	storeLatency = 4 * time.Millisecond
	// valueBytes, writesPerSecond and readsPerSecond are the limits in the settings.
	valueBytes      = 1 << 20
	writesPerSecond = 400
	readsPerSecond  = 2000
	// maxTxnEntries, pageItems and pageBytes are the limits of the protocol.
	maxTxnEntries = 32
	pageItems     = 500
	pageBytes     = 1 << 20
	// storePause is how long expired leases are looked for.
	leaseInterval = 20 * time.Millisecond
)

type item struct {
	Key      string `json:"key"`
	Value    []byte `json:"value,omitempty"`
	Revision int64  `json:"revision"`
	Created  int64  `json:"created,omitempty"`
	Lease    int64  `json:"lease,omitempty"`
	Deleted  bool   `json:"deleted,omitempty"`
}

type lease struct {
	ttl     time.Duration
	expires time.Time
}

// kvStore is the platform's metadata store.
type kvStore struct {
	log *record

	mu       sync.Mutex
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	changed  chan struct{}
	// down makes all calls fail with 503. Leases are paused meanwhile.
	down      bool
	downSince time.Time
	// writes and reads are the calls that may still be made, as of filledAt.
	writes, reads float64
	filledAt      time.Time
	refused       map[int]int
}

func newStore(log *record) *kvStore {
	s := &kvStore{
		log: log, revision: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}),
		writes: writesPerSecond, reads: readsPerSecond, filledAt: time.Now(), refused: make(map[int]int),
	}
	go s.expireLeases()
	return s
}

func (s *kvStore) expireLeases() {
	for {
		time.Sleep(leaseInterval)
		s.mu.Lock()
		for id, l := range s.leases {
			if !s.down && time.Now().After(l.expires) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *kvStore) endLease(id int64) {
	delete(s.leases, id)
	for k, it := range s.items {
		if it.Lease == id {
			s.revision++
			s.delete(k)
			s.notify()
		}
	}
}

// setDown begins or ends an outage.
func (s *kvStore) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down && !down {
		for _, l := range s.leases {
			l.expires = l.expires.Add(time.Since(s.downSince))
		}
	}
	s.down, s.downSince = down, time.Now()
	s.notify()
}

func (s *kvStore) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *kvStore) put(key string, value []byte, leaseID int64) {
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if old, ok := s.items[key]; ok {
		it.Created = old.Created
	}
	s.items[key] = it
	s.events = append(s.events, it)
}

func (s *kvStore) delete(key string) {
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Deleted: true})
}

// write writes a key for the operator or a runner.
func (s *kvStore) write(key string, value any) {
	b, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.put(key, b, 0)
	s.notify()
}

// remove removes a key for a runner.
func (s *kvStore) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.items[key]; ok {
		s.revision++
		s.delete(key)
		s.notify()
	}
}

// size returns the size of a value.
func (s *kvStore) size(key string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items[key].Value)
}

// admit applies the rate limits and the outage. It returns the status of a refusal, 0 for none.
func (s *kvStore) admit(write bool, cost float64) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	passed := now.Sub(s.filledAt).Seconds()
	s.filledAt = now
	s.writes = min(s.writes+passed*writesPerSecond, writesPerSecond)
	s.reads = min(s.reads+passed*readsPerSecond, readsPerSecond)
	budget := &s.reads
	if write {
		budget = &s.writes
	}
	status := 0
	switch {
	case s.down:
		status = http.StatusServiceUnavailable
	case *budget < cost:
		status = http.StatusTooManyRequests
	default:
		*budget -= cost
	}
	if status != 0 {
		s.refused[status]++
	}
	return status
}

func (s *kvStore) handler() http.Handler {
	mux := http.NewServeMux()
	handle := func(pattern string, write bool, cost float64, h http.HandlerFunc) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(storeLatency)
			if status := s.admit(write, cost); status != 0 {
				w.WriteHeader(status)
				return
			}
			h(w, r)
		})
	}
	handle("GET /v1/kv-key", false, 1, s.serveKey)
	handle("GET /v1/kv-range", false, 1, s.serveRange)
	handle("GET /v1/kv-watch", false, 1, s.serveWatch)
	handle("POST /v1/kv-txn", true, 1, s.serveTxn)
	handle("POST /v1/kv-lease", true, 1, s.serveGrant)
	handle("POST /v1/kv-keep/{id}", false, 0.1, s.serveKeep)
	handle("DELETE /v1/kv-lease-end/{id}", true, 1, s.serveEnd)
	return mux
}

func (s *kvStore) serveKey(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	it, ok := s.items[r.URL.Query().Get("key")]
	at := s.revision
	s.mu.Unlock()
	if !ok {
		writeJSON(w, http.StatusNotFound, object{"at": at})
		return
	}
	writeJSON(w, http.StatusOK, struct {
		item
		At int64 `json:"at"`
	}{it, at})
}

func (s *kvStore) serveRange(w http.ResponseWriter, r *http.Request) {
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	var keys []string
	for k := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	page, size := []item{}, 0
	for _, k := range keys {
		if len(page) == pageItems || size > pageBytes {
			break
		}
		page = append(page, s.items[k])
		size += len(s.items[k].Value)
	}
	at := s.revision
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, object{"items": page, "has_more": len(page) < len(keys), "at": at})
}

func (s *kvStore) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	end := time.After(time.Duration(wait) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		events := []item{}
		first := sort.Search(len(s.events), func(i int) bool { return s.events[i].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		at, changed, down := s.revision, s.changed, s.down
		s.mu.Unlock()
		if down {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		if len(events) > 0 || !waiting {
			writeJSON(w, http.StatusOK, object{"events": events, "at": at})
			return
		}
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

type txnBody struct {
	Conditions []struct {
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

func (s *kvStore) serveTxn(w http.ResponseWriter, r *http.Request) {
	var b txnBody
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || len(b.Conditions)+len(b.Puts)+len(b.Remove) > maxTxnEntries {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range b.Puts {
		switch {
		case len(p.Value) > valueBytes:
			if s.refused[http.StatusBadRequest]++; s.refused[http.StatusBadRequest]%100 == 1 {
				s.log.printf("store: 400 for a value of %d bytes under %s; value_bytes is %d", len(p.Value), p.Key, valueBytes)
			}
			w.WriteHeader(http.StatusBadRequest)
			return
		case strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/"):
			w.WriteHeader(http.StatusForbidden)
			return
		case p.Lease != 0 && s.leases[p.Lease] == nil:
			w.WriteHeader(http.StatusNotFound)
			return
		}
	}
	held, current := true, []item{}
	for _, c := range b.Conditions {
		it, ok := s.items[c.Key]
		held = held && it.Revision == c.Revision
		if ok {
			current = append(current, it)
		}
	}
	if !held {
		writeJSON(w, http.StatusPreconditionFailed, object{"items": current})
		return
	}
	s.revision++
	for _, p := range b.Puts {
		s.put(p.Key, p.Value, p.Lease)
	}
	for _, k := range b.Remove {
		if _, ok := s.items[k]; ok {
			s.delete(k)
		}
	}
	s.notify()
	writeJSON(w, http.StatusOK, object{"revision": s.revision})
}

func (s *kvStore) serveGrant(w http.ResponseWriter, r *http.Request) {
	var b struct {
		TTL int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	ttl := max(time.Duration(b.TTL)*time.Millisecond, time.Second)
	s.mu.Lock()
	s.revision++
	id := s.revision
	s.leases[id] = &lease{ttl: ttl, expires: time.Now().Add(ttl)}
	s.mu.Unlock()
	writeJSON(w, http.StatusOK, object{"lease": id, "ttl_ms": ttl.Milliseconds()})
}

func (s *kvStore) serveKeep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	l := s.leases[id]
	if l != nil {
		l.expires = time.Now().Add(l.ttl)
	}
	s.mu.Unlock()
	if l == nil {
		writeJSON(w, http.StatusNotFound, object{})
		return
	}
	writeJSON(w, http.StatusOK, object{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *kvStore) serveEnd(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.leases[id] == nil {
		writeJSON(w, http.StatusNotFound, object{})
		return
	}
	s.endLease(id)
	writeJSON(w, http.StatusOK, object{})
}

type object = map[string]any

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if err := json.NewEncoder(w).Encode(body); err != nil {
		fmt.Println("response not sent:", err)
	}
}
