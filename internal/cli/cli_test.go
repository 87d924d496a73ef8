package cli

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"auburnpier/internal/adapter/api"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
	"auburnpier/internal/refusal"
)

// answer serves one canned answer on every path.
func answer(t *testing.T, status int, body any) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if b, ok := body.(refusal.Body); ok {
			refusal.Write(w, b)
			return
		}
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(body)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// Guards against scripts that cannot tell the kinds of failure apart.
func TestExitCodes(t *testing.T) {
	conflict := refusal.Body{
		Refusal: refusal.New(http.StatusConflict, refusal.RowConflict, "the row changed", "look at it"),
		Current: &confdoc.ConflictError{Path: "teams/a", Based: 1, Current: 7, Team: &domain.TeamRow{Share: 3}},
	}
	unavailable := refusal.Body{Refusal: refusal.New(http.StatusServiceUnavailable, refusal.StoreUnavailable, "no writes", "wait")}
	ended := domain.JobStatus{ID: "lulea.x", State: domain.JobFailed, Reason: "task 0 failed"}
	cases := []struct {
		name   string
		server string
		args   []string
		code   int
		prints []string
	}{
		{"job", answer(t, 200, domain.JobStatus{ID: "lulea.x", State: domain.JobRunning}), []string{"get", "lulea.x"}, ExitOK, []string{"lulea.x", "running"}},
		{"usage", "http://127.0.0.1:1", []string{"get"}, ExitUsage, []string{"expected"}},
		{"unknown command", "http://127.0.0.1:1", []string{"nosuch"}, ExitUsage, []string{"nosuch"}},
		{"job without a name", "http://127.0.0.1:1", []string{"submit"}, ExitUsage, []string{"--name"}},
		{"refused", answer(t, 0, unavailable), []string{"submit", "--name", "x"}, ExitRefused, []string{"store_unavailable", "remedy: wait", "did not run"}},
		{"conflict", answer(t, 0, conflict), []string{"queues", "set", "q"}, ExitConflict, []string{"--revision 7", "share 3"}},
		{"unreachable", "http://127.0.0.1:1", []string{"get", "lulea.x"}, ExitUnreachable, []string{"no answer"}},
		{"waited for a failed job", answer(t, 200, ended), []string{"wait", "lulea.x"}, ExitNotSucceeded, []string{"explain lulea.x"}},
		{"answer of something else", answer(t, 404, map[string]string{"hello": "world"}), []string{"get", "lulea.x"}, ExitInternal, []string{"--server"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.name == "conflict" {
				// The table is read before the edit is sent.
				c.server = conflictServer(t, conflict)
			}
			var out, errOut bytes.Buffer
			args := append([]string{"--server", c.server}, c.args...)
			if code := Run(args, strings.NewReader(""), &out, &errOut); code != c.code {
				t.Errorf("exit code is %d, want %d: %s", code, c.code, errOut.String())
			}
			for _, text := range c.prints {
				if !strings.Contains(out.String()+errOut.String(), text) {
					t.Errorf("%q is missing from: %s%s", text, out.String(), errOut.String())
				}
			}
		})
	}
}

func conflictServer(t *testing.T, conflict refusal.Body) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.Method == http.MethodGet {
			_ = json.NewEncoder(w).Encode(api.Table{Version: 9})
			return
		}
		refusal.Write(w, conflict)
	}))
	t.Cleanup(server.Close)
	return server.URL
}

func exampleTable() api.Table {
	return api.Table{Version: 12, Teams: map[domain.TeamID]domain.TeamRow{
		"county":     {Share: 1.5, Limit: domain.Resources{CPUMilli: 40_000, MemoryMB: 160_000, Accelerators: 2}, LimitRequests: 64},
		"hydropower": {Share: 3, Limit: domain.Resources{CPUMilli: 1, MemoryMB: 2}},
	}}
}

// Guards against an export that an import reads differently.
func TestCSVRoundTrip(t *testing.T) {
	table := exampleTable()
	var b bytes.Buffer
	if err := writeCSV(&b, table); err != nil {
		t.Fatal(err)
	}
	version, teams, err := readCSV(&b)
	if err != nil || version != table.Version || len(teams) != len(table.Teams) {
		t.Fatalf("read version %d with %d teams: %v", version, len(teams), err)
	}
	for id, want := range table.Teams {
		if teams[id] != want {
			t.Errorf("team %s is %+v, want %+v", id, teams[id], want)
		}
	}
}

// Guards against a wrong spreadsheet that is taken for another table, and
// against a report that names neither line nor column.
func TestCSVFaults(t *testing.T) {
	var b bytes.Buffer
	if err := writeCSV(&b, exampleTable()); err != nil {
		t.Fatal(err)
	}
	good := b.String()
	cases := []struct{ name, from, to, reports string }{
		{"no version", versionPrefix + "12", "team table", "line 1"},
		{"columns in another order", "team,share", "share,team", "line 2"},
		{"share is no number", "county,1.5", "county,much", "column share"},
		{"limit with a fraction", "40000", "40000.5", "limit_cpu_milli"},
		{"team twice", "hydropower", "county", "line 4: team county stands twice"},
		{"missing column", "county,1.5,", "county,", "line 2"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			_, _, err := readCSV(strings.NewReader(strings.Replace(good, c.from, c.to, 1)))
			if err == nil || !strings.Contains(err.Error(), c.reports) {
				t.Fatalf("error is %v, want one with %q", err, c.reports)
			}
		})
	}
}

func FuzzReadCSV(f *testing.F) {
	var b bytes.Buffer
	_ = writeCSV(&b, exampleTable())
	f.Add(b.String())
	f.Fuzz(func(t *testing.T, text string) {
		version, teams, err := readCSV(strings.NewReader(text))
		if err != nil {
			return
		}
		var again bytes.Buffer
		if err := writeCSV(&again, api.Table{Version: version, Teams: teams}); err != nil {
			t.Fatal(err)
		}
		v, back, err := readCSV(&again)
		if err != nil || v != version || len(back) != len(teams) {
			t.Fatalf("an accepted table does not survive an export: %v", err)
		}
	})
}
