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

type relayFunc func(ctx context.Context, looks []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error

func (f relayFunc) PollWorkers(ctx context.Context, looks []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	return f(ctx, looks, deliver)
}

// looksOnly is a relay that is asked for no orders.
type looksOnly struct{ port.PollRelay }

func (looksOnly) SendOrders(context.Context, port.OrderBatch, func([]port.OrderResult)) error {
	return nil
}

func relayOf(t *testing.T, f relayFunc) port.PollRelay {
	s := httptest.NewServer(NewHandler(Local{Workers: looksOnly{f}}))
	t.Cleanup(s.Close)
	return NewDialer().Workers(port.InstanceInfo{Address: strings.TrimPrefix(s.URL, "http://")})
}

func looksAt(n int) []port.RelayedPoll {
	var looks []port.RelayedPoll
	for i := range n {
		looks = append(looks, port.RelayedPoll{Worker: domain.WorkerID(fmt.Sprint("w", i)), Address: "10.0.0.1:1",
			Request: port.PollRequest{Fence: 7, LimitClockMS: 12, Acknowledged: 3, Wait: time.Second}})
	}
	return looks
}

// Guards against reports that change on their way, and against answers that
// are held back until the last look of the call has ended.
func TestLooksArriveAsTheyCome(t *testing.T) {
	task := jobs.TaskID{Job: "j", Occurrence: 1, Step: 2, Index: 3}
	first := port.RelayedPollResult{Worker: "w0", Report: jobs.WorkerReport{Worker: "w0", BornMS: 1, ClockMS: 5,
		Running: []jobs.RunReport{{Task: task, Run: 4, Checkpoint: "c", Percent: 50, Measure: 9}},
		Ends:    []jobs.EndReport{{Number: 6, Task: task, Run: 3, Kind: jobs.EndFailed, Checkpoint: "d"}}}}
	rest := []port.RelayedPollResult{{Worker: "w1", Fenced: true}, {Worker: "w2", Failure: "no answer"}}
	arrived := make(chan struct{})
	relay := relayOf(t, func(ctx context.Context, looks []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
		if !reflect.DeepEqual(looks, looksAt(3)) {
			t.Errorf("the looks arrived as %+v", looks)
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
	err := relay.PollWorkers(ctx, looksAt(3), func(batch []port.RelayedPollResult) {
		if got = append(got, batch...); len(got) == 1 {
			close(arrived)
		}
	})
	if want := append([]port.RelayedPollResult{first}, rest...); err != nil || !reflect.DeepEqual(got, want) {
		t.Errorf("got %+v, error %v, want %+v", got, err, want)
	}
}

// Guards against an instance whose call broke off and which counts as having
// answered, and against a call of any size.
func TestLooksThatFail(t *testing.T) {
	t.Run("broken off", func(t *testing.T) {
		relay := relayOf(t, func(_ context.Context, _ []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
			deliver([]port.RelayedPollResult{{Worker: "w0"}})
			return errors.New("gives up")
		})
		delivered := 0
		err := relay.PollWorkers(context.Background(), looksAt(2), func(batch []port.RelayedPollResult) { delivered += len(batch) })
		var unreachable *port.OwnerUnreachableError
		if !errors.As(err, &unreachable) || delivered != 1 {
			t.Errorf("%d answers and error %v, want 1 and a *port.OwnerUnreachableError", delivered, err)
		}
	})
	t.Run("silent", func(t *testing.T) {
		relay := relayOf(t, func(ctx context.Context, _ []port.RelayedPoll, _ func([]port.RelayedPollResult)) error {
			<-ctx.Done()
			return ctx.Err()
		})
		ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
		defer cancel()
		begun := time.Now()
		if err := relay.PollWorkers(ctx, looksAt(1), nil); err == nil || time.Since(begun) > 3*time.Second {
			t.Errorf("a silent instance gave error %v after %v", err, time.Since(begun))
		}
	})
	t.Run("too many", func(t *testing.T) {
		relay := relayOf(t, func(context.Context, []port.RelayedPoll, func([]port.RelayedPollResult)) error { return nil })
		if err := relay.PollWorkers(context.Background(), looksAt(port.MaxRelayedPolls+1), nil); err == nil {
			t.Error("a call above the bound was accepted")
		}
	})
	t.Run("nobody listens", func(t *testing.T) {
		s := httptest.NewServer(nil)
		s.Close()
		relay := NewDialer().Workers(port.InstanceInfo{Address: strings.TrimPrefix(s.URL, "http://")})
		err := relay.PollWorkers(context.Background(), looksAt(1), nil)
		var unreachable *port.OwnerUnreachableError
		if !errors.As(err, &unreachable) || !unreachable.NotSent {
			t.Errorf("error %v, want a *port.OwnerUnreachableError that was not sent", err)
		}
	})
}
