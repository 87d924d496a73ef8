package daemon

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"auburnpier/internal/app/allotment"
	"auburnpier/internal/app/peering"
	"auburnpier/internal/core/allot"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/port"
	"auburnpier/internal/settings"
)

const (
	// revocationCheckInterval is the interval between checks for revoked holders.
	revocationCheckInterval = 500 * time.Millisecond
	// reclaimInterval is the interval between comparisons of the holders with the member list.
	reclaimInterval = 3 * time.Second
)

// allotments connects the ledgers of this instance with the membership: it
// requests the slots of the servers assigned to this instance, suppresses ping
// acks to revoked holders and reclaims the allotments of dead ones.
type allotments struct {
	i            *Instance
	teams        *allotment.Ledger
	slots        *allotment.Ledger
	tasks        *allotment.Ledger
	suppressions *allotment.PingAckFilter

	reclaimer *allotment.Reclaimer
	holder    string

	requestLimits atomic.Pointer[allot.Limits]
	taskLimits    atomic.Pointer[allot.Limits]
	assigner      *allotment.Assigner

	mu         sync.Mutex
	reclaiming map[string]bool
}

func newAllotments(i *Instance) *allotments {
	a := &allotments{
		i:          i,
		holder:     holderName(i.settings.Instance, uint64(i.started.UnixMilli())),
		reclaiming: make(map[string]bool),
	}
	a.requestLimits.Store(&allot.Limits{})
	a.taskLimits.Store(&allot.Limits{})
	a.assigner = allotment.NewAssigner(i.settings.Instance)
	a.newLedgers()
	a.teams.JoinInstance(a.holder)
	a.slots.JoinInstance(a.holder)
	a.suppressions = allotment.NewPingAckFilter(a.teams, a.slots)
	a.reclaimer = allotment.NewReclaimer(a.suppressions, a, settings.Milliseconds(i.settings.Requests.SlotHoldTimeoutMS), a.teams, a.slots)
	return a
}

func (a *allotments) newLedgers() {
	teams := a.ledgerConfig(allotment.TeamsKey)
	teams.Limits = func() allot.Limits { return *a.requestLimits.Load() }
	teams.ByPeak = true
	teams.Usage = a.teamUsage
	a.teams = allotment.New(teams)
	slots := a.ledgerConfig(allotment.SlotsKey(a.i.settings.Location.Region))
	slots.Limits = a.assigner.Limits
	slots.Usage = a.slotUsage
	a.slots = allotment.New(slots)
	a.assigner.Bind(a.slots)
	tasks := a.ledgerConfig(allotment.TasksKey)
	tasks.Limits = func() allot.Limits { return *a.taskLimits.Load() }
	a.tasks = allotment.New(tasks)
}

func (a *allotments) ledgerConfig(key string) allotment.Config {
	return allotment.Config{
		Key: key, Region: a.i.settings.Location.Region, Store: a.i.store, Watch: a.i.watch,
		Clock: a.i.clock, Metrics: a.i.metrics, Log: a.i.log,
		LastConfirmed: func() time.Time { return a.i.peers.LastRegionAck() },
	}
}

// teamUsage returns the number of requests in flight by team.
func (a *allotments) teamUsage() map[string]allotment.UnitUse {
	use := make(map[string]allotment.UnitUse)
	for team, n := range a.i.plane.Usage().Teams {
		use[string(team)] = allotment.UnitUse{InUse: n}
	}
	return use
}

// slotUsage returns the number of slots in use by backend server.
func (a *allotments) slotUsage() map[string]allotment.UnitUse {
	use := make(map[string]allotment.UnitUse)
	for server, n := range a.i.plane.Usage().Slots {
		use[string(server)] = allotment.UnitUse{InUse: int64(n)}
	}
	return use
}

// holderName identifies one process, so that a restarted instance is a new holder.
func holderName(id domain.InstanceID, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", id, incarnation)
}

// parseHolder returns the instance and the incarnation that a holder name identifies.
func parseHolder(holder string) (domain.InstanceID, uint64, error) {
	id, rest, ok := strings.Cut(holder, "/")
	number, _, _ := strings.Cut(rest, ".") // a holder that rejoined has a suffix
	incarnation, err := strconv.ParseUint(number, 10, 64)
	if !ok || err != nil {
		return "", 0, errors.Newf("holder %q is not of the form instance/incarnation", holder)
	}
	return domain.InstanceID(id), incarnation, nil
}

// setConfig applies the team limits of a configuration version.
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

// setVMs updates the region's backend servers and its live, non-draining
// instances, over which the assigner distributes the slots.
func (a *allotments) setVMs(vms []domain.VM) {
	region := a.i.settings.Location.Region
	servers := make(map[domain.BackendID]int64)
	for _, vm := range vms {
		if vm.Role == domain.RoleBackend && vm.Location.Region == region {
			servers[domain.BackendID(vm.ID)] = int64(vm.Slots)
		}
	}
	var live []domain.InstanceID
	for _, m := range (peerView{peers: a.i.peers}).Live() {
		if m.Region == region && !m.Draining {
			live = append(live, m.ID)
		}
	}
	a.assigner.Update(servers, live)
}

func (a *allotments) run(ctx context.Context) {
	var group sync.WaitGroup
	for _, l := range []*allotment.Ledger{a.teams, a.slots, a.tasks} {
		group.Go(func() { _ = l.Run(ctx) })
	}
	group.Go(func() { ctxtime.Repeat(ctx, revocationCheckInterval, func() { a.confirmAuthority(ctx) }) })
	group.Go(func() { ctxtime.Repeat(ctx, reclaimInterval, func() { a.reclaimDead(ctx) }) })
	group.Wait()
}

// confirmAuthority confirms the authority of other instances once ping acks to every
// revoked holder are suppressed.
func (a *allotments) confirmAuthority(ctx context.Context) {
	if !a.suppressions.ConfirmsAuthority(a.holder) {
		return
	}
	for _, m := range a.i.peers.Region(a.i.settings.Location.Region) {
		if m.ID == a.i.settings.Instance || m.AcksSuppressed || a.suppressions.ConfirmsAuthority(holderName(m.ID, m.Incarnation)) {
			continue
		}
		if a.revoked(m) {
			_ = a.i.peers.SuppressPingAcks(ctx, m.ID, m.Incarnation)
		}
	}
	a.i.peers.SetConfirmsAuthority(true)
}

// revoked reports whether a ledger lists the member as a revoked holder. A
// member that has not joined yet is not revoked.
func (a *allotments) revoked(m membership.Member) bool {
	holder := holderName(m.ID, m.Incarnation)
	return a.teams.Revoked(holder) || a.slots.Revoked(holder)
}

// reclaimDead reclaims the allotments of processes of the region that are no
// longer alive. Only the first of the region's live members does so.
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
	id, incarnation, err := parseHolder(holder)
	if err != nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.reclaiming[holder] {
		return
	}
	a.reclaiming[holder] = true
	a.i.log.Info("reclaiming the allotments of a dead instance", zap.String("holder", holder))
	go func() {
		err := a.reclaimer.Reclaim(ctx, id, holder)
		if err == nil {
			err = a.i.registry.remove(ctx, id, incarnation)
		}
		a.i.log.Info("reclaim finished", zap.String("holder", holder), zap.Error(err))
		a.mu.Lock()
		delete(a.reclaiming, holder)
		a.mu.Unlock()
	}()
}

// Others implements allotment.Peers. It reads the holders from the store: every
// instance of the region is registered there before it confirms the authority of another.
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
		if err != nil || h.Region != string(region) {
			continue
		}
		// This instance is included: its own membership must suppress acks to the holder too.
		others = append(others, id)
	}
	return others, nil
}

// ProvenDead implements allotment.Peers.
func (a *allotments) ProvenDead(id domain.InstanceID) bool {
	m, ok := a.i.peers.Get(id)
	return ok && m.State.Departed()
}

// SuppressPingAcks implements allotment.Peers.
func (a *allotments) SuppressPingAcks(ctx context.Context, at domain.InstanceID, holder string) error {
	id, incarnation, err := parseHolder(holder)
	if err != nil {
		return err
	}
	if at == a.i.settings.Instance {
		return a.i.peers.SuppressPingAcks(ctx, id, incarnation)
	}
	peer, ok := a.i.peers.Peer(at)
	if !ok {
		return errNotMember
	}
	return peer.SuppressPingAcks(ctx, a.i.settings.Instance, id, incarnation)
}

// release returns the allotments of this instance once they are no longer in use.
func (a *allotments) release(ctx context.Context) error {
	return errors.CombineErrors(a.teams.Leave(ctx), a.slots.Leave(ctx))
}

var _ allotment.Peers = (*allotments)(nil)

var _ peering.Authority = (*peering.Service)(nil)
