package owner

import (
	"context"
	"errors"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// Guards against a worker that is taken for terminated because another one answers at its former address.
func TestMisdirectedPollsOfFormerAddressProveNothing(t *testing.T) {
	const (
		former, current = "10.0.0.1:1", "10.0.0.2:1"
		id              = domain.WorkerID("w0")
	)
	errMisdirected := errors.New("status 421")
	for name, c := range map[string]struct {
		// before and after are the addresses at which another worker answers, before and after the worker moves.
		before, after []string
		terminated    bool
	}{
		"current address":              {nil, []string{current, current}, true},
		"former address":               {nil, []string{former, former}, false},
		"former address, then current": {[]string{former}, []string{current}, false},
	} {
		for path, answer := range map[string]func(*Cell, string){
			"direct": func(c *Cell, address string) {
				c.handlePoll(id, c.term.epoch, jobs.WorkerReport{}, &port.WorkerTerminatedError{Worker: id, Address: address, Err: errMisdirected})
			},
			"relayed": func(c *Cell, address string) {
				// The first failure through a relay only leads to a direct poll.
				c.polls[id].retryPauseMS = 1
				c.handleRelayedReports([]port.RelayedPollResult{{Worker: id, Failure: errMisdirected.Error(), Replaced: true}},
					map[domain.WorkerID]port.RelayedPoll{id: {Worker: id, Address: address, Request: port.PollRequest{Fence: c.term.epoch}}})
			},
		} {
			t.Run(name+", "+path, func(t *testing.T) {
				f := newFleetTest(t, 2, time.Minute)
				cell := f.start("a").awaitOwned(t)
				f.fleet.Lasting("j")
				f.submit(cell, "j", 10)
				f.awaitStarts(10, 5*time.Second)
				givenUp := make(chan int)
				cell.post(func() {
					for _, address := range c.before {
						answer(cell, address)
					}
					cell.trackWorker(jobs.WorkerInfo{ID: id, Address: current})
					for _, address := range c.after {
						answer(cell, address)
					}
					n := 0
					for _, d := range cell.machine.TakeOutput().Decisions {
						if d.Kind == "run_given_up" {
							n++
						}
					}
					givenUp <- n
				})
				if n := <-givenUp; (n > 0) != c.terminated {
					t.Errorf("%d runs were given up, want any: %v", n, c.terminated)
				}
			})
		}
	}
}

// Guards against runs that are given up because an instance of an earlier version, which polls for the owner, takes
// a refused connection for the end of a worker.
func TestRelayVerdictOnRefusedConnectionProvesNothing(t *testing.T) {
	f := newFleetTest(t, 2, time.Minute)
	cell := f.start("a").awaitOwned(t)
	f.fleet.Lasting("j")
	f.submit(cell, "j", 10)
	f.awaitStarts(10, 5*time.Second)
	handled := make(chan bool)
	cell.post(func() {
		for range 2 * requiredMisdirectedPolls {
			p := cell.polls["w0"]
			p.retryPauseMS = 1
			cell.handleRelayedReports([]port.RelayedPollResult{{Worker: p.id, Failure: "connection refused", Terminated: true}},
				map[domain.WorkerID]port.RelayedPoll{p.id: {Worker: p.id, Address: p.address, Request: port.PollRequest{Fence: cell.term.epoch}}})
		}
		close(handled)
	})
	<-handled
	time.Sleep(500 * time.Millisecond)
	if n := f.fleet.Starts(); n != 10 {
		t.Errorf("%d starts for 10 tasks", n)
	}
	f.checkFaults()
}

// heldRelay delivers a report that lists nothing once deliver is closed.
type heldRelay struct {
	port.WorkerRelay
	worker  domain.WorkerID
	deliver chan struct{}
}

func (r *heldRelay) PollWorkers(_ context.Context, _ []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	report := jobs.WorkerReport{Worker: r.worker, StartedMS: 1, ClockMS: 1}
	<-r.deliver
	deliver([]port.RelayedPollResult{{Worker: r.worker, Report: report}})
	return nil
}

// Guards against runs that are given up because a report does not list them that an instance fetched before they
// were started and that arrived later.
func TestReportFetchedBeforeStartEndsNoRuns(t *testing.T) {
	f := newFleetTest(t, 2, time.Minute)
	cell := f.start("a").awaitOwned(t)
	f.fleet.Lasting("j")
	relay := &heldRelay{worker: "w0", deliver: make(chan struct{})}
	done := make(chan struct{})
	go func() {
		defer close(done)
		cell.pollThroughRelay(&pollGroup{relay: relay}, []port.RelayedPoll{{Worker: relay.worker}}, pollWait, false)
	}()
	f.submit(cell, "j", 10)
	f.awaitStarts(10, 5*time.Second)
	time.Sleep(100 * time.Millisecond)
	close(relay.deliver)
	<-done
	time.Sleep(500 * time.Millisecond)
	if n := f.fleet.Starts(); n != 10 {
		t.Errorf("%d starts for 10 tasks", n)
	}
	f.checkFaults()
}
