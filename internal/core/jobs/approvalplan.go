package jobs

import (
	"fmt"
	"math"
)

// The approval service often binds before the capacity of the fleet does. What follows decides which steps may use its time.

const (
	// maxUseForExpired is the share of the instances in use from which on steps whose result is of no use any more send no request. They
	// took a sixth of the service's time on the heaviest day of a customer.
	maxUseForExpired = 0.5
	// maxUseForPreemption is the share of the instances in use from which on gangs preempt nothing. A gang preempts up to 50 tasks, which
	// all have to be approved again.
	maxUseForPreemption = 0.8
	// expiredTurnMS is the least time between two requests of expired steps while they yield. The one that has waited longest sends it, so that
	// each accepted job ends however long the service stays busy.
	expiredTurnMS = 500
	// pressureIntervalMS is the time between two updates of the smoothed use of the approval service, small against its window of 3 s.
	pressureIntervalMS = 100
	// overduePlannedMS is the time after which a step may use an instance that is reserved for short requests. Where half of a service is free
	// a step has to start within 3 s, with its request and its start.
	overduePlannedMS = 1500
	// minUseForYielding is the share of a service's CPU in use below which its expired steps do not yield: a step starts soon where half of
	// the service is free.
	minUseForYielding = 0.5
)

// expiredTurn decides which expired step may use the busy approval service.
type expiredTurn struct {
	// step has waited longest when the pass begins, lastMS is when one was last sent a request.
	step   *step
	lastMS int64
}

// hasExpiredTurn reports whether an expired step may have a turn in this pass.
func (m *Machine) hasExpiredTurn() bool {
	return m.cfg.Features.ApprovalPlanning && (m.nowMS-m.expiredTurn.lastMS >= expiredTurnMS || m.expiredTurn.lastMS == 0)
}

// comesBefore reports whether the expired step waits for an instance, and has waited longer than the other one, which is nil if there is none.
func (m *Machine) comesBefore(o, other orderedStep) bool {
	s := o.step
	if s.tier != tierExpired || s.approvalPending || !m.approvalOverdue(s) {
		return false
	}
	if other.step == nil {
		return true
	}
	if a, b := s.turnSinceMS(), other.step.turnSinceMS(); a != b {
		return a < b
	}
	return compareOrdered(o, other) < 0
}

// giveExpiredTurn gives the turn to the step, unless it is nil. A step that does not use it, for example at its team's limit, leaves the next one to
// another.
func (m *Machine) giveExpiredTurn(s *step) {
	m.expiredTurn.step = s
	if s != nil {
		s.expiredTurnMS = m.nowMS
	}
}

// turnSinceMS returns since when the step has waited for an instance without having had a turn.
func (s *step) turnSinceMS() int64 { return max(s.approverWaitSinceMS, s.expiredTurnMS) }

// yieldsApprovers reports whether the step leaves the approval service to others now.
func (m *Machine) yieldsApprovers(s *step) bool {
	return m.cfg.Features.ApprovalPlanning && s.tier == tierExpired && s != m.expiredTurn.step &&
		m.approvers.LongInUse(m.nowMS) >= maxUseForExpired && m.passOf(s).use >= minUseForYielding
}

// mayPreempt reports whether a gang may preempt runs, which then need approvals again. That of a team above its share may not.
func (m *Machine) mayPreempt(s *step) bool {
	if s.class != notBehind {
		return false
	}
	return !m.cfg.Features.ApprovalPlanning || s.job.queue.Approval == nil || m.approvers.LongInUse(m.nowMS) < maxUseForPreemption
}

// updateApproverPressure follows how much of the approval service is in use, and logs when it begins or ceases to limit what starts.
func (m *Machine) updateApproverPressure() {
	if !m.cfg.Features.ApprovalPlanning && m.fair == nil || m.nowMS-m.pressureMS < pressureIntervalMS && m.pressureMS > 0 {
		return
	}
	m.pressureMS = m.nowMS
	scarce := m.approverPressure.Scarce()
	m.approverPressure.Update(m.approvers.LongInUse(m.nowMS), m.nowMS)
	if m.approverPressure.Scarce() != scarce {
		m.out.recordWorker("approvals_scarce", "", fmt.Sprintf("%v; instances are used to %.0f %%", !scarce, m.approverPressure.Use()*100))
	}
}

// ApprovalsView shows operators whether the approval service limits what starts.
type ApprovalsView struct {
	// UsePercent is the smoothed use of the instances that may carry long requests.
	UsePercent int `json:"use_percent"`
	// Scarce is set while steps wait for the service rather than for room.
	Scarce bool `json:"scarce"`
}

// approvalsView returns nil unless requests are planned.
func (m *Machine) approvalsView() *ApprovalsView {
	if !m.cfg.Features.ApprovalPlanning {
		return nil
	}
	return &ApprovalsView{UsePercent: int(math.Round(m.approverPressure.Use() * 100)), Scarce: m.approverPressure.Scarce()}
}

// canProceed reports whether a pass could do anything for a waiting step: place a task, hold room on an approved worker, or send a
// request. Those that cannot are many while the approval service is busy, and do not count against the bounds of the pass.
func (m *Machine) canProceed(s *step) bool {
	if !m.cfg.Features.ApprovalPlanning || s.job.queue.Approval == nil || len(s.tickets) > 0 || s.hold != nil {
		return true
	}
	if s.approvalPending {
		s.waitReason = waitApproval
		return false
	}
	if m.yieldsApprovers(s) || !m.approvers.CanSend(s.job.queue.Approval.BaseMS, m.approvalOverdue(s), m.nowMS) {
		m.waitForApprover(s)
		return false
	}
	return true
}
