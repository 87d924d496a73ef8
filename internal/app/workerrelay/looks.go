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
	workers port.WorkerCalls
	log     *zap.Logger
	metrics *metrics.Registry
}

// New returns a relay.
func New(workers port.WorkerCalls, log *zap.Logger, m *metrics.Registry) *Relay {
	return &Relay{workers: workers, log: log, metrics: m}
}

// Looks implements port.LookRelay.
func (r *Relay) Looks(ctx context.Context, looks []port.RelayedLook, deliver func([]port.RelayedReport)) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan port.RelayedReport, len(looks))
	for _, l := range looks {
		go func() {
			answer := port.RelayedReport{Worker: l.Worker}
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

func (r *Relay) look(ctx context.Context, l port.RelayedLook) port.RelayedReport {
	ctx, cancel := context.WithTimeout(ctx, l.Request.Wait+answerTime)
	defer cancel()
	report, err := r.workers.Look(ctx, l.Worker, l.Address, l.Request)
	var fenced *port.FencedError
	switch {
	case errors.As(err, &fenced):
		return port.RelayedReport{Worker: l.Worker, Fenced: true}
	case err != nil:
		r.metrics.Counter("relay.look.unanswered").Inc(1)
		var gone *port.WorkerGoneError
		return port.RelayedReport{Worker: l.Worker, Failure: err.Error(), Gone: errors.As(err, &gone)}
	}
	r.metrics.Counter("relay.look.answered").Inc(1)
	return port.RelayedReport{Worker: l.Worker, Report: report}
}
