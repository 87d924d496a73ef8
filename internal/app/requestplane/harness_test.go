package requestplane

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/refusal"
	"auburnpier/internal/standin/backend"
)

const testQueue = "renders"

// headerAdmission takes the team from the header X-Team instead of a key.
type headerAdmission struct {
	mu     sync.Mutex
	row    domain.QueueRow
	shares map[domain.TeamID]float64
}

func (a *headerAdmission) Admit(r *http.Request, _ domain.QueueID) (Caller, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	team := domain.TeamID(r.Header.Get("X-Team"))
	share := a.shares[team]
	if share == 0 {
		share = 1
	}
	return Caller{Team: team, Share: share, Row: a.row}, nil
}

// cell is a plane with its backend servers.
type cell struct {
	t         *testing.T
	plane     *Plane
	frontend  *httptest.Server
	servers   []*backend.Server
	vms       []domain.VM
	slots     *StaticSlots
	teams     *StaticTeamLimits
	admission *headerAdmission
	metrics   *metrics.Registry
	client    *http.Client
}

type cellOptions struct {
	servers     int
	slots       int
	serviceTime time.Duration
	holdTimeout time.Duration
	row         domain.QueueRow
	peers       Peers
	bytes       int64
	// far puts all servers but the first in another region, so that the first is preferred.
	far bool
}

func newCell(t *testing.T, o cellOptions) *cell {
	t.Helper()
	c := &cell{t: t, slots: &StaticSlots{}, teams: &StaticTeamLimits{}, metrics: metrics.New()}
	c.admission = &headerAdmission{row: o.row, shares: make(map[domain.TeamID]float64)}
	if o.slots == 0 {
		o.slots = 8
	}
	c.plane = New(Options{Admission: c.admission, Slots: c.slots, Teams: c.teams, Peers: o.peers,
		Metrics: c.metrics, SlotHoldTimeout: o.holdTimeout, MaxWaitingBytes: o.bytes})
	for i := range o.servers {
		c.addServer(i, o)
	}
	c.plane.UpdateVMs(c.vms)
	ctx, cancel := context.WithCancel(context.Background())
	go c.plane.Run(ctx)
	c.frontend = httptest.NewServer(c.plane)
	c.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 100, DisableCompression: true}}
	t.Cleanup(func() {
		c.client.CloseIdleConnections()
		c.frontend.CloseClientConnections()
		c.frontend.Close()
		cancel()
	})
	return c
}

func (c *cell) addServer(i int, o cellOptions) {
	s, err := backend.Start(o.serviceTime)
	if err != nil {
		c.t.Fatal(err)
	}
	c.t.Cleanup(s.Close)
	c.servers = append(c.servers, s)
	c.vms = append(c.vms, domain.VM{ID: fmt.Sprintf("b%d", i), Role: domain.RoleBackend, Address: s.Address(),
		Slots: o.slots, MaxConnections: 60, Queues: []domain.QueueID{testQueue}})
	if o.far && i > 0 {
		c.vms[i].Location.Region = "far"
	}
}

// url returns the URL for requests to the test queue.
func (c *cell) url() string { return c.frontend.URL + "/v1/queues/" + testQueue + "/request" }

// ran returns how often a request ran, summed over all servers.
func (c *cell) ran(id string) int {
	n := 0
	for _, s := range c.servers {
		n += s.Ran()[id]
	}
	return n
}

// waitFor fails the test if the condition does not become true within 5 s.
func (c *cell) waitFor(what string, cond func() bool) {
	c.t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for !cond() {
		if time.Now().After(deadline) {
			c.t.Fatalf("timed out waiting until %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// testRequest is a request to send.
type testRequest struct {
	method  string // default POST
	id      string
	team    string
	body    string
	query   string
	header  map[string]string
	timeout time.Duration // after which the caller disconnects; zero means never
}

// testResponse is what the caller received.
type testResponse struct {
	status int
	header http.Header
	body   []byte
	err    error // broken connection, truncated response or caller's timeout
	reason refusal.Reason
	notRun bool
}

// do sends a request and reads the response.
func (c *cell) do(a testRequest) testResponse {
	ctx := context.Background()
	if a.timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, a.timeout)
		defer cancel()
	}
	if a.method == "" {
		a.method = http.MethodPost
	}
	// Hides the type of the reader, so that the test's own client cannot repeat the request.
	var body io.Reader = struct{ io.Reader }{strings.NewReader(a.body)}
	req, err := http.NewRequestWithContext(ctx, a.method, c.url()+a.query, body)
	if err != nil {
		c.t.Error(err)
		return testResponse{err: err}
	}
	req.ContentLength = int64(len(a.body))
	if a.body == "" {
		req.Body = nil
	}
	req.Header.Set(HeaderRequestID, a.id)
	req.Header.Set("X-Team", a.team)
	for name, value := range a.header {
		req.Header.Set(name, value)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return testResponse{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	got := testResponse{status: resp.StatusCode, header: resp.Header}
	got.body, got.err = io.ReadAll(resp.Body)
	if resp.StatusCode >= http.StatusBadRequest {
		var ref refusal.Refusal
		_ = json.Unmarshal(got.body, &ref)
		got.reason, got.notRun = ref.Reason, ref.NotRun
	}
	return got
}
