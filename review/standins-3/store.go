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

// store is a small stand-in of the platform's metadata store. Each instance reaches it at an address of its own, so that the stand-in
// knows who calls.
type store struct {
	mu       sync.Mutex
	revision int64
	items    map[string]item
	history  []event
	leases   map[int64]*lease
	changed  chan struct{}
	// lastWriter is the instance that last wrote under a condition.
	lastWriter int
	// delay is how long each call takes.
	delay time.Duration
	// down is set while the store answers every call with 503.
	down bool
}

type item struct {
	Key        string `json:"key"`
	Value      []byte `json:"value"`
	Revision   int64  `json:"revision"`
	CreatedRev int64  `json:"created_rev"`
	Lease      int64  `json:"lease"`
}

type event struct {
	key       string
	revision  int64
	tombstone bool
	item      item
}

type lease struct {
	ttl    time.Duration
	expiry time.Time
}

// Limits of the store's answers.
const (
	pageItems = 500
	pageBytes = 1 << 20
	maxTxn    = 32
)

func newStore() *store {
	s := &store{revision: 1, items: make(map[string]item), leases: make(map[int64]*lease), changed: make(chan struct{}), lastWriter: -1,
		delay: 4 * time.Millisecond}
	go func() {
		for range time.Tick(10 * time.Millisecond) {
			s.mu.Lock()
			for id, l := range s.leases {
				if time.Now().After(l.expiry) {
					s.endLease(id)
				}
			}
			s.mu.Unlock()
		}
	}()
	return s
}

// put writes a value on behalf of the operator or a worker. A nil value removes the key.
func (s *store) put(key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision++
	s.set(key, value, 0)
	s.wake()
}

// putUnlessDown writes a registration. The worker writes the next one with its next heartbeat.
func (s *store) putUnlessDown(key string, value []byte) {
	s.mu.Lock()
	down := s.down
	s.mu.Unlock()
	if !down {
		s.put(key, value)
	}
}

func (s *store) set(key string, value []byte, leaseID int64) {
	if value == nil {
		if _, ok := s.items[key]; ok {
			delete(s.items, key)
			s.history = append(s.history, event{key: key, revision: s.revision, tombstone: true})
		}
		return
	}
	created := s.revision
	if old, ok := s.items[key]; ok {
		created = old.CreatedRev
	}
	i := item{key, value, s.revision, created, leaseID}
	s.items[key] = i
	s.history = append(s.history, event{key: key, revision: s.revision, item: i})
}

func (s *store) wake() {
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) endLease(id int64) {
	delete(s.leases, id)
	var keys []string
	for key, i := range s.items {
		if i.Lease == id {
			keys = append(keys, key)
		}
	}
	if len(keys) == 0 {
		return
	}
	s.revision++
	for _, key := range keys {
		s.set(key, nil, 0)
	}
	s.wake()
}

// setDown begins or ends an outage. Leases run out meanwhile. Watches that wait are cut.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.wake()
}

// handler returns the handler of the calls of one instance.
func (s *store) handler(instance int) http.Handler {
	mux := http.NewServeMux()
	locked := func(pattern string, f func(w http.ResponseWriter, r *http.Request)) {
		mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
			time.Sleep(s.delay)
			s.mu.Lock()
			defer s.mu.Unlock()
			if s.down {
				answer(w, http.StatusServiceUnavailable, nil)
				return
			}
			f(w, r)
		})
	}
	locked("GET /kv-key", func(w http.ResponseWriter, r *http.Request) {
		i, ok := s.items[r.URL.Query().Get("key")]
		if !ok {
			answer(w, http.StatusNotFound, map[string]int64{"store_revision": s.revision})
			return
		}
		answer(w, http.StatusOK, struct {
			item
			StoreRevision int64 `json:"store_revision"`
		}{i, s.revision})
	})
	locked("GET /kv-range", s.serveRange)
	mux.HandleFunc("GET /kv-watch", s.serveWatch)
	locked("POST /kv-txn", func(w http.ResponseWriter, r *http.Request) { s.serveTxn(w, r, instance) })
	locked("POST /kv-lease", func(w http.ResponseWriter, r *http.Request) {
		var c struct {
			TTLMS int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&c) != nil {
			answer(w, http.StatusBadRequest, nil)
			return
		}
		ms := max(c.TTLMS, 1000)
		s.revision++
		s.leases[s.revision] = &lease{time.Duration(ms) * time.Millisecond, time.Now().Add(time.Duration(ms) * time.Millisecond)}
		answer(w, http.StatusOK, map[string]int64{"lease": s.revision, "ttl_ms": ms})
	})
	locked("POST /kv-keep/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		l := s.leases[id]
		if l == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
		l.expiry = time.Now().Add(l.ttl)
		answer(w, http.StatusOK, map[string]int64{"ttl_ms": l.ttl.Milliseconds()})
	})
	locked("DELETE /kv-lease-end/{id}", func(w http.ResponseWriter, r *http.Request) {
		id, _ := strconv.ParseInt(r.PathValue("id"), 10, 64)
		if s.leases[id] == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
		s.endLease(id)
		answer(w, http.StatusOK, nil)
	})
	return mux
}

func (s *store) serveRange(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, q.Get("prefix")) && key > q.Get("after") {
			keys = append(keys, key)
		}
	}
	sort.Strings(keys)
	list, size := []item{}, 0
	for _, key := range keys {
		if len(list) == pageItems || len(list) > 0 && size+len(s.items[key].Value) > pageBytes*3/4 {
			break
		}
		list = append(list, s.items[key])
		size += len(s.items[key].Value)
	}
	answer(w, http.StatusOK, map[string]any{"items": list, "truncated": len(list) < len(keys), "store_revision": s.revision})
}

func (s *store) serveWatch(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseInt(q.Get("after"), 10, 64)
	waitMS, _ := strconv.Atoi(q.Get("wait_ms"))
	deadline := time.NewTimer(time.Duration(waitMS) * time.Millisecond)
	defer deadline.Stop()
	time.Sleep(s.delay)
	for over := false; ; {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			answer(w, http.StatusServiceUnavailable, nil)
			return
		}
		events := []any{}
		for i := len(s.history) - 1; i >= 0 && s.history[i].revision > after; i-- {
			e := s.history[i]
			switch {
			case !strings.HasPrefix(e.key, q.Get("prefix")):
			case e.tombstone:
				events = append(events, map[string]any{"key": e.key, "revision": e.revision, "tombstone": true})
			default:
				events = append(events, e.item)
			}
		}
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		if len(events) > 0 || over {
			for i, k := 0, len(events)-1; i < k; i, k = i+1, k-1 {
				events[i], events[k] = events[k], events[i]
			}
			answer(w, http.StatusOK, map[string]any{"events": events, "store_revision": revision})
			return
		}
		select {
		case <-changed:
		case <-deadline.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) serveTxn(w http.ResponseWriter, r *http.Request, instance int) {
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
	if json.NewDecoder(r.Body).Decode(&t) != nil || len(t.Expected)+len(t.Puts)+len(t.Remove) > maxTxn {
		answer(w, http.StatusBadRequest, nil)
		return
	}
	now, conflict := []item{}, false
	for _, e := range t.Expected {
		i, ok := s.items[e.Key]
		if ok {
			now = append(now, i)
		}
		conflict = conflict || i.Revision != e.Revision
	}
	if conflict {
		answer(w, http.StatusPreconditionFailed, map[string]any{"items": now, "store_revision": s.revision})
		return
	}
	for _, p := range t.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			answer(w, http.StatusNotFound, nil)
			return
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			answer(w, http.StatusForbidden, nil)
			return
		}
	}
	s.revision++
	for _, p := range t.Puts {
		value := p.Value
		if value == nil {
			value = []byte{}
		}
		s.set(p.Key, value, p.Lease)
	}
	for _, key := range t.Remove {
		s.set(key, nil, 0)
	}
	if len(t.Expected) > 0 {
		s.lastWriter = instance
	}
	s.wake()
	answer(w, http.StatusOK, map[string]int64{"revision": s.revision})
}

// leader returns the instance that last wrote under a condition.
func (s *store) leader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	if body == nil {
		body = struct{}{}
	}
	raw, err := json.Marshal(body)
	if err != nil {
		status = http.StatusInternalServerError
	}
	w.WriteHeader(status)
	// The caller may have gone.
	_, _ = w.Write(raw)
}
