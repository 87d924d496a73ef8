package main

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/pprof"
	"runtime"
	"strings"
	"syscall"

	"auburnpier/internal/app/requestplane"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

const (
	benchQueue = domain.QueueID("bench")
	benchPath  = "/v1/queues/bench/request"
	benchKey   = "ap_0011223344556677_00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"
)

// usage is what a proxy process has used since it started.
type usage struct {
	CPUNanos   int64
	Mallocs    uint64
	AllocBytes uint64
	HeapBytes  uint64 // live heap after a collection
	StackBytes uint64
	Goroutines int
	Waiting    int
}

// runProxy serves the proxy under test and its usage at /usage.
func runProxy(kind, listen string, count, slots int) {
	mux := http.NewServeMux()
	waiting := func() int { return 0 }
	switch kind {
	case "baseline":
		mux.Handle("/v1/queues/", newBaseline(count))
	case "plane":
		p := newPlane(count, slots)
		waiting = func() int { return p.Usage().Waiting }
		mux.Handle("/v1/queues/", p)
	default:
		fail("unknown kind " + kind)
	}
	mux.HandleFunc("/debug/pprof/", pprof.Index)
	mux.HandleFunc("/debug/pprof/profile", pprof.Profile)
	mux.HandleFunc("/usage", func(w http.ResponseWriter, r *http.Request) {
		_ = json.NewEncoder(w).Encode(readUsage(r.URL.Query().Has("collect"), waiting()))
	})
	fail(http.ListenAndServe(listen, mux).Error())
}

func newPlane(count, slots int) *requestplane.Plane {
	teams := &requestplane.StaticTeamLimits{}
	teams.Set("county", 100000)
	held := &requestplane.StaticSlots{}
	var vms []domain.VM
	for i := range count {
		id := fmt.Sprintf("b%02d", i)
		held.Set(domain.BackendID(id), slots)
		vms = append(vms, domain.VM{ID: id, Role: domain.RoleBackend, Address: backendAddress(i), Slots: slots,
			MaxConnections: 60, Queues: []domain.QueueID{benchQueue}})
	}
	p := requestplane.New(requestplane.Options{Admission: newKeys(), Slots: held, Teams: teams,
		MaxWaitingBytes: 1 << 30})
	p.UpdateVMs(vms)
	go p.Run(context.Background())
	return p
}

// keys resolves the key of a request as an instance does: the secret is hashed
// and compared in constant time.
type keys struct {
	sums map[string][sha256.Size]byte
	row  domain.QueueRow
}

func newKeys() *keys {
	key, err := teamkey.Parse(benchKey)
	if err != nil {
		fail(err.Error())
	}
	return &keys{sums: map[string][sha256.Size]byte{key.ID(): key.Sum()},
		row: domain.QueueRow{MaxWaiting: 100000, TimeoutMS: 60000}}
}

// Admit implements requestplane.Admission.
func (k *keys) Admit(r *http.Request, _ domain.QueueID) (requestplane.Caller, error) {
	text, _ := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	key, err := teamkey.Parse(text)
	if err != nil || !key.Matches(k.sums[key.ID()]) {
		return requestplane.Caller{}, refusal.New(http.StatusUnauthorized, refusal.KeyUnknown, "unknown key", "use the bench key")
	}
	return requestplane.Caller{Team: "county", Share: 1, Row: k.row}, nil
}

func readUsage(collect bool, waiting int) usage {
	if collect {
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return usage{
		CPUNanos:   r.Utime.Nano() + r.Stime.Nano(),
		Mallocs:    m.Mallocs,
		AllocBytes: m.TotalAlloc,
		HeapBytes:  m.HeapAlloc,
		StackBytes: m.StackInuse,
		Goroutines: runtime.NumGoroutine(),
		Waiting:    waiting,
	}
}
