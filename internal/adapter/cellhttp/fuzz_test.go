package cellhttp

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"

	"auburnpier/internal/app/workerrelay"
	"auburnpier/internal/core/jobs"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/standin/leasestore"
)

// failingWorkers fails every worker call.
type failingWorkers struct{}

var errNoWorker = errors.New("no worker in this test")

func (failingWorkers) Start(context.Context, int64, jobs.StartOrder) (jobs.StartOutcome, error) {
	return jobs.StartUnanswered, errNoWorker
}
func (failingWorkers) Stop(context.Context, int64, jobs.StopOrder) error         { return errNoWorker }
func (failingWorkers) Throttle(context.Context, int64, jobs.ThrottleOrder) error { return errNoWorker }
func (failingWorkers) Poll(context.Context, domain.WorkerID, string, port.PollRequest) (jobs.WorkerReport, error) {
	return jobs.WorkerReport{}, errNoWorker
}

type failingRegistry struct{}

func (failingRegistry) Changes(context.Context, int64, time.Duration) (port.RegistryChanges, error) {
	return port.RegistryChanges{}, errNoWorker
}

type failingApprover struct{}

func (failingApprover) Approve(context.Context, jobs.StepID, []domain.WorkerID) (port.ApprovalReply, error) {
	return port.ApprovalReply{}, errNoWorker
}

// Guards against a request body from another instance that crashes the process or
// leaves the request without a response.
func FuzzCalls(f *testing.F) {
	paths := []string{pathSubmit, pathCancel, pathState, pathWaiting, pathExplain, pathOverview, pathAnnounce, pathApprove, pathStore,
		pathPolls, pathOrders, pathRegistry}
	order := port.OrderBatch{Fence: 1, TimeoutMS: 5, Orders: []port.RelayedOrder{{}, {Start: &jobs.StartOrder{Worker: "w"}}}}
	for i, body := range []any{port.SubmitRequest{Job: "j"}, order, pollsOf(1)} {
		raw, err := cbor.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), raw)
		f.Add(uint8(10-i), raw)
	}
	handler := NewHandler(LocalServices{Owner: func() port.OwnerService { return nil }, Approver: failingApprover{}, Registry: failingRegistry{},
		Store: leasestore.New(), Workers: workerrelay.New(failingWorkers{}, zap.NewNop(), metrics.New())})
	f.Fuzz(func(t *testing.T, path uint8, body []byte) {
		defer func() {
			if cause := recover(); cause != nil && cause != http.ErrAbortHandler {
				t.Errorf("%s panicked: %v", paths[int(path)%len(paths)], cause)
			}
		}()
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		w := httptest.NewRecorder()
		r := httptest.NewRequestWithContext(ctx, http.MethodPost, paths[int(path)%len(paths)], bytes.NewReader(body))
		start := time.Now()
		handler.ServeHTTP(w, r)
		if elapsed := time.Since(start); elapsed > time.Second {
			t.Errorf("%s took %v although its caller's context ended after 50 ms", r.URL.Path, elapsed)
		}
		if w.Code == 0 {
			t.Error("no status was written")
		}
	})
}
