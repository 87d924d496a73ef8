// Command review-standins-2 plays the cases of the second review that are scripts: it starts the project's daemon as
// separate processes between small stand-ins of the platform's store, workers and list of machines, on loopback
// addresses, and judges what clients and workers have seen.
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
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// lab is one play of a case.
type lab struct {
	trouble bool
	begun   time.Time
	folder  string
	store   *store
	workers []*worker
	daemons []*daemon
	config  map[string]any
	// decide tells what a task does once it runs.
	decide func(spec, task string, run int) behaviour

	mu     sync.Mutex
	record *os.File
	starts []startSeen
	// running counts the runs of each job that are under way.
	running map[string]int
	// done counts the runs of each job that have ended done.
	done map[string]int
	// cpu is what a task of each job asks for.
	cpu map[string]int64
}

type startSeen struct {
	at     time.Time
	task   string
	run    int
	worker string
	spec   string
}

func newLab(workers int, cpu, mem int64, decide func(spec, task string, run int) behaviour) *lab {
	l := &lab{trouble: os.Getenv("TROUBLE") != "0", begun: time.Now(), store: newStore(), decide: decide, running: map[string]int{}, done: map[string]int{}, cpu: map[string]int64{}}
	var err error
	if l.folder, err = os.MkdirTemp("", "review-2-"); err != nil {
		cannot("temporary folder: %v", err)
	}
	if l.record, err = os.Create(os.Getenv("RECORD")); err != nil {
		cannot("record: %v", err)
	}
	l.rec("trouble: %v", l.trouble)
	l.workers = newWorkers(l, workers, cpu, mem)
	return l
}

// cannot ends a play that could not run.
func cannot(format string, a ...any) {
	fmt.Printf("could not run: "+format+"\n", a...)
	if current != nil {
		current.close()
	}
	os.Exit(2)
}

var current *lab

func (l *lab) rec(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_, _ = fmt.Fprintf(l.record, "%8.3f  %s\n", time.Since(l.begun).Seconds(), fmt.Sprintf(format, a...))
}

func (l *lab) behaviour(spec, task string, run int) behaviour { return l.decide(spec, task, run) }

func jobOf(task string) string { id, _, _ := strings.Cut(task, "."); return id }

func (l *lab) started(w *worker, t *taskRun, spec string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.starts = append(l.starts, startSeen{time.Now(), t.task, t.run, w.id, spec})
	l.running[jobOf(t.task)]++
}

func (l *lab) ended(_ *worker, t *taskRun, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.running[jobOf(t.task)]--
	if how == "done" {
		l.done[jobOf(t.task)]++
	}
}

func (l *lab) endsOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.done[job]
}

func (l *lab) cpuOf(job string) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.cpu[job]
}

func (l *lab) runningOf(job string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.running[job]
}

func (l *lab) startsOf(job string) []startSeen {
	l.mu.Lock()
	defer l.mu.Unlock()
	var list []startSeen
	for _, s := range l.starts {
		if jobOf(s.task) == job {
			list = append(list, s)
		}
	}
	return list
}

// loopback is an address of this play alone, so that no other play takes a port between its choice and its use.
var loopback = fmt.Sprintf("127.%d.%d.%d", 10+rand.IntN(200), 1+rand.IntN(250), 1+os.Getpid()%250)

func serve(h http.Handler) string {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		cannot("listen: %v", err)
	}
	go func() { _ = http.Serve(l, h) }()
	return l.Addr().String()
}

// daemon is one process of the project's daemon.
type daemon struct {
	name, settings, log           string
	callers, ready, peers, metric string
	cmd                           *exec.Cmd
}

func freeAddress() string {
	l, err := net.Listen("tcp", loopback+":0")
	if err != nil {
		cannot("free port: %v", err)
	}
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// begin starts the platform, the workers and the daemons, and waits until the cell has an owner and answers.
func (l *lab) begin(daemons int) {
	current = l
	storeAddress := serve(l.store.handler())
	cloud := http.NewServeMux()
	cloud.HandleFunc("GET /machines", l.machines)
	cloudAddress := serve(cloud)
	l.putConfig()
	for _, w := range l.workers {
		w.begin()
	}
	for i := range daemons {
		d := &daemon{name: fmt.Sprintf("front-zone-a-%d", i+1), callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), metric: freeAddress()}
		d.settings, d.log = filepath.Join(l.folder, d.name+".json"), filepath.Join(l.folder, d.name+".log")
		// The fields of deploy/settings.jsonc with the bounds of the small site files.
		raw, _ := json.MarshalIndent(map[string]any{
			"instance": d.name, "region": "region-a", "zone": "zone-a",
			"listen":   map[string]string{"callers": d.callers, "ready": d.ready, "peers": d.peers, "metrics": d.metric},
			"platform": map[string]any{"store": storeAddress, "approvals": "", "vms": cloudAddress, "duties": []string{}},
			"bounds": map[string]any{"revoke_ms": 5000, "max_lease_ms": holdMaxMS, "grace_ms": 6000, "gang_wait_ms": 3000, "stop_ms": stopMS,
				"retention_ms": 120000, "far_factor": 3, "limit_overshoot": 0.1, "min_lease_ms": 1000, "holder_lease_ms": 3000},
			"limits": map[string]any{"memory_mb": 284, "cpu_share": 0.4}, "log": map[string]string{"level": "info"},
		}, "", "  ")
		if err := os.WriteFile(d.settings, raw, 0o600); err != nil {
			cannot("settings: %v", err)
		}
		l.daemons = append(l.daemons, d)
		d.start()
	}
	for until := time.Now().Add(15 * time.Second); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, d := range l.daemons {
			if resp, err := http.Get("http://" + d.ready + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == daemons {
			break
		}
		if time.Now().After(until) {
			cannot("the daemons did not become ready")
		}
	}
	// The owner learns of all workers and instances.
	time.Sleep(3 * time.Second)
	l.rec("%d daemons are ready, %d workers", daemons, len(l.workers))
}

func (d *daemon) start() {
	log, err := os.OpenFile(d.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		cannot("log: %v", err)
	}
	d.cmd = exec.Command("target/auburnpierd", "cell")
	d.cmd.Dir = os.Getenv("ROOT")
	d.cmd.Path = filepath.Join(os.Getenv("ROOT"), "target/auburnpierd")
	d.cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "AUBURNPIER_SETTINGS=" + d.settings}
	d.cmd.Stdout, d.cmd.Stderr = log, log
	d.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := d.cmd.Start(); err != nil {
		cannot("start of %s: %v", d.name, err)
	}
}

func (l *lab) close() {
	for _, d := range l.daemons {
		if d.cmd != nil && d.cmd.Process != nil {
			_ = d.cmd.Process.Kill()
			_, _ = d.cmd.Process.Wait()
		}
	}
	if os.Getenv("KEEP_LOGS") != "" {
		fmt.Println("logs:", l.folder)
		return
	}
	_ = os.RemoveAll(l.folder)
}

// finish ends the play with the verdict.
func (l *lab) finish(broken bool, format string, a ...any) {
	verdict := "held"
	if broken {
		verdict = "BROKEN"
	}
	text := fmt.Sprintf(format, a...)
	l.rec("verdict: %s: %s", verdict, text)
	fmt.Printf("%s: %s\n", verdict, text)
	l.close()
	if broken {
		os.Exit(1)
	}
	os.Exit(0)
}

const host = "ficu95.example"

// queue and tenant are one entry each of the configuration.
type queue struct {
	name, prefix          string
	priority, maxAttempts int
	stretch, sloMS        float64
}

type tenant struct {
	name, key string
}

func (l *lab) setConfig(queues []queue, tenants []tenant) {
	var routes, rows []map[string]any
	for _, q := range queues {
		routes = append(routes, map[string]any{"name": q.name, "host": host, "prefix": q.prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": q.sloMS,
			"priority": q.priority, "service": "studio", "max_attempts": q.maxAttempts, "stretch": q.stretch, "allow_anonymous": false})
	}
	for _, t := range tenants {
		rows = append(rows, map[string]any{"name": t.name, "api_keys": []string{t.key}, "priority": 1, "weight": 30,
			"cap": map[string]int64{"cpu": 0, "mem_mb": 0, "gpu": 0}})
	}
	l.config = map[string]any{"version": 7, "routes": routes, "tenants": rows,
		"services": []map[string]any{{"name": "studio", "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false, "admission_check": false, "spare": false}},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000}}
}

func (l *lab) putConfig() {
	raw, _ := json.Marshal(l.config)
	l.store.put("op/config", raw)
}

// call sends one request of a client to a daemon. Without a response it returns the status 0.
func (l *lab) call(d *daemon, method, path, key string, deadline time.Duration, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		reader = bytes.NewReader(raw)
	}
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, method, "http://"+d.callers+path, reader)
	if err != nil {
		cannot("request: %v", err)
	}
	r.Host = host
	r.Header.Set("Api-Key", key)
	r.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	if body != nil {
		r.Header.Set("Content-Type", "application/json")
	}
	l.rec("client: %s %s to %s, Deadline-Ms %d", method, path, d.name, deadline.Milliseconds())
	resp, err := clients.Do(r)
	if err != nil {
		l.rec("client: %s %s: no response: %v", method, path, err)
		return 0, ""
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(resp.Body)
	if err != nil {
		l.rec("client: %s %s: broken response: %v", method, path, err)
		return 0, ""
	}
	l.rec("client: %s %s answered %d %s", method, path, resp.StatusCode, strings.TrimSpace(string(raw)))
	return resp.StatusCode, strings.TrimSpace(string(raw))
}

var clients = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// submit hands a job in until it is accepted, as clients do.
func (l *lab) submit(d *daemon, path, key string, job any) {
	for range 5 {
		if status, _ := l.call(d, "POST", path, key, 3*time.Second, job); status/100 == 2 {
			return
		}
		time.Sleep(time.Second)
	}
	cannot("the job was not accepted")
}
