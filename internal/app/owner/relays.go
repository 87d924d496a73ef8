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
	"auburnpier/internal/steady"
)

// Figures of greetings, and of approval requests through other instances.
const (
	// helloMS is the time between greetings of an instance; where there are many,
	// it is such that helloPerSecond come to the owner, up to maxHelloMS.
	helloMS        = 1000
	maxHelloMS     = 4000
	helloPerSecond = 100
	// missedHellos is how many greetings an instance may miss before it is not asked any more.
	missedHellos = 3.5
	// versionBits of a version count the changes of the list within a reign.
	versionBits = 32
	// approvalSlack is added to the expected duration of a request.
	approvalSlack = 1500 * time.Millisecond
)

// relay is an instance through which the approval service is asked. The
// service serves the calls of one instance in turn.
type relay struct {
	hello    port.InstanceInfo
	approver port.Approver
	lastMS   int64
	fails    int
}

// compareSizes orders instances by the size of their VMs, larger ones first.
func compareSizes(a, b port.InstanceInfo) int {
	return cmp.Or(cmp.Compare(b.CPUMilli, a.CPUMilli), cmp.Compare(a.Address, b.Address))
}

type relays struct {
	list []*relay
	// changes counts the changes of the list.
	changes int64
}

// againMS is the time between greetings of an instance.
func (r *relays) againMS() int64 {
	return min(maxHelloMS, max(helloMS, int64(len(r.list))*1000/helloPerSecond))
}

// hello adds an instance or notes that it is there.
func (r *relays) hello(h port.InstanceInfo, d PeerDirectory) {
	now := steady.NowMS()
	for _, known := range r.list {
		if known.hello == h {
			known.lastMS = now
			return
		}
	}
	r.changes++
	r.list = append(r.list, &relay{hello: h, approver: d.Approver(h), lastMS: now})
	slices.SortFunc(r.list, func(a, b *relay) int { return strings.Compare(a.hello.Address, b.hello.Address) })
}

// known lists the instances that have spoken lately.
func (r *relays) known(now int64) []port.InstanceInfo {
	r.expire(now)
	list := make([]port.InstanceInfo, 0, len(r.list))
	for _, k := range r.list {
		list = append(list, k.hello)
	}
	return list
}

func (r *relays) expire(now int64) {
	before, expiryMS := len(r.list), int64(missedHellos*float64(r.againMS()))
	r.list = slices.DeleteFunc(r.list, func(k *relay) bool { return now-k.lastMS > expiryMS })
	r.changes += int64(before - len(r.list))
}

// shareApprovers tells the machine through which instances the approval service is asked.
func (c *Cell) shareApprovers(now int64) {
	c.relays.expire(now)
	if c.relays.changes == c.approversVersion {
		return
	}
	c.approversVersion = c.relays.changes
	addresses := make([]string, 0, len(c.relays.list))
	for _, k := range c.relays.list {
		addresses = append(addresses, k.hello.Address)
	}
	c.machine.SetApprovers(addresses)
}

// at returns the instance of an address, nil where it is not known any more.
func (r *relays) at(address string) *relay {
	for _, k := range r.list {
		if k.hello.Address == address {
			return k
		}
	}
	return nil
}

// askApproval sends a request through the instance that the machine chose.
func (c *Cell) askApproval(r jobs.ApprovalRequest) {
	k := c.relays.at(r.Grant.Instance)
	if k == nil {
		c.metrics.Counter("approval.no_instance").Inc(1)
		c.machine.ApprovalFailed(r)
		return
	}
	queue := "approval." + string(r.Queue)
	c.metrics.Counter(queue + ".requests").Inc(1)
	c.metrics.Counter(queue + ".workers").Inc(int64(len(r.Workers)))
	c.metrics.Counter(queue + ".service_ms").Inc(int64(r.Grant.ExpectedMS))
	c.metrics.Timer(queue + ".waited").Update(time.Duration(r.WaitedMS) * time.Millisecond)
	timeout := time.Duration(r.Grant.DueMS-r.Grant.SentMS)*time.Millisecond + approvalSlack
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		begun := time.Now()
		answer, err := k.approver.Approve(ctx, r.Step, r.Workers)
		c.metrics.Timer("approval").UpdateSince(begun)
		c.post(func() { c.approved(r, k, answer, err) })
	}()
}

func (c *Cell) approved(r jobs.ApprovalRequest, k *relay, a port.ApprovalReply, err error) {
	if err != nil {
		c.metrics.Counter("approval.failed").Inc(1)
		c.log.Info("approval failed", zap.String("job", string(r.Step.Job)), zap.Int("step", r.Step.Step),
			zap.String("instance", string(k.hello.Instance)), zap.Error(err))
		k.fails++
		if k.fails >= 2 {
			k.lastMS = 0
		}
		c.machine.ApprovalFailed(r)
		return
	}
	k.fails = 0
	c.metrics.Counter("approval." + string(r.Queue) + ".approved").Inc(int64(len(a.Approved)))
	c.machine.ApprovalAnswered(r, a.Approved, a.ValidMS)
}
