// Command standin plays one case of the review: it starts stand-ins of the store and of minions and the
// daemons on loopback addresses, sends calls as a client does, and checks the rule of the case.
package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
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

// Exit codes of a case.
const (
	held      = 0
	broken    = 1
	cannotRun = 2
)

const (
	host   = "nony24.example"
	prefix = "/lohu930/"
	queue  = "r-lohu"
	svc    = "huvo11a"
	key1   = "6x73d3zji9n73hh2b9wu"
	key2   = "3fexd9dnn2ctnfzs989a"
	// contactMS, visibleMS and configMS are bounds of the users' small deployments.
	contactMS = 4000
	visibleMS = 3000
	configMS  = 2500
)

// record collects what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	began time.Time
	lines []string
	// begun holds the tasks that have started, by name.
	begun map[string]bool
}

func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, fmt.Sprintf("%8.3f  ", time.Since(r.began).Seconds())+fmt.Sprintf(format, args...))
}

func (r *record) begin(task, line string) {
	r.add("%s", line)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun[task] = true
}

// jobBegun reports whether a task of the job has started.
func (r *record) jobBegun(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	for task := range r.begun {
		if strings.HasPrefix(task, id+".") {
			return true
		}
	}
	return false
}

// countBegun returns how many tasks of the job have started.
func (r *record) countBegun(id string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for task := range r.begun {
		if strings.HasPrefix(task, id+".") {
			n++
		}
	}
	return n
}

type daemon struct {
	name, front, ready, log string
	cmd                     *exec.Cmd
}

type deployment struct {
	store   *store
	record  *record
	gangs   *gangs
	minions []*minion
	daemons []*daemon
	client  *http.Client
	trouble bool
}

// freeAddresses returns n addresses with free ports. The host is a loopback address that only this daemon
// has, so that neither another play nor a connection's own port takes one before the daemon listens.
func freeAddresses(daemon, n int) ([]string, error) {
	pid := os.Getpid()
	ip := fmt.Sprintf("127.%d.%d.%d", 1+pid>>8%254, pid%256, 1+daemon)
	var list []string
	for range n {
		l, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		// All stay open until the last one is chosen, so that they differ.
		defer l.Close()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

func (d *deployment) startDaemon(program, dir, storeAddress, name, zone string) error {
	free, err := freeAddresses(len(d.daemons), 4)
	if err != nil {
		return err
	}
	x := &daemon{name: name, front: free[0], ready: free[1], log: filepath.Join(dir, name+".log")}
	settings := map[string]any{
		"instance": name, "region": "dalmatia", "zone": zone,
		"listen":   map[string]string{"callers": x.front, "ready": x.ready, "peers": free[2], "metrics": free[3]},
		"platform": map[string]any{"store": storeAddress, "approvals": "127.0.0.1:9", "vms": "", "duties": []string{}},
		"bounds": map[string]any{"revoke_ms": 5000, "max_lease_ms": 10000, "grace_ms": 6000, "gang_wait_ms": 3000, "stop_ms": 400,
			"retention_ms": 120000, "far_factor": 3, "limit_overshoot": 0.1, "min_lease_ms": 1000, "holder_lease_ms": 3000},
		"limits": map[string]any{"memory_mb": 284, "cpu_share": 0.4},
		"log":    map[string]string{"level": "info"},
	}
	raw, err := json.Marshal(settings)
	if err != nil {
		return err
	}
	file := filepath.Join(dir, name+".json")
	if err := os.WriteFile(file, raw, 0o600); err != nil {
		return err
	}
	logFile, err := os.Create(x.log)
	if err != nil {
		return err
	}
	x.cmd = exec.Command(program, "cell")
	x.cmd.Env = []string{"AUBURNPIER_SETTINGS=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + dir}
	x.cmd.Stdout, x.cmd.Stderr = logFile, logFile
	x.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := x.cmd.Start(); err != nil {
		return err
	}
	d.daemons = append(d.daemons, x)
	return nil
}

func (d *deployment) close() {
	for _, x := range d.daemons {
		_ = x.cmd.Process.Kill()
		_ = x.cmd.Wait()
	}
}

// config writes a configuration as the operator does.
func (d *deployment) config(version int, anonymous bool, keys ...string) {
	raw, _ := json.Marshal(map[string]any{"version": version,
		"routes": []any{map[string]any{"name": queue, "host": host, "prefix": prefix, "kind": "unsafe", "timeout_ms": 3000, "slo_ms": 3000,
			"priority": 1, "service": svc, "max_attempts": 3, "stretch": 4.0, "allow_anonymous": anonymous}},
		"services": []any{map[string]any{"name": svc, "health_path": "/health", "max_conns": 64, "protocol": "h1", "tls": false,
			"admission_check": false, "spare": false}},
		"limits": map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000},
		"tenants": []any{map[string]any{"name": "kaje80", "api_keys": keys, "priority": 1, "weight": 31,
			"cap": map[string]int{"cpu": 400000, "mem_mb": 800000, "gpu": 0}}},
	})
	d.store.put("op/config", raw)
	d.record.add("operator: configuration %d acknowledged, keys %v", version, keys)
}

// call sends one call as a client and returns the status, or 0 if there was no answer.
func (d *deployment) call(x *daemon, method, path, key string, body any) (int, string) {
	var reader io.Reader
	if body != nil {
		raw, _ := json.Marshal(body)
		reader = bytes.NewReader(raw)
	}
	req, err := http.NewRequest(method, "http://"+x.front+path, reader)
	if err != nil {
		return 0, err.Error()
	}
	req.Host = host
	req.Header.Set("Deadline-Ms", "3000")
	if body != nil {
		req.Header.Set("Content-Type", "application/json")
	}
	if key != "" {
		req.Header.Set("Api-Key", key)
	}
	resp, err := d.client.Do(req)
	if err != nil {
		d.record.add("client: %s %s at %s: no answer (%v)", method, path, x.name, err)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	text := strings.TrimSpace(string(raw))
	d.record.add("client: %s %s at %s, %s: %d %s", method, path, x.name, keyName(key), resp.StatusCode, text)
	return resp.StatusCode, text
}

func keyName(key string) string {
	if key == "" {
		return "no key"
	}
	return "key " + key[:4]
}

func job(workMS int, requires string) map[string]any {
	step := map[string]any{"count": 1, "cpu": 500, "mem_mb": 256, "estimate_ms": workMS}
	if requires != "" {
		step["requires"] = requires
	}
	return map[string]any{"spec": fmt.Sprint(workMS), "steps": []any{step}}
}

// awaitReady waits until all instances are ready.
func (d *deployment) awaitReady(within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, x := range d.daemons {
			if resp, err := d.client.Get("http://" + x.ready + "/ready"); err == nil {
				_ = resp.Body.Close()
				if resp.StatusCode == 200 {
					ready++
				}
			}
		}
		if ready == len(d.daemons) {
			return true
		}
	}
	return false
}

// awaitState waits until the job has the state.
func (d *deployment) awaitState(id, key, state string, within time.Duration) bool {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(200 * time.Millisecond) {
		if status, text := d.call(d.daemons[0], "GET", prefix+id, key, nil); status == 200 && strings.Contains(text, state) {
			return true
		}
	}
	return false
}

// awaitRun waits until a minion runs a task of the job, and returns it.
func (d *deployment) awaitRun(id string, within time.Duration) *minion {
	for deadline := time.Now().Add(within); time.Now().Before(deadline); time.Sleep(50 * time.Millisecond) {
		for _, m := range d.minions {
			if m.runs(id) {
				return m
			}
		}
	}
	return nil
}

func run(name, folder string) int {
	rec := &record{began: time.Now(), begun: make(map[string]bool)}
	d := &deployment{store: newStore(), record: rec, gangs: &gangs{members: make(map[string]int), runs: make(map[string]*gangRun)},
		client: &http.Client{Timeout: 3500 * time.Millisecond}, trouble: os.Getenv("TROUBLE") != "0"}
	code := cannotRun
	defer func() {
		_ = os.WriteFile(filepath.Join(folder, "record.txt"), []byte(strings.Join(rec.lines, "\n")+"\n"), 0o644)
	}()
	play, ok := map[string]func(*deployment) int{"waiting": playWaiting, "open-queue": playOpenQueue, "lasting": playLasting, "same-rack": playSameRack, "after-cut": playAfterCut}[name]
	if !ok {
		rec.add("no case %q", name)
		return code
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		rec.add("%v", err)
		return code
	}
	defer os.RemoveAll(dir)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		rec.add("%v", err)
		return code
	}
	go func() { _ = http.Serve(l, d.store.handler()) }()
	minions, perRack := 8, 4
	if name == "same-rack" {
		minions, perRack = 24, 8
	}
	for n := range minions {
		kind := "a"
		if n == 7 {
			kind = "b"
		}
		m, err := startMinion(d.store, rec, d.gangs, fmt.Sprintf("i-%08x", 0x7f3a9100+n), svc, "dalmatia-split", kind, fmt.Sprintf("r%d-1", n/perRack))
		if err != nil {
			rec.add("%v", err)
			return code
		}
		d.minions = append(d.minions, m)
	}
	d.config(7, name == "open-queue", key1, key2)
	defer d.close()
	for n := range 3 {
		if err := d.startDaemon("target/auburnpierd", dir, l.Addr().String(), fmt.Sprintf("front-%d", n+1), "dalmatia-split"); err != nil {
			rec.add("%v", err)
			return code
		}
	}
	if !d.awaitReady(20 * time.Second) {
		rec.add("the instances are not ready")
		for _, x := range d.daemons {
			raw, _ := os.ReadFile(x.log)
			rec.add("last lines of %s: %s", x.name, raw[max(0, len(raw)-600):])
		}
		return code
	}
	// An instance is in touch contact_ms after its start.
	time.Sleep((contactMS + 500) * time.Millisecond)
	code = play(d)
	rec.add("exit code %d", code)
	return code
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(cannotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}
