package entry

import (
	"context"
	"errors"
	"testing"
	"time"

	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
	"go.uber.org/zap/zaptest/observer"

	"auburnpier/internal/app/owner"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// fakeOwner answers submissions with a fixed reply.
type fakeOwner struct {
	port.OwnerCalls
	reply port.SubmitReply
	err   error
}

func (f *fakeOwner) Submit(context.Context, port.SubmitCall) (port.SubmitReply, error) {
	return f.reply, f.err
}

// dialer returns the owners by address.
type dialer map[string]*fakeOwner

func (d dialer) Owner(address string) port.OwnerCalls { return d[address] }

// Guards against a submission that leaves no line with its ID and outcome, one
// that stays with an owner that certainly did not run it, and one that goes to
// a second owner although the first may have run it.
func TestSubmissionOutcomes(t *testing.T) {
	notOwner := &fakeOwner{err: &port.NotOwnerError{Instance: "a"}}
	accepts := &fakeOwner{reply: port.SubmitReply{Accepted: true}}
	unreachable := func(notSent bool) *fakeOwner {
		return &fakeOwner{err: &port.OwnerUnreachableError{Address: "a", NotSent: notSent, Err: errors.New("no answer")}}
	}
	valid := jobs.Spec{Steps: []jobs.StepSpec{{Tasks: 1, Need: domain.Resources{CPUMilli: 1, MemoryMB: 1}}}}
	for name, c := range map[string]struct {
		first, second *fakeOwner
		spec          jobs.Spec
		event, kind   string
	}{
		"accepted":                   {first: accepts, spec: valid, event: "job_accepted"},
		"refused":                    {first: &fakeOwner{reply: port.SubmitReply{Reason: "never_fits"}}, spec: valid, event: "job_refused", kind: "job_refused"},
		"owner knows no outcome":     {first: &fakeOwner{reply: port.SubmitReply{Unknown: true}}, spec: valid, event: "job_outcome_unknown", kind: "outcome_unknown"},
		"owner resigned":             {first: notOwner, second: accepts, spec: valid, event: "job_accepted"},
		"owner resigned, none known": {first: notOwner, spec: valid, event: "job_refused", kind: "no_owner"},
		"call not sent":              {first: unreachable(true), second: accepts, spec: valid, event: "job_accepted"},
		"call may have arrived":      {first: unreachable(false), second: accepts, spec: valid, event: "job_outcome_unknown", kind: "outcome_unknown"},
		"no owner":                   {spec: valid, event: "job_refused", kind: "no_owner"},
		"invalid":                    {first: accepts, event: "job_refused", kind: "invalid_request"},
	} {
		t.Run(name, func(t *testing.T) {
			core, logs := observer.New(zapcore.InfoLevel)
			d := NewDirectory(dialer{"a": c.first, "b": c.second})
			if c.first != nil {
				d.Publish(owner.Seat{Claim: &owner.Claim{Address: "a"}})
			}
			if c.second != nil {
				time.AfterFunc(submitWait/4, func() { d.Publish(owner.Seat{Claim: &owner.Claim{Address: "b"}}) })
			}
			s := NewService(Options{}, nil, d, nil, zap.New(core), metrics.New())
			call := Call{Route: &port.QueueRoute{Queue: jobs.Queue{Name: "q"}}, Team: "team"}
			rejection := s.Submit(context.Background(), call, "j1", c.spec, time.Second)
			lines := logs.FilterField(zap.String("job", "j1")).FilterMessage(c.event).All()
			if len(lines) != 1 {
				t.Fatalf("%d lines %q name the job, want 1; all lines: %v", len(lines), c.event, logs.All())
			}
			if kind, _ := lines[0].ContextMap()["kind"].(string); kind != c.kind {
				t.Errorf("the line has kind %q, want %q", kind, c.kind)
			}
			if (rejection == nil) != (c.kind == "") {
				t.Errorf("the answer is %+v, want kind %q", rejection, c.kind)
			}
		})
	}
}
