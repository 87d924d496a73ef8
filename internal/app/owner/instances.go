package owner

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/core/jobs"
	"auburnpier/internal/port"
)

// Parameters of instance announcements, and of approval requests through other instances.
const (
	// announceMS is the time between announcements of an instance. With many instances it grows, up
	// to maxAnnounceMS, so that announcementsPerSecond reach the owner.
	announceMS             = 1000
	maxAnnounceMS          = 4000
	announcementsPerSecond = 100
	// missedAnnouncements is how many announcements an instance may miss before it is no longer
	// used.
	missedAnnouncements = 3.5
	// versionBits is the number of low bits of the list version that count changes within a term.
	versionBits = 32
	// approvalMargin is added to the expected duration of a request.
	approvalMargin = 1500 * time.Millisecond
)

// liveInstance is an instance through which the approval service can be called. The service handles
// the calls of one instance one after the other.
type liveInstance struct {
	host            port.InstanceInfo
	approver        port.Approver
	lastAnnouncedMS int64
	failures        int
}

// compareSizes orders instances by the size of their VMs, largest first.
func compareSizes(a, b port.InstanceInfo) int {
	return cmp.Or(cmp.Compare(b.CPUMilli, a.CPUMilli), cmp.Compare(a.Address, b.Address))
}

type liveInstances struct {
	list []*liveInstance
	// changes counts the changes of the list.
	changes int64
}

// announceIntervalMS returns the time between announcements of an instance.
func (l *liveInstances) announceIntervalMS() int64 {
	return min(maxAnnounceMS, max(announceMS, int64(len(l.list))*1000/announcementsPerSecond))
}

// announce adds an instance, or records that it is alive.
func (l *liveInstances) announce(h port.InstanceInfo, d PeerClients, now int64) {
	for _, inst := range l.list {
		if inst.host == h {
			inst.lastAnnouncedMS = now
			return
		}
	}
	l.changes++
	l.list = append(l.list, &liveInstance{host: h, approver: d.Approver(h), lastAnnouncedMS: now})
	slices.SortFunc(l.list, func(a, b *liveInstance) int { return strings.Compare(a.host.Address, b.host.Address) })
}

// hosts lists the instances that have announced themselves recently.
func (l *liveInstances) hosts(now int64) []port.InstanceInfo {
	l.expire(now)
	list := make([]port.InstanceInfo, 0, len(l.list))
	for _, inst := range l.list {
		list = append(list, inst.host)
	}
	return list
}

func (l *liveInstances) expire(now int64) {
	before, expiryMS := len(l.list), int64(missedAnnouncements*float64(l.announceIntervalMS()))
	l.list = slices.DeleteFunc(l.list, func(inst *liveInstance) bool { return now-inst.lastAnnouncedMS > expiryMS })
	l.changes += int64(before - len(l.list))
}

// updateApprovers tells the machine through which instances the approval service can be called.
func (c *Cell) updateApprovers(now int64) {
	c.instances.expire(now)
	if c.instances.changes == c.approversVersion {
		return
	}
	c.approversVersion = c.instances.changes
	addresses := make([]string, 0, len(c.instances.list))
	for _, inst := range c.instances.list {
		addresses = append(addresses, inst.host.Address)
	}
	c.machine.SetApprovers(addresses)
}

// byAddress returns the instance with the address, nil if it is no longer known.
func (l *liveInstances) byAddress(address string) *liveInstance {
	for _, inst := range l.list {
		if inst.host.Address == address {
			return inst
		}
	}
	return nil
}

// requestApproval sends a request through the instance that the machine chose.
func (c *Cell) requestApproval(r jobs.ApprovalRequest) {
	inst := c.instances.byAddress(r.Grant.Instance)
	if inst == nil {
		c.metrics.Counter("approval.no_instance").Inc(1)
		c.machine.ApprovalFailed(r)
		return
	}
	queue := "approval." + string(r.Queue)
	c.metrics.Counter(queue + ".requests").Inc(1)
	c.metrics.Counter(queue + ".workers").Inc(int64(len(r.Workers)))
	c.metrics.Counter(queue + ".service_ms").Inc(int64(r.Grant.ExpectedMS))
	c.metrics.Timer(queue + ".waited").Update(time.Duration(r.WaitedMS) * time.Millisecond)
	timeout := time.Duration(r.Grant.DueMS-r.Grant.SentMS)*time.Millisecond + approvalMargin
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		start := time.Now()
		answer, err := inst.approver.Approve(ctx, r.Step, r.Workers)
		c.metrics.Timer("approval").UpdateSince(start)
		c.post(func() { c.handleApproval(r, inst, answer, err) })
	}()
}

func (c *Cell) handleApproval(r jobs.ApprovalRequest, inst *liveInstance, a port.ApprovalReply, err error) {
	if err != nil {
		c.metrics.Counter("approval.failed").Inc(1)
		c.log.Info("approval request failed", zap.String("job", string(r.Step.Job)), zap.Int("step", r.Step.Step),
			zap.String("instance", string(inst.host.Instance)), zap.Error(err))
		inst.failures++
		if inst.failures >= 2 {
			inst.lastAnnouncedMS = 0
		}
		c.machine.ApprovalFailed(r)
		return
	}
	inst.failures = 0
	c.metrics.Counter("approval." + string(r.Queue) + ".approved").Inc(int64(len(a.Approved)))
	c.machine.ApprovalAnswered(r, a.Approved, a.ValidMS)
}
