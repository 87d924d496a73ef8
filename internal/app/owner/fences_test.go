package owner

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/cellworker"
)

// recordedCalls keeps the first start order and the highest fence of the polls.
type recordedCalls struct {
	*cellworker.Fleet
	mu         sync.Mutex
	start      jobs.StartOrder
	startFence int64
	pollFence  int64
	// holdStart holds the first start order until a poll with a higher fence was answered.
	holdStart bool
}

func (r *recordedCalls) Start(ctx context.Context, fence int64, o jobs.StartOrder) (jobs.StartOutcome, error) {
	r.mu.Lock()
	first := r.startFence == 0
	if first {
		r.start, r.startFence = o, fence
	}
	r.mu.Unlock()
	if first && r.holdStart {
		r.Restart(o.Worker)
		for r.polled() <= fence && ctx.Err() == nil {
			time.Sleep(time.Millisecond)
		}
	}
	return r.Fleet.Start(ctx, fence, o)
}

func (r *recordedCalls) Poll(ctx context.Context, id domain.WorkerID, address string, request port.PollRequest) (jobs.WorkerReport, error) {
	report, err := r.Fleet.Poll(ctx, id, address, request)
	if err == nil {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.pollFence = max(r.pollFence, request.Fence)
	}
	return report, err
}

// polled returns the highest fence of a poll that was answered.
func (r *recordedCalls) polled() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.pollFence
}

// newRecordedTest returns a test of one worker that has been up for an hour, and the record of the calls to it.
func newRecordedTest(t *testing.T) (*cellTest, *recordedCalls) {
	t.Helper()
	c := newVirtualTest(t, 1, 20*time.Millisecond)
	c.fleet.Age(time.Hour)
	workers := &recordedCalls{Fleet: c.fleet}
	c.workers = workers
	return c, workers
}

// ownerAfterJob returns an owner that has completed a job on worker w0.
func ownerAfterJob(t *testing.T) *Cell {
	t.Helper()
	c := newVirtualTest(t, 1, 20*time.Millisecond)
	i := c.start("a")
	cell := i.awaitOwned(t)
	c.submit(cell, "j", 1)
	c.awaitCompleted(i, "j")
	return cell
}

// Guards against calls to a worker's former life that the present one carries out late: a start order without an answer begins a
// task again whose success was acknowledged, and a poll makes the worker forget ends that nobody has read.
func TestCallsToFormerLifeAreRefused(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c, workers := newRecordedTest(t)
		i := c.start("a")
		c.submit(i.awaitOwned(t), "j", 1)
		c.awaitCompleted(i, "j")
		time.Sleep(time.Second)
		c.fleet.Restart("w0")
		// A poll that reaches the new life may wait there before it shows the restart.
		time.Sleep(2 * pollWait)
		if outcome, _ := c.fleet.Start(context.Background(), workers.startFence, workers.start); outcome != jobs.StartFenced {
			t.Errorf("a start order to the former life is answered with %v", outcome)
		}
		var fenced *port.FencedError
		_, err := c.fleet.Poll(context.Background(), "w0", "10.0.0.1:1", port.PollRequest{Fence: workers.startFence, Acknowledged: 1})
		if !errors.As(err, &fenced) {
			t.Errorf("a poll of the former life is answered with %v", err)
		}
		c.checkFaults()
	})
}

// Guards against a term that ends because a worker refuses an order by the fence that the owner itself has raised.
func TestOrderOfRaisedFenceIsRepeated(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newVirtualTest(t, 1, 20*time.Millisecond)
		workers := &recordedCalls{Fleet: c.fleet, holdStart: true}
		c.workers = workers
		i := c.start("a")
		cell := i.awaitOwned(t)
		c.submit(cell, "j", 1)
		c.awaitCompleted(i, "j")
		if workers.polled() <= cell.term.epoch || cell.ctx.Err() != nil {
			t.Errorf("the highest fence is %d in the term of epoch %d, which has ended: %v", workers.polled(), cell.term.epoch, cell.ctx.Err())
		}
		c.checkFaults()
	})
}

// Guards against a successor, of this version or an earlier one, whose fences workers refuse because the former owner
// has raised its own, and against an epoch that does not follow one of an earlier version.
func TestEpochsExceedFencesOfFormerTerms(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c := newVirtualTest(t, 1, 20*time.Millisecond)
		first := c.start("a")
		cell := first.awaitOwned(t)
		f := fences{epoch: cell.term.epoch, raised: make(map[domain.WorkerID]int64)}
		for f.raise("w0") {
		}
		first.stop()
		<-first.done
		c.fleet.Crash("w0")
		second := c.start("b").awaitOwned(t)
		if second.term.epoch <= f.of("w0") {
			t.Errorf("epoch %d follows the fence %d", second.term.epoch, f.of("w0"))
		}
		if limit := cell.term.epoch + maxFenceRaises + 1; second.term.epoch != limit {
			t.Errorf("epoch %d follows %d, want %d", second.term.epoch, cell.term.epoch, limit)
		}
	})
}

// Guards against a start order without an answer that the next life of the worker carries out before the owner has learned of
// it: the call that follows the order is the first one that the next life answers.
func TestFenceIsRaisedAfterCallWithoutAnswer(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		c, workers := newRecordedTest(t)
		i := c.start("a")
		cell := i.awaitOwned(t)
		c.fleet.LoseEvery(1)
		c.submit(cell, "j", 1)
		c.awaitStarts(1, 5*time.Second)
		c.fleet.LoseEvery(0)
		c.awaitCompleted(i, "j")
		time.Sleep(2 * pollWait)
		c.fleet.Restart("w0")
		// The first call that the new life carries out, as the owner would send it.
		fence := make(chan int64, 1)
		cell.post(func() { fence <- cell.fences.of("w0") })
		if _, err := c.fleet.Poll(t.Context(), "w0", "10.0.0.1:1", port.PollRequest{Fence: <-fence}); err != nil {
			t.Fatal(err)
		}
		if outcome, _ := c.fleet.Start(t.Context(), workers.startFence, workers.start); outcome != jobs.StartFenced {
			t.Errorf("the start order without an answer is answered with %v by the next life", outcome)
		}
		c.checkFaults()
	})
}

// Guards against a worker that often leaves calls unanswered and uses up the fences that its restarts need.
func TestUnansweredCallsLeaveFencesToRestarts(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		cell := ownerAfterJob(t)
		raised := make(chan int64, 2)
		cell.post(func() {
			p := cell.polls["w0"]
			for range 2 * maxFenceRaises {
				p.confirmedFence = cell.fences.of("w0")
				cell.noteUnanswered("w0")
				cell.noteUnanswered("w0")
			}
			raised <- cell.fences.raised["w0"]
			for range 2 * maxFenceRaises {
				cell.raiseFence("w0")
			}
			raised <- cell.fences.raised["w0"]
		})
		if early, all := <-raised, <-raised; early != maxEarlyRaises || all != maxFenceRaises {
			t.Errorf("%d raises for calls without an answer and %d in all, want %d and %d", early, all, maxEarlyRaises, maxFenceRaises)
		}
	})
}

// Guards against an order that waits for the next call to its relay while the worker's fence is raised, and is sent under the new
// fence after that has proven that the order has no effect.
func TestPendingOrderKeepsItsFence(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		cell := ownerAfterJob(t)
		fences := make(chan map[int64][]port.RelayedOrder, 1)
		cell.post(func() {
			g := &pollGroup{host: port.InstanceInfo{Instance: "relay"}}
			cell.pollGroups.byZone[cell.polls["w0"].zone] = []*pollGroup{g}
			cell.routeOrder(port.RelayedOrder{Start: &jobs.StartOrder{Worker: "w0"}}, cell.nowMS())
			cell.raiseFence("w0")
			cell.pollGroups.byZone = make(map[domain.ZoneID][]*pollGroup)
			fences <- groupByFence(g.pendingOrders)
		})
		if sent := <-fences; len(sent) != 1 || len(sent[cell.term.epoch]) != 1 {
			t.Errorf("the order is sent as %v, want under the fence %d", sent, cell.term.epoch)
		}
	})
}
