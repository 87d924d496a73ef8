package worker_test

import (
	"context"
	"errors"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/adapter/workerhttp"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/worker"
)

const ttl = 30 * time.Second

var size = domain.Resources{CPUMilli: 1000, MemoryMB: 1000}

// newWorker returns a stand-in with room for four tasks of the size.
func newWorker() *worker.Worker { return worker.New("w1", size.Scale(4)) }

func acquire(t *testing.T, w port.Worker, holder domain.InstanceID, epoch domain.Epoch) port.Lease {
	t.Helper()
	l, err := w.AcquireLease(t.Context(), holder, epoch, ttl)
	if err != nil {
		t.Fatalf("acquire by %s at epoch %d: %v", holder, epoch, err)
	}
	return l
}

func start(t *testing.T, w port.Worker, lease domain.LeaseID, attempt domain.AttemptID, command ...string) error {
	t.Helper()
	return w.Start(t.Context(), lease, []port.StartRequest{{Attempt: attempt, Job: "j", Command: command, Resources: size}})
}

func mustStart(t *testing.T, w port.Worker, lease domain.LeaseID, attempt domain.AttemptID, command ...string) {
	t.Helper()
	if err := start(t, w, lease, attempt, command...); err != nil {
		t.Fatalf("start %s: %v", attempt, err)
	}
}

func refused(err error) bool {
	var refused *port.LeaseRefusedError
	return errors.As(err, &refused)
}

// renew asks for a whole report at once.
func renew(t *testing.T, w port.Worker, lease domain.LeaseID, acknowledged ...domain.AttemptID) port.Lease {
	t.Helper()
	l, err := w.RenewLease(t.Context(), port.RenewRequest{Lease: lease, Acknowledged: acknowledged})
	if err != nil {
		t.Fatalf("renew: %v", err)
	}
	return l
}

// cases are the contract of port.Worker. Each runs against the stand-in
// directly with a fake clock, and those without a clock over HTTP too.
var cases = []struct {
	name  string
	timed bool
	check func(t *testing.T, w port.Worker, s *worker.Worker)
}{
	{"a lower epoch is refused", false, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		acquire(t, w, "a", 2)
		if _, err := w.AcquireLease(t.Context(), "b", 1, ttl); !refused(err) {
			t.Fatalf("error is %v, want a refused lease", err)
		}
	}},
	{"another holder of the same epoch is refused", false, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		acquire(t, w, "a", 2)
		if _, err := w.AcquireLease(t.Context(), "b", 2, ttl); !refused(err) {
			t.Fatalf("error is %v, want a refused lease", err)
		}
	}},
	{"a superseded lease starts, stops and renews nothing", false, func(t *testing.T, w port.Worker, s *worker.Worker) {
		old := acquire(t, w, "a", 1)
		mustStart(t, w, old.ID, "x", "serve")
		acquire(t, w, "b", 2)
		_, renewed := w.RenewLease(t.Context(), port.RenewRequest{Lease: old.ID})
		calls := map[string]error{
			"start":      start(t, w, old.ID, "y", "serve"),
			"renew":      renewed,
			"stop":       w.Stop(t.Context(), old.ID, []domain.AttemptID{"x"}),
			"checkpoint": w.Checkpoint(t.Context(), old.ID, []domain.AttemptID{"x"}),
			"throttle":   w.Throttle(t.Context(), old.ID, "x", 1),
		}
		for name, err := range calls {
			if !refused(err) {
				t.Errorf("%s: error is %v, want a refused lease", name, err)
			}
		}
		if _, n := s.Running(); n != 1 {
			t.Errorf("%d attempts run, want 1", n)
		}
	}},
	{"a new lease lists what runs", false, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		old := acquire(t, w, "a", 1)
		mustStart(t, w, old.ID, "x", "serve")
		l := acquire(t, w, "b", 2)
		if len(l.Attempts) != 1 || l.Attempts[0].ID != "x" || l.Partial || l.BootID != old.BootID {
			t.Fatalf("lease is %+v", l)
		}
	}},
	{"an attempt is started once", false, func(t *testing.T, w port.Worker, s *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "serve")
		mustStart(t, w, l.ID, "x", "serve")
		if s.Starts("j", 0) != 1 {
			t.Fatalf("started %d times", s.Starts("j", 0))
		}
	}},
	{"tasks start whether they fit or not", false, func(t *testing.T, w port.Worker, s *worker.Worker) {
		l := acquire(t, w, "a", 1)
		for _, id := range []domain.AttemptID{"1", "2", "3", "4", "5"} {
			mustStart(t, w, l.ID, id, "serve")
		}
		if len(s.Overlaps()) != 1 {
			t.Fatalf("overcommitted by %v, want one attempt", s.Overlaps())
		}
	}},
	{"an end is reported until it is acknowledged", false, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "serve")
		if err := w.Stop(t.Context(), l.ID, []domain.AttemptID{"x", "unknown"}); err != nil {
			t.Fatal(err)
		}
		for range 2 {
			if got := renew(t, w, l.ID).Attempts; len(got) != 1 || got[0].Outcome != domain.OutcomeStopped {
				t.Fatalf("reports %+v", got)
			}
		}
		if got := renew(t, w, l.ID, "x").Attempts; len(got) != 0 {
			t.Fatalf("reports %+v after the acknowledgement", got)
		}
	}},
	{"a partial report leaves out what did not change", false, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "serve")
		seen := renew(t, w, l.ID).Version
		mustStart(t, w, l.ID, "y", "serve")
		got, err := w.RenewLease(t.Context(), port.RenewRequest{Lease: l.ID, SeenVersion: seen, Wait: time.Second})
		if err != nil || !got.Partial || len(got.Attempts) != 1 || got.Attempts[0].ID != "y" {
			t.Fatalf("answer is %+v, error %v", got, err)
		}
	}},
	{"a checkpoint ends the attempt", false, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "serve")
		if err := w.Checkpoint(t.Context(), l.ID, []domain.AttemptID{"x"}); err != nil {
			t.Fatal(err)
		}
		if got := renew(t, w, l.ID).Attempts[0]; got.Outcome != domain.OutcomeCheckpointed {
			t.Fatalf("outcome is %s", got.Outcome)
		}
	}},
	{"a throttle lowers the usage", false, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "serve")
		if err := w.Throttle(t.Context(), l.ID, "x", 100); err != nil {
			t.Fatal(err)
		}
		if got := renew(t, w, l.ID).Attempts[0].Usage.CPUMilli; got != 100 {
			t.Fatalf("usage is %d", got)
		}
	}},
	{"a restart changes the boot ID and forgets attempts", false, func(t *testing.T, w port.Worker, s *worker.Worker) {
		old := acquire(t, w, "a", 1)
		mustStart(t, w, old.ID, "x", "serve")
		s.Restart()
		if _, err := w.RenewLease(t.Context(), port.RenewRequest{Lease: old.ID}); !refused(err) {
			t.Fatalf("error is %v, want a refused lease", err)
		}
		if l := acquire(t, w, "a", 1); l.BootID == old.BootID || len(l.Attempts) != 0 {
			t.Fatalf("lease is %+v", l)
		}
	}},
	{"a lost answer does not undo a start", false, func(t *testing.T, w port.Worker, s *worker.Worker) {
		l := acquire(t, w, "a", 1)
		s.SetFaults(worker.Faults{LoseStartAnswers: true})
		var unreachable *port.WorkerUnreachableError
		if err := start(t, w, l.ID, "x", "serve"); !errors.As(err, &unreachable) {
			t.Fatalf("error is %v, want an unreachable worker", err)
		}
		if got := renew(t, w, l.ID).Attempts; len(got) != 1 {
			t.Fatalf("reports %+v", got)
		}
	}},
	{"a lease lapses and stops its tasks", true, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "serve")
		time.Sleep(ttl + time.Millisecond)
		if err := start(t, w, l.ID, "y"); !refused(err) {
			t.Fatalf("error is %v, want a refused lease", err)
		}
		got := acquire(t, w, "a", 1).Attempts
		if len(got) != 1 || got[0].Outcome != domain.OutcomeLeaseExpired {
			t.Fatalf("reports %+v", got)
		}
	}},
	{"a renewal that arrives late extends from its sending", true, func(t *testing.T, w port.Worker, s *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "serve")
		time.Sleep(25 * time.Second) // the renewal was sent 10 s after the acquisition
		if _, err := w.RenewLease(t.Context(), port.RenewRequest{Lease: l.ID, Elapsed: 10 * time.Second}); err != nil {
			t.Fatal(err)
		}
		time.Sleep(15*time.Second + time.Millisecond)
		if _, n := s.Running(); n != 0 {
			t.Fatal("the lease outlived its sending by more than its time to live")
		}
	}},
	{"a waiting renewal answers at the end of an attempt", true, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		l := acquire(t, w, "a", 1)
		mustStart(t, w, l.ID, "x", "sleep", "3s")
		seen := renew(t, w, l.ID).Version
		begun := time.Now()
		got, err := w.RenewLease(t.Context(), port.RenewRequest{Lease: l.ID, SeenVersion: seen, Wait: 10 * time.Second})
		if err != nil || time.Since(begun) != 3*time.Second || len(got.Attempts) != 1 {
			t.Fatalf("answered after %s with %+v, error %v", time.Since(begun), got, err)
		}
	}},
	{"a waiting renewal answers at the end of its wait", true, func(t *testing.T, w port.Worker, _ *worker.Worker) {
		l := acquire(t, w, "a", 1)
		begun := time.Now()
		_, err := w.RenewLease(t.Context(), port.RenewRequest{Lease: l.ID, SeenVersion: l.Version, Wait: 10 * time.Second})
		if err != nil || time.Since(begun) != 10*time.Second {
			t.Fatalf("answered after %s, error %v", time.Since(begun), err)
		}
	}},
}

// Guards against a worker or an adapter that breaks the contract of port.Worker.
func TestContract(t *testing.T) {
	for _, c := range cases {
		t.Run("direct/"+c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newWorker()
				c.check(t, s, s)
				s.Restart() // ends the timers of attempts
				time.Sleep(2 * ttl)
			})
		})
		if c.timed {
			continue
		}
		t.Run("http/"+c.name, func(t *testing.T) {
			s := newWorker()
			server := httptest.NewServer(workerhttp.Handler(s))
			defer server.Close()
			c.check(t, workerhttp.NewDialer().Worker(strings.TrimPrefix(server.URL, "http://")), s)
		})
	}
}

// Guards against a call without an answer that is taken for a refusal.
func TestUnreachableWorker(t *testing.T) {
	s := newWorker()
	server := httptest.NewServer(workerhttp.Handler(s))
	address := strings.TrimPrefix(server.URL, "http://")
	w := workerhttp.NewDialer().Worker(address)
	server.Close()
	var unreachable *port.WorkerUnreachableError
	if _, err := w.AcquireLease(context.Background(), "a", 1, ttl); !errors.As(err, &unreachable) {
		t.Fatalf("error is %v, want an unreachable worker", err)
	}
}
