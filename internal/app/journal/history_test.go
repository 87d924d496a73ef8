package journal

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/fxamacker/cbor/v2"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

// ownershipCall is one call of a history: a takeover, or an append under an epoch.
type ownershipCall struct {
	takeOver bool
	epoch    domain.Epoch
}

// ownershipResult is the outcome that the caller observed.
type ownershipResult struct {
	epoch   domain.Epoch // of a successful takeover
	done    bool
	unknown bool // the call may have taken effect
}

// ownershipModel specifies that an append succeeds only under the latest epoch and that each takeover
// starts a higher one.
var ownershipModel = porcupine.Model{
	Init: func() any { return domain.Epoch(0) },
	Step: func(state, input, output any) (bool, any) {
		current := state.(domain.Epoch)
		in, out := input.(ownershipCall), output.(ownershipResult)
		switch {
		case in.takeOver && out.done:
			return out.epoch > current, out.epoch
		case out.done:
			return in.epoch == current, current
		default:
			// A rejected append or takeover had no effect. Operations of unknown outcome are not
			// recorded; an epoch that one of them started shows in the next takeover.
			return true, current
		}
	},
	Equal: func(a, b any) bool { return a == b },
}

// recorder collects the operations of all owners.
type recorder struct {
	mu  sync.Mutex
	ops []porcupine.Operation
}

func (r *recorder) record(client int, in ownershipCall, call func() ownershipResult) ownershipResult {
	begun := time.Now().UnixNano()
	out := call()
	ended := time.Now().UnixNano()
	r.mu.Lock()
	defer r.mu.Unlock()
	if !out.unknown {
		r.ops = append(r.ops, porcupine.Operation{ClientId: client, Input: in, Output: out, Call: begun, Return: ended})
	}
	return out
}

// runOwners runs four owners that take over and append under store faults, and returns the history.
// injectBug, if set, is called before each append to inject a bug.
func runOwners(t *testing.T, seed uint64, injectBug func(*Log)) []porcupine.Operation {
	base := store.New()
	r := &recorder{}
	var group sync.WaitGroup
	for client := range 4 {
		rng := rand.New(rand.NewPCG(seed, uint64(client)))
		o := newOwner(t, base, fmt.Sprintf("owner-%d", client))
		group.Go(func() { runOwner(r, client, o, rng, injectBug) })
	}
	group.Wait()
	return r.ops
}

func runOwner(r *recorder, client int, o *owner, rng *rand.Rand, injectBug func(*Log)) {
	faults := []store.Action{store.LoseAnswer, store.LoseRequest, store.Refuse, store.Late}
	for range 6 {
		time.Sleep(time.Duration(rng.Int64N(int64(3 * time.Millisecond))))
		taken := r.record(client, ownershipCall{takeOver: true}, func() ownershipResult {
			_, err := o.takeOver(o.t.Context())
			if err != nil {
				return ownershipResult{unknown: !isDeposed(err)}
			}
			return ownershipResult{epoch: o.log.Epoch(), done: true}
		})
		if !taken.done {
			continue
		}
		for range 4 {
			if rng.IntN(3) == 0 {
				o.store.Inject(store.Fault{
					Action: faults[rng.IntN(len(faults))], Times: 1, Delay: 2 * time.Millisecond,
					Kinds: []store.Kind{store.CompareAndSwap},
				})
			}
			if injectBug != nil {
				injectBug(o.log)
			}
			time.Sleep(time.Duration(rng.Int64N(int64(2 * time.Millisecond))))
			r.record(client, ownershipCall{epoch: taken.epoch}, func() ownershipResult {
				_, err := o.log.Append(o.t.Context(), []cbor.RawMessage{{0x01}})
				return ownershipResult{done: err == nil, unknown: err != nil && !isDeposed(err)}
			})
		}
	}
}

func isDeposed(err error) bool {
	var deposed *DeposedError
	var conflict *port.ConflictError
	return errors.As(err, &deposed) || errors.As(err, &conflict)
}

// historySeeds is the number of seeds. A seed determines the faults and pauses, but not the order in
// which goroutines run.
const historySeeds = 12

// Guards against two owners whose appends both succeed after one took over from the other.
func TestOwnershipHistories(t *testing.T) {
	appended := 0
	for seed := range uint64(historySeeds) {
		ops := runOwners(t, seed, nil)
		if !porcupine.CheckOperations(ownershipModel, ops) {
			t.Fatalf("the history of seed %d is not linearizable: no order has each append under the latest epoch", seed)
		}
		for _, op := range ops {
			if !op.Input.(ownershipCall).takeOver && op.Output.(ownershipResult).done {
				appended++
			}
		}
	}
	if appended == 0 {
		t.Fatal("no append succeeded, so the histories check nothing")
	}
}

// Guards against a history check that cannot fail: it must detect an injected bug, an owner that
// appends after the latest group, whoever wrote it, instead of after its own.
func TestOwnershipHistoriesDetectInjectedBug(t *testing.T) {
	for seed := range uint64(historySeeds) {
		ops := runOwners(t, seed, func(l *Log) {
			if v, err := readView(t.Context(), l.store, l.partition); err == nil {
				l.next = v.last().Number + 1
				l.revisions = v.revisions
			}
		})
		if !porcupine.CheckOperations(ownershipModel, ops) {
			return
		}
	}
	t.Fatalf("the check accepted the histories of all %d seeds despite the injected bug", historySeeds)
}
