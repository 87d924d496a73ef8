package main

import (
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"time"
)

type resources struct {
	CPU   int64 `json:"cpu"`
	MemMB int64 `json:"mem_mb"`
	GPU   int64 `json:"gpu"`
}

// Bounds of the workers, those of the small site velo-zadar.
const (
	heartbeat = 1500 * time.Millisecond
	holdMaxMS = 10_000
	stopTime  = 400 * time.Millisecond
	maxEnds   = 500
)

// worker is one worker, in one life after the other. All lives have the ID and the address.
type worker struct {
	rig  *rig
	id   string
	addr string

	mu       sync.Mutex
	kind     string
	capacity resources
	server   *http.Server
	up       bool
	// registers is set unless the script registers the life itself.
	registers bool
	born      time.Time
	// clockBase is what the worker's clock shows at its start.
	clockBase int64
	seq       int64
	fence     int64
	untilMS   int64
	lapsed    bool
	running   map[string]*taskRun
	over      map[string]int
	ends      []runEnd
	lastEnd   int64
	seen      int64
	news      chan struct{}
	// holdStart is how long the next start order is held on its way. It gets no answer, and is carried out by the life that is up then.
	holdStart time.Duration
}

type taskRun struct {
	task    string
	number  int
	doneAt  time.Time
	stopAt  time.Time
	started time.Time
}

type runEnd struct {
	number  int64
	task    string
	run     int
	how     string
	at      time.Time
	started time.Time
}

func newWorker(r *rig, name, kind string, capacity resources) *worker {
	w := &worker{rig: r, id: name, addr: freeAddress(), kind: kind, capacity: capacity, registers: true}
	w.start()
	go func() {
		for range time.Tick(5 * time.Millisecond) {
			w.mu.Lock()
			w.advance()
			w.mu.Unlock()
		}
	}()
	go func() {
		for range time.Tick(heartbeat) {
			w.mu.Lock()
			if w.up && w.registers {
				w.register()
			}
			w.mu.Unlock()
		}
	}()
	w.mu.Lock()
	w.register()
	w.mu.Unlock()
	return w
}

// start begins a life. It registers with the next heartbeat.
func (w *worker) start() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.up, w.born, w.clockBase, w.seq, w.fence, w.untilMS, w.lastEnd, w.seen = true, time.Now(), 1000, 0, 0, 0, 0, 0
	w.running, w.over, w.ends, w.news, w.lapsed = make(map[string]*taskRun), make(map[string]int), nil, make(chan struct{}), false
	mux := http.NewServeMux()
	for path, f := range map[string]func(http.ResponseWriter, *http.Request, call){"/run-start": w.startRun, "/run-stop": w.stopRun, "/hold": w.hold, "/pace": w.pace} {
		mux.HandleFunc("POST "+path, func(rw http.ResponseWriter, req *http.Request) { w.serve(rw, req, f) })
	}
	var l net.Listener
	var err error
	for range 100 {
		if l, err = net.Listen("tcp", w.addr); err == nil {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	if err != nil {
		w.rig.fail("worker %s cannot listen: %v", w.id, err)
	}
	w.server = &http.Server{Handler: mux}
	go func(s *http.Server) { _ = s.Serve(l) }(w.server)
}

// crash ends the life with all that runs there.
func (w *worker) crash() {
	w.mu.Lock()
	for _, r := range w.running {
		w.rig.note("lost   %s run %d with worker %s", r.task, r.number, w.id)
		w.rig.ended(w.id, runEnd{task: r.task, run: r.number, how: "lost", at: time.Now(), started: r.started})
	}
	w.up = false
	w.running, w.ends = nil, nil
	server := w.server
	w.mu.Unlock()
	w.rig.note("crash  worker %s", w.id)
	_ = server.Close()
}

func (w *worker) register() {
	w.seq++
	raw, _ := json.Marshal(map[string]any{"service": service, "addr": w.addr, "zone": "z1", "version": "1", "slots": 8, "state": "ready", "cold_left_ms": 0,
		"seq": w.seq, "capacity": w.capacity, "labels": []string{w.kind, "r1"}, "born": w.born.UnixMilli()})
	w.rig.store.putUnlessDown("servers/"+w.id, raw)
}

func (w *worker) clock() int64 { return w.clockBase + time.Since(w.born).Milliseconds() }

// advance ends what is over by now.
func (w *worker) advance() {
	if !w.up {
		return
	}
	now := time.Now()
	if w.clock() > w.untilMS && !w.lapsed {
		w.lapsed = true
		w.rig.lapse(w.id, now)
	}
	for _, r := range w.running {
		switch {
		case w.lapsed:
			w.end(r, "lapsed")
		case !r.stopAt.IsZero() && now.After(r.stopAt):
			w.end(r, "stopped")
		case r.stopAt.IsZero() && now.After(r.doneAt):
			w.end(r, "done")
		}
	}
}

func (w *worker) end(r *taskRun, how string) {
	delete(w.running, r.task)
	w.over[r.task] = max(w.over[r.task], r.number)
	w.lastEnd++
	e := runEnd{number: w.lastEnd, task: r.task, run: r.number, how: how, at: time.Now(), started: r.started}
	w.ends = append(w.ends, e)
	w.rig.note("end    %s run %d on %s %s", r.task, r.number, w.id, how)
	w.rig.ended(w.id, e)
	close(w.news)
	w.news = make(chan struct{})
}

type call struct {
	Task     string `json:"task"`
	Run      int    `json:"run"`
	Spec     string `json:"spec"`
	UntilMS  int64  `json:"until_ms"`
	Fence    int64  `json:"fence"`
	LastSeen int64  `json:"last_seen"`
	WaitMS   int64  `json:"wait_ms"`
}

func (w *worker) serve(rw http.ResponseWriter, req *http.Request, f func(http.ResponseWriter, *http.Request, call)) {
	var c call
	if json.NewDecoder(req.Body).Decode(&c) != nil {
		answer(rw, http.StatusBadRequest, nil)
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if req.Header.Get("Target-Instance") != w.id {
		answer(rw, http.StatusMisdirectedRequest, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
		return
	}
	if req.URL.Path == "/run-start" && w.holdStart > 0 {
		w.holdOrder(req, c)
	}
	if c.Fence < w.fence {
		w.refuse(rw, "fence")
		return
	}
	w.fence = c.Fence
	w.advance()
	f(rw, req, c)
}

// holdOrder holds a start order on its way and delivers it later. The caller gets no answer.
func (w *worker) holdOrder(req *http.Request, c call) {
	delay := w.holdStart
	w.holdStart = 0
	w.rig.note("held   start of %s run %d on its way to %s, until_ms %d, clock %d", c.Task, c.Run, w.id, c.UntilMS, w.clock())
	time.AfterFunc(delay, func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		if !w.up {
			return
		}
		w.rig.note("late   start of %s run %d reaches %s, clock %d", c.Task, c.Run, w.id, w.clock())
		if c.Fence < w.fence {
			return
		}
		w.fence = c.Fence
		w.advance()
		reply := httptest.NewRecorder()
		w.startRun(reply, nil, c)
		w.rig.note("late   start of %s run %d gave %d %s", c.Task, c.Run, reply.Code, strings.TrimSpace(reply.Body.String()))
	})
	w.mu.Unlock()
	<-req.Context().Done()
	w.mu.Lock()
	panic(http.ErrAbortHandler)
}

func (w *worker) refuse(rw http.ResponseWriter, reason string) {
	answer(rw, http.StatusConflict, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "reason": reason})
}

func (w *worker) confirm(rw http.ResponseWriter) {
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()})
}

func (w *worker) extend(untilMS int64) {
	if untilMS = min(untilMS, w.clock()+holdMaxMS); untilMS > w.untilMS {
		w.untilMS, w.lapsed = untilMS, false
	}
}

func (w *worker) startRun(rw http.ResponseWriter, _ *http.Request, c call) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		w.extend(c.UntilMS)
		w.confirm(rw)
		return
	}
	if c.UntilMS <= w.clock() {
		w.refuse(rw, "late")
		return
	}
	w.extend(c.UntilMS)
	if c.Run <= w.over[c.Task] || w.running[c.Task] != nil {
		w.refuse(rw, "old")
		return
	}
	workMS := 500
	for _, f := range strings.Fields(c.Spec) {
		if v, ok := strings.CutPrefix(f, "work_ms="); ok {
			workMS, _ = strconv.Atoi(v)
		}
	}
	// Tasks differ in length by up to a half either way. The length depends on the task alone.
	work := time.Duration(float64(workMS)*(0.5+float64(crc32.ChecksumIEEE([]byte(c.Task))%1000)/1000)) * time.Millisecond
	r := &taskRun{task: c.Task, number: c.Run, started: time.Now(), doneAt: time.Now().Add(work)}
	w.running[c.Task] = r
	w.rig.note("start  %s run %d on %s, fence %d", c.Task, c.Run, w.id, c.Fence)
	w.rig.started(w, r)
	w.confirm(rw)
}

func (w *worker) stopRun(rw http.ResponseWriter, _ *http.Request, c call) {
	if r := w.running[c.Task]; r != nil && r.number == c.Run {
		if r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(stopTime)
			w.rig.note("stop   %s run %d on %s", c.Task, c.Run, w.id)
		}
	} else {
		w.over[c.Task] = max(w.over[c.Task], c.Run)
	}
	w.confirm(rw)
}

func (w *worker) pace(rw http.ResponseWriter, _ *http.Request, _ call) { w.confirm(rw) }

func (w *worker) hold(rw http.ResponseWriter, req *http.Request, c call) {
	w.extend(c.UntilMS)
	kept := w.ends[:0:0]
	for _, e := range w.ends {
		if e.number > c.LastSeen {
			kept = append(kept, e)
			continue
		}
		w.rig.noted(w.id, e)
	}
	w.ends = kept
	born, deadline := w.born, time.After(time.Duration(min(c.WaitMS, 2000))*time.Millisecond)
	for over := c.WaitMS == 0; !over && len(w.ends) == 0 && w.up && w.born.Equal(born); {
		news := w.news
		w.mu.Unlock()
		select {
		case <-news:
		case <-deadline:
			over = true
		case <-req.Context().Done():
			over = true
		}
		w.mu.Lock()
	}
	if !w.up || !w.born.Equal(born) {
		panic(http.ErrAbortHandler)
	}
	running, ended := [][]any{}, [][]any{}
	for _, r := range w.running {
		percent := 100 * float64(time.Since(r.started)) / float64(r.doneAt.Sub(r.started)+1)
		running = append(running, []any{r.task, r.number, "", int(min(percent, 99)), 100})
	}
	for _, e := range w.ends[:min(len(w.ends), maxEnds)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(rw, http.StatusOK, map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli(), "running": running, "ended_runs": ended})
}

func workerName(n int) string { return fmt.Sprintf("i-%08x", 0x10+n) }
