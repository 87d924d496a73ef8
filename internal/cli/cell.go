package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"net/http"
	"net/url"
	"slices"
	"strings"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// CellCommand holds the commands for a cell on the users' platform. They ask
// the address of listen.metrics of any instance.
type CellCommand struct {
	Status  CellStatusCommand  `cmd:"" help:"Show who owns the cell, since when, and what an instance believes."`
	Explain CellExplainCommand `cmd:"" help:"Say where the tasks of a job run and why others wait, or where those of a job file would go."`
	Submit  CellSubmitCommand  `cmd:"" help:"Submit a job from a file in JSON with comments."`
	Get     CellGetCommand     `cmd:"" help:"Show the state of a job."`
	Cancel  CellCancelCommand  `cmd:"" help:"Cancel a job."`
	Queue   CellQueueCommand   `cmd:"" help:"Count the accepted jobs of a queue that have not begun."`
}

// maxCellAnswer bounds the answer of an instance, in bytes.
const maxCellAnswer = 16 << 20

// askCell makes a call to the instance at --server and decodes its answer.
func (g *Globals) askCell(ctx context.Context, method, path string, body []byte, into any) error {
	key, err := g.rawKey()
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimRight(g.Server, "/")+path, bytes.NewReader(body))
	if err != nil {
		return errors.Mark(errors.Wrap(err, "--server"), errUsage)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return &apiclient.UnreachableError{Server: g.Server, Err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxCellAnswer))
	if err != nil {
		return &apiclient.UnreachableError{Server: g.Server, Err: err}
	}
	if resp.StatusCode != http.StatusOK {
		var told port.ErrorResponse
		if err := json.Unmarshal(raw, &told); err == nil && told.Error != "" {
			return errors.Newf("%s: %s", g.Server, told.Error)
		}
		return apiclient.Refused(resp, raw)
	}
	return errors.Wrapf(json.Unmarshal(raw, into), "answer of %s cannot be read", g.Server)
}

// askCellOnce makes one call within --timeout.
func (g *Globals) askCellOnce(method, path string, into any) error {
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	defer cancel()
	return g.askCell(ctx, method, path, nil, into)
}

// CellStatusCommand shows an instance and the owner that it knows.
type CellStatusCommand struct{}

// Run implements the command.
func (c *CellStatusCommand) Run(g *Globals) error {
	var s port.InstanceStatus
	if err := g.askCellOnce(http.MethodGet, "/status", &s); err != nil {
		return err
	}
	return g.print(s, func(w io.Writer) { cellRows(w, s) })
}

func cellRows(w io.Writer, s port.InstanceStatus) {
	row(w, "INSTANCE", s.Instance)
	row(w, "PLACE", fmt.Sprintf("%s, %s", s.Zone, s.Region))
	row(w, "READY", fmt.Sprintf("%v, draining %v", s.Ready, s.Draining))
	row(w, "CONFIGURATION", fmt.Sprintf("version %d, proven %d ms ago", s.ConfigVersion, s.ConfigAgeMS))
	row(w, "OWNER", fmt.Sprintf("%s at %s, epoch %d", orNone(string(s.Owner)), orNone(s.OwnerAddress), s.Epoch))
	o := s.Cell
	if o == nil {
		row(w, "CELL", s.CellError)
		return
	}
	row(w, "REIGN", fmt.Sprintf("epoch %d for %d ms, claim holds for %d ms more", o.Epoch, o.TermMS, o.ClaimRemainingMS))
	row(w, "CONFIGURATION THERE", fmt.Sprintf("version %d", o.ConfigVersion))
	row(w, "JOBS", fmt.Sprintf("%d open, %d ended and kept", o.OpenJobs, o.EndedJobs))
	row(w, "TASKS", fmt.Sprintf("%d run, %d wait", o.RunningTasks, o.WaitingTasks))
	row(w, "WORKERS", fmt.Sprintf("%d known, %d heard of lately, %d draining, %d not heard of since the takeover",
		o.Workers.Known, o.Workers.Responsive, o.Workers.Draining, o.Suspects))
	for _, z := range o.EvacuatedZones {
		row(w, "EVACUATED ZONE", fmt.Sprintf("%s: %d workers get no new work, %d tasks still run there", z.Zone, z.Workers, z.RunningTasks))
	}
	if a := o.Approvals; a != nil {
		row(w, "APPROVALS", fmt.Sprintf("instances used to %d %%, scarce %v", a.UsePercent, a.Scarce))
	}
	if s := o.Shares; s != nil {
		row(w, "SHARES", fmt.Sprintf("capacity short: %v, %d teams above their share, the largest excess is %d %% %s", s.Short, s.TeamsOver, s.LargestExcessPercent, s.Largest))
	}
	if i := o.Interference; i != nil {
		row(w, "INTERFERENCE", fmt.Sprintf("%d pairs of images observed, %d known, %d placements changed, %d ms saved by estimate",
			i.Pairs, i.Known, i.PlacementsChanged, i.SavedMS))
		for _, p := range i.Strongest {
			row(w, "SLOWED", fmt.Sprintf("%s runs %.2f times slower beside %s, confidence %.3f", p.Victim, p.Slowdown, p.Neighbour, p.Confidence))
		}
	}
	if d := o.Departures; d != nil {
		row(w, "MOVED EARLY", fmt.Sprintf("%d runs from a checkpoint, %d from the beginning, %d gang members, %d core-seconds discarded, %d ms saved by estimate",
			d.Checkpoint, d.Restart, d.Gang, d.DiscardedCoreS, d.SavedMS))
	}
	if s := o.SlowWorkers; s != nil {
		row(w, "SLOW WORKERS", fmt.Sprintf("%d suspected, %d suspicions, %d recoveries, %d placements changed, %d runs moved from a checkpoint, %d from the beginning, %d gang members, %d ms saved by estimate",
			s.Suspected, s.Suspicions, s.Recoveries, s.PlacementsChanged, s.MovedCheckpoint, s.MovedRestart, s.MovedGang, s.SavedMS))
		for _, slow := range s.Workers {
			row(w, "SLOW WORKER", fmt.Sprintf("%s is %.1f times slower for %d ms, confidence %.3f", slow.Worker, slow.Factor, slow.SinceMS, slow.Confidence))
		}
	}
	row(w, "REGISTRY READ BY", registryReader(o.Owner, o.RegistryRelay))
	fmt.Fprintln(w)
	row(w, "OTHER INSTANCE", "ZONE", "HEARD")
	for _, i := range o.Instances {
		row(w, i.Instance, i.Zone, fmt.Sprintf("%d ms ago", i.AnnouncementAgeMS))
	}
	fmt.Fprintln(w)
	row(w, "TEAM", "CPU MILLI", "OF", "MEMORY MB", "OF", "ACCELERATORS", "OF")
	for _, t := range o.Teams {
		row(w, t.Team, t.Used.CPUMilli, limitText(t.Limit.CPUMilli), t.Used.MemoryMB, limitText(t.Limit.MemoryMB),
			t.Used.Accelerators, limitText(t.Limit.Accelerators))
	}
}

func registryReader(owner, relay domain.InstanceID) domain.InstanceID {
	if relay == "" {
		return owner
	}
	return relay
}

func orNone(text string) string {
	if text == "" {
		return "none"
	}
	return text
}

func limitText(amount int64) string {
	if amount <= 0 {
		return "no limit"
	}
	return fmt.Sprint(amount)
}

// CellExplainCommand shows a job, or where one would go that is not submitted.
type CellExplainCommand struct {
	Job   string `arg:"" optional:"" help:"ID of the job."`
	Queue string `help:"Queue of a job that is not submitted. It takes --file."`
	File  string `help:"Job in JSON with comments, of which to tell where it would go now and why. Nothing is submitted." type:"path"`
}

// Run implements the command.
func (c *CellExplainCommand) Run(g *Globals) error {
	switch {
	case c.Job == "" && c.Queue != "" && c.File != "":
		return c.preview(g)
	case c.Job == "" || c.Queue != "" || c.File != "":
		return errors.Mark(errors.New("name either the ID of a job, or --queue and --file of one that is not submitted"), errUsage)
	}
	var v jobs.JobView
	if err := g.askCellOnce(http.MethodGet, "/jobs/"+url.PathEscape(c.Job), &v); err != nil {
		return err
	}
	return g.print(v, func(w io.Writer) { jobViewRows(w, v) })
}

func jobViewRows(w io.Writer, v jobs.JobView) {
	row(w, "JOB", v.Job)
	row(w, "TEAM", v.Team)
	row(w, "QUEUE", v.Queue)
	row(w, "STATE", v.State)
	if v.UnstoredState != "" {
		row(w, "NOT STORED YET", v.UnstoredState)
	}
	if v.OverRate {
		row(w, "ORDER", "after the jobs of teams within their weight")
	}
	fmt.Fprintln(w)
	row(w, "OCCURRENCE", "STEP", "TASKS", "SUCCEEDED", "WAITING", "OBJECTIVE IN", "FAILED RUNS", "WHY")
	for _, s := range v.Steps {
		row(w, s.Occurrence, s.Step, s.Tasks, s.Succeeded, s.Waiting, fmt.Sprintf("%d ms", s.ObjectiveMS), s.FailedRuns, stepReason(s))
	}
	waitRows(w, v)
	fmt.Fprintln(w)
	row(w, "STEP", "TASK", "RUN", "WORKER", "PHASE", "FOR", "PERCENT", "PACE", "WORKER HEARD", "WHY")
	for _, s := range v.Steps {
		for _, r := range s.Runs {
			row(w, s.Step, r.Task, r.Run, r.Worker, r.Phase, fmt.Sprintf("%d ms", r.ConfirmedMS), r.Percent, paceText(r.ThrottlePercent),
				fmt.Sprintf("%d ms ago", r.ReportAgeMS), r.Reason)
		}
	}
}

// waitRows shows how long each step waited so far and why.
func waitRows(w io.Writer, v jobs.JobView) {
	fmt.Fprintln(w)
	row(w, "STEP", "WAITED", "WHY")
	for _, s := range v.Steps {
		for _, reason := range slices.Sorted(maps.Keys(s.WaitedMS)) {
			row(w, s.Step, fmt.Sprintf("%d ms", s.WaitedMS[reason]), reason)
		}
	}
}

func stepReason(s jobs.StepView) string {
	switch {
	case len(s.WaitsFor) > 0:
		return fmt.Sprintf("waits for steps %v", s.WaitsFor)
	case s.Reason != "":
		return fmt.Sprintf("%s, for %d ms", s.Reason, s.ReadyMS)
	}
	return ""
}

func paceText(percent int) string {
	if percent < 0 {
		return "unknown"
	}
	return fmt.Sprint(percent)
}
