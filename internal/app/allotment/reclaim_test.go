package allotment

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/standin/store"
)

// Guards against reclaiming amounts that their holder can still use, and against not
// reclaiming them although it is proven that the holder can't.
func TestReclaimOnlyAfterLossOfAuthority(t *testing.T) {
	cases := []struct {
		name      string
		fault     func(c *cell)
		reclaimed bool // within 30 s
	}{
		{"isolated holder", func(c *cell) { c.isolate(0) }, true},
		{"holder disconnected from the store only", func(c *cell) {
			c.faults[0].Inject(store.Fault{Action: store.Refuse})
		}, true},
		{"dead holder", func(c *cell) {
			c.isolate(0)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.dead[0] = true
		}, true},
		{"unreachable peer", func(c *cell) {
			c.isolate(0)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.disconnected[[2]int{1, 2}] = true
		}, false},
		{"peer proven dead", func(c *cell) {
			c.isolate(0)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.disconnected[[2]int{1, 2}] = true
			c.dead[2] = true
		}, true},
		{"store down", func(c *cell) {
			for _, f := range c.faults {
				f.Inject(store.Fault{Action: store.Refuse})
			}
		}, false},
		{"lost responses", func(c *cell) {
			c.isolate(0)
			c.faults[1].Inject(store.Fault{Action: store.LoseAnswer, Kinds: []store.Kind{store.CompareAndSwap}, Times: 2})
		}, true},
		{"slow store", func(c *cell) {
			c.isolate(0)
			c.faults[1].Inject(store.Fault{Action: store.Slow, Delay: 700 * time.Millisecond})
		}, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			inCell(t, 3, 30, func(t *testing.T, ctx context.Context, cell *cell) {
				fill(cell.nodes[0], 30)
				holder := cell.nodes[0].name
				c.fault(cell)
				// Wait for watch requests that began before the fault, because they would
				// show the holder its revocation.
				time.Sleep(2100 * time.Millisecond)
				r := NewReclaimer(cell.nodes[1].ackFilter, cell.nodes[1], 0, cell.nodes[1].Ledger)
				done := make(chan error, 1)
				call, cancel := context.WithTimeout(ctx, 30*time.Second)
				defer cancel()
				go func() { done <- r.Reclaim(call, domain.InstanceID(holder), holder) }()
				watchReclaim(t, cell, holder, done, c.reclaimed)
			})
		})
	}
}

// watchReclaim fails the test if the holder still had authority when its amounts were
// removed from the document, or if the outcome is not the expected one.
func watchReclaim(t *testing.T, c *cell, holder string, done <-chan error, expected bool) {
	t.Helper()
	for {
		before := c.nodes[0].holder() == holder && c.nodes[0].Held(team) > 0
		if _, ok := stored(t, c).Holders[holder]; !ok && before {
			t.Fatal("the amounts were reclaimed while the holder had authority")
		}
		select {
		case err := <-done:
			if (err == nil) != expected {
				t.Fatalf("reclaim ended with %v", err)
			}
			return
		default:
			time.Sleep(10 * time.Millisecond)
		}
	}
}

// fill tries for 10 s to acquire the given number of units and returns how many it got.
func fill(n *node, units int) int {
	got := 0
	for range 100 {
		got += acquireUpTo(n, units-got)
		time.Sleep(100 * time.Millisecond)
	}
	return got
}

// Guards against transferring a dead holder's amounts while a backend server may still
// process the holder's requests.
func TestReclaimWaitsForWorkInFlight(t *testing.T) {
	const inFlight = 20 * time.Second
	inCell(t, 3, 30, func(t *testing.T, ctx context.Context, c *cell) {
		fill(c.nodes[0], 30)
		holder := c.nodes[0].name
		c.isolate(0)
		begun := time.Now()
		r := NewReclaimer(c.nodes[1].ackFilter, c.nodes[1], inFlight, c.nodes[1].Ledger)
		if err := r.Reclaim(ctx, domain.InstanceID(holder), holder); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took < AuthorityTime+inFlight {
			t.Fatalf("reclaimed after %s, the holder's work may continue for %s after its authority", took, inFlight)
		}
	})
}

// Guards against reclaiming a holder of another region, whose peers would not be asked to
// suppress ping acknowledgements.
func TestReclaimOtherRegion(t *testing.T) {
	inCell(t, 2, 10, func(t *testing.T, ctx context.Context, c *cell) {
		c.nodes[1].mu.Lock()
		c.nodes[1].region = "mora"
		c.nodes[1].mu.Unlock()
		err := NewReclaimer(c.nodes[1].ackFilter, c.nodes[1], 0, c.nodes[1].Ledger).Reclaim(ctx, domain.InstanceID(c.nodes[0].name), c.nodes[0].name)
		if !errors.Is(err, ErrOtherRegion) {
			t.Fatalf("got %v", err)
		}
	})
}

// Guards against confirming a holder's authority before the documents were read, or after
// its revocation was read.
func TestConfirmsAuthorityOnlyOfKnownHolders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCell(2, 10, nil)
		if c.nodes[1].ackFilter.ConfirmsAuthority(c.nodes[0].name) {
			t.Fatal("confirms authority without having read the documents")
		}
		c.start(ctx)
		time.Sleep(3 * time.Second)
		if !c.nodes[1].ackFilter.ConfirmsAuthority(c.nodes[0].name) {
			t.Fatal("does not confirm the authority of a live holder")
		}
		c.nodes[1].ackFilter.Suppress("i9/1")
		c.nodes[1].mu.Lock()
		c.nodes[1].doc, _ = c.nodes[1].doc.Join("i9/1", "lulea")
		c.nodes[1].mu.Unlock()
		if c.nodes[1].ackFilter.ConfirmsAuthority("i9/1") {
			t.Fatal("confirms the authority of a holder whose acknowledgements it suppresses")
		}
		name := c.nodes[0].name
		if err := c.nodes[0].revoke(ctx, name); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if c.nodes[1].ackFilter.ConfirmsAuthority(name) {
			t.Fatal("confirms the authority of a revoked holder")
		}
		if c.nodes[0].holder() == name || !c.nodes[0].Authority() {
			t.Fatal("a live holder that was revoked did not join again")
		}
		cancel()
		synctest.Wait()
	})
}

func taskUse(inUse, demand int64) map[domain.TeamID]TaskUse {
	amount := func(n int64) domain.Resources { return domain.Resources{CPUMilli: n, MemoryMB: 4 * n} }
	return map[domain.TeamID]TaskUse{team: {InUse: amount(inUse), Demand: amount(demand)}}
}

// Guards against a transfer before the task plane has reported that it uses the lowered
// allowances, since it may still act on the ones that it read earlier.
func TestPartitionTransfer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newTaskCell(2, 100)
		c.start(ctx)
		time.Sleep(3 * time.Second)
		a, b := c.nodes[0].Ledger, c.nodes[1].Ledger
		if err := a.TakeOver(ctx, "p0", 1, nil); err != nil {
			t.Fatal(err)
		}
		if err := b.TakeOver(ctx, "p1", 1, nil); err != nil {
			t.Fatal(err)
		}
		cpu := func(l *Ledger, p domain.PartitionID) int64 {
			_, list := l.Allowances(p)
			return list[team].Amount.CPUMilli
		}
		generation, _ := a.Allowances("p0")
		a.Report("p0", generation, taskUse(0, 100))
		time.Sleep(4 * time.Second)
		if cpu(a, "p0") != 100 {
			t.Fatalf("p0 may use %d", cpu(a, "p0"))
		}
		old, _ := a.Allowances("p0")
		a.Report("p0", old, taskUse(20, 100))
		generation, _ = b.Allowances("p1")
		b.Report("p1", generation, taskUse(0, 100))
		time.Sleep(10 * time.Second)
		if cpu(a, "p0") != 50 {
			t.Fatalf("p0 may use %d after p1 reported demand", cpu(a, "p0"))
		}
		if cpu(b, "p1") != 0 {
			t.Fatal("the transfer was written before the giver's report")
		}
		a.Report("p0", old, taskUse(90, 100)) // planned on the old allowances
		time.Sleep(4 * time.Second)
		if cpu(b, "p1") != 0 {
			t.Fatal("the transfer was written on a report of an old generation")
		}
		generation, _ = a.Allowances("p0")
		a.Report("p0", generation, taskUse(90, 100))
		time.Sleep(4 * time.Second)
		if got := cpu(b, "p1"); got != 10 {
			t.Fatalf("p1 may use %d, p0 has 90 of 100 in use", got)
		}
		cancel()
		synctest.Wait()
	})
}

// Guards against a former owner that changes or uses the partition's amounts after a
// takeover, and against a next owner that does not get all of them.
func TestTakeOverFences(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newTaskCell(2, 100)
		c.start(ctx)
		time.Sleep(3 * time.Second)
		a, b := c.nodes[0].Ledger, c.nodes[1].Ledger
		if err := a.TakeOver(ctx, "p0", 1, taskUse(60, 60)); err != nil {
			t.Fatal(err)
		}
		time.Sleep(4 * time.Second)
		c.faults[1].Inject(store.Fault{Action: store.LoseAnswer, Kinds: []store.Kind{store.CompareAndSwap}, Times: 1})
		for range 5 {
			if err := b.TakeOver(ctx, "p0", 2, taskUse(60, 60)); err == nil {
				break
			}
		}
		time.Sleep(3 * time.Second)
		if _, list := a.Allowances("p0"); list != nil {
			t.Fatalf("the former owner may use %v", list)
		}
		if _, list := b.Allowances("p0"); list[team].Amount.CPUMilli != 60 {
			t.Fatalf("the next owner may use %v", list)
		}
		if err := a.TakeOver(ctx, "p0", 1, nil); err == nil {
			t.Fatal("takeover with a lower epoch succeeded")
		}
		cancel()
		synctest.Wait()
	})
}
