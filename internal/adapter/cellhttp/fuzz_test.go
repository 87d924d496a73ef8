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

// noWorkers answers no call.
type noWorkers struct{}

var errNoWorkers = errors.New("no worker in this test")

func (noWorkers) Start(context.Context, int64, jobs.StartOrder) (jobs.StartOutcome, error) {
	return jobs.StartUnanswered, errNoWorkers
}
func (noWorkers) Stop(context.Context, int64, jobs.StopOrder) error     { return errNoWorkers }
func (noWorkers) Throttle(context.Context, int64, jobs.PaceOrder) error { return errNoWorkers }
func (noWorkers) Poll(context.Context, domain.WorkerID, string, port.PollRequest) (jobs.WorkerReport, error) {
	return jobs.WorkerReport{}, errNoWorkers
}

type noChanges struct{}

func (noChanges) Changes(context.Context, int64, time.Duration) (port.RegistryChanges, error) {
	return port.RegistryChanges{}, errNoWorkers
}

type noApprover struct{}

func (noApprover) Approve(context.Context, jobs.StepID, []domain.WorkerID) (port.ApprovalReply, error) {
	return port.ApprovalReply{}, errNoWorkers
}

// Guards against a body from another instance that ends the process, or that
// is answered by nothing.
func FuzzCalls(f *testing.F) {
	paths := []string{pathSubmit, pathCancel, pathState, pathWaiting, pathExplain, pathOverview, pathHello, pathApprove, pathStore,
		pathLooks, pathOrders, pathRegistry}
	order := port.OrderBatch{Fence: 1, TimeoutMS: 5, Orders: []port.RelayedOrder{{}, {Start: &jobs.StartOrder{Worker: "w"}}}}
	for i, body := range []any{port.SubmitRequest{Job: "j"}, order, looksAt(1)} {
		raw, err := cbor.Marshal(body)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(uint8(i), raw)
		f.Add(uint8(10-i), raw)
	}
	handler := NewHandler(Local{Owner: func() port.OwnerService { return nil }, Approver: noApprover{}, Registry: noChanges{},
		Store: leasestore.New(), Workers: workerrelay.New(noWorkers{}, zap.NewNop(), metrics.New())})
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
		begun := time.Now()
		handler.ServeHTTP(w, r)
		if took := time.Since(begun); took > time.Second {
			t.Errorf("%s took %v although its caller left after 50 ms", r.URL.Path, took)
		}
		if w.Code == 0 {
			t.Error("no status was written")
		}
	})
}
