package sched

import (
	"bytes"
	"testing"
)

// flush makes all pending batches durable.
func (c *cell) flush() {
	if c.storeDown || len(c.pending) == 0 {
		return
	}
	batches := c.pending
	c.pending = nil
	for _, b := range batches {
		for _, r := range b.Records {
			c.journal = append(c.journal, recode(c.t, r))
		}
	}
	c.confirm()
	c.step(Durable{Batch: batches[len(batches)-1].Batch})
}

// confirm tells callers what the journal now holds.
func (c *cell) confirm() {
	for _, r := range c.journal[max(0, len(c.journal)-200):] {
		if r.Accepted != nil {
			c.checker.Confirmed(r.Accepted.Job)
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
		if err := c.checker.Ended(id, s.State); err != nil {
			c.t.Fatal(err)
		}
	}
}

// recode passes a record through its encoding, as the journal does.
func recode(t testing.TB, r Record) Record {
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

// crash replaces the owner: what was not durable is lost, a successor reads the
// journal and, where snapshot is set, begins from a snapshot in the middle of it.
func (c *cell) crash(snapshot bool) {
	c.t.Helper()
	c.pending = nil
	c.paused = false
	clear(c.acks)
	for _, w := range c.workers {
		w.pausedMS = 0
	}
	c.epoch++
	c.checker.Restarted()
	c.m = c.recover(snapshot)
	c.m.Step(FormerOwnerStopped{At: fromMillis(c.now)})
	c.inform()
}

// recover builds a machine from the journal.
func (c *cell) recover(snapshot bool) *Machine {
	c.t.Helper()
	m := c.newMachine()
	records := c.journal
	if snapshot {
		half := c.newMachine()
		apply(c.t, half, records[:len(records)/2])
		state, err := half.Snapshot()
		if err != nil {
			c.t.Fatal(err)
		}
		if err := m.Restore(state); err != nil {
			c.t.Fatal(err)
		}
		records = records[len(records)/2:]
	}
	apply(c.t, m, records)
	return m
}

func apply(t testing.TB, m *Machine, records []Record) {
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
		c.flush()
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
