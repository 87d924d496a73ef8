package peering

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"testing"
	"time"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
	"auburnpier/internal/refusal"
)

type echoParts struct{ version uint64 }

func (e echoParts) FetchConfig(_ context.Context, newerThan uint64) (port.PeerConfig, error) {
	if newerThan >= e.version {
		return port.PeerConfig{Version: e.version}, nil
	}
	return port.PeerConfig{Version: e.version, Document: []byte(`{"version":9}`)}, nil
}

func (e echoParts) Forward(_ context.Context, call port.ForwardedCall) ([]byte, error) {
	if call.Team == "" {
		return nil, refusal.New(http.StatusForbidden, refusal.TeamUnknown, "no team", "send a key").WithRetryAfter(3 * time.Second)
	}
	return append([]byte(call.Operation), call.Payload...), nil
}

// Guards against instances that do not find each other through seeds, and against
// calls that lose their team, operation or refusal in transit.
func TestInstancesFindAndCallEachOther(t *testing.T) {
	cell := startCell(t, 2, 1)
	a, b := cell[0], cell[1]
	peer, ok := a.Peer(b.settings.ID)
	if !ok {
		t.Fatal("there is no client for the other instance")
	}
	call := port.ForwardedCall{From: "a", Partition: "p", Operation: port.PeerSubmit, Team: "t", Payload: []byte("{}")}
	var refused *refusal.Refusal
	if _, err := peer.Forward(t.Context(), call); !errors.As(err, &refused) || refused.Reason != refusal.NotReady || !refused.NotRun {
		t.Fatalf("Forward before the handlers are set = %v, want not_ready", err)
	}
	b.Handle(Handlers{Config: echoParts{9}, Jobs: echoParts{}})
	config, err := peer.FetchConfig(t.Context(), 8)
	if err != nil || config.Version != 9 || string(config.Document) != `{"version":9}` {
		t.Fatalf("FetchConfig = %+v, %v", config, err)
	}
	payload, err := peer.Forward(t.Context(), call)
	if err != nil || string(payload) != "submit{}" {
		t.Fatalf("Forward = %q, %v", payload, err)
	}
	call.Team = ""
	_, err = peer.Forward(t.Context(), call)
	if !errors.As(err, &refused) || refused.Reason != refusal.TeamUnknown || !refused.NotRun || refused.RetryAfter != 3*time.Second {
		t.Fatalf("Forward without a team = %v, want the refusal of the owner", err)
	}
}

// Guards against state of an instance that does not reach the others.
func TestSelfStateReachesPeers(t *testing.T) {
	cell := startCell(t, 3, 1)
	origin := cell[0]
	id := origin.settings.ID
	slots := []membership.QueueSlots{{Queue: "q", Free: 5}}
	origin.SetSlots(slots)
	origin.SetPartitions([]membership.OwnedPartition{{ID: "p", Epoch: 3}})
	origin.SetDraining(true)
	origin.SetConfigVersion(4)
	origin.StoreConfirmed(4, time.Now())
	for _, other := range cell[1:] {
		waitFor(t, "the state of the instance", func() bool {
			m, _ := other.Get(id)
			owner, epoch, owned := other.Owner("p")
			newest, holder := other.NewestVersion()
			return slices.Equal(m.Slots, slots) && m.Draining && m.ConfigVersion == 4 &&
				owned && owner.ID == id && epoch == 3 && newest == 4 && holder == id
		})
		waitFor(t, "the relayed confirmation", func() bool { return other.RelayedConfirmation(4).Version == 4 })
		if age := time.Since(other.RelayedConfirmation(4).At); age < 0 || age > 10*time.Second {
			t.Errorf("the relayed confirmation is %s old", age)
		}
	}
}

// Guards against an exit that the others treat as a death, and against an address
// that the next process cannot use.
func TestExitAndRestart(t *testing.T) {
	cell := startCell(t, 3, 1)
	leaver := cell[2]
	id, settings := leaver.settings.ID, leaver.settings
	changes, cancel := cell[0].Subscribe("test", 16)
	defer cancel()
	leaver.stop(t)
	waitFor(t, "the exit", func() bool {
		return allKnow(cell[:2], id, func(m membership.Member) bool { return m.State == membership.StateLeft })
	})
	if _, found := cell[0].Peer(id); found {
		t.Error("there is a client for an instance that left")
	}
	change := <-changes
	if change.ID() != id || change.Member.State != membership.StateLeft {
		t.Errorf("the subscriber got %+v, want the exit", change)
	}
	settings.Incarnation++
	startInstance(t, settings)
	waitFor(t, "the new incarnation", func() bool {
		return allKnow(cell[:2], id, func(m membership.Member) bool {
			return m.State == membership.StateAlive && m.Incarnation == settings.Incarnation
		})
	})
}

// Guards against a reclaim that proceeds although a peer still acknowledges pings of
// the holder.
func TestPingAcksAreSuppressedInRegion(t *testing.T) {
	cell := startCell(t, 4, 1)
	for _, i := range cell {
		i.SetConfirmsAuthority(true)
	}
	holder := cell[3]
	waitFor(t, "an acknowledgement of the region", func() bool { return !holder.LastRegionAck().IsZero() })
	if missing := cell[0].SuppressPingAcksInRegion(t.Context(), holder.settings.ID, holder.settings.Incarnation); len(missing) > 0 {
		t.Errorf("acknowledgements are not suppressed by %v", missing)
	}
	suppressedAt := time.Now()
	waitFor(t, "the holder to know that its pings are not acknowledged", holder.SelfAcksSuppressed)
	time.Sleep(3 * time.Second)
	if holder.LastRegionAck().After(suppressedAt) {
		t.Error("a ping was acknowledged after acknowledgements were suppressed")
	}
	cell[2].crash()
	cell[2].server.Stop(0)
	missing := cell[0].SuppressPingAcksInRegion(t.Context(), holder.settings.ID, holder.settings.Incarnation)
	if !slices.Equal(missing, []domain.InstanceID{cell[2].settings.ID}) {
		t.Errorf("acknowledgements are not suppressed by %v, want the crashed instance", missing)
	}
}

// Guards against two processes at one address: a later process at an address is the
// proof that the earlier one has terminated.
func TestAddressAllowsOneProcess(t *testing.T) {
	cell := startCell(t, 1, 1)
	if p, err := New(cell[0].settings, Deps{Clock: port.SystemClock{}, Metrics: metrics.New()}); err == nil {
		t.Errorf("a second process listens on %s", p.settings.Address)
	}
}

// Guards against full channels that block or that drop items without counting them.
func TestFullChannelsAreCounted(t *testing.T) {
	m := metrics.New()
	v := newView(membership.Member{}, m)
	changes, cancel := v.Subscribe("slow", 1)
	defer cancel()
	v.publish(snapshot{}, make([]membership.Change, 3))
	if got := m.Counter(counterChangesDropped + ".slow").Count(); got != 2 || len(changes) != 1 {
		t.Errorf("%d changes were counted as dropped and %d delivered, want 2 and 1", got, len(changes))
	}
	l := &loop{metrics: m, commands: make(chan command), ended: make(chan struct{})}
	if err := l.do(t.Context(), nil); !errors.Is(err, errLoopBusy) || m.Counter(counterCommandsFull).Count() != 1 {
		t.Errorf("a command to a full queue returned %v, counted %d", err, m.Counter(counterCommandsFull).Count())
	}
	l.view, l.outgoing = v, make(chan membership.Datagram, 1)
	l.emit(membership.Output{Datagrams: make([]membership.Datagram, 3)}, false)
	if got := m.Counter(counterOutgoingFull).Count(); got != 2 {
		t.Errorf("%d datagrams were counted as dropped, want 2", got)
	}
}

// Guards against members that are marked as proven dead because of a VM list that
// lags, is wrong, or never contained the VM.
func TestVMListProvesDeath(t *testing.T) {
	member := membership.Member{Record: membership.Record{ID: "b", Incarnation: 1, Address: "10.0.0.2:7000"}}
	self, other := domain.VM{ID: "a"}, domain.VM{ID: "vm-b", Address: "10.0.0.2:7000"}
	type list struct {
		after time.Duration
		vms   []domain.VM
	}
	with, without := []domain.VM{self, other}, []domain.VM{self}
	cases := []struct {
		name  string
		lists []list
		want  bool
	}{
		{"dropped for the lag", []list{{0, with}, {time.Second, without}, {31 * time.Second, without}}, true},
		{"dropped for less", []list{{0, with}, {time.Second, without}, {30 * time.Second, without}}, false},
		{"never listed", []list{{0, without}, {60 * time.Second, without}}, false},
		{"listed again", []list{{0, with}, {time.Second, without}, {20 * time.Second, with}, {40 * time.Second, without}}, false},
	}
	for _, c := range cases {
		var tracker vmTracker
		proven := false
		for _, l := range c.lists {
			proven = len(tracker.absentMembers(l.vms, []membership.Member{member}, time.Unix(0, 0).Add(l.after))) > 0
		}
		if proven != c.want {
			t.Errorf("%s: proven dead %v, want %v", c.name, proven, c.want)
		}
	}
	if isListed(nil, member.Record) || !isListed(with, member.Record) {
		t.Error("a VM must be found by its address")
	}
}
