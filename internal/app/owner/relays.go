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
	// longApprovalMS divides requests: long ones leave some instances to the short.
	longApprovalMS = 100
	// maxRelayQueueMS bounds the requests that wait at one instance.
	maxRelayQueueMS = 1200
	// approvalSlack is added to the expected duration of a request.
	approvalSlack = 1500 * time.Millisecond
)

// relay is an instance through which the approval service is asked. The
// service serves the calls of one instance in turn.
type relay struct {
	hello    port.Hello
	approver port.Approver
	lastMS   int64
	// freeMS is when the requests under way will have been answered.
	freeMS int64
	fails  int
}

// compareSizes orders instances by the size of their VMs, larger ones first.
func compareSizes(a, b port.Hello) int {
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
func (r *relays) hello(h port.Hello, d PeerDirectory) {
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
func (r *relays) known(now int64) []port.Hello {
	r.expire(now)
	list := make([]port.Hello, 0, len(r.list))
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

// choose returns the instance that will answer first.
func (r *relays) choose(expectedMS float64, now int64) *relay {
	r.expire(now)
	candidates := r.list
	if expectedMS >= longApprovalMS && len(candidates) > 1 {
		candidates = candidates[:(len(candidates)*2+2)/3]
	}
	var best *relay
	for _, k := range candidates {
		if best == nil || max(k.freeMS, now) < max(best.freeMS, now) {
			best = k
		}
	}
	// Short requests come to the instances from the other end.
	if expectedMS < longApprovalMS {
		for _, k := range slices.Backward(candidates) {
			if max(k.freeMS, now) < max(best.freeMS, now) || max(k.freeMS, now) == max(best.freeMS, now) && best.freeMS <= now {
				best = k
				break
			}
		}
	}
	if best == nil || best.freeMS-now > maxRelayQueueMS {
		return nil
	}
	return best
}

// askApproval sends a request through the instance that will answer first.
func (c *Cell) askApproval(r jobs.ApprovalRequest) {
	now := steady.NowMS()
	k := c.relays.choose(r.ExpectedMS, now)
	if k == nil {
		c.metrics.Counter("approval.no_instance").Inc(1)
		c.machine.ApprovalAnswered(r.Step, nil, nil, 0)
		return
	}
	k.freeMS = max(k.freeMS, now) + int64(r.ExpectedMS) + 1
	timeout := time.Duration(k.freeMS-now)*time.Millisecond + approvalSlack
	go func() {
		ctx, cancel := context.WithTimeout(c.ctx, timeout)
		defer cancel()
		begun := time.Now()
		answer, err := k.approver.Approve(ctx, r.Step, r.Workers)
		c.metrics.Timer("approval").UpdateSince(begun)
		c.post(func() { c.approved(r, k, answer, err) })
	}()
}

func (c *Cell) approved(r jobs.ApprovalRequest, k *relay, a port.ApprovalAnswer, err error) {
	if err != nil {
		c.metrics.Counter("approval.failed").Inc(1)
		c.log.Info("approval failed", zap.String("job", string(r.Step.Job)), zap.Int("step", r.Step.Step),
			zap.String("instance", string(k.hello.Instance)), zap.Error(err))
		k.fails++
		if k.fails >= 2 {
			k.lastMS = 0
		}
		c.machine.ApprovalAnswered(r.Step, nil, nil, 0)
		return
	}
	k.fails = 0
	c.machine.ApprovalAnswered(r.Step, r.Workers, a.Good, a.ValidMS)
}
