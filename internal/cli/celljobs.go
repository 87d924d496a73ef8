package cli

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/adapter/cellapi"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
	"auburnpier/internal/settings"
)

// submitAgain is the pause before a submission of unknown outcome is repeated.
// The ID makes the repeat the same job.
const submitAgain = 500 * time.Millisecond

// readJob reads a job file. Faults are told before anything is sent, with the file's name.
func readJob(file string) ([]byte, error) {
	raw, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Mark(errors.Wrap(err, "read job"), errUsage)
	}
	if _, err := settings.ParseJob(file, raw); err != nil {
		return nil, errors.Mark(err, errUsage)
	}
	return raw, nil
}

// CellSubmitCommand submits a job file.
type CellSubmitCommand struct {
	File  string `arg:"" help:"Job in JSON with comments; see examples/job-tally.jsonc." type:"path"`
	Queue string `help:"Queue of the job." required:""`
	ID    string `help:"ID of the job, 16 hexadecimal digits. A random one is chosen without it."`
	Check bool   `help:"Check the file and submit nothing."`
}

// Run implements the command.
func (c *CellSubmitCommand) Run(g *Globals) error {
	raw, err := readJob(c.File)
	if err != nil {
		return err
	}
	if c.Check {
		fmt.Fprintf(g.out, "%s: no faults\n", c.File)
		return nil
	}
	id := domain.JobID(c.ID)
	if id == "" {
		id = newJobID()
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	defer cancel()
	var answer cellapi.JobResponse
	for {
		err := g.askCell(ctx, http.MethodPut, jobPath(c.Queue, id), raw, &answer)
		if err == nil {
			return g.print(answer, func(w io.Writer) { row(w, answer.Job) })
		}
		if !isOutcomeUnknown(err) || !ctxtime.Sleep(ctx, submitAgain) {
			return errors.Wrapf(err, "job %s", id)
		}
	}
}

func newJobID() domain.JobID {
	var b [8]byte
	// crypto/rand never fails on supported kernels.
	_, _ = rand.Read(b[:])
	return domain.JobID(hex.EncodeToString(b[:]))
}

// isOutcomeUnknown reports whether the call may have had an effect.
func isOutcomeUnknown(err error) bool {
	var unreachable *apiclient.UnreachableError
	var refused *apiclient.RefusedError
	return errors.As(err, &unreachable) || errors.As(err, &refused) && refused.Reason == refusal.OutcomeUnknown
}

func jobPath(queue string, id domain.JobID) string {
	return cellapi.JobPath(domain.QueueID(url.PathEscape(queue)), domain.JobID(url.PathEscape(string(id))))
}

// cellJob names a job of a queue.
type cellJob struct {
	Job   string `arg:"" help:"ID of the job."`
	Queue string `help:"Queue of the job." required:""`
}

func (c *cellJob) call(g *Globals, method string) error {
	var answer cellapi.JobResponse
	if err := g.askCellOnce(method, jobPath(c.Queue, domain.JobID(c.Job)), &answer); err != nil {
		return err
	}
	return g.print(answer, func(w io.Writer) { row(w, answer.Job, answer.State) })
}

// CellGetCommand shows the state of a job.
type CellGetCommand struct{ cellJob }

// Run implements the command.
func (c *CellGetCommand) Run(g *Globals) error { return c.call(g, http.MethodGet) }

// CellCancelCommand cancels a job.
type CellCancelCommand struct{ cellJob }

// Run implements the command.
func (c *CellCancelCommand) Run(g *Globals) error { return c.call(g, http.MethodDelete) }

// CellQueueCommand counts the jobs of a queue that have not begun.
type CellQueueCommand struct {
	Queue string `arg:"" help:"Name of the queue."`
}

// Run implements the command.
func (c *CellQueueCommand) Run(g *Globals) error {
	var answer cellapi.QueueResponse
	if err := g.askCellOnce(http.MethodGet, "/v1/queues/"+url.PathEscape(c.Queue), &answer); err != nil {
		return err
	}
	return g.print(answer, func(w io.Writer) { row(w, answer.Queue, answer.Waiting) })
}
