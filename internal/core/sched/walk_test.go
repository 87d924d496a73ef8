package sched

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"reflect"
	"testing"

	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// walkSeeds is the number of random walks; a higher one covers more event orders.
var walkSeeds = flag.Int("walk-seeds", 30, "number of random walks")

// walker applies random actions and faults to a cell.
type walker struct {
	*cell
	r    *rand.Rand
	next int
}

func (w *walker) chance(percent int) bool { return w.r.IntN(100) < percent }

func toggle(b *bool) { *b = !*b }

func (w *walker) worker() *fakeWorker { return w.workers[w.r.IntN(len(w.workers))] }

// randomPlan draws how long a started task runs, how it ends and what it uses.
func (w *walker) randomPlan(r port.StartRequest) (int64, domain.Outcome, domain.Resources) {
	usage := r.Resources
	switch w.r.IntN(20) {
	case 0:
		usage.MemoryMB += 500
	case 1:
		usage.CPUMilli += 500
	default:
		usage = domain.Resources{CPUMilli: usage.CPUMilli / 2, MemoryMB: usage.MemoryMB / 2}
	}
	run := int64(1_000 + w.r.IntN(20_000))
	if w.chance(10) {
		return run, domain.OutcomeFailed, usage
	}
	return run, domain.OutcomeSucceeded, usage
}

func (w *walker) submitRandom() {
	w.next++
	kinds := []domain.JobKind{domain.JobBatch, domain.JobBatch, domain.JobGang, domain.JobService}
	priorities := []domain.Priority{domain.PriorityUrgent, domain.PriorityNormal, domain.PriorityLow}
	spec := domain.JobSpec{
		Kind: kinds[w.r.IntN(len(kinds))], Priority: priorities[w.r.IntN(len(priorities))],
		Class: fmt.Sprintf("class%d", w.r.IntN(4)),
		Tasks: 1 + w.r.IntN(6), Resources: amount(int64(1+w.r.IntN(4)), int64(1+w.r.IntN(12))),
		Idempotent: w.chance(60), Checkpointable: w.chance(50), SpanZones: w.chance(50), RunTimeMS: int64(w.r.IntN(30_000)),
	}
	spec.Idempotent = spec.Idempotent || spec.Kind == domain.JobService
	if w.chance(20) {
		spec.IdempotencyKey = fmt.Sprintf("key%d", w.r.IntN(5))
	}
	team := domain.TeamID([]string{"a", "b", "c"}[w.r.IntN(3)])
	w.submit(domain.JobID(fmt.Sprintf("j%d", w.next)), team, spec)
}

// randomAction submits or cancels jobs, injects or removes a fault, or advances the time.
func (w *walker) randomAction() {
	switch w.r.IntN(26) {
	case 0, 1, 2, 3, 4:
		w.submitRandom()
	case 5:
		var ids []domain.JobID
		for range 1 + w.r.IntN(4) {
			ids = append(ids, domain.JobID(fmt.Sprintf("j%d", 1+w.r.IntN(w.next+1))))
		}
		w.step(Cancel{Jobs: ids, Reason: "walk"})
	case 6:
		w.worker().reboot()
	case 7:
		toggle(&w.worker().unreachable)
	case 8:
		toggle(&w.worker().responsesLost)
	case 9:
		toggle(&w.worker().failsTasks)
	case 10:
		toggle(&w.worker().vm.Leaving)
	case 11:
		// The platform guarantees that a VM which is no longer listed has terminated.
		x := w.worker()
		if w.listed[x.vm.ID] {
			x.reboot()
			x.unreachable = true
		}
		w.listed[x.vm.ID] = !w.listed[x.vm.ID]
		x.unreachable = !w.listed[x.vm.ID]
	case 12, 13:
		w.crash(w.chance(50))
	case 14:
		w.storeDown = !w.storeDown
	case 15:
		modes := []string{"", "", "lost", "late", "unknown late", "unknown", "refused"}
		w.startMode = modes[w.r.IntN(len(modes))]
	case 16:
		w.setAllotment(domain.TeamID([]string{"a", "b", "c"}[w.r.IntN(3)]), amount(int64(w.r.IntN(30)), int64(w.r.IntN(120))))
	case 17:
		w.deliverLateStarts()
	case 18:
		w.ownerPaused = true
		w.advance(int64(w.r.IntN(50_000)))
		w.ownerPaused = false
	case 19:
		w.dropEndCalls = !w.dropEndCalls
	case 20:
		w.step(TeamsChanged{Teams: w.teams[:2]})
		w.advance(500)
		w.step(TeamsChanged{Teams: w.teams})
	default:
		w.advance(int64(250 * (1 + w.r.IntN(40))))
	}
}

// removeFaults removes all faults and cancels the services, which would run forever.
func (w *walker) removeFaults() {
	w.storeDown, w.startMode, w.dropEndCalls = false, "", false
	w.deliverLateStarts()
	w.taskPlan = func(r port.StartRequest) (int64, domain.Outcome, domain.Resources) {
		return 2_000, domain.OutcomeSucceeded, domain.Resources{CPUMilli: 100, MemoryMB: 100}
	}
	for _, x := range w.workers {
		x.unreachable, x.responsesLost, x.failsTasks, x.vm.Leaving = false, false, false, false
		w.listed[x.vm.ID] = true
	}
	for _, team := range []domain.TeamID{"a", "b", "c"} {
		w.setAllotment(team, amount(1000, 4000))
	}
	w.advance(120_000)
	var services []domain.JobID
	for _, id := range w.jobs {
		if s, ok := w.m.Status(id); ok && s.Spec.Kind == domain.JobService {
			services = append(services, id)
		}
	}
	w.step(Cancel{Jobs: services})
}

// Guards against event orders that the table of faults does not cover. After the walk every job
// must end.
func TestRandomWalk(t *testing.T) {
	for seed := range uint64(*walkSeeds) {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			walk(t, seed, 120)
		})
	}
}

// Guards against decisions that depend on map iteration order: the same events must produce the
// same journal.
func TestSameEventsSameRecords(t *testing.T) {
	for seed := range uint64(3) {
		if a, b := walk(t, seed, 60), walk(t, seed, 60); !reflect.DeepEqual(a, b) {
			t.Fatalf("seed %d: two runs journaled %d and %d records, which differ", seed, len(a), len(b))
		}
	}
}

// walk runs a random walk, checks that all jobs end and returns the journal.
func walk(t *testing.T, seed uint64, steps int) []Record {
	t.Helper()
	w := &walker{cell: newCell(t, 6), r: rand.New(rand.NewPCG(seed, 1))}
	w.taskPlan = w.randomPlan
	w.startOwner()
	for range steps {
		w.randomAction()
	}
	w.removeFaults()
	for waited := 0; waited < 3_600_000 && w.m.Stats().TasksActive+w.m.Stats().TasksWaiting > 0; waited += 10_000 {
		w.advance(10_000)
	}
	w.flushJournal()
	for _, id := range w.jobs {
		if s, ok := w.m.Status(id); ok && !s.State.Terminal() {
			e, _ := w.m.Explain(id)
			t.Errorf("job %s (%s) never ended: %s\n%v", id, s.Spec.Kind, e.Reason, e.Events)
		}
	}
	w.mustEqualRecovered()
	return w.journal
}
