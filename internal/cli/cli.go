// Package cli holds the commands of the auburnpier command-line tool.
package cli

import (
	"context"
	"crypto/tls"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kong"
	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/adapter/tlsfiles"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/refusal"
)

// Exit codes. Scripts tell the kinds of failure apart by them.
const (
	ExitOK          = 0
	ExitInternal    = 1
	ExitUsage       = 2
	ExitRefused     = 3
	ExitConflict    = 4
	ExitUnreachable = 5
	// ExitNotSucceeded tells that a job was waited for and did not succeed.
	ExitNotSucceeded = 6
)

// Globals are the flags of every command.
type Globals struct {
	Server  string        `help:"URL of an instance or of the balancer." default:"http://127.0.0.1:8080" env:"AUBURNPIER_SERVER"`
	KeyFile string        `help:"File that holds the key. The variable AUBURNPIER_KEY is used without it." env:"AUBURNPIER_KEY_FILE" type:"path"`
	CAFile  string        `help:"CA file that verifies the server." env:"AUBURNPIER_CA_FILE" type:"path"`
	Output  string        `help:"Form of the output: table or json." enum:"table,json" default:"table" short:"o"`
	Timeout time.Duration `help:"Longest time for one call." default:"30s"`

	out    io.Writer
	errOut io.Writer
	in     io.Reader
}

// Commands is the command line.
type Commands struct {
	Globals

	Submit     SubmitCommand     `cmd:"" help:"Submit a job."`
	Get        GetCommand        `cmd:"" help:"Show the state of a job."`
	Cancel     CancelCommand     `cmd:"" help:"Cancel a job."`
	Explain    ExplainCommand    `cmd:"" help:"Say why a job waits, where each attempt ran and how it ended, or where a request would go."`
	Wait       WaitCommand       `cmd:"" help:"Wait until a job has ended."`
	Request    RequestCommand    `cmd:"" help:"Send a request to a queue."`
	Table      TableCommand      `cmd:"" help:"Show and edit the table of teams, shares and limits."`
	Queues     QueuesCommand     `cmd:"" help:"Show and edit the queues."`
	Partitions PartitionsCommand `cmd:"" help:"Show and set the partitions of workers."`
	Keys       KeysCommand       `cmd:"" help:"Grant and withdraw keys."`
	Status     StatusCommand     `cmd:"" help:"Show all instances with the configuration version in force at each."`
	Drain      DrainCommand      `cmd:"" help:"Shut one instance down gracefully."`
	Cell       CellCommand       `cmd:"" help:"Look into a cell on the users' platform."`
}

const description = `Command-line tool of the auburnpier cluster scheduler.

Examples:
  auburnpier submit --name tally --cpu 500m --memory 256MB --idempotent -- sleep 2s
  auburnpier wait lulea.k3v...
  auburnpier table show
  auburnpier table set county-office --share 2 --limit-cpu 40 --limit-memory 200000MB --limit-requests 50
  auburnpier keys grant --team county-office
`

// errUsage marks errors of the command line itself.
var errUsage = errors.New("usage")

// Run parses and runs a command line and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	c := &Commands{}
	c.out, c.errOut, c.in = out, errOut, in
	exited := -1
	parser, err := kong.New(c,
		kong.Name("auburnpier"),
		kong.Description(description),
		kong.Writers(out, errOut),
		kong.Exit(func(code int) { exited = code }),
		kong.UsageOnError(),
	)
	if err != nil {
		fmt.Fprintln(errOut, "auburnpier:", err)
		return ExitInternal
	}
	parsed, err := parser.Parse(args)
	if exited >= 0 {
		return exited
	}
	if err != nil {
		fmt.Fprintf(errOut, "auburnpier: %v\ntry: auburnpier --help\n", err)
		return ExitUsage
	}
	if err := parsed.Run(&c.Globals); err != nil {
		report(errOut, err)
		return exitCode(err)
	}
	return ExitOK
}

// report prints an error with the remedy and what else the server told.
func report(w io.Writer, err error) {
	var refused *apiclient.RefusedError
	if !errors.As(err, &refused) {
		fmt.Fprintln(w, "auburnpier:", err)
		return
	}
	fmt.Fprintf(w, "auburnpier: refused (%s): %s\n  remedy: %s\n", refused.Reason, refused.Message, refused.Remedy)
	if refused.NotRun {
		fmt.Fprintln(w, "  the work did not run")
	}
	if refused.RetryAfter > 0 {
		fmt.Fprintf(w, "  try again after %s\n", refused.RetryAfter)
	}
	for _, f := range refused.Faults {
		fmt.Fprintf(w, "  %s\n", f.Error())
	}
}

func exitCode(err error) int {
	var unreachable *apiclient.UnreachableError
	var refused *apiclient.RefusedError
	var ended *NotSucceededError
	switch {
	case errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &ended):
		return ExitNotSucceeded
	case errors.As(err, &refused) && refused.Reason == refusal.RowConflict:
		return ExitConflict
	case errors.As(err, &refused):
		return ExitRefused
	case errors.As(err, &unreachable):
		return ExitUnreachable
	default:
		return ExitInternal
	}
}

// client returns a client with the key of the flags.
func (g *Globals) client() (*apiclient.Client, error) {
	key, err := g.key()
	if err != nil {
		return nil, err
	}
	transport := &http.Transport{}
	if g.CAFile != "" {
		pool, err := tlsfiles.LoadCertPool(g.CAFile)
		if err != nil {
			return nil, errors.Mark(err, errUsage)
		}
		transport.TLSClientConfig = &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS12}
	}
	return apiclient.New(strings.TrimRight(g.Server, "/"), key, transport), nil
}

// rawKey returns the key of the flags as it stands, empty without one.
func (g *Globals) rawKey() (string, error) {
	text := os.Getenv("AUBURNPIER_KEY")
	if g.KeyFile != "" {
		raw, err := os.ReadFile(g.KeyFile)
		if err != nil {
			return "", errors.Mark(errors.Wrap(err, "read --key-file"), errUsage)
		}
		text = string(raw)
	}
	return strings.TrimSpace(text), nil
}

func (g *Globals) key() (teamkey.Key, error) {
	text, err := g.rawKey()
	if text == "" || err != nil {
		return teamkey.Key{}, err
	}
	key, err := teamkey.Parse(text)
	if err != nil {
		return teamkey.Key{}, errors.Mark(err, errUsage)
	}
	return key, nil
}

// call runs f with a client and the time that one call may take.
func (g *Globals) call(f func(ctx context.Context, client *apiclient.Client) error) error {
	client, err := g.client()
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), g.Timeout)
	defer cancel()
	return f(ctx, client)
}
