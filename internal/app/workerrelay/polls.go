// Package workerrelay calls workers on behalf of the owner of the cell. It keeps
// no state: the polls and orders, the fence and the limits come with each call.
package workerrelay

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/guard"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/steady"
)

// batchWindow is how long results are collected into one message to the owner.
// Most polls of one call end together, and the window is short compared to the
// shortest latency objective.
const batchWindow = 15 * time.Millisecond

// responseTimeout is the time that a worker may take to respond in addition to
// the wait of a poll. It is several times the longest latency between regions.
const responseTimeout = 400 * time.Millisecond

// Relay calls workers from this instance.
type Relay struct {
	workers port.WorkerClient
	log     *zap.Logger
	metrics *metrics.Registry
	// NowMS returns the steady time. Tests with virtual time replace it.
	NowMS func() int64
}

// New returns a relay that calls workers through the client.
func New(workers port.WorkerClient, log *zap.Logger, m *metrics.Registry) *Relay {
	return &Relay{workers: workers, log: log, metrics: m, NowMS: steady.NowMS}
}

// PollWorkers implements port.PollRelay.
func (r *Relay) PollWorkers(ctx context.Context, polls []port.RelayedPoll, deliver func([]port.RelayedPollResult)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan port.RelayedPollResult, len(polls))
	for _, p := range polls {
		go func() {
			result := port.RelayedPollResult{Worker: p.Worker}
			if err := guard.Run(r.log, r.metrics, "relay_look", func() { result = r.poll(ctx, p) }); err != nil {
				result.Failure = err.Error()
			}
			results <- result
		}()
	}
	return deliverAll(ctx, results, len(polls), deliver)
}

// deliverAll delivers count results in batches.
func deliverAll[T any](ctx context.Context, results <-chan T, count int, deliver func([]T)) error {
	for remaining := count; remaining > 0; {
		select {
		case first := <-results:
			batch := collectBatch(ctx, results, first, remaining)
			remaining -= len(batch)
			deliver(batch)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return nil
}

// collectBatch returns first and the results that arrive within batchWindow after it.
func collectBatch[T any](ctx context.Context, results <-chan T, first T, maxResults int) []T {
	batch := []T{first}
	timer := time.NewTimer(batchWindow)
	defer timer.Stop()
	for len(batch) < maxResults {
		select {
		case result := <-results:
			batch = append(batch, result)
		case <-timer.C:
			return batch
		case <-ctx.Done():
			return batch
		}
	}
	return batch
}

func (r *Relay) poll(ctx context.Context, p port.RelayedPoll) port.RelayedPollResult {
	ctx, cancel := context.WithTimeout(ctx, p.Request.Wait+responseTimeout)
	defer cancel()
	report, err := r.workers.Poll(ctx, p.Worker, p.Address, p.Request)
	var fenced *port.FencedError
	switch {
	case errors.As(err, &fenced):
		return port.RelayedPollResult{Worker: p.Worker, Fenced: true}
	case err != nil:
		r.metrics.Counter("relay.look.unanswered").Inc(1)
		var terminated *port.WorkerTerminatedError
		replaced := errors.As(err, &terminated)
		return port.RelayedPollResult{Worker: p.Worker, Failure: err.Error(), Terminated: replaced, Replaced: replaced}
	}
	r.metrics.Counter("relay.look.answered").Inc(1)
	return port.RelayedPollResult{Worker: p.Worker, Report: report}
}
