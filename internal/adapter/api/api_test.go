package api

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"auburnpier/internal/app/confsync"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/core/teamkey"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/refusal"
)

const (
	teamKey     = "ap_team_0123456789abcdef"
	operatorKey = "ap_operator_0123456789abcdef"
)

// fakeJobs accepts every job and remembers how many.
type fakeJobs struct {
	accepted []domain.JobSpec
	teams    []domain.TeamID
}

func (f *fakeJobs) Submit(_ context.Context, team domain.TeamID, spec domain.JobSpec) (domain.JobStatus, error) {
	f.accepted = append(f.accepted, spec)
	f.teams = append(f.teams, team)
	return domain.JobStatus{ID: "lulea.x", Team: team, Spec: spec, State: domain.JobQueued}, nil
}

func (f *fakeJobs) Status(context.Context, domain.TeamID, bool, domain.JobID) (domain.JobStatus, error) {
	return domain.JobStatus{}, refusal.New(http.StatusNotFound, refusal.NotFound, "no such job", "check the name")
}

func (f *fakeJobs) Explain(ctx context.Context, t domain.TeamID, o bool, id domain.JobID) (domain.JobStatus, error) {
	return f.Status(ctx, t, o, id)
}

func (f *fakeJobs) Wait(ctx context.Context, t domain.TeamID, o bool, id domain.JobID) (domain.JobStatus, error) {
	return f.Status(ctx, t, o, id)
}

func (f *fakeJobs) Cancel(ctx context.Context, t domain.TeamID, o bool, id domain.JobID) (domain.JobStatus, error) {
	return f.Status(ctx, t, o, id)
}

// fakeConfig knows two keys and refuses every edit.
type fakeConfig struct{ ready bool }

func (f *fakeConfig) Resolve(key teamkey.Key) (confsync.Identity, error) {
	switch key.ID() {
	case "team":
		return confsync.Identity{Team: "county", KeyID: "team"}, nil
	case "operator":
		return confsync.Identity{Team: "operators", KeyID: "operator", Operator: true}, nil
	}
	return confsync.Identity{}, refusal.New(http.StatusUnauthorized, refusal.KeyUnknown, "the key is not known", "ask for one")
}

func (f *fakeConfig) Current() *confsync.Snapshot { return nil }
func (f *fakeConfig) Ready() bool                 { return f.ready }

func (f *fakeConfig) Apply(context.Context, confdoc.Edit) (confdoc.EditResult, error) {
	return confdoc.EditResult{}, &confdoc.ConflictError{Path: "teams/county", Based: 1, Current: 2, Team: &domain.TeamRow{Revision: 2, Share: 4}}
}

type fakeCell struct{ draining bool }

func (f *fakeCell) Status(context.Context) []InstanceStatus { return nil }
func (f *fakeCell) Drain()                                  { f.draining = true }
func (f *fakeCell) Draining() bool                          { return f.draining }

type fixture struct {
	jobs   *fakeJobs
	config *fakeConfig
	cell   *fakeCell
	m      *metrics.Registry
	h      http.Handler
}

func newFixture() *fixture {
	f := &fixture{jobs: &fakeJobs{}, config: &fakeConfig{ready: true}, cell: &fakeCell{}, m: metrics.New()}
	f.h = NewServer(Options{Jobs: f.jobs, Config: f.config, Cell: f.cell, Metrics: f.m, ReadTimeout: time.Second})
	return f
}

func (f *fixture) do(method, path, key, contentType, body string) *httptest.ResponseRecorder {
	r := httptest.NewRequest(method, path, strings.NewReader(body))
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if contentType != "" {
		r.Header.Set("Content-Type", contentType)
	}
	w := httptest.NewRecorder()
	f.h.ServeHTTP(w, r)
	return w
}

const goodJob = `{"name":"tally","kind":"batch","resources":{"cpu_milli":500,"memory_mb":256}}`

// Guards against work that is accepted although it cannot be understood, and
// against refusals without reason, remedy, counter or a true not_run.
func TestWrongInput(t *testing.T) {
	const jsonType = "application/json"
	cases := []struct {
		name, method, path, key, contentType, body string
		status                                     int
		reason                                     refusal.Reason
		names                                      string
	}{
		{"no key", "POST", "/v1/jobs", "", jsonType, goodJob, 401, refusal.KeyMissing, "Authorization"},
		{"malformed key", "POST", "/v1/jobs", "zzz", jsonType, goodJob, 401, refusal.KeyUnknown, "ap_"},
		{"unknown key", "POST", "/v1/jobs", "ap_other_0123456789abcdef", jsonType, goodJob, 401, refusal.KeyUnknown, "not known"},
		{"wrong content type", "POST", "/v1/jobs", teamKey, "text/plain", goodJob, 415, refusal.UnsupportedMediaType, "text/plain"},
		{"not JSON", "POST", "/v1/jobs", teamKey, jsonType, `{bad`, 400, refusal.InvalidRequest, "JSON"},
		{"unknown field", "POST", "/v1/jobs", teamKey, jsonType, `{"nam":1}`, 400, refusal.InvalidRequest, "nam"},
		{"wrong type", "POST", "/v1/jobs", teamKey, jsonType, `{"tasks":"many"}`, 400, refusal.InvalidRequest, "tasks"},
		{"text after the value", "POST", "/v1/jobs", teamKey, jsonType, goodJob + `{}`, 400, refusal.InvalidRequest, "after"},
		{"negative size", "POST", "/v1/jobs", teamKey, jsonType, strings.Replace(goodJob, "500", "-500", 1), 400, refusal.InvalidRequest, "resources.cpu_milli"},
		{"absurd size", "POST", "/v1/jobs", teamKey, jsonType, strings.Replace(goodJob, "256", "9000000000000", 1), 400, refusal.InvalidRequest, "resources.memory_mb"},
		{"too many tasks", "POST", "/v1/jobs", teamKey, jsonType, strings.Replace(goodJob, `"kind"`, `"tasks":1000000,"kind"`, 1), 400, refusal.InvalidRequest, "tasks"},
		{"name too long", "POST", "/v1/jobs", teamKey, jsonType, strings.Replace(goodJob, "tally", strings.Repeat("n", 64), 1), 400, refusal.InvalidRequest, "name"},
		{"unknown kind", "POST", "/v1/jobs", teamKey, jsonType, strings.Replace(goodJob, "batch", "cron", 1), 400, refusal.InvalidRequest, "kind"},
		{"body too large", "POST", "/v1/jobs", teamKey, jsonType, `{"name":"` + strings.Repeat("n", maxJSONBytes) + `"}`, 413, refusal.BodyTooLarge, "bytes"},
		{"wrong timeout", "GET", "/v1/jobs/x/wait?timeout_ms=-1", teamKey, "", "", 400, refusal.InvalidRequest, "timeout_ms"},
		{"job of nobody", "GET", "/v1/jobs/x", teamKey, "", "", 404, refusal.NotFound, "job"},
		{"team's key for an operator's call", "GET", "/v1/status", teamKey, "", "", 403, refusal.KeyNotOperator, "operator"},
		{"conflict", "POST", "/v1/edits", operatorKey, jsonType, `{"id":"e1","delete_team":{"team":"county","based":1}}`, 409, refusal.RowConflict, "county"},
		{"unknown path", "GET", "/v2/jobs", teamKey, "", "", 404, refusal.NotFound, "/v2/jobs"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			f := newFixture()
			w := f.do(c.method, c.path, c.key, c.contentType, c.body)
			var got refusal.Refusal
			if err := json.Unmarshal(w.Body.Bytes(), &got); err != nil {
				t.Fatal(err)
			}
			if w.Code != c.status || got.Reason != c.reason || got.Remedy == "" || !got.NotRun {
				t.Errorf("status %d, refusal %+v, want %d and %s", w.Code, got, c.status, c.reason)
			}
			if !strings.Contains(got.Message+got.Remedy, c.names) {
				t.Errorf("%q is not named in: %s", c.names, w.Body.String())
			}
			if f.m.Counter("refusal."+string(c.reason)).Count() != 1 {
				t.Errorf("the refusal was counted %d times", f.m.Counter("refusal."+string(c.reason)).Count())
			}
			if len(f.jobs.accepted) != 0 {
				t.Error("something was accepted")
			}
			if c.key != "" && strings.Contains(w.Body.String(), "0123456789abcdef") {
				t.Error("the answer repeats the secret of the key")
			}
		})
	}
}

// Guards against a team that is taken from the body instead of the key.
func TestTeamComesFromTheKey(t *testing.T) {
	f := newFixture()
	w := f.do("POST", "/v1/jobs", teamKey, "application/json", goodJob)
	if w.Code != http.StatusCreated || len(f.jobs.teams) != 1 || f.jobs.teams[0] != "county" {
		t.Fatalf("status %d, teams %v", w.Code, f.jobs.teams)
	}
	if got := f.jobs.accepted[0]; got.Tasks != 1 || got.Priority != domain.PriorityNormal {
		t.Errorf("defaults are missing: %+v", got)
	}
}

// Guards against a balancer that goes on sending to an instance that leaves or
// has no confirmed configuration.
func TestReadiness(t *testing.T) {
	f := newFixture()
	check := func(want int) {
		t.Helper()
		if got := f.do("GET", "/readyz", "", "", "").Code; got != want {
			t.Errorf("status %d, want %d", got, want)
		}
	}
	check(http.StatusOK)
	f.config.ready = false
	check(http.StatusServiceUnavailable)
	f.config.ready = true
	if got := f.do("POST", "/v1/drain", operatorKey, "", "").Code; got != http.StatusAccepted {
		t.Fatalf("drain: status %d", got)
	}
	check(http.StatusServiceUnavailable)
	if got := f.do("GET", "/healthz", "", "", "").Code; got != http.StatusOK {
		t.Errorf("a draining instance is alive, status %d", got)
	}
}

// Guards against a target path that is redirected instead of forwarded as it is.
func TestQueuePathsAreKept(t *testing.T) {
	var got string
	requests := http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { got = r.URL.Path })
	h := NewServer(Options{Jobs: &fakeJobs{}, Config: &fakeConfig{}, Cell: &fakeCell{}, Metrics: metrics.New(), Requests: requests})
	const path = "/v1/queues/counting/request/a//b/../c"
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	r.URL.Path = path
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	if got != path || w.Code != http.StatusOK {
		t.Fatalf("status %d, the request plane got %q", w.Code, got)
	}
}

// Guards against a body that crashes the decoder or passes with wrong fields.
func FuzzSubmit(f *testing.F) {
	f.Add(goodJob)
	f.Add(`{"name":"a","kind":"gang","tasks":3,"zones":["x"],"command":["sleep","1s"]}`)
	f.Fuzz(func(t *testing.T, body string) {
		fx := newFixture()
		w := fx.do("POST", "/v1/jobs", teamKey, "application/json", body)
		accepted := w.Code == http.StatusCreated
		if accepted != (len(fx.jobs.accepted) == 1) {
			t.Fatalf("status %d with %d accepted jobs", w.Code, len(fx.jobs.accepted))
		}
		if accepted && len(fx.jobs.accepted[0].Validate()) > 0 {
			t.Fatal("a job with wrong fields was accepted")
		}
	})
}
