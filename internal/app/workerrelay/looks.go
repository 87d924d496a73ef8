// Package workerrelay calls workers for the owner of the cell. It keeps no
// state: what to look at or to order, the fence and the limits come with each call.
package workerrelay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/guard"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// gather is how long answers are collected into one message to the owner. Looks
// of one call mostly end together, and it is short beside the shortest objective.
const gather = 15 * time.Millisecond

// answerTime is what a worker may take beyond the wait of a look. It is several
// times the longest way between regions.
const answerTime = 400 * time.Millisecond

// Relay calls workers from this instance.
type Relay struct {
	workers port.WorkerClient
	log     *zap.Logger
	metrics *metrics.Registry
}

// New returns a relay.
func New(workers port.WorkerClient, log *zap.Logger, m *metrics.Registry) *Relay {
	return &Relay{workers: workers, log: log, metrics: m}
}

// PollWorkers implements port.PollRelay.
func (r *Relay) PollWorkers(ctx context.Context, looks []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan port.RelayedPollResult, len(looks))
	for _, l := range looks {
		go func() {
			answer := port.RelayedPollResult{Worker: l.Worker}
			if err := guard.Run(r.log, r.metrics, "relay_look", func() { answer = r.look(ctx, l) }); err != nil {
				answer.Failure = err.Error()
			}
			answers <- answer
		}()
	}
	return deliverAll(ctx, answers, len(looks), deliver)
}

// deliverAll delivers the answers, several at a time, until all are there.
func deliverAll[T any](ctx context.Context, answers <-chan T, count int, deliver func([]T)) error {
	for left := count; left > 0; {
		select {
		case first := <-answers:
			batch := collect(ctx, answers, first, left)
			left -= len(batch)
			deliver(batch)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// collect returns the answers that come within a moment of the first.
func collect[T any](ctx context.Context, answers <-chan T, first T, most int) []T {
	batch := []T{first}
	timer := time.NewTimer(gather)
	defer timer.Stop()
	for len(batch) < most {
		select {
		case a := <-answers:
			batch = append(batch, a)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (r *Relay) look(ctx context.Context, l port.RelayedPoll) port.RelayedPollResult {
	ctx, cancel := context.WithTimeout(ctx, l.Request.Wait+answerTime)
	defer cancel()
	report, err := r.workers.Poll(ctx, l.Worker, l.Address, l.Request)
	var fenced *port.FencedError
	switch {
	case errors.As(err, &fenced):
		return port.RelayedPollResult{Worker: l.Worker, Fenced: true}
	case err != nil:
		r.metrics.Counter("relay.look.unanswered").Inc(1)
		var gone *port.WorkerTerminatedError
		return port.RelayedPollResult{Worker: l.Worker, Failure: err.Error(), Terminated: errors.As(err, &gone)}
	}
	r.metrics.Counter("relay.look.answered").Inc(1)
	return port.RelayedPollResult{Worker: l.Worker, Report: report}
}
