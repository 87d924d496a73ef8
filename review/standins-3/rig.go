// Command standins-3 plays the scripts of the review: it starts instances of the project as separate processes, with stand-ins of the
// platform around them, and checks one rule by what clients and workers see.
package main

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Names of the deployment.
const (
	service = "veil-studio"
	apiKey  = "6x73d3zji9n73hh2b9wu"
	host    = "nony24.example"
	prefix  = "/lohu930/"
)

// Exit codes of a script.
const (
	exitHeld   = 0
	exitBroken = 1
	exitFailed = 2
)

// scriptError ends a script that could not run.
type scriptError struct{ text string }

// rig is one deployment.
type rig struct {
	program, dir string
	trouble      bool
	store        *store
	workers      []*worker
	instances    []*instance
	began        time.Time

	mu     sync.Mutex
	record *os.File
	broken []string
	tasks  map[string]*taskRecord
	lapses map[string][]time.Time
}

// taskRecord is what the workers saw of one task.
type taskRecord struct {
	live   map[string]*taskRun
	starts []startRecord
	done   []doneRecord
}

type startRecord struct {
	at     time.Time
	worker string
	run    int
	kind   string
}

// doneRecord is an end of kind done. taken is when it was taken note of.
type doneRecord struct {
	at, taken time.Time
	worker    string
	run       int
	number    int64
}

func newRig(program, record string, trouble bool) *rig {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		panic(scriptError{err.Error()})
	}
	f, err := os.Create(record)
	if err != nil {
		panic(scriptError{err.Error()})
	}
	return &rig{program: program, dir: dir, trouble: trouble, store: newStore(), began: time.Now(), record: f, tasks: make(map[string]*taskRecord),
		lapses: make(map[string][]time.Time)}
}

func (r *rig) fail(format string, args ...any) { panic(scriptError{fmt.Sprintf(format, args...)}) }

// note adds a line to the record.
func (r *rig) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.noteLocked(format, args...)
}

func (r *rig) noteLocked(format string, args ...any) {
	fmt.Fprintf(r.record, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breaks records that the rule was broken.
func (r *rig) breaks(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.broken = append(r.broken, fmt.Sprintf(format, args...))
	r.noteLocked("BROKEN "+format, args...)
}

func (r *rig) task(name string) *taskRecord {
	t := r.tasks[name]
	if t == nil {
		t = &taskRecord{live: make(map[string]*taskRun)}
		r.tasks[name] = t
	}
	return t
}

func (r *rig) started(w *worker, run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(run.task)
	for id, other := range t.live {
		text := fmt.Sprintf("TWICE: task %s: run %d starts on %s while run %d is on %s, which is up", run.task, run.number, w.id, other.number, id)
		r.broken = append(r.broken, text)
		r.noteLocked("BROKEN %s", text)
	}
	t.starts = append(t.starts, startRecord{run.started, w.id, run.number, w.kind})
	t.live[w.id] = run
}

func (r *rig) ended(workerID string, e runEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := r.task(e.task)
	delete(t.live, workerID)
	if e.how == "done" {
		t.done = append(t.done, doneRecord{at: e.at, worker: workerID, run: e.run, number: e.number})
	}
}

// noted records that an end was taken note of: last_seen has reached it.
func (r *rig) noted(workerID string, e runEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for i := range r.task(e.task).done {
		if d := &r.tasks[e.task].done[i]; d.worker == workerID && d.run == e.run && d.taken.IsZero() {
			d.taken = time.Now()
			r.noteLocked("noted  %s run %d on %s", e.task, e.run, workerID)
		}
	}
}

func (r *rig) lapse(workerID string, at time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lapses[workerID] = append(r.lapses[workerID], at)
}

// checkTwice applies the rule TWICE: no two runs of a task at a time, and no start after a run has ended done, if that end was taken note of and
// the lease did not lapse between.
func (r *rig) checkTwice() {
	r.mu.Lock()
	var found []string
	for name, t := range r.tasks {
		for _, d := range t.done {
			if d.taken.IsZero() || r.lapsedBetween(d.worker, d.at, d.taken) {
				continue
			}
			for _, s := range t.starts {
				if s.at.After(d.at) {
					found = append(found, fmt.Sprintf("TWICE: task %s: run %d ended done on %s at %.3f s, noted at %.3f s; run %d started on %s at %.3f s",
						name, d.run, d.worker, d.at.Sub(r.began).Seconds(), d.taken.Sub(r.began).Seconds(), s.run, s.worker, s.at.Sub(r.began).Seconds()))
				}
			}
		}
	}
	r.mu.Unlock()
	for _, f := range found {
		r.breaks("%s", f)
	}
}

func (r *rig) lapsedBetween(workerID string, from, to time.Time) bool {
	for _, at := range r.lapses[workerID] {
		if at.After(from) && at.Before(to) {
			return true
		}
	}
	return false
}

// instance is one process of the project, with its own way to the store.
type instance struct {
	rig                                   *rig
	name                                  string
	number                                int
	front, ready, peers, metrics, storeAt string
	settings                              string
	cmd                                   *exec.Cmd
	exited                                chan struct{}
}

// freeAddress returns an address that nobody listens on, outside the range from which outgoing connections take their ports.
func freeAddress() string {
	const lowest, ports = 12_000, 18_000
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", lowest+rand.IntN(ports))
		if l, err := net.Listen("tcp", address); err == nil {
			_ = l.Close()
			return address
		}
	}
	panic(scriptError{"no port is free"})
}

// addInstance writes the settings of an instance. link wraps its connections to the store, and may be nil.
func (r *rig) addInstance(link func(net.Conn) net.Conn) *instance {
	n := len(r.instances)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		r.fail("%v", err)
	}
	var listener net.Listener = l
	if link != nil {
		listener = &linkListener{l, link}
	}
	go func() { _ = (&http.Server{Handler: r.store.handler(n)}).Serve(listener) }()
	i := &instance{rig: r, name: fmt.Sprintf("front-%d", n+1), number: n, front: freeAddress(), ready: freeAddress(), peers: freeAddress(), metrics: freeAddress(),
		storeAt: l.Addr().String()}
	i.settings = filepath.Join(r.dir, i.name+".jsonc")
	// The bounds are those of the small site velo-zadar.
	text, err := json.MarshalIndent(map[string]any{
		"instance": i.name, "region": "dalmatia", "zone": "z1",
		"listen":   map[string]string{"callers": i.front, "ready": i.ready, "peers": i.peers, "metrics": i.metrics},
		"platform": map[string]any{"store": i.storeAt, "approvals": "", "vms": "", "duties": []string{}},
		"bounds": map[string]any{"revoke_ms": 5000, "max_lease_ms": holdMaxMS, "grace_ms": 6000, "gang_wait_ms": 3000, "stop_ms": stopTime.Milliseconds(),
			"retention_ms": 120000, "far_factor": 3, "limit_overshoot": 0.1, "min_lease_ms": 1000, "holder_lease_ms": 3000},
		"limits":     map[string]any{"memory_mb": 284, "cpu_share": 0.4, "max_fds": 4100},
		"scheduling": map[string]bool{"approval_planning": true, "learned_durations": true, "worker_speeds": true, "separate_interference": true},
		"log":        map[string]string{"level": "info"},
	}, "", "  ")
	if err != nil {
		r.fail("%v", err)
	}
	if err := os.WriteFile(i.settings, text, 0o600); err != nil {
		r.fail("%v", err)
	}
	r.instances = append(r.instances, i)
	return i
}

type linkListener struct {
	net.Listener
	link func(net.Conn) net.Conn
}

func (l *linkListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.link(c), nil
}

func (i *instance) start() {
	log, err := os.OpenFile(filepath.Join(i.rig.dir, i.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		i.rig.fail("%v", err)
	}
	i.cmd = exec.Command(i.rig.program, "cell")
	i.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNPIER_SETTINGS=" + i.settings}
	i.cmd.Stdout, i.cmd.Stderr = log, log
	if err := i.cmd.Start(); err != nil {
		i.rig.fail("start %s: %v", i.rig.program, err)
	}
	i.exited = make(chan struct{})
	cmd, exited := i.cmd, i.exited
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(exited)
	}()
	i.rig.note("start of instance %s", i.name)
}

func (i *instance) kill() {
	if i.cmd == nil {
		return
	}
	i.rig.note("SIGKILL to instance %s", i.name)
	_ = i.cmd.Process.Signal(syscall.SIGKILL)
	<-i.exited
	i.cmd = nil
}

// awaitReady waits until all instances report that they are ready.
func (r *rig) awaitReady(within time.Duration) {
	deadline := time.Now().Add(within)
	for _, i := range r.instances {
		for {
			if resp, err := http.Get("http://" + i.ready + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == http.StatusOK {
					break
				}
			}
			if time.Now().After(deadline) {
				r.fail("instance %s is not ready", i.name)
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}

func (r *rig) end() {
	for _, i := range r.instances {
		if i.cmd != nil {
			_ = i.cmd.Process.Kill()
			<-i.exited
		}
	}
	for _, w := range r.workers {
		_ = w.server.Close()
	}
	_ = r.record.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.dir)
	} else {
		fmt.Println(r.dir)
	}
}

// configure writes the operator's configuration: one queue and one tenant.
func (r *rig) configure(version, maxAttempts int, limit resources, moreRoutes int) {
	routes := []map[string]any{{"name": "r-1", "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 3000, "priority": 1, "service": service,
		"max_attempts": maxAttempts, "stretch": 4.0, "allow_anonymous": false}}
	for n := range moreRoutes {
		routes = append(routes, map[string]any{"name": fmt.Sprintf("r-idle-%05d", n), "host": fmt.Sprintf("idle%05d.example", n), "prefix": fmt.Sprintf("/idle%05d/", n), "kind": "unsafe",
			"timeout_ms": 3000, "slo_ms": 3000, "priority": 1, "service": service, "max_attempts": maxAttempts, "stretch": 4.0, "allow_anonymous": false})
	}
	raw, err := json.Marshal(map[string]any{"version": version, "routes": routes,
		"services": []map[string]any{{"name": service, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants":  []map[string]any{{"name": "kaje80", "api_keys": []string{apiKey}, "priority": 1, "weight": 100, "cap": limit}}})
	if err != nil {
		r.fail("%v", err)
	}
	r.store.put("op/config", raw)
	r.note("configuration of %d bytes", len(raw))
}

// ask sends one request of a client. The status is 0 if there is no answer.
func (r *rig) ask(i *instance, method, path string, body any) (status int, answer map[string]any) {
	var reader io.Reader
	if body != nil {
		raw, err := json.Marshal(body)
		if err != nil {
			r.fail("%v", err)
		}
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, "http://"+i.front+prefix+path, reader)
	if err != nil {
		r.fail("%v", err)
	}
	req.Host = host
	req.Header.Set("Api-Key", apiKey)
	req.Header.Set("Deadline-Ms", "3000")
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		return 0, nil
	}
	if len(bytes.TrimSpace(raw)) > 0 {
		_ = json.Unmarshal(raw, &answer)
	}
	return resp.StatusCode, answer
}

// submit hands a job in until it is accepted, as clients do: after no answer, 502, 503, 504 or 429 the same ID arrives again at any instance.
func (r *rig) submit(id string, job map[string]any) {
	for try := range 40 {
		i := r.instances[try%len(r.instances)]
		status, answer := r.ask(i, http.MethodPost, id, job)
		r.note("submit %s at %s: %d %v", id, i.name, status, answer)
		if status/100 == 2 {
			return
		}
		time.Sleep(200 * time.Millisecond)
	}
	r.fail("job %s was not accepted", id)
}

// state asks for a job at any instance until it gets an answer.
func (r *rig) state(id string) string {
	for try := range 20 {
		status, answer := r.ask(r.instances[try%len(r.instances)], http.MethodGet, id, nil)
		switch {
		case status == http.StatusOK:
			return fmt.Sprint(answer["state"])
		case status == http.StatusGone:
			return "410"
		}
		time.Sleep(200 * time.Millisecond)
	}
	return "no answer"
}

// awaitStates waits until all jobs are shown in an end state, and returns the last states.
func (r *rig) awaitStates(ids []string, within time.Duration) map[string]string {
	states := make(map[string]string)
	for deadline := time.Now().Add(within); ; time.Sleep(200 * time.Millisecond) {
		open := 0
		for _, id := range ids {
			if s := states[id]; s == "completed" || s == "failed" || s == "cancelled" {
				continue
			}
			was := states[id]
			states[id] = r.state(id)
			if states[id] != was {
				r.note("state  %s: %s", id, states[id])
			}
			if states[id] == "queued" || states[id] == "running" {
				open++
			}
		}
		if open == 0 || time.Now().After(deadline) {
			return states
		}
	}
}

func jobID(n int) string { return fmt.Sprintf("%016x", 0x5c0e7a21d94b0000+n) }

// leader returns the instance that last wrote to the store under a condition.
func (r *rig) leader() *instance {
	n := r.store.leader()
	if n < 0 {
		r.fail("no instance has written to the store")
	}
	return r.instances[n]
}

func main() {
	cases := map[string]func(*rig){"recurring": recurring, "otherkind": otherKind, "lateorder": lateOrder}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standins-3 CASE RECORD, in the root of the repository")
		os.Exit(exitFailed)
	}
	program := os.Getenv("PROGRAM")
	if program == "" {
		program = filepath.Join("target", "auburnpierd")
	}
	r := newRig(program, os.Args[2], os.Getenv("TROUBLE") != "0")
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		<-stop
		r.end()
		os.Exit(exitFailed)
	}()
	os.Exit(r.play(cases[os.Args[1]]))
}

// maxScript bounds a script.
const maxScript = 110 * time.Second

func (r *rig) play(script func(*rig)) (code int) {
	defer r.end()
	defer func() {
		if cause := recover(); cause != nil {
			text := fmt.Sprint(cause)
			if e, ok := cause.(scriptError); ok {
				text = e.text
			}
			fmt.Println("could not run:", text)
			r.note("could not run: %s", text)
			code = exitFailed
		}
	}()
	done := make(chan any, 1)
	go func() {
		defer func() { done <- recover() }()
		script(r)
	}()
	select {
	case cause := <-done:
		if cause != nil {
			panic(cause)
		}
	case <-time.After(maxScript):
		r.fail("the script took too long")
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.broken) > 0 {
		fmt.Printf("broken %d times, first: %s\n", len(r.broken), strings.TrimSpace(r.broken[0]))
		return exitBroken
	}
	fmt.Println("held")
	return exitHeld
}
