package taskplane

import (
	"context"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/allotment"
	"auburnpier/internal/core/sched"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
)

const (
	// allotmentInterval is how often allotments are read and usage is reported.
	allotmentInterval = 250 * time.Millisecond
	// stampRetryDelay is the delay between attempts to record the epoch.
	stampRetryDelay = time.Second
)

// Allotments divides the teams' limits among the partitions.
type Allotments interface {
	allotment.TeamResources
	// TakeOver records the epoch of a partition's new owner, which may use the
	// partition's allotments from then on.
	TakeOver(ctx context.Context, partition domain.PartitionID, epoch domain.Epoch, uses map[domain.TeamID]allotment.TaskUse) error
	// Outside returns the resources that each team holds in all other partitions.
	Outside(partition domain.PartitionID) map[domain.TeamID]domain.Resources
	// Drop removes the partition from this instance. Its allotments remain.
	Drop(partition domain.PartitionID)
}

// runAllotments records the partition's epoch, then passes allotments to the state
// machine and reports its usage until ctx ends. No task starts before the epoch
// is recorded.
func (p *Partition) runAllotments(ctx context.Context) {
	a := p.o.Allotments
	defer a.Drop(p.id)
	for {
		var uses map[domain.TeamID]allotment.TaskUse
		if p.do(ctx, func() { uses = p.taskUses() }) != nil {
			return
		}
		err := a.TakeOver(ctx, p.id, p.epoch, uses)
		if err == nil {
			break
		}
		p.log.Warn("cannot take over allotments; no task starts until this succeeds", zap.Error(err))
		ctxtime.Sleep(ctx, stampRetryDelay)
	}
	ticker := time.NewTicker(allotmentInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		p.exchangeAllotments(ctx)
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// exchangeAllotments passes the allotments to the state machine and reports what
// it has reserved after applying them.
func (p *Partition) exchangeAllotments(ctx context.Context) {
	a := p.o.Allotments
	generation, allowances := a.Allowances(p.id)
	outside := a.Outside(p.id)
	var uses map[domain.TeamID]allotment.TaskUse
	err := p.do(ctx, func() {
		p.machine.Step(sched.AllotmentsChanged{Allotments: p.allotmentList(allowances, outside)})
		uses = p.taskUses()
	})
	if err == nil {
		a.Report(p.id, generation, uses)
	}
}

// allotmentList returns the allotment of every configured team. A frozen team
// keeps what is running and starts nothing.
func (p *Partition) allotmentList(allowances map[domain.TeamID]allotment.TaskAllowance, outside map[domain.TeamID]domain.Resources) []sched.Allotment {
	stats := p.machine.Stats()
	list := make([]sched.Allotment, 0, len(stats.Teams))
	for _, team := range stats.Teams {
		allowance := allowances[team.Team]
		amount := allowance.Amount
		if allowance.Frozen {
			amount = amount.Min(team.Running)
		}
		list = append(list, sched.Allotment{Team: team.Team, Amount: amount, RunningElsewhere: outside[team.Team]})
	}
	return list
}

// taskUses returns the usage and demand of each team in this partition.
func (p *Partition) taskUses() map[domain.TeamID]allotment.TaskUse {
	uses := make(map[domain.TeamID]allotment.TaskUse)
	for _, team := range p.machine.Stats().Teams {
		demand := p.allotmentRequests[team.Team].Max(team.Running)
		uses[team.Team] = allotment.TaskUse{InUse: team.Running, Demand: demand}
	}
	return uses
}
