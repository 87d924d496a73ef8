package confsync

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"

	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/store"
)

const historyTeams = 2

// rowState is the row of one team in the model. The revision of a row that an edit of unknown outcome
// wrote is unknown until a later operation returns it.
type rowState struct {
	revision        uint64
	revisionUnknown bool
	share           float64
}

type tableState struct {
	version uint64
	rows    [historyTeams]rowState
}

type editInput struct {
	read  bool // a read of the store instead of an edit
	team  int
	based uint64
	share float64
}

type editOutput struct {
	verdict string
	version uint64
	rows    [historyTeams]rowState // all rows for a read, the current row for a conflict
}

// matches reports whether the returned row is consistent with the row of the model.
func (r rowState) matches(shown rowState) bool {
	if r.revisionUnknown {
		return r.share == shown.share && shown.revision > 0
	}
	return r.revision == shown.revision && r.share == shown.share
}

// stepTable returns the possible next states, or none if the output is impossible. The version may
// increase by more than one, because resolving a lost write also creates a version.
func stepTable(state, input, output any) []any {
	s, in, out := state.(tableState), input.(editInput), output.(editOutput)
	row := s.rows[in.team]
	baseFits := row.revision == in.based || row.revisionUnknown && in.based > 0
	next := s
	switch {
	case in.read:
		for i := range s.rows {
			if !s.rows[i].matches(out.rows[i]) {
				return nil
			}
		}
		if out.version < s.version {
			return nil
		}
		return []any{tableState{version: out.version, rows: out.rows}}
	case out.verdict == accepted:
		if !baseFits || out.version <= s.version {
			return nil
		}
		next.version = out.version
		next.rows[in.team] = rowState{revision: out.version, share: in.share}
		return []any{next}
	case out.verdict == conflict:
		shown := out.rows[in.team]
		if !row.matches(shown) || shown.revision == in.based {
			return nil
		}
		next.rows[in.team] = shown
		return []any{next}
	case out.verdict == unknown && baseFits:
		next.rows[in.team] = rowState{revisionUnknown: true, share: in.share}
		return []any{s, next}
	case out.verdict == unknown || out.verdict == notAccepted:
		return []any{s}
	default:
		return nil
	}
}

func tableModel() porcupine.Model {
	m := porcupine.NondeterministicModel{
		Init:  func() []any { return []any{tableState{}} },
		Step:  stepTable,
		Equal: func(a, b any) bool { return a.(tableState) == b.(tableState) },
	}
	return m.ToModel()
}

// blindStore is a store with an injected bug: writes ignore the expected revision, so that concurrent
// edits are overwritten.
type blindStore struct{ port.Store }

func (b blindStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	if e, err := b.Get(ctx, key); err == nil {
		expected = e.Revision
	}
	return b.Store.CompareAndSwap(ctx, key, expected, value)
}

// forgetfulStore is a store with an injected bug: it drops the recent edit IDs, so that an edit whose
// response was lost can't be recognized.
type forgetfulStore struct{ port.Store }

func (f forgetfulStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	var doc domain.ConfigDocument
	if err := json.Unmarshal(value, &doc); err == nil {
		doc.RecentEdits = nil
		value, _ = json.Marshal(doc)
	}
	return f.Store.CompareAndSwap(ctx, key, expected, value)
}

// Guards against histories of concurrent edits under store faults that are not linearizable, such as
// lost updates or edits applied twice. The check must also detect stores with injected bugs.
func TestEditHistories(t *testing.T) {
	cases := []struct {
		name      string
		wrapStore func(port.Store) port.Store
		ok        bool
	}{
		{"correct store", func(s port.Store) port.Store { return s }, true},
		{"injected bug: writes ignore the expected revision", func(s port.Store) port.Store { return blindStore{s} }, false},
		{"injected bug: edit IDs are not kept", func(s port.Store) port.Store { return forgetfulStore{s} }, false},
	}
	// An injected bug gets more histories, because not every one shows it; the first illegal one is
	// enough.
	const seeds, plantedSeeds = 10, 60
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			histories, found := uint64(seeds), false
			if !c.ok {
				histories = plantedSeeds
			}
			verdicts := make(map[string]int)
			for seed := uint64(0); seed < histories && !found; seed++ {
				var history []porcupine.Operation
				synctest.Test(t, func(t *testing.T) { history = recordEdits(t, seed, c.wrapStore) })
				for _, op := range history {
					verdicts[op.Output.(editOutput).verdict]++
				}
				result := porcupine.CheckOperationsTimeout(tableModel(), history, 20*time.Second)
				if result == porcupine.Unknown {
					t.Fatalf("seed %d: the linearizability check timed out", seed)
				}
				found = result == porcupine.Illegal
				if found {
					t.Logf("the history of seed %d is not linearizable", seed)
				}
			}
			t.Logf("verdicts %v", verdicts)
			if found == c.ok {
				t.Errorf("non-linearizable history found: %v", found)
			}
			if c.ok && (verdicts[accepted] < 100 || verdicts[conflict] < 100 || verdicts[unknown] == 0) {
				t.Error("the histories contain too few accepted, conflicting or unknown edits")
			}
		})
	}
}

// recordEdits runs 6 operators that edit 2 rows through 3 instances under store faults, and returns the
// history of their operations.
func recordEdits(t *testing.T, seed uint64, wrapStore func(port.Store) port.Store) []porcupine.Operation {
	ctx, cancel := context.WithCancel(t.Context())
	base := store.New()
	faults := make([]*store.Faulty, 3)
	instances := make([]*instance, 3)
	for i := range instances {
		faults[i] = store.NewFaulty(base)
		instances[i] = newInstance(wrapStore(faults[i]), nil)
		instances[i].start(ctx)
	}
	time.Sleep(time.Second)
	h := &historyRecorder{}
	var wg sync.WaitGroup
	for client := range 6 {
		wg.Go(func() {
			random := rand.New(rand.NewPCG(seed, uint64(client)))
			for n := range 8 {
				i := random.IntN(len(instances))
				injectRandom(random, faults[i])
				share := float64(client*100 + n + 1)
				h.edit(ctx, client, instances[i], random.IntN(historyTeams), share, seed)
				if random.IntN(4) == 0 {
					h.read(t, client, base)
				}
				time.Sleep(time.Duration(random.IntN(300)) * time.Millisecond)
			}
		})
	}
	wg.Wait()
	for _, f := range faults {
		f.Clear()
	}
	time.Sleep(10 * time.Second)
	h.read(t, 0, base)
	cancel()
	synctest.Wait()
	return h.operations
}

func injectRandom(random *rand.Rand, f *store.Faulty) {
	writes := []store.Kind{store.CompareAndSwap}
	faults := []store.Fault{
		{Action: store.LoseAnswer, Kinds: writes, Times: 1},
		{Action: store.LoseAnswer, Kinds: writes, Times: 2},
		{Action: store.LoseRequest, Kinds: writes, Times: 1},
		{Action: store.LoseRequest, Kinds: writes, Times: 12},
		{Action: store.Late, Kinds: writes, Times: 1, Delay: 300 * time.Millisecond},
		{Action: store.Late, Kinds: writes, Times: 4, Delay: 9 * time.Second},
		{Action: store.Refuse, Times: 3},
		{Action: store.Stale, Kinds: []store.Kind{store.Get, store.Watch}, Times: 2},
		{Action: store.Slow, Times: 2, Delay: 200 * time.Millisecond},
	}
	if pick := random.IntN(2 * len(faults)); pick < len(faults) {
		f.Inject(faults[pick])
	}
}

type historyRecorder struct {
	mu         sync.Mutex
	sequence   atomic.Int64
	operations []porcupine.Operation
}

func (h *historyRecorder) add(op porcupine.Operation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.operations = append(h.operations, op)
}

func teamName(i int) domain.TeamID { return domain.TeamID(fmt.Sprintf("t%d", i)) }

// edit changes a row based on its revision in force at the instance, and records the operation. An edit
// of unknown outcome is recorded without an end, because it may still take effect.
func (h *historyRecorder) edit(ctx context.Context, client int, i *instance, row int, share float64, seed uint64) {
	in := editInput{team: row, share: share, based: i.Current().Doc.Teams[teamName(row)].Revision}
	e := setTeamEdit(string(teamName(row)), in.based, share)
	e.ID = fmt.Sprintf("s%d-%g", seed, share)
	called := h.sequence.Add(1)
	applied, err := i.Apply(ctx, e)
	out := editOutput{verdict: outcomeOf(err), version: applied.Version}
	var c *confdoc.ConflictError
	if errors.As(err, &c) && c.Team != nil {
		out.rows[row] = rowState{revision: c.Team.Revision, share: c.Team.Share}
	}
	returned := h.sequence.Add(1)
	if out.verdict == unknown {
		returned = math.MaxInt64
	}
	h.add(porcupine.Operation{ClientId: client, Input: in, Call: called, Output: out, Return: returned})
}

func (h *historyRecorder) read(t *testing.T, client int, s port.Store) {
	called := h.sequence.Add(1)
	doc := stored(t, s)
	out := editOutput{verdict: "read", version: doc.Version}
	for i := range out.rows {
		row := doc.Teams[teamName(i)]
		out.rows[i] = rowState{revision: row.Revision, share: row.Share}
	}
	h.add(porcupine.Operation{ClientId: client, Input: editInput{read: true}, Call: called, Output: out, Return: h.sequence.Add(1)})
}
