package allotment

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/rendezvous"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

// slotNode is an instance that holds slots of backend servers.
type slotNode struct {
	id       domain.InstanceID
	ledger   *Ledger
	assigner *Assigner
	mu       sync.Mutex
	inUse    map[string]UnitUse
}

func (n *slotNode) usage() map[string]UnitUse {
	n.mu.Lock()
	defer n.mu.Unlock()
	return maps.Clone(n.inUse)
}

func (n *slotNode) setInUse(inUse map[string]UnitUse) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.inUse = inUse
}

func newSlotNode(ctx context.Context, s port.Store, i int) *slotNode {
	n := &slotNode{id: domain.InstanceID(fmt.Sprintf("i%d", i))}
	m := metrics.New()
	w := sharedwatch.New(s, port.SystemClock{}, m, sharedwatch.Prefix)
	n.assigner = NewAssigner(n.id)
	n.ledger = New(Config{
		Key: SlotsKey("lulea"), Region: "lulea", Store: s, Watch: w, Clock: port.SystemClock{}, Metrics: m,
		Limits: n.assigner.Limits, Usage: n.usage,
	})
	n.assigner.Bind(n.ledger)
	n.ledger.JoinInstance(string(n.id) + "/1")
	go func() { _ = w.Run(ctx) }()
	go func() { _ = n.ledger.Run(ctx) }()
	return n
}

// Guards against slots of a server that stay split over several instances, that stay
// with an instance that left, or that are transferred while they are in use.
func TestSlotsFollowInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		st := store.New()
		servers := make(map[domain.BackendID]int64)
		for i := range 50 {
			servers[domain.BackendID(fmt.Sprintf("b%02d", i))] = 8
		}
		var nodes []*slotNode
		var all []domain.InstanceID
		for i := range 3 {
			nodes = append(nodes, newSlotNode(ctx, st, i))
			all = append(all, nodes[i].id)
		}
		update := func(live []domain.InstanceID) {
			for _, n := range nodes {
				n.assigner.Update(servers, live)
			}
		}
		time.Sleep(time.Second)
		update(all)
		time.Sleep(5 * time.Second)
		checkHolders(t, nodes, servers, all, nil)

		// Instance 0 has to transfer its slots, but 3 slots of one server are in use.
		var busy domain.BackendID
		for id := range servers {
			if (ServerSlots{nodes[0].ledger}).Held(id) > 0 {
				busy = id
			}
		}
		nodes[0].setInUse(map[string]UnitUse{string(busy): {InUse: 3}})
		update(all[1:])
		time.Sleep(8 * time.Second)
		checkHolders(t, nodes, servers, all[1:], map[domain.BackendID]int{busy: 3})
		nodes[0].setInUse(nil)
		time.Sleep(8 * time.Second)
		checkHolders(t, nodes, servers, all[1:], nil)

		delete(servers, busy)
		update(all[1:])
		time.Sleep(8 * time.Second)
		for _, n := range nodes {
			if held := (ServerSlots{n.ledger}).Held(busy); held > 0 {
				t.Errorf("%s still holds %d slots of a removed server", n.id, held)
			}
		}
		cancel()
		synctest.Wait()
	})
}

// checkHolders fails the test unless the assigned instance holds all slots of each
// server, except those that instance 0 still has in use.
func checkHolders(t *testing.T, nodes []*slotNode, servers map[domain.BackendID]int64, live []domain.InstanceID, kept map[domain.BackendID]int) {
	t.Helper()
	names := make([]string, 0, len(live))
	for _, id := range live {
		names = append(names, string(id))
	}
	holders := rendezvous.Divide(serverNames(servers), names)
	for id, slots := range servers {
		chosen := holders[string(id)]
		sum := 0
		for i, n := range nodes {
			held := (ServerSlots{n.ledger}).Held(id)
			sum += held
			want := 0
			if string(n.id) == chosen {
				want = int(slots) - kept[id]
			}
			if i == 0 {
				want += kept[id]
			}
			if held != want {
				t.Errorf("%s holds %d slots of %s, want %d", n.id, held, id, want)
			}
		}
		if sum != int(slots) {
			t.Errorf("%d slots of %s are held, want %d", sum, id, slots)
		}
	}
}
