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

// What a holder has may be reclaimed only once it can't use it any more, and
// must be reclaimed once the proofs are there.
func TestReclaim(t *testing.T) {
	cases := []struct {
		name      string
		fault     func(c *cell)
		reclaimed bool // within 30 s
	}{
		{"isolated holder", func(c *cell) { c.isolate(0) }, true},
		{"holder cut off from the store only", func(c *cell) {
			c.faults[0].Inject(store.Fault{Action: store.Refuse})
		}, true},
		{"dead holder", func(c *cell) {
			c.isolate(0)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.dead[0] = true
		}, true},
		{"a peer that can't be asked", func(c *cell) {
			c.isolate(0)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.cut[[2]int{1, 2}] = true
		}, false},
		{"a peer that is proven dead", func(c *cell) {
			c.isolate(0)
			c.mu.Lock()
			defer c.mu.Unlock()
			c.cut[[2]int{1, 2}] = true
			c.dead[2] = true
		}, true},
		{"store down", func(c *cell) {
			for _, f := range c.faults {
				f.Inject(store.Fault{Action: store.Refuse})
			}
		}, false},
		{"answers lost", func(c *cell) {
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
				// The polls that began before the fault end. They would show the
				// holder its revocation.
				time.Sleep(2100 * time.Millisecond)
				r := NewReclaimer(cell.nodes[1].bars, cell.nodes[1], 0, cell.nodes[1].Ledger)
				done := make(chan error, 1)
				call, cancel := context.WithTimeout(ctx, 30*time.Second)
				defer cancel()
				go func() { done <- r.Reclaim(call, domain.InstanceID(holder), holder) }()
				watchReclaim(t, cell, holder, done, c.reclaimed)
			})
		})
	}
}

// watchReclaim fails the test if the holder still had authority when its
// amounts left the document, or if the outcome is not the expected one.
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

// fill acquires for 10 s.
func fill(n *node, units int) int {
	got := 0
	for range 100 {
		got += take(n, units-got)
		time.Sleep(100 * time.Millisecond)
	}
	return got
}

// Work that a dead holder began may go on at a backend server, so its amounts
// must not reach another holder before the time in flight has passed too.
func TestReclaimWaitsForWorkInFlight(t *testing.T) {
	const inFlight = 20 * time.Second
	inCell(t, 3, 30, func(t *testing.T, ctx context.Context, c *cell) {
		fill(c.nodes[0], 30)
		holder := c.nodes[0].name
		c.isolate(0)
		begun := time.Now()
		r := NewReclaimer(c.nodes[1].bars, c.nodes[1], inFlight, c.nodes[1].Ledger)
		if err := r.Reclaim(ctx, domain.InstanceID(holder), holder); err != nil {
			t.Fatal(err)
		}
		if took := time.Since(begun); took < AuthorityTime+inFlight {
			t.Fatalf("reclaimed after %s, work of the holder may go on for %s after its authority", took, inFlight)
		}
	})
}

// A holder of another region is not reclaimed from here: its peers would not
// be asked for bars.
func TestReclaimOtherRegion(t *testing.T) {
	inCell(t, 2, 10, func(t *testing.T, ctx context.Context, c *cell) {
		c.nodes[1].mu.Lock()
		c.nodes[1].region = "mora"
		c.nodes[1].mu.Unlock()
		err := NewReclaimer(c.nodes[1].bars, c.nodes[1], 0, c.nodes[1].Ledger).Reclaim(ctx, domain.InstanceID(c.nodes[0].name), c.nodes[0].name)
		if !errors.Is(err, ErrOtherRegion) {
			t.Fatalf("got %v", err)
		}
	})
}

// An instance that has not read the documents vouches for no one, and one that
// read a revocation does not vouch for the revoked holder.
func TestVouches(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newCell(2, 10, nil)
		if c.nodes[1].bars.Vouches(c.nodes[0].name) {
			t.Fatal("vouches without having read the documents")
		}
		c.start(ctx)
		time.Sleep(3 * time.Second)
		if !c.nodes[1].bars.Vouches(c.nodes[0].name) {
			t.Fatal("does not vouch for a live holder")
		}
		c.nodes[1].bars.Bar("i9/1")
		c.nodes[1].mu.Lock()
		c.nodes[1].doc, _ = c.nodes[1].doc.Join("i9/1", "lulea")
		c.nodes[1].mu.Unlock()
		if c.nodes[1].bars.Vouches("i9/1") {
			t.Fatal("vouches for a holder that it barred")
		}
		name := c.nodes[0].name
		if err := c.nodes[0].revoke(ctx, name); err != nil {
			t.Fatal(err)
		}
		time.Sleep(3 * time.Second)
		if c.nodes[1].bars.Vouches(name) {
			t.Fatal("vouches for a revoked holder")
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

// A planner may act on allowances that it read before they were lowered, so a
// transfer must wait for its report of the lowered ones.
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
			t.Fatalf("p0 may use %d after the other asked", cpu(a, "p0"))
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

// A former owner must not change or use the partition's amounts after a
// takeover, and the next owner must have all of them.
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
			t.Fatal("a lower epoch took over")
		}
		cancel()
		synctest.Wait()
	})
}
