package cli

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/domain"
)

// waitSlice is how long one wait call is held open.
const waitSlice = 20 * time.Second

// SubmitCommand submits a job.
type SubmitCommand struct {
	File           string        `help:"Read the job from a JSON file; '-' is standard input. Other flags are ignored." short:"f"`
	Name           string        `help:"Name of the job."`
	Class          string        `help:"Class of jobs of like size; the name without it."`
	Kind           string        `help:"batch, service or gang." enum:"batch,service,gang" default:"batch"`
	Priority       string        `help:"urgent, normal or low." enum:"urgent,normal,low" default:"normal"`
	Tasks          int           `help:"Number of tasks, replicas or gang members." default:"1"`
	CPU            CPU           `help:"Processor time of a task: 2.5 cores or 500m." default:"1" name:"cpu"`
	Memory         Memory        `help:"Memory of a task: 512MB or 4GB." default:"256MB"`
	Accelerators   int64         `help:"Accelerators of a task." default:"0"`
	RunTime        time.Duration `help:"Expected run time of a task."`
	Idempotent     bool          `help:"A task may run again after it may have run."`
	Checkpointable bool          `help:"A task can be checkpointed and moved."`
	Region         string        `help:"Run in this region."`
	Zones          []string      `help:"Run in these availability zones."`
	SpanZones      bool          `help:"A gang may cross availability zones."`
	IdempotencyKey string        `help:"Name of this submission; a repeated one returns the same job. One is made without it."`
	Wait           bool          `help:"Wait until the job has ended."`
	Command        []string      `arg:"" optional:"" help:"Command for the worker, after '--'."`
}

// Run implements the command.
func (c *SubmitCommand) Run(g *Globals) error {
	spec, err := c.spec(g)
	if err != nil {
		return err
	}
	var status domain.JobStatus
	err = g.call(func(ctx context.Context, client *apiclient.Client) error {
		status, err = client.Submit(ctx, spec)
		return err
	})
	if err != nil {
		return errors.Wrapf(err, "the submission has idempotency key %s", spec.IdempotencyKey)
	}
	if c.Wait {
		return (&WaitCommand{Job: string(status.ID)}).Run(g)
	}
	return g.printJob(status)
}

func (c *SubmitCommand) spec(g *Globals) (domain.JobSpec, error) {
	if c.File != "" {
		return readSpec(g, c.File)
	}
	if c.Name == "" {
		return domain.JobSpec{}, errors.Mark(errors.New("give the job a name with --name, or a file with --file"), errUsage)
	}
	spec := domain.JobSpec{
		Name:           c.Name,
		Class:          c.Class,
		Kind:           domain.JobKind(c.Kind),
		Priority:       domain.Priority(c.Priority),
		Tasks:          c.Tasks,
		Resources:      domain.Resources{CPUMilli: int64(c.CPU), MemoryMB: int64(c.Memory), Accelerators: c.Accelerators},
		RunTimeMS:      c.RunTime.Milliseconds(),
		Command:        c.Command,
		Idempotent:     c.Idempotent,
		Checkpointable: c.Checkpointable,
		Region:         domain.RegionID(c.Region),
		SpanZones:      c.SpanZones,
		IdempotencyKey: c.IdempotencyKey,
	}
	for _, z := range c.Zones {
		spec.Zones = append(spec.Zones, domain.ZoneID(z))
	}
	if spec.IdempotencyKey == "" {
		spec.IdempotencyKey = rand.Text()
	}
	return spec, nil
}

func readSpec(g *Globals, file string) (domain.JobSpec, error) {
	var spec domain.JobSpec
	raw, err := readFile(g, file)
	if err != nil {
		return spec, err
	}
	if err := json.Unmarshal(raw, &spec); err != nil {
		return spec, errors.Mark(errors.Wrapf(err, "read job from %s", file), errUsage)
	}
	if spec.IdempotencyKey == "" {
		spec.IdempotencyKey = rand.Text()
	}
	return spec, nil
}

func readFile(g *Globals, file string) ([]byte, error) {
	var raw []byte
	var err error
	if file == "-" {
		raw, err = io.ReadAll(g.in)
	} else {
		raw, err = os.ReadFile(file)
	}
	if err != nil {
		return nil, errors.Mark(errors.Wrapf(err, "read %s", file), errUsage)
	}
	return raw, nil
}

// GetCommand shows a job.
type GetCommand struct {
	Job string `arg:"" help:"Name of the job."`
}

// Run implements the command.
func (c *GetCommand) Run(g *Globals) error {
	return g.call(func(ctx context.Context, client *apiclient.Client) error {
		status, err := client.Job(ctx, domain.JobID(c.Job))
		if err != nil {
			return err
		}
		return g.printJob(status)
	})
}

// CancelCommand cancels a job.
type CancelCommand struct {
	Job string `arg:"" help:"Name of the job."`
}

// Run implements the command.
func (c *CancelCommand) Run(g *Globals) error {
	return g.call(func(ctx context.Context, client *apiclient.Client) error {
		status, err := client.Cancel(ctx, domain.JobID(c.Job))
		if err != nil {
			return err
		}
		return g.printJob(status)
	})
}

// ExplainCommand prints the history of a job, or what would become of a request.
type ExplainCommand struct {
	Job   string `arg:"" optional:"" help:"Name of the job."`
	Queue string `help:"Queue of a request, of which to tell where it would go now and why. None is sent."`
}

// Run implements the command.
func (c *ExplainCommand) Run(g *Globals) error {
	if (c.Job == "") == (c.Queue == "") {
		return errors.Mark(errors.New("name either a job, or the queue of a request with --queue"), errUsage)
	}
	if c.Queue != "" {
		return c.previewRequest(g)
	}
	return g.call(func(ctx context.Context, client *apiclient.Client) error {
		status, err := client.Explain(ctx, domain.JobID(c.Job))
		if err != nil {
			return err
		}
		return g.print(status, func(w io.Writer) { historyRows(w, status) })
	})
}

func historyRows(w io.Writer, status domain.JobStatus) {
	jobRows(w, status)
	fmt.Fprintln(w)
	row(w, "AT", "TASK", "EVENT", "WORKER", "DETAIL")
	for _, e := range status.Events {
		row(w, e.At.Format(time.RFC3339Nano), e.Task, e.Kind, e.Worker, e.Detail)
	}
}

// NotSucceededError tells how a job that was waited for ended.
type NotSucceededError struct {
	Job    domain.JobID
	State  domain.JobState
	Reason string
}

func (e *NotSucceededError) Error() string {
	return fmt.Sprintf("job %s is %s: %s; see: auburnpier explain %s", e.Job, e.State, e.Reason, e.Job)
}

// WaitCommand waits for a job.
type WaitCommand struct {
	Job string        `arg:"" help:"Name of the job."`
	For time.Duration `help:"Longest time to wait; no bound without it."`
}

// Run implements the command.
func (c *WaitCommand) Run(g *Globals) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	deadline := time.Now().Add(c.For)
	for {
		slice := waitSlice
		if c.For > 0 {
			slice = max(0, min(slice, time.Until(deadline)))
		}
		ctx, cancel := context.WithTimeout(context.Background(), slice+g.Timeout)
		status, err := client.Wait(ctx, domain.JobID(c.Job), slice)
		cancel()
		if err != nil {
			return err
		}
		over := c.For > 0 && !time.Now().Before(deadline)
		if !status.State.Terminal() && !over {
			continue
		}
		if err := g.printJob(status); err != nil {
			return err
		}
		if status.State != domain.JobSucceeded {
			return &NotSucceededError{Job: status.ID, State: status.State, Reason: status.Reason}
		}
		return nil
	}
}

func (g *Globals) printJob(status domain.JobStatus) error {
	return g.print(status, func(w io.Writer) { jobRows(w, status) })
}

func jobRows(w io.Writer, s domain.JobStatus) {
	row(w, "JOB", s.ID)
	row(w, "NAME", s.Spec.Name)
	row(w, "TEAM", s.Team)
	row(w, "STATE", s.State)
	row(w, "TASKS", fmt.Sprintf("%d queued, %d running, %d succeeded, %d failed", s.Queued, s.Running, s.Succeeded, s.Failed))
	if s.Reason != "" {
		row(w, "REASON", strings.TrimSpace(s.Reason))
	}
}
