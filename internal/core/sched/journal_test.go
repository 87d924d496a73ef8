package sched

import (
	"bytes"
	"testing"

	"auburnpier/internal/domain"
)

// flushJournal makes all pending batches durable.
func (c *cell) flushJournal() {
	if c.storeDown || len(c.pending) == 0 {
		return
	}
	batches := c.pending
	c.pending = nil
	for _, b := range batches {
		for _, r := range b.Records {
			c.journal = append(c.journal, encodeAndDecode(c.t, r))
		}
	}
	c.step(Durable{Batch: batches[len(batches)-1].Batch})
	c.checkConfirmed()
}

// checkConfirmed passes to the checker the acceptances that callers may now be told of, because the journal contains
// them, and the ends that they are told of.
func (c *cell) checkConfirmed() {
	for _, r := range c.journal[max(0, len(c.journal)-200):] {
		if r.Accepted != nil {
			c.checker.RecordAcceptance(r.Accepted.Job)
		}
	}
	for _, id := range c.jobs {
		s, ok := c.m.Status(id)
		if !ok || !s.State.Terminal() {
			continue
		}
		if err := c.checker.RecordReportedEnd(id, s.State); err != nil {
			c.t.Fatal(err)
		}
	}
}

// encodeAndDecode returns the record after a round trip through its encoding, as in the journal.
func encodeAndDecode(t testing.TB, r Record) Record {
	t.Helper()
	data, err := EncodeRecord(r)
	if err != nil {
		t.Fatal(err)
	}
	out, err := DecodeRecord(data)
	if err != nil {
		t.Fatal(err)
	}
	return out
}

// Guards against callers who are told that a job has ended while the record of its end is not in the journal: the
// next owner runs the job on.
func TestEndIsShownOnceDurable(t *testing.T) {
	c := newCell(t, 2).startOwner()
	c.mustSubmit("cancelled", "a", domain.JobSpec{Kind: domain.JobBatch, Tasks: 1, Resources: amount(1, 1)})
	c.mustSubmit("done", "a", domain.JobSpec{Kind: domain.JobBatch, Tasks: 1, Resources: amount(1, 1)})
	c.advance(2000)
	c.storeDown = true
	c.step(Cancel{Jobs: []domain.JobID{"cancelled"}, Team: "a"})
	c.advance(8000)
	for _, id := range []domain.JobID{"cancelled", "done"} {
		if s := c.state(id); s.Terminal() {
			t.Errorf("%s is shown as %s, but the journal does not hold its end", id, s)
		}
	}
	c.storeDown = false
	c.advance(2000)
	c.mustState("cancelled", domain.JobCancelled)
	c.mustState("done", domain.JobSucceeded)
}

// crash replaces the owner: state that is not durable is lost, and a successor reads
// the journal. If snapshot is set, it starts from a snapshot taken halfway through it.
func (c *cell) crash(snapshot bool) {
	c.t.Helper()
	c.pending = nil
	c.ownerPaused = false
	clear(c.acks)
	for _, w := range c.workers {
		w.noCallsUntilMS = 0
	}
	c.epoch++
	c.checker.RecordOwnerChange()
	c.m = c.recover(snapshot)
	c.m.Step(FormerOwnerStopped{At: fromMillis(c.now)})
	c.sendInitialEvents()
}

// recover builds a machine from the journal.
func (c *cell) recover(snapshot bool) *Machine {
	c.t.Helper()
	m := c.newMachine()
	records := c.journal
	if snapshot {
		half := c.newMachine()
		applyRecords(c.t, half, records[:len(records)/2])
		state, err := half.Snapshot()
		if err != nil {
			c.t.Fatal(err)
		}
		if err := m.Restore(state); err != nil {
			c.t.Fatal(err)
		}
		records = records[len(records)/2:]
	}
	applyRecords(c.t, m, records)
	return m
}

func applyRecords(t testing.TB, m *Machine, records []Record) {
	t.Helper()
	for i, r := range records {
		if err := m.Apply(r); err != nil {
			t.Fatalf("record %d of %d: %v", i, len(records), err)
		}
	}
}

// mustEqualRecovered compares the running machine with one recovered from the journal.
func (c *cell) mustEqualRecovered() {
	c.t.Helper()
	for len(c.pending) > 0 {
		c.flushJournal()
	}
	want, err := c.m.Snapshot()
	if err != nil {
		c.t.Fatal(err)
	}
	for _, snapshot := range []bool{false, true} {
		got, err := c.recover(snapshot).Snapshot()
		if err != nil {
			c.t.Fatal(err)
		}
		if !bytes.Equal(want, got) {
			c.t.Fatalf("recovered state (from snapshot: %v) has %d bytes, the writer's %d, and they differ", snapshot, len(got), len(want))
		}
	}
}
