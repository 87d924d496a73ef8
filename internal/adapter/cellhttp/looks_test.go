package cellhttp

import (
	"context"
	"errors"
	"fmt"
	"net/http/httptest"
	"reflect"
	"strings"
	"testing"
	"time"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

type pollFunc func(ctx context.Context, polls []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error

func (f pollFunc) PollWorkers(ctx context.Context, polls []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	return f(ctx, polls, deliver)
}

// pollsOnly is a relay that ignores orders.
type pollsOnly struct{ port.PollRelay }

func (pollsOnly) SendOrders(context.Context, port.OrderBatch, func([]port.OrderResult)) error {
	return nil
}

func newTestRelay(t *testing.T, f pollFunc) port.PollRelay {
	s := httptest.NewServer(NewHandler(LocalServices{Workers: pollsOnly{f}}))
	t.Cleanup(s.Close)
	return NewDialer().Workers(port.InstanceInfo{Address: strings.TrimPrefix(s.URL, "http://")})
}

func pollsOf(n int) []port.RelayedPoll {
	var polls []port.RelayedPoll
	for i := range n {
		polls = append(polls, port.RelayedPoll{Worker: domain.WorkerID(fmt.Sprint("w", i)), Address: "10.0.0.1:1",
			Request: port.PollRequest{Fence: 7, LimitClockMS: 12, Acknowledged: 3, Wait: time.Second}})
	}
	return polls
}

// Guards against reports that are altered in transit, and against results that are
// withheld until the last poll of the call has ended.
func TestPollResultsAreStreamed(t *testing.T) {
	task := jobs.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	first := port.RelayedPollResult{Worker: "w0", Report: jobs.WorkerReport{Worker: "w0", StartedMS: 1, ClockMS: 5,
		Running: []jobs.RunReport{{Task: task, Run: 4, Checkpoint: "c", Percent: 50, Measure: 9}},
		Ends:    []jobs.EndReport{{Number: 6, Task: task, Run: 3, Kind: jobs.EndFailed, Checkpoint: "d"}}}}
	rest := []port.RelayedPollResult{{Worker: "w1", Fenced: true}, {Worker: "w2", Failure: "no answer"}}
	arrived := make(chan struct{})
	relay := newTestRelay(t, func(ctx context.Context, polls []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
		if !reflect.DeepEqual(polls, pollsOf(3)) {
			t.Errorf("received polls %+v, want %+v", polls, pollsOf(3))
		}
		deliver([]port.RelayedPollResult{first})
		select {
		case <-arrived:
		case <-ctx.Done():
		}
		deliver(rest)
		return nil
	})
	var got []port.RelayedPollResult
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	err := relay.PollWorkers(ctx, pollsOf(3), func(batch []port.RelayedPollResult) {
		if got = append(got, batch...); len(got) == 1 {
			close(arrived)
		}
	})
	if want := append([]port.RelayedPollResult{first}, rest...); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// Guards against an aborted or unanswered call that is treated as complete, and
// against calls of unlimited size.
func TestFailedPollCalls(t *testing.T) {
	t.Run("aborted", func(t *testing.T) {
		relay := newTestRelay(t, func(_ context.Context, _ []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
			deliver([]port.RelayedPollResult{{Worker: "w0"}})
			return errors.New("gives up")
		})
		delivered := 0
		err := relay.PollWorkers(context.Background(), pollsOf(2), func(batch []port.RelayedPollResult) { delivered += len(batch) })
		var unreachable *port.OwnerUnreachableError
		if !errors.As(err, &unreachable) || delivered != 1 {
			t.Errorf("%d results and error %v, want 1 and a *port.OwnerUnreachableError", delivered, err)
		}
	})
	t.Run("unresponsive", func(t *testing.T) {
		relay := newTestRelay(t, func(ctx context.Context, _ []port.RelayedPoll, _ func([]port.RelayedPollResult)) error {
			<-ctx.Done()
			return ctx.Err()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		start := time.Now()
		if err := relay.PollWorkers(ctx, pollsOf(1), nil); err == nil || time.Since(start) > 3*time.Second {
			t.Errorf("a call to an unresponsive instance returned %v after %v, want an error within 3 s", err, time.Since(start))
		}
	})
	t.Run("too many", func(t *testing.T) {
		relay := newTestRelay(t, func(context.Context, []port.RelayedPoll, func([]port.RelayedPollResult)) error { return nil })
		if err := relay.PollWorkers(context.Background(), pollsOf(port.MaxRelayedPolls+1), nil); err == nil {
			t.Error("a call with too many polls was accepted")
		}
	})
	t.Run("nobody listens", func(t *testing.T) {
		s := httptest.NewServer(nil)
		s.Close()
		relay := NewDialer().Workers(port.InstanceInfo{Address: strings.TrimPrefix(s.URL, "http://")})
		err := relay.PollWorkers(context.Background(), pollsOf(1), nil)
		var unreachable *port.OwnerUnreachableError
		if !errors.As(err, &unreachable) || !unreachable.NotSent {
			t.Errorf("error %v, want a *port.OwnerUnreachableError that was not sent", err)
		}
	})
}
