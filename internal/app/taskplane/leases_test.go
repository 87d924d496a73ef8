package taskplane

import (
	"context"
	"crypto/rand"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/allotment"
	"auburnpier/internal/core/policy"
	"auburnpier/internal/core/sched"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
	"auburnpier/internal/standin/worker"
)

// unlimitedAllotments grants team t the full capacity.
type unlimitedAllotments struct{}

func (unlimitedAllotments) Allowances(domain.PartitionID) (uint64, map[domain.TeamID]allotment.TaskAllowance) {
	return 1, map[domain.TeamID]allotment.TaskAllowance{"t": {Amount: capacity}}
}
func (unlimitedAllotments) Report(domain.PartitionID, uint64, map[domain.TeamID]allotment.TaskUse) {}
func (unlimitedAllotments) TakeOver(context.Context, domain.PartitionID, domain.Epoch, map[domain.TeamID]allotment.TaskUse) error {
	return nil
}
func (unlimitedAllotments) Outside(domain.PartitionID) map[domain.TeamID]domain.Resources { return nil }
func (unlimitedAllotments) Drop(domain.PartitionID)                                       {}

var capacity = domain.Resources{CPUMilli: 8000, MemoryMB: 8000}

type dialer struct{ w *worker.Worker }

func (d dialer) Worker(string) port.Worker { return d.w }

type copies struct {
	always    bool
	withdrawn atomic.Bool
}

func (c *copies) Withdrawn(domain.PartitionID, domain.LeaseID) bool {
	return c.always || c.withdrawn.Load()
}

// Guards against rescheduling the tasks of an unreachable worker while a deputy
// may still renew its lease, and against keeping their reservations after the
// deputy has confirmed that it no longer does.
func TestLostLeaseWaitsForDeputy(t *testing.T) {
	// Starts the goroutine of the metrics library outside the synctest bubble.
	metrics.New().Timer("warm-up")
	for _, c := range []struct {
		name     string
		deputies *copies
		want     domain.JobState
	}{
		{"the deputy may renew it", &copies{}, domain.JobRunning},
		{"no deputy renews it", &copies{always: true}, domain.JobUnknown},
		{"leases are not shared", nil, domain.JobUnknown},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { lostLease(t, c.deputies, c.want) })
		})
	}
}

// options returns the options of a partition with a stand-in store and one stand-in worker.
func options(w *worker.Worker, c LeaseDeputies) Options {
	return Options{
		Instance: "owner", Store: store.New(), Workers: dialer{w}, Allotments: unlimitedAllotments{}, Clock: port.SystemClock{},
		Weights: policy.Weights{Share: 1, Waiting: 1, Packing: 1}, Log: zap.NewNop(), Metrics: metrics.New(),
		NewID: rand.Text, Deputies: c, ListLag: 30 * time.Second,
	}
}

// openWith opens a partition and waits 5 s for it to lease its worker.
func openWith(t *testing.T, ctx context.Context, o Options) *Partition {
	t.Helper()
	p, _, err := open(ctx, ctx, o, "p")
	if err != nil {
		t.Fatal(err)
	}
	p.setInputs(Inputs{Teams: []sched.TeamRow{{ID: "t", Share: 1, Limit: capacity}}})
	p.setWorkers([]domain.VM{{ID: "w", Role: domain.RoleWorker, Address: "w", Capacity: capacity}})
	time.Sleep(5 * time.Second)
	return p
}

func lostLease(t *testing.T, deputies *copies, want domain.JobState) {
	ctx, cancel := context.WithCancel(t.Context())
	w := worker.New("w", capacity)
	var leaseCopies LeaseDeputies
	if deputies != nil {
		leaseCopies = deputies
	}
	p := openWith(t, ctx, options(w, leaseCopies))
	defer func() {
		w.Restart()
		cancel()
		<-p.Done()
	}()
	job, err := p.Submit(ctx, "t", domain.JobSpec{
		Name: "job", Kind: domain.JobBatch, Tasks: 1, IdempotencyKey: "k", Resources: domain.Resources{CPUMilli: 500, MemoryMB: 500},
		Command: []string{worker.CommandServe},
	})
	if err != nil {
		t.Fatal(err)
	}
	state := func(after time.Duration, want domain.JobState) {
		t.Helper()
		time.Sleep(after)
		if status, err := p.Status(ctx, job.ID); err != nil || status.State != want {
			t.Errorf("the job is %s (%s), error %v; want %s", status.State, status.Reason, err, want)
		}
	}
	state(5*time.Second, domain.JobRunning)
	if leases, _ := p.held.list(time.Now()); len(leases) != 1 || leases[0].Age < 9*time.Second || leases[0].Age > 10*time.Second {
		t.Errorf("shared leases %+v, want one that is almost 10 s old", leases)
	}
	w.SetFaults(worker.Faults{Unreachable: true})
	state(5*time.Minute, want)
	if leases, _ := p.held.list(time.Now()); len(leases) != 0 {
		t.Errorf("the lost lease is still shared: %+v", leases)
	}
	if deputies != nil {
		deputies.withdrawn.Store(true)
	}
	state(time.Minute, domain.JobUnknown)
}

// Guards against Depose returning while a partition still renews leases: a running
// one, one that is being handed over when the process stops, and one that ended earlier.
func TestDeposeWaitsForRenewals(t *testing.T) {
	metrics.New().Timer("warm-up")
	for _, c := range []struct {
		name  string
		end   func(m *Manager, p *Partition)
		epoch domain.Epoch
		want  bool
	}{
		{"it runs", func(*Manager, *Partition) {}, 9, true},
		{"it is handed over", func(m *Manager, _ *Partition) { go m.HandOver() }, 9, true},
		{"it runs under that epoch", func(*Manager, *Partition) {}, 1, false},
		{"it ended", func(m *Manager, p *Partition) { p.Stop(); m.dropEnded() }, 9, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				o := options(worker.New("w", capacity), nil)
				m := NewManager(o, "r", nil, nil)
				p := openWith(t, ctx, o)
				m.owned["p"] = p
				renewed := p.held.lastRenewal()
				// The state machine is busy for 3 s, which delays the end of the partition.
				go func() { p.inbox <- func() { time.Sleep(3 * time.Second) } }()
				synctest.Wait()
				c.end(m, p)
				synctest.Wait()
				last, ok := m.Depose("p", c.epoch)
				if ok != c.want || ok && last.Before(renewed) {
					t.Errorf("deposed %v with the last renewal at %s, want %v and %s or later", ok, last, c.want, renewed)
				}
				select {
				case <-p.Done():
				default:
					if ok {
						t.Error("Depose returned before the renewals ended")
					}
				}
				cancel()
				<-p.Done()
				time.Sleep(time.Minute) // until the worker's lease expires
			})
		})
	}
}
