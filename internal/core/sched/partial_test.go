package sched

import (
	"testing"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Guards against a partial report from which the end of unlisted attempts is concluded,
// and against a full report in which missing attempts go unnoticed.
func TestPartialReports(t *testing.T) {
	cases := []struct {
		name    string
		partial bool
		acquire bool
	}{
		{"partial report omits running attempt", true, false},
		{"full report omits running attempt", false, true},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			c := cellWithRunningTask(t, false)
			c.m.Ready()
			lease := c.workers[0].leaseReport()
			lease.Attempts = nil
			lease.Partial = tc.partial
			acquired := false
			for range 3 {
				c.m.Step(LeaseRenewed{Worker: "w000", Lease: lease, SentAt: fromMillis(c.now)})
				acquired = acquired || len(c.m.Ready().Acquire) > 0
			}
			if acquired != tc.acquire {
				t.Fatalf("a new lease was requested: %v, want %v", acquired, tc.acquire)
			}
			c.mustState("service1", domain.JobRunning)
		})
	}
}

// Guards against the resources of an orphan that are released while a partial report
// omits it, or that stay reserved after its end.
func TestPartialReportsOfOrphans(t *testing.T) {
	c := cellWithRunningTask(t, true)
	w := c.workers[0]
	orphan := *w.running()[0]
	c.step(Cancel{Jobs: []domain.JobID{"service1"}})
	c.advance(10_000)
	orphan.report.ID = "x.0.1"
	lease := w.leaseReport()
	lease.Partial = true
	report := func(attempts ...*fakeAttempt) domain.Resources {
		lease.Attempts = nil
		for _, a := range attempts {
			lease.Attempts = append(lease.Attempts, a.report)
		}
		c.m.Step(LeaseRenewed{Worker: "w000", Lease: lease, SentAt: fromMillis(c.now)})
		s, _ := c.m.Worker("w000")
		return s.Reserved
	}
	if got := report(&orphan); got != orphan.report.Usage {
		t.Fatalf("%+v is reserved, want the orphan's %+v", got, orphan.report.Usage)
	}
	if got := report(); got != orphan.report.Usage {
		t.Fatalf("%+v is reserved after a report that omits the orphan, want %+v", got, orphan.report.Usage)
	}
	orphan.report.State = port.AttemptEnded
	if got := report(&orphan); !got.IsZero() {
		t.Fatalf("%+v is reserved after the orphan ended, want nothing", got)
	}
}
