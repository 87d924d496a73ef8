package daemon

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/app/deputy"
	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// fakeRegion is a member list whose members reply to step-down calls. It also
// serves as the deputy's cluster and workers, during a store outage in which the
// owner has ended.
type fakeRegion struct {
	now time.Time

	mu              sync.Mutex
	members         []membership.Member
	replies         map[domain.InstanceID]port.StepDownReply // a member without an entry does not respond
	joinsDuringCall *membership.Member                       // joins during the step-down call to the former owner
	called          []domain.InstanceID
	renewals        int
}

type fakePeer struct {
	port.Peer
	r  *fakeRegion
	id domain.InstanceID
}

func (p fakePeer) StepDown(context.Context, domain.InstanceID, domain.PartitionID, domain.Epoch) (port.StepDownReply, error) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.called = append(p.r.called, p.id)
	if p.r.joinsDuringCall != nil && p.id == "former" {
		p.r.members = append(p.r.members, *p.r.joinsDuringCall)
	}
	reply, ok := p.r.replies[p.id]
	if !ok {
		return port.StepDownReply{}, errors.New("no response")
	}
	return reply, nil
}

func (r *fakeRegion) List() []membership.Member { return slices.Clone(r.members) }

func (r *fakeRegion) Get(id domain.InstanceID) (membership.Member, bool) {
	for _, m := range r.members {
		if m.ID == id {
			return m, true
		}
	}
	return membership.Member{}, false
}

func (r *fakeRegion) Peer(id domain.InstanceID) (port.Peer, bool) {
	m, ok := r.Get(id)
	return fakePeer{r: r, id: id}, ok && !m.State.Departed()
}

func (r *fakeRegion) Now() time.Time                        { return r.now }
func (r *fakeRegion) Incarnation(domain.InstanceID) uint64  { return 1 }
func (r *fakeRegion) Ended(domain.InstanceID, uint64) bool  { return true }
func (r *fakeRegion) Epoch(domain.PartitionID) domain.Epoch { return 0 }
func (r *fakeRegion) StoreOutage() bool                     { return true }
func (r *fakeRegion) StoreConfirmedAt() time.Time           { return r.now }
func (r *fakeRegion) Worker(string) port.Worker             { return fakeWorker{r: r} }

type fakeWorker struct {
	port.Worker
	r *fakeRegion
}

func (w fakeWorker) RenewLease(context.Context, port.RenewRequest) (port.Lease, error) {
	w.r.renewals++
	return port.Lease{}, nil
}

// newDeputy returns a deputy that holds one lease of epoch 5 and has renewed it once.
func (r *fakeRegion) newDeputy(t *testing.T) *deputy.Deputy {
	d := deputy.New(deputy.Options{Cluster: r, Workers: r, Clock: r, Log: zap.NewNop(), Metrics: metrics.New()})
	list := port.SharedLeases{From: "former", Partition: "p", Epoch: 5, Sequence: 1, Chunks: 1, Leases: []port.SharedLease{{Lease: "l"}}}
	if err := d.ShareLeases(t.Context(), list); err != nil {
		t.Fatal(err)
	}
	d.Tick(t.Context())
	return d
}

func newMember(id domain.InstanceID, region domain.RegionID, state membership.State) membership.Member {
	return membership.Member{Record: membership.Record{ID: id, Location: domain.Location{Region: region}}, State: state}
}

// Guards against a new owner that treats leases as expired although the former
// owner or its deputy may still renew them.
func TestFormerOwnerStoppedOnlyWhenNoRenewalIsPossible(t *testing.T) {
	const alive, dead, left, proven = membership.StateAlive, membership.StateDead, membership.StateLeft, membership.StateProvenDead
	joining := newMember("late", "r", alive)
	cases := []struct {
		name         string
		former       domain.InstanceID
		members      []membership.Member
		unresponsive []domain.InstanceID
		refusing     domain.InstanceID
		joining      *membership.Member
		want         bool
	}{
		{name: "all acknowledge", members: []membership.Member{newMember("former", "r", alive), newMember("x", "r", alive)}, want: true},
		{name: "the former owner is unresponsive", members: []membership.Member{newMember("former", "r", dead), newMember("x", "r", alive)}, unresponsive: []domain.InstanceID{"former"}},
		{name: "the former owner provably ended", members: []membership.Member{newMember("former", "r", proven), newMember("x", "r", alive)}, want: true},
		{name: "another member is unresponsive", members: []membership.Member{newMember("former", "r", proven), newMember("x", "r", alive)}, unresponsive: []domain.InstanceID{"x"}},
		{name: "another member is dead without proof", members: []membership.Member{newMember("former", "r", proven), newMember("x", "r", dead)}, unresponsive: []domain.InstanceID{"x"}},
		{name: "another member refuses", members: []membership.Member{newMember("former", "r", alive), newMember("x", "r", alive)}, refusing: "x"},
		{name: "another member left, a third provably ended", members: []membership.Member{newMember("former", "r", alive), newMember("x", "r", left), newMember("y", "r", proven)},
			unresponsive: []domain.InstanceID{"x", "y"}, want: true},
		{name: "an unresponsive member of another region", members: []membership.Member{newMember("former", "r", alive), newMember("x", "s", alive)}, unresponsive: []domain.InstanceID{"x"}, want: true},
		{name: "an unresponsive member that joined during the call", members: []membership.Member{newMember("former", "r", alive)}, joining: &joining, unresponsive: []domain.InstanceID{"late"}},
		{name: "the former owner had this instance ID", former: "self", members: []membership.Member{newMember("x", "r", alive)}, want: true},
		{name: "the former owner had this instance ID, a member is unresponsive", former: "self", members: []membership.Member{newMember("x", "r", alive)}, unresponsive: []domain.InstanceID{"x"}},
		{name: "the former owner is not known", members: []membership.Member{newMember("x", "r", alive)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &fakeRegion{now: time.Unix(1_800_000_000, 0), members: c.members, joinsDuringCall: c.joining, replies: make(map[domain.InstanceID]port.StepDownReply)}
			for _, id := range []domain.InstanceID{"former", "x", "y", "late"} {
				if !slices.Contains(c.unresponsive, id) {
					r.replies[id] = port.StepDownReply{Acknowledged: id != c.refusing}
				}
			}
			d := r.newDeputy(t)
			former := c.former
			if former == "" {
				former = "former"
			}
			f := formerOwners{peers: r, deputy: d, self: "self", region: "r", clock: r}
			at, ok := f.StoppedAt(t.Context(), former, "p", 6)
			if ok != c.want || ok && !at.Equal(r.now) {
				t.Errorf("stopped at %s, %v; want %v (called %v)", at, ok, c.want, r.called)
			}
			r.now = r.now.Add(time.Minute)
			d.Tick(t.Context())
			if r.renewals != 1 {
				t.Errorf("this instance's deputy sent %d renewals, want only the one before the step-down", r.renewals)
			}
		})
	}
}

// Guards against an acknowledged step-down after which the deputy still renews
// leases, and against a wrong reported age of its last renewal.
func TestStepDownStopsDeputyRenewals(t *testing.T) {
	for _, c := range []struct {
		partition domain.PartitionID
		since     int64
		renewed   int
	}{
		{partition: "p", since: 7000, renewed: 1},
		{partition: "q", since: -1, renewed: 2},
	} {
		r := &fakeRegion{now: time.Unix(1_800_000_000, 0)}
		h := stepDownHandler{manager: taskplane.NewManager(taskplane.Options{Clock: r}, "r", nil, nil), deputy: r.newDeputy(t), clock: r}
		r.now = r.now.Add(7 * time.Second)
		reply, err := h.StepDown(t.Context(), "successor", c.partition, 6)
		if err != nil || !reply.Acknowledged || reply.SinceLastRenewalMS != c.since {
			t.Errorf("partition %s: %+v, error %v; want an age of %d ms", c.partition, reply, err, c.since)
		}
		r.now = r.now.Add(time.Minute)
		h.deputy.Tick(t.Context())
		if r.renewals != c.renewed {
			t.Errorf("partition %s: %d renewals, want %d", c.partition, r.renewals, c.renewed)
		}
	}
}
