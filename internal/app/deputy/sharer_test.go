package deputy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

// fakeDirectory is a fake directory of an owner and its peers.
type fakeDirectory struct {
	fakeCluster
	live           []taskplane.Member
	terminated     map[domain.InstanceID]bool
	losesResponses map[domain.InstanceID]bool // instances that receive the list but whose responses are lost
	lists          []taskplane.PartitionLeases
	got            map[domain.InstanceID][]port.SharedLeases
}

type fakePeer struct {
	port.Peer
	r  *fakeDirectory
	id domain.InstanceID
}

func (p fakePeer) ShareLeases(_ context.Context, l port.SharedLeases) error {
	p.r.mu.Lock()
	defer p.r.mu.Unlock()
	p.r.got[p.id] = append(p.r.got[p.id], l)
	if p.r.losesResponses[p.id] {
		return errors.New("no answer")
	}
	return nil
}

func (r *fakeDirectory) Live() []taskplane.Member { return r.live }
func (r *fakeDirectory) Peer(id domain.InstanceID) (port.Peer, bool) {
	return fakePeer{r: r, id: id}, !r.terminated[id]
}

func newFakeDirectory(leases ...port.SharedLease) (*fakeDirectory, *Sharer) {
	r := &fakeDirectory{
		fakeCluster:    fakeCluster{now: time.Unix(1_800_000_000, 0)},
		live:           []taskplane.Member{{ID: "owner", Region: "r"}, {ID: "x", Region: "r"}},
		terminated:     make(map[domain.InstanceID]bool),
		losesResponses: make(map[domain.InstanceID]bool),
		lists:          []taskplane.PartitionLeases{{Partition: "p", Epoch: 5, Changes: 1, Leases: leases}},
		got:            make(map[domain.InstanceID][]port.SharedLeases),
	}
	return r, NewSharer(SharerOptions{
		Instance: "owner", Region: "r", Directory: r, Clock: &r.fakeCluster,
		Leases: func() []taskplane.PartitionLeases { return r.lists },
	})
}

// Guards against choosing a deputy in another region, a draining instance, or the owner itself.
func TestChooseDeputyInSameRegion(t *testing.T) {
	live := []taskplane.Member{{ID: "owner", Region: "r"}, {ID: "far", Region: "s"}, {ID: "leaving", Region: "r", Draining: true}}
	if got := Choose("p", "owner", "r", live); got != "" {
		t.Errorf("deputy %q, want none", got)
	}
	if got := Choose("p", "owner", "r", append(live, taskplane.Member{ID: "x", Region: "r"})); got != "x" {
		t.Errorf("deputy %q, want x", got)
	}
}

// Guards against lists that are sent too rarely, too often, or incompletely.
func TestShareIntervalsAndChunks(t *testing.T) {
	var leases []port.SharedLease
	for n := range 2*leasesPerCall + 1 {
		leases = append(leases, shared(fmt.Sprint(n), 0))
	}
	r, s := newFakeDirectory(leases...)
	sent := func(after time.Duration, want int) {
		t.Helper()
		r.now = r.now.Add(after)
		r.got["x"] = nil
		s.Tick(t.Context())
		if len(r.got["x"]) != want {
			t.Errorf("%d calls, want %d", len(r.got["x"]), want)
		}
	}
	sent(0, 3)
	sent(time.Second, 0)
	sent(9*time.Second, 3)
	r.lists[0].Changes++
	r.losesResponses["x"] = true
	sent(time.Second, 1)
	r.losesResponses["x"] = false
	sent(time.Second, 3)
}

// Guards against an owner that treats a lease as expired while a deputy may still
// renew it.
func TestWithdrawn(t *testing.T) {
	cases := []struct {
		name   string
		change func(r *fakeDirectory)
		want   bool
	}{
		{"the deputy acknowledged a list without the lease", func(*fakeDirectory) {}, true},
		{"the acknowledgement was lost", func(r *fakeDirectory) { r.losesResponses["x"] = true }, false},
		{"the acknowledgement was lost, and the process is proven to have terminated", func(r *fakeDirectory) { r.losesResponses["x"], r.terminated["x"] = true, true }, true},
		{"a new deputy acknowledged the list, the former one does not respond", func(r *fakeDirectory) {
			r.losesResponses["x"] = true
			r.live = []taskplane.Member{{ID: "owner", Region: "r"}, {ID: "y", Region: "r"}}
		}, false},
		{"a new deputy acknowledged the list, the former one an empty list", func(r *fakeDirectory) {
			r.live = []taskplane.Member{{ID: "owner", Region: "r"}, {ID: "y", Region: "r"}}
		}, true},
		{"the partition has a new epoch", func(r *fakeDirectory) { r.losesResponses["x"], r.lists[0].Epoch = true, 6 }, true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			r, s := newFakeDirectory(shared("a", 0), shared("b", 0))
			if !s.Withdrawn("p", "a") {
				t.Error("a lease that was never shared is reported as held by a deputy")
			}
			s.Tick(t.Context())
			if s.Withdrawn("p", "a") {
				t.Error("a shared lease is reported as withdrawn")
			}
			r.lists = []taskplane.PartitionLeases{{Partition: "p", Epoch: 5, Changes: 2, Leases: []port.SharedLease{shared("b", 0)}}}
			c.change(r)
			s.Tick(t.Context())
			if got := s.Withdrawn("p", "a"); got != c.want {
				t.Errorf("withdrawn %v, want %v", got, c.want)
			}
		})
	}
}
