package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

// heartbeatMS is the interval in which a minion writes its entry.
const heartbeatMS = 1500

// maxEnds is how many ends a report lists at most.
const maxEnds = 500

// lasts is the work of a task that lasts.
const lasts = time.Hour

// minion is a stand-in of one life of a minion (PROTOCOL.md, "Running tasks"). The spec of a task is
// the time in ms that it works.
type minion struct {
	id, address, service, zone, kind, rack string
	born                                   int64
	start                                  time.Time
	store                                  *store
	record                                 *record
	gangs                                  *gangs
	listener                               net.Listener
	server                                 *http.Server

	mu      sync.Mutex
	silent  bool
	fence   int64
	until   int64
	running map[string]*running
	over    map[string]int
	ends    []ended
	lastEnd int64
	news    chan struct{}
	stopped chan struct{}
}

type running struct {
	run   int
	began time.Time
	work  time.Duration
	// gang is nil for tasks that work alone.
	gang *gangRun
}

// gangs knows which steps are gangs, as the platform does from the job.
type gangs struct {
	mu sync.Mutex
	// members is the number of members by step.
	members map[string]int
	runs    map[string]*gangRun
}

// gangRun is one run of a gang. Its members work once all are there, farX times as long on several racks.
type gangRun struct {
	members int
	racks   map[string]bool
	there   map[string]bool
	full    time.Time
	// over is set once a member has ended in another way than with all others.
	over bool
}

// farX, gangMS and holdMaxMS are bounds of the site.
const (
	farX      = 3
	gangMS    = 3000
	holdMaxMS = 10_000
)

func (g *gangs) add(step string, members int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.members[step] = members
}

// join adds a member to its gang's run, and returns nil for a task of another kind.
func (g *gangs) join(task string, run int, rack string) *gangRun {
	g.mu.Lock()
	defer g.mu.Unlock()
	step := task[:strings.LastIndex(task, ".")]
	n, ok := g.members[step]
	if !ok {
		return nil
	}
	key := fmt.Sprint(step, "#", run)
	r, ok := g.runs[key]
	if !ok {
		r = &gangRun{members: n, racks: make(map[string]bool), there: make(map[string]bool)}
		g.runs[key] = r
	}
	r.there[task], r.racks[rack] = true, true
	if len(r.there) == n && r.full.IsZero() {
		r.full = time.Now()
	}
	return r
}

// end lets the other members of a gang's run end as broken.
func (g *gangs) end(r *gangRun) {
	g.mu.Lock()
	defer g.mu.Unlock()
	r.over = true
}

// result returns how a member's run ends now, or "" while it goes on.
func (g *gangs) result(r *running) string {
	g.mu.Lock()
	defer g.mu.Unlock()
	work := r.work
	if len(r.gang.racks) > 1 {
		work *= farX
	}
	switch {
	case r.gang.over:
		return "broken"
	case r.gang.full.IsZero() && time.Since(r.began) > gangMS*time.Millisecond:
		return "alone"
	case !r.gang.full.IsZero() && time.Since(r.gang.full) >= work:
		return "done"
	}
	return ""
}

type ended struct {
	number int64
	task   string
	run    int
	how    string
}

// startMinion starts a minion that listens on a free port of a loopback address and registers itself.
func startMinion(s *store, rec *record, g *gangs, id, service, zone, kind, rack string) (*minion, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	m := &minion{id: id, address: l.Addr().String(), service: service, zone: zone, kind: kind, rack: rack, born: time.Now().UnixMilli(),
		start: time.Now(), store: s, record: rec, gangs: g, listener: l, running: make(map[string]*running), over: make(map[string]int),
		news: make(chan struct{}), stopped: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", m.serve(m.runStart))
	mux.HandleFunc("POST /run-stop", m.serve(m.runStop))
	mux.HandleFunc("POST /hold", m.hold)
	mux.HandleFunc("GET /health", func(w http.ResponseWriter, r *http.Request) {
		if !m.hang(r) {
			reply(w, 200, struct{}{})
		}
	})
	m.server = &http.Server{Handler: mux}
	go func() { _ = m.server.Serve(l) }()
	go m.beat()
	go m.work()
	return m, nil
}

func (m *minion) beat() {
	for seq := 1; ; seq++ {
		value, _ := json.Marshal(map[string]any{"service": m.service, "addr": m.address, "zone": m.zone, "version": "v1", "slots": 8,
			"state": "ready", "cold_left_ms": 0, "capacity": map[string]int{"cpu": 16000, "mem_mb": 32768, "gpu": 0},
			"labels": []string{m.kind, m.rack}, "clock_ms": m.clock(), "seq": seq, "born": m.born})
		m.store.put("servers/"+m.id, value)
		select {
		case <-m.stopped:
			return
		case <-time.After(heartbeatMS * time.Millisecond):
		}
	}
}

// lose takes the minion's power: it ends all that runs, answers nothing more, and its entry is removed
// after three heartbeat intervals.
func (m *minion) lose() {
	m.mu.Lock()
	m.silent = true
	clear(m.running)
	m.mu.Unlock()
	close(m.stopped)
	m.record.add("minion %s (kind %s) loses power for good", m.id, m.kind)
	time.AfterFunc(3*heartbeatMS*time.Millisecond, func() { m.store.delete("servers/" + m.id) })
}

// cut leaves all calls to the minion unanswered and without effect for a time, while it runs on.
func (m *minion) cut(length time.Duration) {
	set := func(silent bool) {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.silent = silent
	}
	set(true)
	m.record.add("minion %s (kind %s) is cut off", m.id, m.kind)
	time.AfterFunc(length, func() {
		set(false)
		m.record.add("minion %s is reachable again", m.id)
	})
}

// crash ends the minion's process: connections to it are refused, and its entry is removed after three
// heartbeat intervals.
func (m *minion) crash() {
	m.mu.Lock()
	clear(m.running)
	m.mu.Unlock()
	close(m.stopped)
	_ = m.server.Close()
	m.record.add("minion %s crashes", m.id)
	time.AfterFunc(3*heartbeatMS*time.Millisecond, func() { m.store.delete("servers/" + m.id) })
}

// runs reports whether a run of the job is on the minion.
func (m *minion) runs(job string) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	for task := range m.running {
		if strings.HasPrefix(task, job+".") {
			return true
		}
	}
	return false
}

func (m *minion) clock() int64 { return 1000 + time.Since(m.start).Milliseconds() }

// work ends runs that have done their work or whose lease has expired.
func (m *minion) work() {
	for {
		select {
		case <-m.stopped:
			return
		case <-time.After(5 * time.Millisecond):
		}
		m.mu.Lock()
		for task, r := range m.running {
			how := ""
			switch {
			case m.clock() > m.until:
				how = "lapsed"
			case r.gang != nil:
				how = m.gangs.result(r)
			case time.Since(r.began) >= r.work:
				how = "done"
			}
			if how != "" {
				m.end(task, r.run, how)
			}
		}
		m.mu.Unlock()
	}
}

func (m *minion) end(task string, run int, how string) {
	if r := m.running[task]; r != nil && r.gang != nil && how != "done" {
		m.gangs.end(r.gang)
	}
	delete(m.running, task)
	m.over[task] = max(m.over[task], run)
	m.lastEnd++
	m.ends = append(m.ends, ended{m.lastEnd, task, run, how})
	m.record.add("minion %s: %s run %d ends %s", m.id, task, run, how)
	close(m.news)
	m.news = make(chan struct{})
}

// hang keeps a call without an answer for as long as the caller waits, and reports whether it did.
func (m *minion) hang(r *http.Request) bool {
	m.mu.Lock()
	silent := m.silent
	m.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	return silent
}

type order struct {
	Task    string `json:"task"`
	Run     int    `json:"run"`
	Spec    string `json:"spec"`
	UntilMS int64  `json:"until_ms"`
	Fence   int64  `json:"fence"`
}

func (m *minion) serve(f func(order) (int, string)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		var o order
		if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
			reply(w, 400, struct{}{})
			return
		}
		if m.hang(r) {
			return
		}
		if target := r.Header.Get("Target-Instance"); target != "" && target != m.id {
			reply(w, 421, struct{}{})
			return
		}
		m.mu.Lock()
		defer m.mu.Unlock()
		status, reason := 409, "fence"
		if o.Fence >= m.fence {
			m.fence = o.Fence
			status, reason = f(o)
		}
		body := map[string]any{"clock_ms": m.clock()}
		if reason != "" {
			body["reason"] = reason
		}
		reply(w, status, body)
	}
}

func (m *minion) runStart(o order) (int, string) {
	if r, ok := m.running[o.Task]; ok && r.run == o.Run {
		return 200, ""
	}
	if m.clock() > o.UntilMS {
		return 409, "late"
	}
	// The lease is also taken from a start that is refused as old.
	m.extend(o.UntilMS)
	if m.over[o.Task] >= o.Run {
		return 409, "old"
	}
	workMS, err := strconv.Atoi(strings.TrimSpace(o.Spec))
	if err != nil {
		return 400, ""
	}
	m.running[o.Task] = &running{o.Run, time.Now(), time.Duration(workMS) * time.Millisecond, m.gangs.join(o.Task, o.Run, m.rack)}
	m.record.begin(o.Task, fmt.Sprintf("minion %s: %s run %d starts", m.id, o.Task, o.Run))
	return 200, ""
}

// extend moves the end of the lease, which never shortens.
func (m *minion) extend(untilMS int64) { m.until = max(m.until, min(untilMS, m.clock()+holdMaxMS)) }

func (m *minion) runStop(o order) (int, string) {
	if r, ok := m.running[o.Task]; ok && r.run == o.Run {
		m.end(o.Task, o.Run, "stopped")
	}
	m.over[o.Task] = max(m.over[o.Task], o.Run)
	return 200, ""
}

func (m *minion) hold(w http.ResponseWriter, r *http.Request) {
	var h struct {
		UntilMS  int64 `json:"until_ms"`
		Fence    int64 `json:"fence"`
		LastSeen int64 `json:"last_seen"`
		WaitMS   int64 `json:"wait_ms"`
	}
	if err := json.NewDecoder(r.Body).Decode(&h); err != nil {
		reply(w, 400, struct{}{})
		return
	}
	if m.hang(r) {
		return
	}
	if target := r.Header.Get("Target-Instance"); target != "" && target != m.id {
		reply(w, 421, struct{}{})
		return
	}
	m.mu.Lock()
	if h.Fence < m.fence {
		m.mu.Unlock()
		reply(w, 409, map[string]any{"clock_ms": m.clock(), "reason": "fence"})
		return
	}
	m.fence = h.Fence
	m.extend(h.UntilMS)
	for len(m.ends) > 0 && m.ends[0].number <= h.LastSeen {
		m.ends = m.ends[1:]
	}
	if len(m.ends) == 0 && h.WaitMS > 0 {
		news := m.news
		m.mu.Unlock()
		select {
		case <-news:
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(h.WaitMS) * time.Millisecond):
		}
		if m.hang(r) {
			return
		}
		m.mu.Lock()
	}
	rows, ends := [][]any{}, [][]any{}
	for task, run := range m.running {
		percent := min(99, int(100*time.Since(run.began)/run.work))
		if run.work >= lasts {
			percent = 100
		}
		rows = append(rows, []any{task, run.run, "", percent, 100})
	}
	for _, e := range m.ends[:min(len(m.ends), maxEnds)] {
		ends = append(ends, []any{e.number, e.task, e.run, e.how, ""})
	}
	m.mu.Unlock()
	reply(w, 200, map[string]any{"clock_ms": m.clock(), "born": m.born, "running": rows, "ended_runs": ends})
}
