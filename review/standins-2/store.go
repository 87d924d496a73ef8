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

// storeDelay is how long the store takes to answer (the site files say 4 ms).
const storeDelay = 4 * time.Millisecond

type item struct {
	Key       string `json:"key"`
	Value     []byte `json:"value"`
	Revision  int64  `json:"revision"`
	Created   int64  `json:"created_rev"`
	Lease     int64  `json:"lease"`
	Tombstone bool   `json:"tombstone,omitempty"`
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// store is a stand-in of the platform's metadata store.
type store struct {
	mu       sync.Mutex
	changed  *sync.Cond
	revision int64
	items    map[string]item
	events   []item
	leases   map[int64]*lease
	nextID   int64
	// down is set while the store answers every call with 503. Leases run on meanwhile.
	down bool
}

func newStore() *store {
	s := &store{revision: 1, items: map[string]item{}, leases: map[int64]*lease{}}
	s.changed = sync.NewCond(&s.mu)
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.expiry) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
			s.changed.Broadcast()
		}
	}()
	return s
}

func (s *store) setDown(down bool) {
	s.mu.Lock()
	s.down = down
	s.mu.Unlock()
	s.changed.Broadcast()
}

func (s *store) isDown() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.down
}

// endLease removes a lease with its keys. The caller holds mu.
func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for k, i := range s.items {
		if i.Lease == id {
			keys = append(keys, k)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, k := range keys {
		s.remove(k)
	}
}

func (s *store) remove(key string) {
	delete(s.items, key)
	s.events = append(s.events, item{Key: key, Revision: s.revision, Tombstone: true})
}

func (s *store) set(key string, value []byte, lease int64) {
	i := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: lease}
	if old, ok := s.items[key]; ok {
		i.Created = old.Created
	}
	s.items[key] = i
	s.events = append(s.events, i)
}

// put writes a key for the operator or a worker. It reports whether the store took it.
func (s *store) put(key string, value []byte) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return false
	}
	s.revision++
	s.set(key, value, 0)
	s.changed.Broadcast()
	return true
}

func answer(w http.ResponseWriter, status int, body any) {
	raw, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(raw)
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /kv-key", s.get)
	mux.HandleFunc("GET /kv-range", s.list)
	mux.HandleFunc("GET /kv-watch", s.watch)
	mux.HandleFunc("POST /kv-txn", s.txn)
	mux.HandleFunc("POST /kv-lease", s.grant)
	mux.HandleFunc("POST /kv-keep/{id}", s.keep)
	mux.HandleFunc("DELETE /kv-lease-end/{id}", s.end)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(storeDelay)
		if s.isDown() {
			answer(w, 503, struct{}{})
			return
		}
		mux.ServeHTTP(w, r)
	})
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	i, ok := s.items[r.URL.Query().Get("key")]
	if !ok {
		answer(w, 404, map[string]int64{"store_revision": s.revision})
		return
	}
	answer(w, 200, struct {
		item
		StoreRevision int64 `json:"store_revision"`
	}{i, s.revision})
}

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	prefix, after := r.URL.Query().Get("prefix"), r.URL.Query().Get("after")
	items := []item{}
	for k, i := range s.items {
		if strings.HasPrefix(k, prefix) && k > after {
			items = append(items, i)
		}
	}
	sort.Slice(items, func(a, b int) bool { return items[a].Key < items[b].Key })
	truncated := len(items) > 500
	if truncated {
		items = items[:500]
	}
	answer(w, 200, map[string]any{"items": items, "truncated": truncated, "store_revision": s.revision})
}

func (s *store) watch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	wait, _ := strconv.ParseInt(q.Get("wait_ms"), 10, 64)
	until := time.Now().Add(time.Duration(wait) * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	for {
		if s.down {
			answer(w, 503, struct{}{})
			return
		}
		events := []item{}
		first := sort.Search(len(s.events), func(k int) bool { return s.events[k].Revision > after })
		for _, e := range s.events[first:] {
			if strings.HasPrefix(e.Key, q.Get("prefix")) {
				events = append(events, e)
			}
		}
		if len(events) > 0 || !time.Now().Before(until) || r.Context().Err() != nil {
			answer(w, 200, map[string]any{"events": events, "store_revision": s.revision})
			return
		}
		// The ticker of the leases wakes all waiting watches.
		s.changed.Wait()
	}
}

func (s *store) txn(w http.ResponseWriter, r *http.Request) {
	var body struct {
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
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil || len(body.Expected)+len(body.Puts)+len(body.Remove) > 32 {
		answer(w, 400, struct{}{})
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		answer(w, 503, struct{}{})
		return
	}
	current, holds := []item{}, true
	for _, e := range body.Expected {
		i, ok := s.items[e.Key]
		if ok {
			current = append(current, i)
		}
		holds = holds && (ok && i.Revision == e.Revision || !ok && e.Revision == 0)
	}
	if !holds {
		answer(w, 412, map[string]any{"items": current, "store_revision": s.revision})
		return
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, 404, struct{}{})
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, 403, struct{}{})
			return
		}
	}
	s.revision++
	for _, p := range body.Puts {
		s.set(p.Key, p.Value, p.Lease)
	}
	for _, k := range body.Remove {
		if _, ok := s.items[k]; ok {
			s.remove(k)
		}
	}
	s.changed.Broadcast()
	answer(w, 200, map[string]int64{"revision": s.revision})
}

func (s *store) grant(w http.ResponseWriter, r *http.Request) {
	var body struct {
		TTL int64 `json:"ttl_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	ttl := min(max(body.TTL, 1000), 600_000)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.nextID++
	d := time.Duration(ttl) * time.Millisecond
	s.leases[s.nextID] = &lease{d, time.Now().Add(d)}
	answer(w, 200, map[string]int64{"lease": s.nextID, "ttl_ms": ttl})
}

func (s *store) keep(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	l, ok := s.leases[id]
	if !ok {
		answer(w, 404, struct{}{})
		return
	}
	l.expiry = time.Now().Add(l.ttl)
	answer(w, 200, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
}

func (s *store) end(w http.ResponseWriter, r *http.Request) {
	id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.leases[id]; !ok {
		answer(w, 404, struct{}{})
		return
	}
	s.endLease(id)
	s.changed.Broadcast()
	answer(w, 200, struct{}{})
}
