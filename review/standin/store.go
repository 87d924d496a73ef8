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

// store is a stand-in of the platform's key-value store (PROTOCOL.md, "The platform's metadata store").
type store struct {
	mu       sync.Mutex
	items    map[string]item
	history  []event
	leases   map[int64]*lease
	revision int64
	nextID   int64
	changed  chan struct{}
}

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev"`
	Lease      int64  `json:"lease"`
}

type event struct {
	item
	Tombstone bool `json:"tombstone,omitempty"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

func newStore() *store {
	return &store{items: make(map[string]item), leases: make(map[int64]*lease), revision: 100, changed: make(chan struct{})}
}

// put writes a key as the operator or a minion does. The caller must not hold the lock.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

func (s *store) delete(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.unset(key)
	s.wake()
}

func (s *store) set(key string, value []byte, leaseID int64) {
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	i := item{key, value, s.revision, created, leaseID}
	s.items[key] = i
	s.history = append(s.history, event{item: i})
}

func (s *store) unset(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.history = append(s.history, event{item{Key: key, Revision: s.revision}, true})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// expire ends the leases that are over.
func (s *store) expire() {
	for id, l := range s.leases {
		if time.Now().After(l.end) {
			s.end(id)
		}
	}
}

func (s *store) end(id int64) {
	delete(s.leases, id)
	s.revision++
	for key, i := range s.items {
		if i.Lease == id {
			s.unset(key)
		}
	}
	s.wake()
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.revoke)
	return mux
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	s.expire()
	i, ok := s.items[r.URL.Query().Get("key")]
	s.mu.Unlock()
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	reply(w, 200, i)
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	const pageSize = 500
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	s.mu.Lock()
	s.expire()
	list := []item{}
	for key, i := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			list = append(list, i)
		}
	}
	revision := s.revision
	s.mu.Unlock()
	sort.Slice(list, func(a, b int) bool { return list[a].Key < list[b].Key })
	more := len(list) > pageSize
	if more {
		list = list[:pageSize]
	}
	reply(w, 200, map[string]any{"items": list, "truncated": more, "store_revision": revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.Now().Add(time.Duration(waitMS) * time.Millisecond)
	for {
		s.mu.Lock()
		s.expire()
		events := []event{}
		for _, e := range s.history {
			if e.Revision > after && strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || time.Now().After(deadline) {
			reply(w, 200, map[string]any{"events": events, "store_revision": revision})
			return
		}
		// Leases end without a call, so the wait is cut into short ones.
		select {
		case <-changed:
		case <-time.After(20 * time.Millisecond):
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var t struct {
		Expected []struct {
			Key      string `json:"key"`
			Revision int64  `json:"revision"`
		} `json:"expected_rev"`
		Puts []struct {
			Key   string `json:"key"`
			Value []byte `json:"value"`
			Lease int64  `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		reply(w, 400, err.Error())
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	current, holds := []item{}, true
	for _, c := range t.Expected {
		i, ok := s.items[c.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && i.Revision == c.Revision
	}
	if !holds {
		reply(w, 412, map[string]any{"items": current})
		return
	}
	for _, p := range t.Puts {
		if _, ok := s.leases[p.Lease]; p.Lease != 0 && !ok {
			reply(w, 404, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, key := range t.Remove {
		s.unset(key)
	}
	s.wake()
	reply(w, 200, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTLMS int64 `json:"ttl_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		reply(w, 400, err.Error())
		return
	}
	ttl := time.Duration(body.TTLMS) * time.Millisecond
	s.mu.Lock()
	s.nextID++
	id := s.nextID
	s.leases[id] = &lease{ttl, time.Now().Add(ttl)}
	s.mu.Unlock()
	reply(w, 200, map[string]int64{"lease": id, "ttl_ms": body.TTLMS})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire()
	l, ok := s.leases[id]
	if !ok {
		reply(w, 404, struct{}{})
		return
	}
	l.end = time.Now().Add(l.ttl)
	reply(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) revoke(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; ok {
		s.end(id)
	}
	reply(w, 200, struct{}{})
}
