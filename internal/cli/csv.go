package cli

import (
	"bufio"
	"encoding/csv"
	"fmt"
	"io"
	"maps"
	"slices"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/domain"
)

// csvHeader names the columns of an exported table.
var csvHeader = []string{"team", "share", "limit_cpu_milli", "limit_memory_mb", "limit_accelerators", "limit_requests"}

// versionPrefix starts the first line of an exported table. An import is
// based on that version, so that it cannot undo an edit that came between.
const versionPrefix = "# auburnpier table, version "

func writeCSV(w io.Writer, t api.Table) error {
	if _, err := fmt.Fprintf(w, "%s%d\n", versionPrefix, t.Version); err != nil {
		return err
	}
	c := csv.NewWriter(w)
	_ = c.Write(csvHeader)
	for _, id := range slices.Sorted(maps.Keys(t.Teams)) {
		team := t.Teams[id]
		_ = c.Write([]string{
			string(id),
			strconv.FormatFloat(team.Share, 'g', -1, 64),
			strconv.FormatInt(team.Limit.CPUMilli, 10),
			strconv.FormatInt(team.Limit.MemoryMB, 10),
			strconv.FormatInt(team.Limit.Accelerators, 10),
			strconv.FormatInt(team.LimitRequests, 10),
		})
	}
	c.Flush()
	return c.Error()
}

// readCSV reads a table and the version it is based on. An error names line and column.
func readCSV(r io.Reader) (uint64, map[domain.TeamID]domain.TeamRow, error) {
	b := bufio.NewReader(r)
	first, err := b.ReadString('\n')
	if err != nil {
		return 0, nil, errors.New("the file has no rows; start from: auburnpier table export")
	}
	version, err := strconv.ParseUint(strings.TrimSpace(strings.TrimPrefix(first, versionPrefix)), 10, 64)
	if err != nil || !strings.HasPrefix(first, versionPrefix) {
		return 0, nil, errors.Newf("line 1 is not %q with a number; keep the first line of the export", versionPrefix+"N")
	}
	c := csv.NewReader(b)
	c.FieldsPerRecord = len(csvHeader)
	header, err := c.Read()
	if err != nil || strings.Join(header, ",") != strings.Join(csvHeader, ",") {
		return 0, nil, errors.Newf("line 2 is not %q; keep the second line of the export", strings.Join(csvHeader, ","))
	}
	teams := make(map[domain.TeamID]domain.TeamRow)
	for {
		record, err := c.Read()
		if errors.Is(err, io.EOF) {
			return version, teams, nil
		}
		if err != nil {
			return 0, nil, err
		}
		line, _ := c.FieldPos(0)
		id, team, err := parseTeam(record)
		if err != nil {
			// The version line is not seen by the CSV reader.
			return 0, nil, errors.Wrapf(err, "line %d", line+1)
		}
		if _, twice := teams[id]; twice {
			return 0, nil, errors.Newf("line %d: team %s stands twice; remove one row", line+1, id)
		}
		teams[id] = team
	}
}

func parseTeam(record []string) (domain.TeamID, domain.TeamRow, error) {
	var t domain.TeamRow
	share, err := strconv.ParseFloat(strings.TrimSpace(record[1]), 64)
	if err != nil {
		return "", t, errors.Newf("column share: %q is not a number", record[1])
	}
	t.Share = share
	for i, target := range []*int64{&t.Limit.CPUMilli, &t.Limit.MemoryMB, &t.Limit.Accelerators, &t.LimitRequests} {
		text := strings.TrimSpace(record[2+i])
		n, err := strconv.ParseInt(text, 10, 64)
		if err != nil {
			return "", t, errors.Newf("column %s: %q is not a whole number", csvHeader[2+i], text)
		}
		*target = n
	}
	return domain.TeamID(strings.TrimSpace(record[0])), t, nil
}
