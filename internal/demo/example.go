package demo

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
	"auburnpier/internal/standin/backend"
	"auburnpier/internal/standin/platform"
)

const (
	// withdrawBound is the time within which a withdrawn key stops working.
	withdrawBound = 8 * time.Second
	// jobTimeout bounds each job of the example.
	jobTimeout = 12 * time.Second
	pollDelay  = 50 * time.Millisecond
)

// example drives the work and counts broken promises.
type example struct {
	out      io.Writer
	stands   *platform.Platform
	url      string
	operator *apiclient.Client
	team     *apiclient.Client
	key      teamkey.Key
	broken   int
}

func (e *example) run(ctx context.Context) int {
	steps := []struct {
		name string
		do   func(context.Context) (string, error)
	}{
		{"instance is ready", e.awaitReady},
		{"operator adds two teams, two queues and a key", e.configure},
		{"batch job, 4 idempotent tasks", e.batch},
		{"gang job, 3 tasks at once", e.gang},
		{"service, 2 replicas, then cancelled", e.service},
		{"job that fails everywhere ends with a verdict", e.failing},
		{"job that fits no worker is refused", e.neverFits},
		{"the same submission twice is one job", e.resubmit},
		{"request on a queue", e.request},
		{"request without a key is refused", e.noKey},
		{"request on an open queue without a key", e.openQueue},
		{"non-idempotent request whose server fails is unknown", e.unknown},
		{"racing edits have one winner", e.race},
		{"a withdrawn key stops working", e.withdraw},
		{"no worker was overcommitted", e.overcommit},
	}
	for _, s := range steps {
		if ctx.Err() != nil {
			return e.broken
		}
		start := time.Now()
		detail, err := s.do(ctx)
		mark := "kept  "
		if err != nil {
			e.broken++
			mark, detail = "BROKEN", err.Error()
		}
		fmt.Fprintf(e.out, "%s  %-52s  %6.2f s  %s\n", mark, s.name, time.Since(start).Seconds(), detail)
	}
	return e.broken
}

// invite grants a second key and prints what a new user can type next.
func (e *example) invite(ctx context.Context, dir string) error {
	key, err := e.grant(ctx, "county-office")
	if err != nil {
		return err
	}
	operator, team := filepath.Join(dir, operatorKeyName), filepath.Join(dir, "county-office.key")
	if err := os.WriteFile(team, []byte(key.Reveal()+"\n"), 0o600); err != nil {
		return errors.Wrap(err, "write the team's key")
	}
	fmt.Fprintf(e.out, `
The demo keeps serving. In another terminal, as an operator:

  export AUBURNPIER_SERVER=%s
  export AUBURNPIER_KEY_FILE=%s
  go run ./cmd/auburnpier status
  go run ./cmd/auburnpier table show

and as the team county-office:

  export AUBURNPIER_KEY_FILE=%s
  go run ./cmd/auburnpier submit --name tally --cpu 500m --memory 256MB --idempotent --wait -- sleep 2s
  go run ./cmd/auburnpier request counting --data 'frame 1'

Press Ctrl-C to end.
`, e.url, operator, team)
	return nil
}

// grant gives a team a new key.
func (e *example) grant(ctx context.Context, team domain.TeamID) (teamkey.Key, error) {
	key, err := teamkey.Generate(rand.Reader)
	if err != nil {
		return teamkey.Key{}, err
	}
	_, err = e.operator.Edit(ctx, confdoc.Edit{ID: rand.Text(), GrantKey: &confdoc.GrantKey{
		KeyID: key.ID(), Team: team, SecretSHA256: key.SecretSHA256(), Granted: time.Now(),
	}})
	return key, err
}

func (e *example) awaitReady(ctx context.Context) (string, error) {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for {
		table, err := e.operator.Table(ctx)
		if err == nil && table.Version > 0 {
			return fmt.Sprintf("configuration version %d in force", table.Version), nil
		}
		if ctx.Err() != nil {
			return "", errors.Wrap(err, "the instance did not become ready")
		}
		time.Sleep(pollDelay)
	}
}

func (e *example) configure(ctx context.Context) (string, error) {
	limit := domain.Resources{CPUMilli: 40_000, MemoryMB: 160_000}
	edits := []confdoc.Edit{
		{SetTeam: &confdoc.SetTeam{Team: "county-office", Row: domain.TeamRow{Share: 1, Limit: limit, LimitRequests: 64}}},
		{SetTeam: &confdoc.SetTeam{Team: "hydropower", Row: domain.TeamRow{Share: 3, Limit: limit, LimitRequests: 64}}},
		{SetQueue: &confdoc.SetQueue{Queue: "counting", Row: domain.QueueRow{MaxWaiting: 100, TimeoutMS: 5000}}},
		{SetQueue: &confdoc.SetQueue{Queue: "public", Row: domain.QueueRow{Open: true, MaxWaiting: 100, TimeoutMS: 5000}}},
	}
	var version uint64
	for _, edit := range edits {
		edit.ID = rand.Text()
		applied, err := e.operator.Edit(ctx, edit)
		if err != nil {
			return "", err
		}
		version = applied.Version
	}
	key, err := e.grant(ctx, "county-office")
	if err != nil {
		return "", err
	}
	e.key = key
	e.team = apiclient.New(e.url, key, http.DefaultTransport)
	return fmt.Sprintf("version %d", version+1), nil
}

func spec(name string, kind domain.JobKind, tasks int, command ...string) domain.JobSpec {
	return domain.JobSpec{
		Name: name, Kind: kind, Tasks: tasks, Command: command, Idempotent: true,
		Resources: domain.Resources{CPUMilli: 1000, MemoryMB: 1000},
	}
}

// finish submits a job, waits for its end and compares the state.
func (e *example) finish(ctx context.Context, s domain.JobSpec, want domain.JobState) (domain.JobStatus, error) {
	status, err := e.team.Submit(ctx, s)
	if err != nil {
		return status, err
	}
	status, err = e.team.Wait(ctx, status.ID, jobTimeout)
	if err != nil {
		return status, err
	}
	if status.State != want {
		return status, errors.Newf("job %s is %s, not %s: %s", status.ID, status.State, want, status.Reason)
	}
	return status, nil
}

func (e *example) batch(ctx context.Context) (string, error) {
	status, err := e.finish(ctx, spec("tally", domain.JobBatch, 4, "sleep", "200ms"), domain.JobSucceeded)
	if err == nil && status.Succeeded != 4 {
		return "", errors.Newf("%d of 4 tasks succeeded", status.Succeeded)
	}
	return e.once(status, 4), err
}

func (e *example) gang(ctx context.Context) (string, error) {
	status, err := e.finish(ctx, spec("render", domain.JobGang, 3, "sleep", "200ms"), domain.JobSucceeded)
	return e.once(status, 3), err
}

// once describes where the tasks of a job ran.
func (e *example) once(status domain.JobStatus, tasks int) string {
	starts := 0
	for _, w := range e.stands.Workers {
		for task := range tasks {
			starts += w.Starts(status.ID, task)
		}
	}
	return fmt.Sprintf("%s, %d tasks, %d starts", status.State, tasks, starts)
}

func (e *example) service(ctx context.Context) (string, error) {
	status, err := e.team.Submit(ctx, spec("viewer", domain.JobService, 2, "serve"))
	if err != nil {
		return "", err
	}
	deadline := time.Now().Add(jobTimeout)
	for status.Running < 2 {
		if time.Now().After(deadline) {
			return "", errors.Newf("%d of 2 replicas run: %s", status.Running, status.Reason)
		}
		time.Sleep(pollDelay)
		if status, err = e.team.Job(ctx, status.ID); err != nil {
			return "", err
		}
	}
	if _, err := e.team.Cancel(ctx, status.ID); err != nil {
		return "", err
	}
	status, err = e.team.Wait(ctx, status.ID, jobTimeout)
	if err != nil {
		return "", err
	}
	if status.State != domain.JobCancelled {
		return "", errors.Newf("job is %s, not cancelled", status.State)
	}
	return "2 replicas ran, then cancelled", nil
}

func (e *example) failing(ctx context.Context) (string, error) {
	status, err := e.finish(ctx, spec("broken", domain.JobBatch, 1, "fail", "10ms"), domain.JobFailedEverywhere)
	return status.Reason, err
}

// refusedAs checks that err is a refusal for the reason.
func refusedAs(err error, reason refusal.Reason, notRun bool) (string, error) {
	var refused *apiclient.RefusedError
	if !errors.As(err, &refused) {
		return "", errors.Newf("not refused as %s but: %v", reason, err)
	}
	if refused.Reason != reason || refused.NotRun != notRun {
		return "", errors.Newf("refused as %s with not_run %v, not as %s with %v", refused.Reason, refused.NotRun, reason, notRun)
	}
	return fmt.Sprintf("%s: %s", refused.Reason, refused.Message), nil
}

func (e *example) neverFits(ctx context.Context) (string, error) {
	s := spec("huge", domain.JobBatch, 1, "sleep", "1s")
	s.Resources = domain.Resources{CPUMilli: 16_000, MemoryMB: 8000}
	_, err := e.team.Submit(ctx, s)
	return refusedAs(err, refusal.NeverFits, true)
}

func (e *example) resubmit(ctx context.Context) (string, error) {
	s := spec("reconcile", domain.JobBatch, 1, "sleep", "50ms")
	s.IdempotencyKey = "reconcile-season"
	first, err := e.team.Submit(ctx, s)
	if err != nil {
		return "", err
	}
	second, err := e.finish(ctx, s, domain.JobSucceeded)
	if err != nil {
		return "", err
	}
	if first.ID != second.ID {
		return "", errors.Newf("two jobs, %s and %s", first.ID, second.ID)
	}
	return e.once(second, 1), nil
}

// send sends a request and returns its answer whole.
func (e *example) send(ctx context.Context, c *apiclient.Client, queue domain.QueueID, body string) (string, error) {
	return c.Answer(ctx, http.MethodPost, queue, "/", nil, bytes.NewBufferString(body))
}

func (e *example) request(ctx context.Context) (string, error) {
	const requests = 50
	for n := range requests {
		body := fmt.Sprintf("frame %d", n)
		answer, err := e.send(ctx, e.team, "counting", body)
		if err != nil {
			return "", err
		}
		if answer != body {
			return "", errors.Newf("request %q got the answer %q", body, answer)
		}
	}
	return fmt.Sprintf("%d requests, each got its own answer", requests), nil
}

func (e *example) noKey(ctx context.Context) (string, error) {
	_, err := e.send(ctx, apiclient.New(e.url, teamkey.Key{}, http.DefaultTransport), "counting", "frame")
	return refusedAs(err, refusal.KeyMissing, true)
}

func (e *example) openQueue(ctx context.Context) (string, error) {
	answer, err := e.send(ctx, apiclient.New(e.url, teamkey.Key{}, http.DefaultTransport), "public", "hello")
	return fmt.Sprintf("answer %q", answer), err
}

func (e *example) unknown(ctx context.Context) (string, error) {
	for _, b := range e.stands.Backends {
		b.SetFault(backend.Fault{Kind: backend.CloseAfter})
	}
	_, err := e.send(ctx, e.team, "counting", "order")
	for _, b := range e.stands.Backends {
		b.SetFault(backend.Fault{})
	}
	return refusedAs(err, refusal.OutcomeUnknown, false)
}

func (e *example) race(ctx context.Context) (string, error) {
	table, err := e.operator.Table(ctx)
	if err != nil {
		return "", err
	}
	row := table.Teams["hydropower"]
	accepted, conflicts := 0, 0
	for n := range 2 {
		row.Share = float64(2 + n)
		edit := confdoc.Edit{ID: rand.Text(), SetTeam: &confdoc.SetTeam{Team: "hydropower", Based: row.Revision, Row: row}}
		_, err := e.operator.Edit(ctx, edit)
		var refused *apiclient.RefusedError
		switch {
		case err == nil:
			accepted++
		case errors.As(err, &refused) && refused.Reason == refusal.RowConflict:
			conflicts++
		default:
			return "", err
		}
	}
	if accepted != 1 || conflicts != 1 {
		return "", errors.Newf("%d accepted, %d conflicts", accepted, conflicts)
	}
	return "1 accepted, 1 conflict", nil
}

func (e *example) withdraw(ctx context.Context) (string, error) {
	table, err := e.operator.Table(ctx)
	if err != nil {
		return "", err
	}
	edit := confdoc.Edit{ID: rand.Text(), WithdrawKey: &confdoc.WithdrawKey{KeyID: e.key.ID(), Based: table.Keys[e.key.ID()].Revision}}
	if _, err := e.operator.Edit(ctx, edit); err != nil {
		return "", err
	}
	start := time.Now()
	for time.Since(start) < withdrawBound {
		_, err := e.send(ctx, e.team, "counting", "late")
		if err != nil {
			detail, err := refusedAs(err, refusal.KeyUnknown, true)
			return fmt.Sprintf("%s, after %d ms", detail, time.Since(start).Milliseconds()), err
		}
		time.Sleep(pollDelay)
	}
	return "", errors.Newf("the key still works after %s", withdrawBound)
}

func (e *example) overcommit(context.Context) (string, error) {
	for id, w := range e.stands.Workers {
		if over := w.Overlaps(); len(over) > 0 {
			return "", errors.Newf("worker %s: %v", id, over)
		}
	}
	return fmt.Sprintf("%d workers", len(e.stands.Workers)), nil
}
