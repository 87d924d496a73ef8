package daemon

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/app/allotment"
	"auburnpier/internal/app/peering"
	"auburnpier/internal/app/taskplane"
	"auburnpier/internal/core/allot"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
)

const (
	// askInterval is how often the wanted slots are reviewed.
	askInterval = 500 * time.Millisecond
	// reclaimInterval is how often holders are compared with the members.
	reclaimInterval = 3 * time.Second
)

// allotments joins the ledgers of this instance with the membership: it asks
// for the slots of its servers, bars revoked holders and reclaims dead ones.
type allotments struct {
	i     *Instance
	teams *allotment.Ledger
	slots *allotment.Ledger
	tasks *allotment.Ledger
	bars  *allotment.Bars

	reclaimer *allotment.Reclaimer
	holder    string

	requestLimits atomic.Pointer[allot.Limits]
	taskLimits    atomic.Pointer[allot.Limits]
	slotLimits    atomic.Pointer[allot.Limits]

	mu         sync.Mutex
	reclaiming map[string]bool
}

func newAllotments(i *Instance) *allotments {
	a := &allotments{
		i:          i,
		holder:     holderName(i.settings.Instance, uint64(i.started.UnixMilli())),
		reclaiming: make(map[string]bool),
	}
	for _, limits := range []*atomic.Pointer[allot.Limits]{&a.requestLimits, &a.taskLimits, &a.slotLimits} {
		limits.Store(&allot.Limits{})
	}
	a.teams = a.ledger(allotment.TeamsKey, &a.requestLimits, true)
	a.slots = a.ledger(allotment.SlotsKey(i.settings.Location.Region), &a.slotLimits, false)
	a.tasks = a.ledger(allotment.TasksKey, &a.taskLimits, false)
	a.teams.JoinInstance(a.holder)
	a.slots.JoinInstance(a.holder)
	a.bars = allotment.NewBars(a.teams, a.slots)
	a.reclaimer = allotment.NewReclaimer(a.bars, a, a.teams, a.slots)
	return a
}

func (a *allotments) ledger(key string, limits *atomic.Pointer[allot.Limits], byPeak bool) *allotment.Ledger {
	return allotment.New(allotment.Config{
		Key: key, Region: a.i.settings.Location.Region, Store: a.i.store, Watch: a.i.watch,
		Clock: a.i.clock, Metrics: a.i.metrics, Log: a.i.log, ByPeak: byPeak,
		Limits:  func() allot.Limits { return *limits.Load() },
		Vouched: func() time.Time { return a.i.peers.RegionAck() },
	})
}

// holderName names one process, so that a restarted process is another holder.
func holderName(id domain.InstanceID, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", id, incarnation)
}

// parseHolder returns the process that a holder stands for.
func parseHolder(holder string) (domain.InstanceID, uint64, error) {
	id, rest, ok := strings.Cut(holder, "/")
	number, _, _ := strings.Cut(rest, ".") // a holder that joined again has a suffix
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return "", 0, errors.Newf("holder %q is not of the form instance/incarnation", holder)
	}
	return domain.InstanceID(id), incarnation, nil
}

// setConfig takes the limits of a configuration version.
func (a *allotments) setConfig(doc domain.ConfigDocument) {
	requests := allot.Limits{Config: doc.Version, Items: make(map[string]allot.Vector, len(doc.Teams))}
	tasks := allot.Limits{Config: doc.Version, Items: make(map[string]allot.Vector, len(doc.Teams))}
	for id, row := range doc.Teams {
		requests.Items[string(id)] = allot.Units(row.LimitRequests)
		tasks.Items[string(id)] = allot.FromResources(row.Limit)
	}
	a.requestLimits.Store(&requests)
	a.taskLimits.Store(&tasks)
}

// setVMs takes the slots of the region's backend servers.
func (a *allotments) setVMs(vms []domain.VM) {
	slots := allot.Limits{Listed: true, Items: make(map[string]allot.Vector)}
	for _, vm := range vms {
		if vm.Role == domain.RoleBackend && vm.Location.Region == a.i.settings.Location.Region {
			slots.Items[vm.ID] = allot.Units(int64(vm.Slots))
		}
	}
	a.slotLimits.Store(&slots)
}

func (a *allotments) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, l := range []*allotment.Ledger{a.teams, a.slots, a.tasks} {
		group.Go(func() { _ = l.Run(ctx) })
	}
	group.Go(func() { every(ctx, askInterval, a.review) })
	group.Go(func() { every(ctx, reclaimInterval, a.reclaimDead) })
	group.Wait()
}

func every(ctx context.Context, interval time.Duration, f func(context.Context)) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		f(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// review asks for the slots of the servers that this instance is chosen for,
// and vouches for others once it has barred every revoked holder.
func (a *allotments) review(ctx context.Context) {
	holders := a.preferredHolders()
	for server, slots := range a.slotLimits.Load().Items {
		wanted := int64(0)
		if holders[server] == a.i.settings.Instance {
			wanted = slots[0]
		}
		a.slots.Ask(server, wanted)
	}
	if !a.bars.Vouches(a.holder) {
		return
	}
	for _, m := range a.i.peers.Region(a.i.settings.Location.Region) {
		if m.ID == a.i.settings.Instance || m.Barred || a.bars.Vouches(holderName(m.ID, m.Incarnation)) {
			continue
		}
		if a.revoked(m) {
			_ = a.i.peers.Bar(ctx, m.ID, m.Incarnation)
		}
	}
	a.i.peers.SetVouches(true)
}

// preferredHolders divides the region's servers over its live instances that do not drain.
func (a *allotments) preferredHolders() map[string]domain.InstanceID {
	region := a.i.settings.Location.Region
	var instances []domain.InstanceID
	for _, m := range (peerView{peers: a.i.peers}).Live() {
		if m.Region == region && !m.Draining {
			instances = append(instances, m.ID)
		}
	}
	servers := slices.Sorted(maps.Keys(a.slotLimits.Load().Items))
	return taskplane.Divide(servers, instances)
}

// revoked reports whether a ledger shows the member as a revoked holder. A
// member that has not joined yet is not revoked.
func (a *allotments) revoked(m membership.Member) bool {
	holder := holderName(m.ID, m.Incarnation)
	return a.teams.Revoked(holder) || a.slots.Revoked(holder)
}

// reclaimDead reclaims what processes of the region hold that are no longer
// alive. One instance does it, the first one of the live members.
func (a *allotments) reclaimDead(ctx context.Context) {
	region := a.i.peers.Region(a.i.settings.Location.Region)
	if len(region) == 0 || region[0].ID != a.i.settings.Instance {
		return
	}
	for _, holder := range a.deadHolders() {
		a.startReclaim(ctx, holder)
	}
}

func (a *allotments) deadHolders() []string {
	var dead []string
	for _, holder := range append(a.teams.InstancesOf(a.i.settings.Location.Region), a.slots.InstancesOf(a.i.settings.Location.Region)...) {
		id, incarnation, err := parseHolder(holder)
		if err != nil || id == a.i.settings.Instance && incarnation == uint64(a.i.started.UnixMilli()) {
			continue
		}
		m, known := a.i.peers.Get(id)
		alive := known && m.Incarnation == incarnation &&
			(m.State == membership.StateAlive || m.State == membership.StateSuspect)
		if !alive && a.i.peers.Joined() {
			dead = append(dead, holder)
		}
	}
	return dead
}

func (a *allotments) startReclaim(ctx context.Context, holder string) {
	id, _, err := parseHolder(holder)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reclaiming[holder] {
		return
	}
	a.reclaiming[holder] = true
	a.i.log.Info("allotments of an instance are reclaimed", zap.String("holder", holder))
	go func() {
		err := a.reclaimer.Reclaim(ctx, id, holder)
		a.i.log.Info("reclaim ended", zap.String("holder", holder), zap.Error(err))
		a.mu.Lock()
		delete(a.reclaiming, holder)
		a.mu.Unlock()
	}()
}

// Others implements allotment.Peers: every instance of the region that is a
// holder in the store was registered there before it vouched for another.
func (a *allotments) Others(ctx context.Context) ([]domain.InstanceID, error) {
	region := a.i.settings.Location.Region
	e, err := a.i.store.Get(ctx, allotment.SlotsKey(region))
	var missing *port.NotFoundError
	if errors.As(err, &missing) {
		return nil, nil
	}
	if err != nil {
		return nil, err
	}
	doc, err := allot.Decode(e.Value)
	if err != nil {
		return nil, err
	}
	var others []domain.InstanceID
	for holder, h := range doc.Holders {
		id, _, err := parseHolder(holder)
		if err != nil || id == a.i.settings.Instance || h.Region != string(region) {
			continue
		}
		others = append(others, id)
	}
	return others, nil
}

// ProvenDead implements allotment.Peers.
func (a *allotments) ProvenDead(id domain.InstanceID) bool {
	m, ok := a.i.peers.Get(id)
	return ok && m.State.Gone()
}

// Bar implements allotment.Peers.
func (a *allotments) Bar(ctx context.Context, at domain.InstanceID, holder string) error {
	id, incarnation, err := parseHolder(holder)
	if err != nil {
		return err
	}
	if at == a.i.settings.Instance {
		return a.i.peers.Bar(ctx, id, incarnation)
	}
	peer, ok := a.i.peers.Peer(at)
	if !ok {
		return errGone
	}
	return peer.Bar(ctx, a.i.settings.Instance, id, incarnation)
}

// leave returns what this instance holds, after its last use.
func (a *allotments) leave(ctx context.Context) error {
	return errors.CombineErrors(a.teams.Leave(ctx), a.slots.Leave(ctx))
}

// slotUse shows the ledger of slots to the request plane.
type slotUse struct {
	ledger *allotment.Ledger
}

func (s slotUse) Held(server domain.BackendID) int     { return int(s.ledger.Held(string(server))) }
func (s slotUse) Authority() bool                      { return s.ledger.Authority() }
func (s slotUse) Acquire(server domain.BackendID) bool { return s.ledger.Acquire(string(server)) }
func (s slotUse) Release(server domain.BackendID)      { s.ledger.Release(string(server)) }

// unlimited is the allowance of callers without a key on open queues, whom no team limits.
const unlimited = 1 << 40

// teamUse shows the ledger of team requests to the request plane.
type teamUse struct {
	ledger *allotment.Ledger
}

func (t teamUse) Allowed(team domain.TeamID) int64 {
	if team == "" {
		return unlimited
	}
	return t.ledger.Held(string(team))
}

func (t teamUse) Acquire(team domain.TeamID) bool {
	return team == "" || t.ledger.Acquire(string(team))
}

func (t teamUse) Release(team domain.TeamID) {
	if team != "" {
		t.ledger.Release(string(team))
	}
}

var _ allotment.Peers = (*allotments)(nil)

var _ peering.Authority = (*peering.Service)(nil)
