package cli

import (
	"bytes"
	"context"
	"crypto/rand"
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/adapter/apiclient"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
)

// TableCommand holds the commands for the table of teams.
type TableCommand struct {
	Show   TableShowCommand   `cmd:"" help:"Show all teams with shares and limits." default:"1"`
	Set    TableSetCommand    `cmd:"" help:"Add a team or change one row."`
	Delete TableDeleteCommand `cmd:"" help:"Delete a team; its keys stop working and its work is cancelled."`
	Export TableExportCommand `cmd:"" help:"Write the table as CSV."`
	Import TableImportCommand `cmd:"" help:"Replace the table by a CSV file."`
}

// TableShowCommand shows the table.
type TableShowCommand struct{}

// Run implements the command.
func (c *TableShowCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	return g.print(table, func(w io.Writer) {
		row(w, "TEAM", "SHARE", "CPU", "MEMORY_MB", "ACCELERATORS", "REQUESTS", "REVISION")
		for _, id := range slices.Sorted(maps.Keys(table.Teams)) {
			printTeam(w, id, table.Teams[id])
		}
		fmt.Fprintf(w, "\nversion %d\n", table.Version)
	})
}

func printTeam(w io.Writer, id domain.TeamID, t domain.TeamRow) {
	row(w, id, t.Share, float64(t.Limit.CPUMilli)/1000, t.Limit.MemoryMB, t.Limit.Accelerators, t.LimitRequests, t.Revision)
}

// TableSetCommand adds or changes one row.
type TableSetCommand struct {
	Team              string   `arg:"" help:"Name of the team."`
	Share             *float64 `help:"Weight when the fleet is full."`
	LimitCPU          *CPU     `help:"Most processor time over the fleet: 40 cores or 500m." name:"limit-cpu"`
	LimitMemory       *Memory  `help:"Most memory over the fleet: 512MB or 4GB."`
	LimitAccelerators *int64   `help:"Most accelerators over the fleet."`
	LimitRequests     *int64   `help:"Most requests in flight over the fleet."`
	Revision          *uint64  `help:"Revision of the row that the change is based on; the present one without it."`
	EditID            string   `help:"Name of this edit. Give the same one again after an unknown outcome."`
}

// Run implements the command.
func (c *TableSetCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	team, exists := table.Teams[domain.TeamID(c.Team)]
	if !exists && (c.Share == nil || c.LimitCPU == nil || c.LimitMemory == nil) {
		return errors.Mark(errors.Newf("team %s is new: set --share, --limit-cpu and --limit-memory", c.Team), errUsage)
	}
	based := team.Revision
	if c.Revision != nil {
		based = *c.Revision
	}
	c.change(&team)
	return g.apply(c.EditID, confdoc.Edit{SetTeam: &confdoc.SetTeam{Team: domain.TeamID(c.Team), Based: based, Row: team}})
}

func (c *TableSetCommand) change(t *domain.TeamRow) {
	if c.Share != nil {
		t.Share = *c.Share
	}
	if c.LimitCPU != nil {
		t.Limit.CPUMilli = int64(*c.LimitCPU)
	}
	if c.LimitMemory != nil {
		t.Limit.MemoryMB = int64(*c.LimitMemory)
	}
	if c.LimitAccelerators != nil {
		t.Limit.Accelerators = *c.LimitAccelerators
	}
	if c.LimitRequests != nil {
		t.LimitRequests = *c.LimitRequests
	}
}

// TableDeleteCommand deletes a team.
type TableDeleteCommand struct {
	Team     string  `arg:"" help:"Name of the team."`
	Revision *uint64 `help:"Revision of the row that the change is based on; the present one without it."`
	EditID   string  `help:"Name of this edit. Give the same one again after an unknown outcome."`
}

// Run implements the command.
func (c *TableDeleteCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	based := table.Teams[domain.TeamID(c.Team)].Revision
	if c.Revision != nil {
		based = *c.Revision
	}
	return g.apply(c.EditID, confdoc.Edit{DeleteTeam: &confdoc.DeleteTeam{Team: domain.TeamID(c.Team), Based: based}})
}

// TableExportCommand writes the table as CSV.
type TableExportCommand struct{}

// Run implements the command.
func (c *TableExportCommand) Run(g *Globals) error {
	table, err := g.table()
	if err != nil {
		return err
	}
	return writeCSV(g.out, table)
}

// TableImportCommand replaces the table.
type TableImportCommand struct {
	File   string `arg:"" help:"CSV file as written by export; '-' is standard input."`
	EditID string `help:"Name of this edit. Give the same one again after an unknown outcome."`
}

// Run implements the command.
func (c *TableImportCommand) Run(g *Globals) error {
	raw, err := readFile(g, c.File)
	if err != nil {
		return err
	}
	version, teams, err := readCSV(bytes.NewReader(raw))
	if err != nil {
		return errors.Mark(errors.Wrapf(err, "read %s", c.File), errUsage)
	}
	return g.apply(c.EditID, confdoc.Edit{Import: &confdoc.Import{BasedVersion: version, Table: confdoc.Table{Teams: teams}}})
}

func (g *Globals) table() (api.Table, error) {
	var table api.Table
	err := g.call(func(ctx context.Context, client *apiclient.Client) error {
		var err error
		table, err = client.Table(ctx)
		return err
	})
	return table, err
}

// apply sends an edit and prints the version that holds it. A conflict prints
// the current row and what to type next.
func (g *Globals) apply(id string, edit confdoc.Edit) error {
	edit.ID = id
	if id == "" {
		edit.ID = rand.Text()
	}
	var applied confdoc.EditResult
	err := g.call(func(ctx context.Context, client *apiclient.Client) error {
		var err error
		applied, err = client.Edit(ctx, edit)
		return err
	})
	if err != nil {
		g.printConflict(err)
		return errors.Wrapf(err, "edit %s", edit.ID)
	}
	return g.print(applied, func(w io.Writer) {
		fmt.Fprintf(w, "accepted, version %d\n", applied.Version)
	})
}

func (g *Globals) printConflict(err error) {
	var refused *apiclient.RefusedError
	if !errors.As(err, &refused) || refused.Conflict == nil {
		return
	}
	c := refused.Conflict
	fmt.Fprintf(g.errOut, "%s changed: the edit was based on revision %d, the current one is %d.\n", c.Path, c.Based, c.Current)
	if c.Team != nil {
		fmt.Fprintf(g.errOut, "current row: share %v, cpu %v, memory %d MB, accelerators %d, requests %d\n",
			c.Team.Share, float64(c.Team.Limit.CPUMilli)/1000, c.Team.Limit.MemoryMB, c.Team.Limit.Accelerators, c.Team.LimitRequests)
	}
	fmt.Fprintf(g.errOut, "to change the current row, repeat the command with --revision %d; to look at all rows: auburnpier table show\n", c.Current)
}
