package jobs

import (
	"testing"

	"github.com/fxamacker/cbor/v2"
)

// Guards against work of a stored job that a later version has written and this one cannot read: its runs were stopped as not
// needed and its ends acknowledged, and where only a part could be read, tasks that had succeeded were started again.
func TestUnreadableJobIsLeftAlone(t *testing.T) {
	m := storedRecurring(t, recurringSpec(smallStep(1)))
	stored, err := m.jobs["j"].stored()
	if err != nil {
		t.Fatal(err)
	}
	job, err := cbor.Marshal(m.jobs["j"].record())
	if err != nil {
		t.Fatal(err)
	}
	state, err := cbor.Marshal(StateRecord{State: Queued, DoneOccurrences: []int{0, 1}, Steps: []StepRecord{{Occurrence: 2, Done: []byte{1}}, {Occurrence: 3, Step: 7}}})
	if err != nil {
		t.Fatal(err)
	}
	for name, c := range map[string]struct {
		job, state []byte
		parked     bool
	}{
		"job is no record":               {job: []byte{0xff}, state: stored.State},
		"state is no record":             {job: job, state: []byte{0xff}},
		"state names a missing step":     {job: job, state: state},
		"parked, job is no record":       {job: []byte{0xff}, state: stored.State, parked: true},
		"parked, names a missing step":   {job: job, state: state, parked: true},
		"parked, state is not a record ": {job: job, state: []byte{0xff}, parked: true},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := testConfig()
			cfg.Epoch = 2
			next := New(cfg, 1000, 1000)
			ends := []EndReport{succeed(1, 5, 0, 0)}
			runs := []RunReport{{Task: TaskID{"j", 6, 0, 0}, Run: 1}}
			if c.parked {
				next.cfg.MemoryBytes, next.memory.vmBytes = 1, 1
				if err := next.RecoverJob("j", job, stored.State); err != nil || next.CountParked() != 1 {
					t.Fatalf("the job is not parked: %v", err)
				}
				next.FinishRecovery()
				registerWorker(next)
				report(next, ends, runs...)
				if err := next.JobLoaded("j", c.job, c.state); err == nil {
					t.Fatal("the job is loaded")
				}
			} else {
				if err := next.RecoverJob("j", c.job, c.state); err == nil {
					t.Fatal("the job is recovered")
				}
				next.SetUnreadable("j")
				next.FinishRecovery()
				registerWorker(next)
			}
			report(next, ends, runs...)
			next.Schedule()
			out := next.TakeOutput()
			if len(out.Stops) != 0 || len(out.Starts) != 0 {
				t.Errorf("%d stop and %d start orders, want none", len(out.Stops), len(out.Starts))
			}
			if last := next.AcknowledgeableEnd("w"); last != 0 {
				t.Errorf("ends up to %d may be acknowledged, want none", last)
			}
			if !next.IsUnreadable("j") || next.Knows("j") || next.CountParked() != 0 || next.activeTasks != 0 {
				t.Errorf("unreadable %v, known %v, %d parked, %d tasks with state", next.IsUnreadable("j"), next.Knows("j"), next.CountParked(), next.activeTasks)
			}
		})
	}
}
