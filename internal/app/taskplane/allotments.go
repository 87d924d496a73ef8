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
	// allotmentInterval is how often amounts and uses are exchanged.
	allotmentInterval = 250 * time.Millisecond
	// stampRetryDelay is the wait between tries to stamp the epoch.
	stampRetryDelay = time.Second
)

// Allotments is the division of the teams' limits over the partitions.
type Allotments interface {
	allotment.TeamResources
	// TakeOver stamps the epoch of a partition's new owner. Amounts may be used after it.
	TakeOver(ctx context.Context, partition domain.PartitionID, epoch domain.Epoch, uses map[domain.TeamID]allotment.TaskUse) error
	// Outside returns what the teams hold in all other partitions.
	Outside(partition domain.PartitionID) map[domain.TeamID]domain.Resources
	// Drop forgets the partition, whose amounts stay with it.
	Drop(partition domain.PartitionID)
}

// runAllotments stamps the partition's epoch and then passes amounts to the
// machine and its uses back, until ctx ends. Nothing starts before the stamp.
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
		p.log.Warn("allotments cannot be taken over, nothing is started before", zap.Error(err))
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

// exchangeAllotments hands the amounts to the machine and reports what it has
// reserved after it has seen them.
func (p *Partition) exchangeAllotments(ctx context.Context) {
	a := p.o.Allotments
	generation, allowances := a.Allowances(p.id)
	outside := a.Outside(p.id)
	var uses map[domain.TeamID]allotment.TaskUse
	err := p.do(ctx, func() {
		p.machine.Step(sched.AllotmentsChanged{Allotments: p.amounts(allowances, outside)})
		uses = p.taskUses()
	})
	if err == nil {
		a.Report(p.id, generation, uses)
	}
}

// amounts lists the amount of every configured team. A frozen team keeps what
// it runs and starts nothing.
func (p *Partition) amounts(allowances map[domain.TeamID]allotment.TaskAllowance, outside map[domain.TeamID]domain.Resources) []sched.Allotment {
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

// taskUses returns what the teams have reserved here and could use.
func (p *Partition) taskUses() map[domain.TeamID]allotment.TaskUse {
	uses := make(map[domain.TeamID]allotment.TaskUse)
	for _, team := range p.machine.Stats().Teams {
		demand := p.wishes[team.Team].Max(team.Running)
		uses[team.Team] = allotment.TaskUse{InUse: team.Running, Demand: demand}
	}
	return uses
}
