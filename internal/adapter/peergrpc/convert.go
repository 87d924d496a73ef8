package peergrpc

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"auburnpier/internal/adapter/peergrpc/peerpb"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

var operations = map[port.PeerOperation]peerpb.Operation{
	port.PeerSubmit:  peerpb.Operation_OPERATION_SUBMIT,
	port.PeerStatus:  peerpb.Operation_OPERATION_STATUS,
	port.PeerCancel:  peerpb.Operation_OPERATION_CANCEL,
	port.PeerExplain: peerpb.Operation_OPERATION_EXPLAIN,
}

var allotmentKinds = map[port.AllotmentKind]peerpb.AllotmentKind{
	port.AllotTeamRequests: peerpb.AllotmentKind_ALLOTMENT_KIND_TEAM_REQUESTS,
	port.AllotBackendSlots: peerpb.AllotmentKind_ALLOTMENT_KIND_BACKEND_SLOTS,
	port.AllotTeamTasks:    peerpb.AllotmentKind_ALLOTMENT_KIND_TEAM_TASKS,
}

// inverse returns the key of the value, or the zero key.
func inverse[K, V comparable](m map[K]V, value V) (K, bool) {
	for k, v := range m {
		if v == value {
			return k, true
		}
	}
	var zero K
	return zero, false
}

func refusalToWire(r *refusal.Refusal) *peerpb.Refusal {
	return &peerpb.Refusal{
		Reason:       string(r.Reason),
		Message:      r.Message,
		Remedy:       r.Remedy,
		NotRun:       r.NotRun,
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Status:       int32(r.Status),
	}
}

func refusalFromWire(w *peerpb.Refusal) *refusal.Refusal {
	return &refusal.Refusal{
		Reason:     refusal.Reason(w.GetReason()),
		Message:    w.GetMessage(),
		Remedy:     w.GetRemedy(),
		NotRun:     w.GetNotRun(),
		RetryAfter: time.Duration(w.GetRetryAfterMs()) * time.Millisecond,
		Status:     int(w.GetStatus()),
	}
}

// outOfTime reports whether a handler ran out of time, which is no answer: its
// deadline may pass just before the caller's.
func outOfTime(err error) bool {
	var refused *refusal.Refusal
	return !errors.As(err, &refused) &&
		(errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled))
}

// errorToStatus returns a status that carries the error as a refusal. The
// caller takes a call whose handler ran out of time as unanswered.
func errorToStatus(err error) error {
	if outOfTime(err) {
		return status.FromContextError(err).Err()
	}
	r := refusal.FromError(err)
	st, detailErr := status.New(codes.FailedPrecondition, r.Message).WithDetails(refusalToWire(r))
	if detailErr != nil {
		return status.Error(codes.Internal, r.Message)
	}
	return st.Err()
}

// refusalInStatus returns the refusal that a peer sent, or nil.
func refusalInStatus(err error) *refusal.Refusal {
	for _, detail := range status.Convert(err).Details() {
		if w, ok := detail.(*peerpb.Refusal); ok {
			return refusalFromWire(w)
		}
	}
	return nil
}

func forwardedCall(w *peerpb.ForwardRequest) (port.ForwardedCall, bool) {
	operation, ok := inverse(operations, w.GetOperation())
	return port.ForwardedCall{
		From:      domain.InstanceID(w.GetFrom()),
		Partition: domain.PartitionID(w.GetPartition()),
		Operation: operation,
		Team:      domain.TeamID(w.GetTeam()),
		Operator:  w.GetOperator(),
		Job:       domain.JobID(w.GetJob()),
		Payload:   w.GetPayload(),
	}, ok
}

func sharedLeases(w *peerpb.ShareLeasesRequest) port.SharedLeases {
	leases := port.SharedLeases{
		From:      domain.InstanceID(w.GetFrom()),
		Partition: domain.PartitionID(w.GetPartition()),
		Epoch:     domain.Epoch(w.GetEpoch()),
		Sequence:  w.GetSequence(),
		Chunk:     int(w.GetChunk()),
		Chunks:    int(w.GetChunks()),
	}
	for _, lease := range w.GetLeases() {
		leases.Leases = append(leases.Leases, port.SharedLease{
			Worker:  domain.WorkerID(lease.GetWorker()),
			Address: lease.GetAddress(),
			Lease:   domain.LeaseID(lease.GetLease()),
			Age:     time.Duration(lease.GetAgeMs()) * time.Millisecond,
		})
	}
	return leases
}

func sharedLeasesToWire(leases port.SharedLeases) *peerpb.ShareLeasesRequest {
	w := &peerpb.ShareLeasesRequest{
		From:      string(leases.From),
		Partition: string(leases.Partition),
		Epoch:     uint64(leases.Epoch),
		Sequence:  leases.Sequence,
		Chunk:     uint32(leases.Chunk),
		Chunks:    uint32(leases.Chunks),
	}
	for _, lease := range leases.Leases {
		w.Leases = append(w.Leases, &peerpb.WorkerLease{
			Worker:  string(lease.Worker),
			Address: lease.Address,
			Lease:   string(lease.Lease),
			AgeMs:   lease.Age.Milliseconds(),
		})
	}
	return w
}
