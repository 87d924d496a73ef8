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

// fakeRegion is a member list whose members answer depositions. It is the
// deputy's cluster and its workers too, in an outage with a dead owner.
type fakeRegion struct {
	now time.Time

	mu      sync.Mutex
	members []membership.Member
	answers map[domain.InstanceID]port.StepDownReply // a member without one does not answer
	joining *membership.Member                       // joins while the former owner is asked
	asked   []domain.InstanceID
	renewed int
}

type fakePeer struct {
	port.Peer
	r  *fakeRegion
	id domain.InstanceID
}

func (p fakePeer) StepDown(context.Context, domain.InstanceID, domain.PartitionID, domain.Epoch) (port.StepDownReply, error) {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.asked = append(p.r.asked, p.id)
	if p.r.joining != nil && p.id == "former" {
		p.r.members = append(p.r.members, *p.r.joining)
	}
	answer, ok := p.r.answers[p.id]
	if !ok {
		return port.StepDownReply{}, errors.New("no answer")
	}
	return answer, nil
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
	w.r.renewed++
	return port.Lease{}, nil
}

// newDeputy returns a deputy that has one lease of epoch 5 and renewed it.
func (r *fakeRegion) newDeputy(t *testing.T) *deputy.Deputy {
	d := deputy.New(deputy.Options{Cluster: r, Workers: r, Clock: r, Log: zap.NewNop(), Metrics: metrics.New()})
	list := port.SharedLeases{From: "former", Partition: "p", Epoch: 5, Sequence: 1, Chunks: 1, Leases: []port.SharedLease{{Lease: "l"}}}
	if err := d.ShareLeases(t.Context(), list); err != nil {
		t.Fatal(err)
	}
	d.Tick(t.Context())
	return d
}

func member(id domain.InstanceID, region domain.RegionID, state membership.State) membership.Member {
	return membership.Member{Record: membership.Record{ID: id, Location: domain.Location{Region: region}}, State: state}
}

// Guards against a successor that counts leases as lapsed which the former
// owner or its deputy may still renew.
func TestFormerOwnerStopped(t *testing.T) {
	const alive, dead, left, proven = membership.StateAlive, membership.StateDead, membership.StateLeft, membership.StateProvenDead
	joining := member("late", "r", alive)
	cases := []struct {
		name     string
		former   domain.InstanceID
		members  []membership.Member
		silent   []domain.InstanceID
		refusing domain.InstanceID
		joining  *membership.Member
		want     bool
	}{
		{name: "all acknowledge", members: []membership.Member{member("former", "r", alive), member("x", "r", alive)}, want: true},
		{name: "the former owner is silent", members: []membership.Member{member("former", "r", dead), member("x", "r", alive)}, silent: []domain.InstanceID{"former"}},
		{name: "the former owner provably ended", members: []membership.Member{member("former", "r", proven), member("x", "r", alive)}, want: true},
		{name: "another member is silent", members: []membership.Member{member("former", "r", proven), member("x", "r", alive)}, silent: []domain.InstanceID{"x"}},
		{name: "another member is dead without proof", members: []membership.Member{member("former", "r", proven), member("x", "r", dead)}, silent: []domain.InstanceID{"x"}},
		{name: "another member refuses", members: []membership.Member{member("former", "r", alive), member("x", "r", alive)}, refusing: "x"},
		{name: "another member left, a third provably ended", members: []membership.Member{member("former", "r", alive), member("x", "r", left), member("y", "r", proven)},
			silent: []domain.InstanceID{"x", "y"}, want: true},
		{name: "a silent member of another region", members: []membership.Member{member("former", "r", alive), member("x", "s", alive)}, silent: []domain.InstanceID{"x"}, want: true},
		{name: "a silent member that joined meanwhile", members: []membership.Member{member("former", "r", alive)}, joining: &joining, silent: []domain.InstanceID{"late"}},
		{name: "the former process had this name", former: "self", members: []membership.Member{member("x", "r", alive)}, want: true},
		{name: "the former process had this name, a member is silent", former: "self", members: []membership.Member{member("x", "r", alive)}, silent: []domain.InstanceID{"x"}},
		{name: "the former owner is not known", members: []membership.Member{member("x", "r", alive)}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r := &fakeRegion{now: time.Unix(1_800_000_000, 0), members: c.members, joining: c.joining, answers: make(map[domain.InstanceID]port.StepDownReply)}
			for _, id := range []domain.InstanceID{"former", "x", "y", "late"} {
				if !slices.Contains(c.silent, id) {
					r.answers[id] = port.StepDownReply{Acknowledged: id != c.refusing}
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
				t.Errorf("stopped at %s, %v; want %v (asked %v)", at, ok, c.want, r.asked)
			}
			r.now = r.now.Add(time.Minute)
			d.Tick(t.Context())
			if r.renewed != 1 {
				t.Errorf("this instance's deputy sent %d renewals, want the one before the question", r.renewed)
			}
		})
	}
}

// Guards against an acknowledgement by a deputy that still renews, and against a
// wrong age of its last renewal.
func TestDepositionStopsDeputy(t *testing.T) {
	for _, c := range []struct {
		partition domain.PartitionID
		since     int64
		renewed   int
	}{
		{partition: "p", since: 7000, renewed: 1},
		{partition: "q", since: -1, renewed: 2},
	} {
		r := &fakeRegion{now: time.Unix(1_800_000_000, 0)}
		h := depositions{manager: taskplane.NewManager(taskplane.Options{Clock: r}, "r", nil, nil), deputy: r.newDeputy(t), clock: r}
		r.now = r.now.Add(7 * time.Second)
		answer, err := h.StepDown(t.Context(), "successor", c.partition, 6)
		if err != nil || !answer.Acknowledged || answer.SinceLastRenewalMS != c.since {
			t.Errorf("partition %s: %+v, error %v; want an age of %d ms", c.partition, answer, err, c.since)
		}
		r.now = r.now.Add(time.Minute)
		h.deputy.Tick(t.Context())
		if r.renewed != c.renewed {
			t.Errorf("partition %s: %d renewals, want %d", c.partition, r.renewed, c.renewed)
		}
	}
}
