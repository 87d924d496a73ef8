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

// rowState is one team in the model. A row written by an edit of unknown
// outcome has a revision that no one was told yet.
type rowState struct {
	revision uint64
	untold   bool
	share    float64
}

type tableState struct {
	version uint64
	rows    [historyTeams]rowState
}

type editInput struct {
	read  bool // a read of the store in place of an edit
	team  int
	based uint64
	share float64
}

type editOutput struct {
	verdict string
	version uint64
	rows    [historyTeams]rowState // of a read, or the current row of a conflict
}

// matches reports whether a row shown to an operator can be the row of the state.
func (r rowState) matches(shown rowState) bool {
	if r.untold {
		return r.share == shown.share && shown.revision > 0
	}
	return r.revision == shown.revision && r.share == shown.share
}

// stepTable returns the states that may follow, none where the output is
// impossible. The version may also grow by edits that settle a lost write.
func stepTable(state, input, output any) []any {
	s, in, out := state.(tableState), input.(editInput), output.(editOutput)
	row := s.rows[in.team]
	baseFits := row.revision == in.based || row.untold && in.based > 0
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
		next.rows[in.team] = rowState{untold: true, share: in.share}
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

// blindStore ignores the expected revision of writes to the configuration, so
// that a racing edit is overwritten.
type blindStore struct{ port.Store }

func (b blindStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	if e, err := b.Get(ctx, key); err == nil {
		expected = e.Revision
	}
	return b.Store.CompareAndSwap(ctx, key, expected, value)
}

// forgetfulStore drops the edit IDs of what it stores, so that an edit whose
// answer was lost can't be recognized.
type forgetfulStore struct{ port.Store }

func (f forgetfulStore) CompareAndSwap(ctx context.Context, key string, expected int64, value []byte) (int64, error) {
	var doc domain.ConfigDocument
	if err := json.Unmarshal(value, &doc); err == nil {
		doc.RecentEdits = nil
		value, _ = json.Marshal(doc)
	}
	return f.Store.CompareAndSwap(ctx, key, expected, value)
}

// Edits by racing operators under lost answers must look as if each took
// effect at one moment between call and answer, exactly as reported. The
// check must fail for a store that loses updates or edit IDs.
func TestEditHistories(t *testing.T) {
	cases := []struct {
		name  string
		plant func(port.Store) port.Store
		ok    bool
	}{
		{"as designed", func(s port.Store) port.Store { return s }, true},
		{"planted: writes ignore the expected revision", func(s port.Store) port.Store { return blindStore{s} }, false},
		{"planted: edit IDs are not kept", func(s port.Store) port.Store { return forgetfulStore{s} }, false},
	}
	// A planted fault gets more histories; the first one found ends the search.
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
				synctest.Test(t, func(t *testing.T) { history = recordEdits(t, seed, c.plant) })
				for _, op := range history {
					verdicts[op.Output.(editOutput).verdict]++
				}
				result := porcupine.CheckOperationsTimeout(tableModel(), history, 20*time.Second)
				if result == porcupine.Unknown {
					t.Fatalf("seed %d: the check did not end", seed)
				}
				found = result == porcupine.Illegal
				if found {
					t.Logf("the history of seed %d is not linearizable", seed)
				}
			}
			t.Logf("verdicts %v", verdicts)
			if found == c.ok {
				t.Errorf("found is %v", found)
			}
			if c.ok && (verdicts[accepted] < 100 || verdicts[conflict] < 100 || verdicts[unknown] == 0) {
				t.Error("the histories do not race enough")
			}
		})
	}
}

// recordEdits lets 6 operators at 3 instances edit 2 rows while the store
// loses requests and answers, and returns what they were told.
func recordEdits(t *testing.T, seed uint64, plant func(port.Store) port.Store) []porcupine.Operation {
	ctx, cancel := context.WithCancel(t.Context())
	base := store.New()
	faults := make([]*store.Faulty, 3)
	instances := make([]*instance, 3)
	for i := range instances {
		faults[i] = store.NewFaulty(base)
		instances[i] = newInstance(plant(faults[i]), nil)
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

// edit changes a row from the revision that is in force at the instance. An
// edit of unknown outcome has no end, since it may still take effect.
func (h *historyRecorder) edit(ctx context.Context, client int, i *instance, row int, share float64, seed uint64) {
	in := editInput{team: row, share: share, based: i.Current().Doc.Teams[teamName(row)].Revision}
	e := team(string(teamName(row)), in.based, share)
	e.ID = fmt.Sprintf("s%d-%g", seed, share)
	called := h.sequence.Add(1)
	applied, err := i.Apply(ctx, e)
	out := editOutput{verdict: verdict(err), version: applied.Version}
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
