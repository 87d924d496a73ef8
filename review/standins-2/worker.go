package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// Bounds of a worker, as in the small site files.
const (
	holdMaxMS   = 10_000
	stopMS      = 400
	heartbeatMS = 1500
)

// behaviour is what a task does once it runs.
type behaviour struct {
	// runs is how long the task works until it ends as how says; zero means for ever.
	runs time.Duration
	how  string
	// startup is how long a task that lasts takes until it is at work.
	startup time.Duration
}

type taskRun struct {
	task    string
	run     int
	began   time.Time
	does    behaviour
	endsAt  time.Time
	stopped bool
}

type endedRun struct {
	number int64
	task   string
	run    int
	how    string
}

// worker is a stand-in of a minion that doesn't guard its capacity.
type worker struct {
	id, machine, service, rack string
	cpu, mem                   int64
	lab                        *lab

	mu      sync.Mutex
	address string
	server  *http.Server
	up      bool
	born    time.Time
	fence   int64
	untilMS int64
	runs    map[string]*taskRun
	refused map[string]int
	ended   []endedRun
	number  int64
	seq     int64
}

func (w *worker) clockMS() int64 { return 1000 + time.Since(w.born).Milliseconds() }

// begin starts the worker's process. It holds and knows nothing of a former one.
func (w *worker) begin() {
	w.mu.Lock()
	w.born, w.fence, w.untilMS, w.number, w.seq = time.Now(), 0, 0, 0, 0
	w.runs, w.refused, w.ended, w.up = map[string]*taskRun{}, map[string]int{}, nil, true
	address := w.address
	if address == "" {
		address = loopback + ":0"
	}
	l, err := net.Listen("tcp", address)
	if err != nil {
		panic(err)
	}
	w.address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /run-start", w.start)
	mux.HandleFunc("POST /run-stop", w.stop)
	mux.HandleFunc("POST /hold", w.hold)
	mux.HandleFunc("POST /pace", w.pace)
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) { answer(rw, 200, struct{}{}) })
	server := &http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		if id := r.Header.Get("Target-Instance"); id != "" && id != w.id {
			answer(rw, 421, struct{}{})
			return
		}
		mux.ServeHTTP(rw, r)
	})}
	w.server = server
	w.mu.Unlock()
	go func() { _ = server.Serve(l) }()
	w.register()
	go func() {
		last := time.Now()
		for {
			time.Sleep(5 * time.Millisecond)
			w.mu.Lock()
			if w.server != server || !w.up {
				w.mu.Unlock()
				return
			}
			w.advance()
			w.mu.Unlock()
			if time.Since(last) >= heartbeatMS*time.Millisecond {
				last = time.Now()
				w.register()
			}
		}
	}()
}

// crash ends the worker's process with all that runs there, without a word.
func (w *worker) crash() {
	w.mu.Lock()
	w.up = false
	for _, r := range w.runs {
		w.lab.rec("worker %s: run %d of %s ends with the process", w.id, r.run, r.task)
		w.lab.ended(w, r, "gone")
	}
	w.runs = map[string]*taskRun{}
	server := w.server
	w.mu.Unlock()
	_ = server.Close()
}

func (w *worker) register() {
	w.mu.Lock()
	w.seq++
	value, _ := json.Marshal(map[string]any{"service": w.service, "addr": w.address, "zone": "zone-a", "version": "v1", "slots": 8, "state": "ready",
		"cold_left_ms": 0, "capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "labels": []string{"a", w.rack},
		"clock_ms": w.clockMS(), "seq": w.seq, "born": w.born.UnixMilli()})
	w.mu.Unlock()
	w.lab.store.put("servers/"+w.id, value)
}

// advance ends what is due. The caller holds mu.
func (w *worker) advance() {
	now := time.Now()
	lapsed := w.clockMS() >= w.untilMS
	for _, r := range w.runs {
		switch {
		case r.stopped && now.After(r.endsAt):
			w.end(r, "stopped")
		case lapsed:
			w.end(r, "lapsed")
		case !r.stopped && r.does.runs > 0 && now.After(r.endsAt):
			w.end(r, r.does.how)
		}
	}
}

func (w *worker) end(r *taskRun, how string) {
	w.number++
	w.ended = append(w.ended, endedRun{w.number, r.task, r.run, how})
	delete(w.runs, r.task)
	w.refused[r.task] = max(w.refused[r.task], r.run)
	w.lab.rec("worker %s: run %d of %s ended %s", w.id, r.run, r.task, how)
	w.lab.ended(w, r, how)
}

// fenced answers a call with a lower fence than the highest one seen. The caller holds mu.
func (w *worker) fenced(rw http.ResponseWriter, fence int64) bool {
	if fence < w.fence {
		answer(rw, 409, map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "reason": "fence"})
		return true
	}
	w.fence = fence
	return false
}

func (w *worker) extend(untilMS int64) {
	w.untilMS = max(w.untilMS, min(untilMS, w.clockMS()+holdMaxMS))
}

func (w *worker) start(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task    string `json:"task"`
		Run     int    `json:"run"`
		Spec    string `json:"spec"`
		UntilMS int64  `json:"until_ms"`
		Fence   int64  `json:"fence"`
	}
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		answer(rw, 400, struct{}{})
		return
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	refuse := func(reason string) {
		w.lab.rec("worker %s: start of run %d of %s refused: %s", w.id, body.Run, body.Task, reason)
		answer(rw, 409, map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "reason": reason})
	}
	if w.fenced(rw, body.Fence) {
		return
	}
	if present := w.runs[body.Task]; present != nil && present.run == body.Run {
		answer(rw, 200, map[string]any{"clock_ms": w.clockMS()})
		return
	}
	switch {
	case body.UntilMS <= w.clockMS():
		refuse("late")
		return
	case body.Run <= w.refused[body.Task], w.runs[body.Task] != nil:
		w.extend(body.UntilMS)
		refuse("old")
		return
	}
	w.extend(body.UntilMS)
	does := w.lab.behaviour(body.Spec, body.Task, body.Run)
	t := &taskRun{task: body.Task, run: body.Run, began: time.Now(), does: does, endsAt: time.Now().Add(does.runs)}
	w.runs[body.Task] = t
	w.lab.rec("worker %s: run %d of %s started (fence %d)", w.id, body.Run, body.Task, body.Fence)
	w.lab.started(w, t, body.Spec)
	answer(rw, 200, map[string]any{"clock_ms": w.clockMS()})
}

func (w *worker) stop(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		Task  string `json:"task"`
		Run   int    `json:"run"`
		Fence int64  `json:"fence"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.fenced(rw, body.Fence) {
		return
	}
	w.refused[body.Task] = max(w.refused[body.Task], body.Run)
	if t := w.runs[body.Task]; t != nil && t.run <= body.Run && !t.stopped {
		w.lab.rec("worker %s: stop of run %d of %s", w.id, body.Run, body.Task)
		t.stopped, t.endsAt = true, time.Now().Add(stopMS*time.Millisecond/2)
	}
	answer(rw, 200, map[string]any{"clock_ms": w.clockMS()})
}

func (w *worker) pace(rw http.ResponseWriter, _ *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	answer(rw, 200, map[string]any{"clock_ms": w.clockMS()})
}

func (t *taskRun) percent() int {
	if t.does.runs == 0 {
		if time.Since(t.began) < t.does.startup {
			return 0
		}
		return 100
	}
	return int(100 * time.Since(t.began) / t.does.runs)
}

func (w *worker) hold(rw http.ResponseWriter, r *http.Request) {
	var body struct {
		UntilMS  int64 `json:"until_ms"`
		Fence    int64 `json:"fence"`
		LastSeen int64 `json:"last_seen"`
		WaitMS   int64 `json:"wait_ms"`
	}
	_ = json.NewDecoder(r.Body).Decode(&body)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance()
	if w.fenced(rw, body.Fence) {
		return
	}
	if body.UntilMS > 0 {
		w.extend(body.UntilMS)
	}
	kept := w.ended[:0]
	for _, e := range w.ended {
		if e.number > body.LastSeen {
			kept = append(kept, e)
		}
	}
	w.ended = kept
	server := w.server
	for until := time.Now().Add(time.Duration(body.WaitMS) * time.Millisecond); len(w.ended) == 0 && time.Now().Before(until) && w.up && w.server == server; {
		w.mu.Unlock()
		time.Sleep(5 * time.Millisecond)
		w.mu.Lock()
	}
	running, ended := [][]any{}, [][]any{}
	for _, t := range w.runs {
		running = append(running, []any{t.task, t.run, "", t.percent(), 0})
	}
	for _, e := range w.ended[:min(len(w.ended), 500)] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, ""})
	}
	answer(rw, 200, map[string]any{"clock_ms": w.clockMS(), "born": w.born.UnixMilli(), "running": running, "ended_runs": ended})
}

// machines answers the platform's list of machines.
func (l *lab) machines(rw http.ResponseWriter, _ *http.Request) {
	rows := []map[string]any{}
	for _, w := range l.workers {
		w.mu.Lock()
		state, id := "up", w.id
		if !w.up {
			state, id = "down", ""
		}
		rows = append(rows, map[string]any{"machine": w.machine, "pool": w.service, "state": state, "zone": "zone-a", "labels": []string{"a", w.rack},
			"capacity": map[string]int64{"cpu": w.cpu, "mem_mb": w.mem, "gpu": 0}, "id": id})
		w.mu.Unlock()
	}
	answer(rw, 200, map[string]any{"machines": rows, "next_token": nil})
}

func newWorkers(l *lab, n int, cpu, mem int64) []*worker {
	var list []*worker
	for i := range n {
		w := &worker{id: fmt.Sprintf("i-%08x", 0x1a2b3c00+i*7919), machine: fmt.Sprintf("m-%05x", 0x10000+i*97), service: "studio",
			rack: fmt.Sprintf("r1-%d", i/8), cpu: cpu, mem: mem, lab: l}
		list = append(list, w)
	}
	return list
}

// cpuInUse is what the runs on the worker take, by the CPU that their job asked for in its only step.
func (w *worker) cpuInUse() int64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	sum := int64(0)
	for task := range w.runs {
		sum += w.lab.cpuOf(jobOf(task))
	}
	return sum
}

func (w *worker) isUp() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.up
}
