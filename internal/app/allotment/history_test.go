package allotment

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

const historyLimit = 12

// semaphore models a team's limit over the fleet: a unit can be acquired only while
// fewer units than the limit are in use.
func semaphore() porcupine.Model {
	return porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, input, _ any) (bool, any) {
			inUse := state.(int)
			if input.(string) == "release" {
				return true, inUse - 1
			}
			return inUse < historyLimit, inUse + 1
		},
	}
}

// overwritingStore ignores the expected revision of a write, so that concurrent claims
// overwrite each other.
type overwritingStore struct{ port.Store }

func (b overwritingStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	if e, err := b.Get(ctx, key); err == nil {
		expected = e.Revision
	}
	return b.Store.CompareAndSwap(ctx, key, expected, value)
}

// delayedStore delays each read and write by up to 200 ms, so that calls of several
// instances overlap.
type delayedStore struct {
	port.Store
	mu     *sync.Mutex
	random *rand.Rand
}

func (d delayedStore) delay() {
	d.mu.Lock()
	wait := time.Duration(d.random.Int64N(int64(100 * time.Millisecond)))
	d.mu.Unlock()
	time.Sleep(wait)
}

func (d delayedStore) Get(ctx context.Context, key string) (port.Entry, error) {
	d.delay()
	defer d.delay()
	return d.Store.Get(ctx, key)
}

func (d delayedStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	d.delay()
	defer d.delay()
	return d.Store.CompareAndSwap(ctx, key, expected, value)
}

// Guards against more units in use over all instances than the limit, while store calls
// are lost and one instance is disconnected from the store and reclaimed. The history has
// to be linearizable as a semaphore. The check must fail for a store that loses updates
// and for peers that confirm a holder whose acknowledgements they should suppress.
func TestAllotmentHistories(t *testing.T) {
	cases := []struct {
		name   string
		inject func(*cell)
		store  func(port.Store) port.Store
		ok     bool
	}{
		{"as designed", nil, nil, true},
		{"injected fault: writes ignore the expected revision", nil, func(s port.Store) port.Store { return overwritingStore{s} }, false},
		{"injected fault: ping acknowledgements are not suppressed", func(c *cell) { c.confirmAll = true }, nil, false},
	}
	// A lost update is visible in about a quarter of the histories, so an injected fault
	// gets more of them. The search ends at the first violation.
	const seeds, faultSeeds = 10, 100
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			histories, operations, found := uint64(seeds), 0, false
			if !c.ok {
				histories = faultSeeds
			}
			for seed := uint64(0); seed < histories && !found; seed++ {
				var history []porcupine.Operation
				synctest.Test(t, func(t *testing.T) { history = recordUses(t, seed, c.inject, c.store) })
				operations += len(history)
				result := porcupine.CheckOperationsTimeout(semaphore(), history, 20*time.Second)
				if result == porcupine.Unknown {
					t.Fatalf("seed %d: the check did not finish within 20 s", seed)
				}
				found = result == porcupine.Illegal
				if found {
					t.Logf("more than the limit was in use with seed %d", seed)
				}
			}
			t.Logf("%d operations", operations)
			if found == c.ok {
				t.Errorf("violation found: %v, want %v", found, !c.ok)
			}
			if c.ok && operations < seeds*200 {
				t.Errorf("only %d operations, want at least %d", operations, seeds*200)
			}
		})
	}
}

// recordUses lets 40 users on 4 instances acquire and release units for a minute while
// the store loses requests and responses. The load moves from instance to instance, so
// that amounts are transferred continuously.
func recordUses(t *testing.T, seed uint64, inject func(*cell), over func(port.Store) port.Store) []porcupine.Operation {
	ctx, cancel := context.WithCancel(t.Context())
	c := newCell(4, historyLimit, func(s port.Store) port.Store {
		s = delayedStore{Store: s, mu: new(sync.Mutex), random: rand.New(rand.NewPCG(seed, 99))}
		if over != nil {
			s = over(s)
		}
		return s
	})
	if inject != nil {
		inject(c)
	}
	c.start(ctx)
	time.Sleep(3 * time.Second)
	ends := time.Now().Add(time.Minute)
	h := &useRecorder{}
	var wg sync.WaitGroup
	for user := range 40 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(user)))
			for time.Now().Before(ends) {
				// Most users load one instance for 8 s, then another.
				crowded := int(time.Until(ends)/(8*time.Second)) % len(c.nodes)
				if user%4 == 0 {
					crowded = random.IntN(len(c.nodes))
				}
				h.use(user, c.nodes[crowded], time.Duration(random.IntN(900)+100)*time.Millisecond)
				time.Sleep(time.Duration(random.IntN(200)+20) * time.Millisecond)
				if random.IntN(60) == 0 {
					injectRandom(random, c.faults[random.IntN(len(c.faults))])
				}
			}
		})
	}
	wg.Go(func() { reclaimFirstInstance(ctx, c) })
	wg.Wait()
	cancel()
	time.Sleep(10 * time.Second) // waits for delayed writes
	synctest.Wait()
	return h.operations
}

// reclaimFirstInstance disconnects instance 0 from the store after 15 s, has instance 1
// reclaim it, and reconnects it 30 s later.
func reclaimFirstInstance(ctx context.Context, c *cell) {
	time.Sleep(15 * time.Second)
	holder := c.nodes[0].holder()
	c.faults[0].Clear()
	c.faults[0].Inject(store.Fault{Action: store.Refuse})
	call, cancel := context.WithTimeout(ctx, 30*time.Second)
	defer cancel()
	r := NewReclaimer(c.nodes[1].ackFilter, c.nodes[1], 0, c.nodes[1].Ledger)
	_ = r.Reclaim(call, domain.InstanceID(c.nodes[0].name), holder)
	<-call.Done()
	c.faults[0].Clear()
}

func injectRandom(random *rand.Rand, f *store.Faulty) {
	writes := []store.Kind{store.CompareAndSwap}
	faults := []store.Fault{
		{Action: store.LoseAnswer, Kinds: writes, Times: 1},
		{Action: store.LoseAnswer, Kinds: writes, Times: 1},
		{Action: store.LoseRequest, Kinds: writes, Times: 1},
		{Action: store.Late, Kinds: writes, Times: 1, Delay: 1500 * time.Millisecond},
		{Action: store.Late, Kinds: writes, Times: 2, Delay: 400 * time.Millisecond},
		{Action: store.Refuse, Times: 3},
		{Action: store.Slow, Times: 3, Delay: 600 * time.Millisecond},
		{Action: store.Gap, Times: 1},
		{Action: store.Hang, Kinds: []store.Kind{store.Watch}, Times: 1},
	}
	f.Inject(faults[random.IntN(len(faults))])
}

type useRecorder struct {
	mu         sync.Mutex
	sequence   atomic.Int64
	operations []porcupine.Operation
}

// use acquires a unit, holds it and releases it. A refused acquisition is not recorded:
// an instance may refuse while another one has units left.
func (h *useRecorder) use(user int, n *node, hold time.Duration) {
	called := h.sequence.Add(1)
	if !n.plane.Acquire() {
		return
	}
	h.add(user, "acquire", called)
	time.Sleep(hold)
	called = h.sequence.Add(1)
	n.plane.Release()
	h.add(user, "release", called)
}

func (h *useRecorder) add(user int, input string, called int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, porcupine.Operation{
		ClientId: user, Input: input, Call: called, Return: h.sequence.Add(1),
	})
}
