package cli

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/adapter/cellapi"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/core/route"
	"auburnpier/internal/domain"
)

// preview asks where the job of the file would go.
func (c *CellExplainCommand) preview(g *Globals) error {
	raw, err := readJob(c.File)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	defer cancel()
	var v jobs.Preview
	err = g.askCell(ctx, http.MethodPost, cellapi.PreviewPath(domain.QueueID(url.PathEscape(c.Queue))), raw, &v)
	var refused *apiclient.RefusedError
	var unreachable *apiclient.UnreachableError
	if err != nil && !errors.As(err, &refused) && !errors.As(err, &unreachable) {
		err = errors.Wrap(err, "preview, which instances of earlier versions do not know")
	}
	if err != nil {
		return err
	}
	return g.print(v, func(w io.Writer) { previewRows(w, v) })
}

func previewRows(w io.Writer, v jobs.Preview) {
	row(w, "QUEUE", v.Queue)
	row(w, "TEAM", orNone(string(v.Team)))
	if r := v.Refusal; r != nil {
		row(w, "WOULD BE REFUSED", refusalText(r))
		row(w, "REMEDY", r.Remedy)
		row(w, "TRY AGAIN AFTER", fmt.Sprintf("%d ms", r.RetryAfterMS))
	} else {
		row(w, "WOULD BE ACCEPTED", "nothing was submitted, reserved or asked for")
	}
	row(w, "OBJECTIVE", fmt.Sprintf("%d ms, critical path %d ms", v.ObjectiveMS, v.CriticalPathMS))
	if v.DueInMS > 0 {
		row(w, "DUE IN", fmt.Sprintf("%d ms; described as if it were due now", v.DueInMS))
	}
	if v.OverRate {
		row(w, "ORDER", "after the jobs of teams within their weight")
	}
	row(w, "TEAM USES", fmt.Sprintf("%d of %s milli-cores, %d of %s MB, %d of %s accelerators", v.TeamUsed.CPUMilli, limitText(v.TeamLimit.CPUMilli),
		v.TeamUsed.MemoryMB, limitText(v.TeamLimit.MemoryMB), v.TeamUsed.Accelerators, limitText(v.TeamLimit.Accelerators)))
	if v.Share != nil {
		row(w, "TEAM'S SHARE", fmt.Sprintf("exceeded by %.0f %%", v.Share.Excess*100))
	}
	fmt.Fprintln(w)
	row(w, "STEP", "TASKS", "NOW", "ROOM FOR", "STARTS IN", "ENDS IN", "TASK TAKES", "WHY")
	for _, s := range v.Steps {
		row(w, s.Step, s.Tasks, s.Outcome, s.RoomNow, msText(s.StartInMS), msText(s.EndInMS), takesText(s), previewReason(s))
	}
	previewLearnedRows(w, v)
	previewOrderRows(w, v)
	previewApprovalRows(w, v)
	previewWorkerRows(w, v)
	fmt.Fprintln(w)
	row(w, "STEP", "WORKERS", "WHETHER THEY CAN TAKE A TASK NOW")
	for _, s := range v.Steps {
		if s.Outcome == jobs.PreviewAfter || s.Outcome == jobs.PreviewNotExamined {
			continue
		}
		row(w, s.Step, s.Eligible, "yes")
		for _, e := range s.Excluded {
			row(w, s.Step, e.Workers, fmt.Sprintf("%s: %s", e.Reason, e.Detail))
		}
	}
}

// headed returns a function that writes a table's row, and the heads of its columns before the first one.
func headed(w io.Writer, heads ...any) func(cells ...any) {
	written := false
	return func(cells ...any) {
		if !written {
			fmt.Fprintln(w)
			row(w, heads...)
			written = true
		}
		row(w, cells...)
	}
}

func previewWorkerRows(w io.Writer, v jobs.Preview) {
	row := headed(w, "STEP", "WORKER", "ZONE", "RACK", "TASKS", "FREE CPU MILLI", "FREE MB", "COST", "APPROVAL")
	for _, s := range v.Steps {
		for _, p := range s.Workers {
			row(s.Step, p.Worker, p.Zone, p.Rack, p.Tasks, p.Free.CPUMilli, p.Free.MemoryMB, fmt.Sprintf("%.2f", p.Cost), approvalText(p))
		}
		if more := s.WorkersNow - len(s.Workers); more > 0 {
			row(s.Step, fmt.Sprintf("and %d more", more))
		}
	}
}

func previewLearnedRows(w io.Writer, v jobs.Preview) {
	durations := headed(w, "STEP", "LEARNED MEAN", "9 OF 10 TASKS WITHIN", "CONFIDENCE")
	for _, s := range v.Steps {
		if d := s.Learned; d != nil {
			durations(s.Step, fmt.Sprintf("%d ms", d.MeanMS), fmt.Sprintf("%d ms", d.P90MS), fmt.Sprintf("%.2f", d.Confidence))
		}
	}
	neighbours := headed(w, "STEP", "NEIGHBOUR", "EFFECT ON THE SAME WORKER", "CONFIDENCE")
	for _, s := range v.Steps {
		for _, n := range s.Neighbours {
			effect := fmt.Sprintf("the step takes %.2f times as long", n.Factor)
			if n.Slowed {
				effect = fmt.Sprintf("the neighbour takes %.2f times as long", n.Factor)
			}
			neighbours(s.Step, n.Image, effect, fmt.Sprintf("%.3f", n.Confidence))
		}
	}
	slow := headed(w, "STEP", "SLOW WORKER", "NOT CHOSEN BECAUSE", "CONFIDENCE")
	for _, s := range v.Steps {
		for _, p := range s.SlowWorkers {
			slow(s.Step, p.Worker, fmt.Sprintf("it has been %.1f times slower for %d ms", p.Factor, p.SinceMS), fmt.Sprintf("%.3f", p.Confidence))
		}
	}
}

func previewOrderRows(w io.Writer, v jobs.Preview) {
	row := headed(w, "STEP", "TIER", "PRIORITY", "RANK", "STEPS AHEAD", "THE TEAM'S", "TASKS AHEAD", "STEPS WAITING")
	for _, s := range v.Steps {
		if o := s.Order; o != nil {
			ahead := fmt.Sprint(o.StepsAhead)
			if o.AtLeast {
				ahead += " or more"
			}
			row(s.Step, o.Tier, o.Priority, o.Rank, ahead, o.TeamStepsAhead, o.TasksAhead, o.Waiting)
		}
	}
}

func previewApprovalRows(w io.Writer, v jobs.Preview) {
	row := headed(w, "STEP", "EXPECTED APPROVAL OF A WORKER", "WORKERS NAMED", "REQUEST TAKES", "EXPECTED REQUESTS", "STEPS AHEAD", "INSTANCE FREE", "WAIT FOR ONE")
	for _, s := range v.Steps {
		if a := s.Approval; a != nil {
			free := map[bool]string{true: "yes", false: "no"}[a.Free]
			row(s.Step, fmt.Sprintf("probability %.2f", a.Probability), a.Named, fmt.Sprintf("%d ms", a.RequestMS), a.Requests, a.StepsAhead,
				fmt.Sprintf("%s, %d at once", free, a.Instances), fmt.Sprintf("%d ms", a.QueueMS))
		}
	}
}

func refusalText(r *jobs.PreviewRefusal) string {
	if r.Detail == "" {
		return r.Reason
	}
	return r.Reason + ": " + r.Detail
}

func previewReason(s jobs.PreviewStep) string {
	switch {
	case s.Refusal != nil:
		return refusalText(s.Refusal)
	case len(s.WaitsFor) > 0:
		return fmt.Sprintf("starts after steps %v", s.WaitsFor)
	case s.Preempts:
		return "stops checkpointable tasks of a lower priority first"
	case s.Outcome == jobs.PreviewNotExamined:
		return "a preview examines only as many steps as take the owner little time"
	}
	return s.Reason
}

func approvalText(p jobs.PreviewWorker) string {
	if p.Approval == "expected" {
		return fmt.Sprintf("expected with probability %.2f", p.Probability)
	}
	return "not needed"
}

func takesText(s jobs.PreviewStep) string {
	if s.EstimateMS == 0 || s.EstimateMS == s.ExpectedMS {
		return fmt.Sprintf("%d ms", s.ExpectedMS)
	}
	return fmt.Sprintf("%d ms (estimate %d ms)", s.ExpectedMS, s.EstimateMS)
}

func msText(ms *int64) string {
	if ms == nil {
		return "unknown"
	}
	return fmt.Sprintf("%d ms", *ms)
}

// previewRequest asks what would become of a request to the queue.
func (c *ExplainCommand) previewRequest(g *Globals) error {
	return g.call(func(ctx context.Context, client *apiclient.Client) error {
		v, err := client.PreviewRequest(ctx, domain.QueueID(c.Queue))
		if err != nil {
			return err
		}
		return g.print(v, func(w io.Writer) { requestPreviewRows(w, v) })
	})
}

func requestPreviewRows(w io.Writer, v route.Preview) {
	row(w, "QUEUE", v.Queue)
	row(w, "TEAM", orNone(string(v.Team)))
	row(w, "A REQUEST NOW", v.Outcome)
	if v.Server != "" {
		row(w, "SERVER", v.Server)
	}
	if v.Reason != "" {
		row(w, "WHY", v.Reason)
		row(w, "REMEDY", v.Remedy)
	}
	inFlight := fmt.Sprint(v.MaxInFlight)
	if v.MaxInFlight == math.MaxInt64 {
		inFlight = "no limit"
	}
	row(w, "HERE", fmt.Sprintf("%d free slots, %d of %d requests wait, %d of the team's %s in flight", v.FreeSlots, v.Waiting, v.MaxWaiting, v.InFlight, inFlight))
	rows := headed(w, "SERVER", "ZONE", "CONDITION", "SLOTS IN USE", "USABLE", "LATENCY", "COST")
	for _, s := range v.Servers {
		cost := "none: not chosen now"
		if s.CostMS > 0 {
			cost = fmt.Sprintf("%.1f ms", s.CostMS)
		}
		rows(s.Server, s.Zone, s.Condition, s.InUse, s.Usable, fmt.Sprintf("%.1f ms", s.LatencyMS), cost)
	}
	if more := v.ServersTotal - len(v.Servers); more > 0 {
		rows(fmt.Sprintf("and %d more", more))
	}
}
