package entry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/app/owner"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Options are the constants of an entry, filled from the settings.
type Options struct {
	Self port.InstanceInfo
	// KeyTrust is how long after the last proof of the configuration keys are accepted.
	KeyTrust time.Duration
}

// Figures of calls to the owner.
const (
	// submitWaitShare of a job's objective is how long its submission waits for an
	// owner that can take it, within the bounds below. A refused caller comes back
	// after a second or more, and a handover mostly takes less.
	submitWaitShare = 0.25
	minSubmitWait   = 100 * time.Millisecond
	maxSubmitWait   = time.Second
	// queryWait is the same for calls that change nothing or may be repeated.
	queryWait = 1200 * time.Millisecond
	// callTimeout bounds a call to the owner where the caller names no deadline.
	callTimeout = 2500 * time.Millisecond
	// answerMargin is left of the caller's deadline for the answer's way.
	answerMargin = 60 * time.Millisecond
	// helloTimeout bounds a greeting. After one without an answer the pause grows
	// from minHelloRetry to maxHelloRetry: a new owner needs the instances at once.
	helloTimeout  = time.Second
	minHelloRetry = 200 * time.Millisecond
	maxHelloRetry = time.Second
	// waitingAge is how old a count of waiting jobs may be.
	waitingAge = 300 * time.Millisecond
	retryAfter = time.Second
)

// Service answers callers at one instance.
type Service struct {
	options   Options
	config    *ConfigKeeper
	directory *Directory
	store     port.LeaseStore
	log       *zap.Logger
	metrics   *metrics.Registry

	mu      sync.Mutex
	waiting map[domain.QueueID]waitingCount
}

type waitingCount struct {
	count int
	at    time.Time
}

// NewService returns a service.
func NewService(o Options, config *ConfigKeeper, d *Directory, store port.LeaseStore, log *zap.Logger, m *metrics.Registry) *Service {
	return &Service{options: o, config: config, directory: d, store: store, log: log, metrics: m,
		waiting: make(map[domain.QueueID]waitingCount)}
}

// Ready reports whether new connections should come to this instance.
func (s *Service) Ready() bool {
	calls, _ := s.directory.Owner()
	if cell, local := calls.(*owner.Cell); local && !cell.Recovered() {
		return false
	}
	return s.config.Current() != nil && calls != nil && s.config.AgeMS() < s.options.KeyTrust.Milliseconds()
}

// Greet introduces the instance to each owner until ctx ends.
func (s *Service) Greet(ctx context.Context) {
	retry := minHelloRetry
	for ctx.Err() == nil {
		calls, changed := s.directory.Owner()
		again := maxHelloRetry
		if calls != nil {
			var greeted bool
			if again, greeted = s.greet(ctx, calls); greeted {
				retry = minHelloRetry
			} else {
				again, retry = retry, min(2*retry, maxHelloRetry)
			}
		}
		select {
		case <-ctx.Done():
		case <-changed:
			retry = minHelloRetry
		case <-time.After(again):
		}
	}
}

// greet greets the owner once and returns when to do so again.
func (s *Service) greet(ctx context.Context, calls port.OwnerService) (again time.Duration, greeted bool) {
	ctx, cancel := context.WithTimeout(ctx, helloTimeout)
	defer cancel()
	reply, err := calls.Announce(ctx, port.AnnounceRequest{Instance: s.options.Self, KnownVersion: s.directory.version()})
	if err != nil {
		s.metrics.Counter("owner.hello.failed").Inc(1)
		return 0, false
	}
	s.directory.setInstances(reply)
	return time.Duration(reply.NextAnnounceMS) * time.Millisecond, true
}

// Call is an admitted call of a client.
type Call struct {
	Route *port.QueueRoute
	Team  domain.TeamID
	// Rest is the path after the queue's prefix.
	Rest string
}

// Admit finds the queue of a call by its host and path, and proves its key.
func (s *Service) Admit(host, path, key string) (Call, *Rejection) {
	return s.admit(key, "no queue has this host and path", func(c *Config) (*port.QueueRoute, string) { return c.Route(host, path) })
}

// AdmitQueue proves the key of a call that names its queue.
func (s *Service) AdmitQueue(queue domain.QueueID, key string) (Call, *Rejection) {
	return s.admit(key, "no queue has this name", func(c *Config) (*port.QueueRoute, string) { return c.Queue(queue), "" })
}

func (s *Service) admit(key, unknown string, find func(*Config) (route *port.QueueRoute, rest string)) (Call, *Rejection) {
	config := s.config.Current()
	if config == nil {
		return Call{}, s.reject(NotReady, retryAfter, "no configuration yet")
	}
	route, rest := find(config)
	if route == nil {
		return Call{}, s.reject(UnknownQueue, 0, unknown)
	}
	team, known := config.TeamOf(key)
	if !known && !route.Open {
		return Call{}, s.reject(UnknownKey, 0, "present a key of a team that was granted and not withdrawn")
	}
	if !route.Open && s.config.AgeMS() >= s.options.KeyTrust.Milliseconds() {
		return Call{}, s.reject(StaleConfig, retryAfter, "the key cannot be proven now, come back")
	}
	return Call{Route: route, Team: team, Rest: rest}, nil
}

// MaxBody returns the bound on a body in bytes.
func (s *Service) MaxBody() int64 {
	if c := s.config.Current(); c != nil && c.MaxBodyBytes > 0 {
		return c.MaxBodyBytes
	}
	return defaultMaxBody
}

const defaultMaxBody = 256 << 10

func (s *Service) reject(kind RejectionKind, after time.Duration, remedy string) *Rejection {
	s.metrics.Counter("refusal." + kind.String()).Inc(1)
	return &Rejection{Kind: kind, RetryAfter: after, Remedy: remedy}
}

// withDeadline bounds a call by the caller's deadline.
func withDeadline(ctx context.Context, deadline time.Duration) (context.Context, context.CancelFunc) {
	if deadline <= 0 {
		deadline = callTimeout
	}
	return context.WithTimeout(ctx, max(deadline-answerMargin, answerMargin))
}

// Submit hands a job to the owner.
func (s *Service) Submit(ctx context.Context, c Call, id domain.JobID, spec jobs.Spec, deadline time.Duration) *Rejection {
	begun := time.Now()
	rejection := s.submit(ctx, c, id, spec, deadline)
	s.metrics.Timer("job.answer").UpdateSince(begun)
	if rejection == nil {
		s.log.Info("job_accepted", zap.String("job", string(id)), zap.String("queue", string(c.Route.Queue.Name)),
			zap.String("team", string(c.Team)))
		return nil
	}
	event := "job_refused"
	if rejection.Kind == Unknown {
		event = "job_outcome_unknown"
	}
	s.log.Info(event, zap.String("job", string(id)), zap.String("queue", string(c.Route.Queue.Name)),
		zap.String("team", string(c.Team)), zap.String("kind", rejection.Kind.String()),
		zap.String("reason", rejection.Remedy), zap.Duration("retry_after", rejection.RetryAfter))
	return rejection
}

func (s *Service) submit(ctx context.Context, c Call, id domain.JobID, spec jobs.Spec, deadline time.Duration) *Rejection {
	if faults := spec.Faults(); len(faults) > 0 {
		return s.reject(Invalid, 0, faults.String())
	}
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	call := port.SubmitRequest{Job: id, Queue: c.Route.Queue, Team: c.Team, Spec: spec}
	var former port.OwnerService
	waitUntil := time.Now().Add(submitWait(&c.Route.Queue, &spec))
	for range submitTries {
		calls := s.directory.await(ctx, former, max(0, time.Until(waitUntil)))
		if calls == nil {
			return s.reject(NoOwner, retryAfter, "no instance owns the cell now, come back")
		}
		reply, err := calls.Submit(ctx, call)
		if notDone(err) {
			former = calls
			continue
		}
		if err != nil {
			s.log.Warn("owner did not answer a submission", zap.String("job", string(id)), zap.Error(err))
			return s.reject(Unknown, 0, "the job may have been accepted, send it again under the same ID")
		}
		return s.submitted(reply)
	}
	return s.reject(NoOwner, retryAfter, "the owner of the cell changes, come back")
}

// submitWait is how long a submission of the job waits for an owner.
func submitWait(q *jobs.Queue, spec *jobs.Spec) time.Duration {
	share := time.Duration(submitWaitShare*float64(jobs.ObjectiveMS(spec, q))) * time.Millisecond
	return min(maxSubmitWait, max(minSubmitWait, share))
}

// submitTries bounds the owners that are asked.
const submitTries = 2

// notDone reports whether the call certainly had no effect.
func notDone(err error) bool {
	var notOwner *port.NotOwnerError
	var unreachable *port.OwnerUnreachableError
	return errors.As(err, &notOwner) || errors.As(err, &unreachable) && unreachable.NotSent
}

func (s *Service) submitted(r port.SubmitReply) *Rejection {
	switch {
	case r.Accepted:
		return nil
	case r.OutcomeUnknown:
		return s.reject(Unknown, 0, "the job may have been accepted, send it again under the same ID")
	}
	return &Rejection{Kind: Refused, RetryAfter: time.Duration(r.RetryAfterMS) * time.Millisecond, Remedy: r.Reason}
}

// Cancel cancels a job.
func (s *Service) Cancel(ctx context.Context, c Call, id domain.JobID, deadline time.Duration) *Rejection {
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	var former port.OwnerService
	for ctx.Err() == nil {
		calls := s.directory.await(ctx, former, queryWait)
		if calls == nil {
			break
		}
		reply, err := calls.Cancel(ctx, port.JobRequest{Job: id, Team: c.Team})
		switch {
		case err != nil:
			former = s.afterFailure(ctx, calls, err)
		case !reply.Found:
			return s.reject(UnknownJob, 0, "the team has no such job")
		case reply.Done:
			return nil
		default:
			former = s.afterFailure(ctx, calls, errNotStored)
		}
	}
	return s.reject(NoOwner, retryAfter, "the cancellation is not stored yet, send it again")
}

var errNotStored = errors.New("the end of the job is not stored yet")

// afterFailure returns the owner that need not be asked again. An owner that
// did not answer may answer the next call.
func (s *Service) afterFailure(ctx context.Context, calls port.OwnerService, err error) port.OwnerService {
	if notDone(err) {
		return calls
	}
	ctxtime.Sleep(ctx, queryRetry)
	return nil
}

// queryRetry is the pause before an owner that did not answer is asked again.
const queryRetry = 100 * time.Millisecond

// State returns the state of a job. Without an owner the store is asked.
func (s *Service) State(ctx context.Context, c Call, id domain.JobID, deadline time.Duration) (jobs.State, *Rejection) {
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	calls, _ := s.directory.Owner()
	if calls != nil {
		ownerCtx, stop := context.WithTimeout(ctx, ownerStateTimeout)
		reply, err := calls.State(ownerCtx, port.JobRequest{Job: id, Team: c.Team})
		stop()
		if err == nil && reply.Found {
			return reply.State, nil
		}
		if err == nil {
			return 0, s.reject(UnknownJob, 0, "the team has no such job")
		}
		s.metrics.Counter("state.from_store").Inc(1)
	}
	return s.storedState(ctx, c, id)
}

// ownerStateTimeout leaves time to ask the store.
const ownerStateTimeout = 900 * time.Millisecond

func (s *Service) storedState(ctx context.Context, c Call, id domain.JobID) (jobs.State, *Rejection) {
	for {
		entry, err := s.store.Get(ctx, owner.StateKey(id))
		var missing *port.NotFoundError
		if errors.As(err, &missing) {
			return 0, s.reject(UnknownJob, 0, "the team has no such job")
		}
		if err == nil {
			var r jobs.StateRecord
			if err := cbor.Unmarshal(entry.Value, &r); err != nil {
				s.log.Error("stored state cannot be read", zap.String("job", string(id)), zap.Error(err))
				return 0, s.reject(NoOwner, retryAfter, "the state cannot be read now")
			}
			if r.Team != c.Team {
				return 0, s.reject(UnknownJob, 0, "the team has no such job")
			}
			return r.State.Shown(r.Started), nil
		}
		if !ctxtime.Sleep(ctx, queryRetry) {
			return 0, s.reject(NoOwner, retryAfter, "neither the owner nor the store answers, come back")
		}
	}
}

// Waiting returns the count of a queue's jobs of which no task has started.
func (s *Service) Waiting(ctx context.Context, c Call, deadline time.Duration) (int, *Rejection) {
	queue := c.Route.Queue.Name
	s.mu.Lock()
	cached, ok := s.waiting[queue]
	s.mu.Unlock()
	if ok && time.Since(cached.at) < waitingAge {
		return cached.count, nil
	}
	ctx, cancel := withDeadline(ctx, deadline)
	defer cancel()
	for ctx.Err() == nil {
		calls := s.directory.await(ctx, nil, queryWait)
		if calls == nil {
			break
		}
		n, err := calls.WaitingJobs(ctx, queue)
		if err == nil {
			s.mu.Lock()
			s.waiting[queue] = waitingCount{n, time.Now()}
			s.mu.Unlock()
			return n, nil
		}
		s.afterFailure(ctx, calls, errNotStored)
	}
	return 0, s.reject(NoOwner, retryAfter, "no instance owns the cell now, come back")
}
