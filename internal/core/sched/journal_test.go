package sched

import (
	"bytes"
	"testing"
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
	c.checkConfirmed()
	c.step(Durable{Batch: batches[len(batches)-1].Batch})
}

// checkConfirmed passes to the checker the acceptances and ended jobs that callers may now be told
// of, because the journal contains them.
func (c *cell) checkConfirmed() {
	for _, r := range c.journal[max(0, len(c.journal)-200):] {
		if r.Accepted != nil {
			c.checker.RecordAcceptance(r.Accepted.Job)
		}
	}
	if len(c.pending) > 0 {
		return
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
