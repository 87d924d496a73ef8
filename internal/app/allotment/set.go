package allotment

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

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/allot"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// HolderName names a process of an instance as a holder.
func HolderName(id domain.InstanceID, incarnation uint64) string {
	return fmt.Sprintf("%s/%d", id, incarnation)
}

// ParseHolder returns the process that a holder name stands for. A holder that
// joined again after its revocation has a suffix, which is ignored.
func ParseHolder(holder string) (domain.InstanceID, uint64, bool) {
	i := strings.LastIndexByte(holder, '/')
	if i < 0 {
		return "", 0, false
	}
	number, _, _ := strings.Cut(holder[i+1:], ".")
	incarnation, err := strconv.ParseUint(number, 10, 64)
	return domain.InstanceID(holder[:i]), incarnation, err == nil
}

// SetConfig holds what the three ledgers of an instance need.
type SetConfig struct {
	Instance    domain.InstanceID
	Incarnation uint64
	Region      domain.RegionID
	Store       port.Store
	Watch       *sharedwatch.Watcher
	Clock       port.Clock
	Metrics     *metrics.Registry
	Log         *zap.Logger
	// Vouched is as in Config.
	Vouched func() time.Time
	// TeamUsage and SlotUsage are as Usage in Config.
	TeamUsage func() map[string]UnitUse
	SlotUsage func() map[string]UnitUse
}

// Set holds the ledgers of one instance.
type Set struct {
	Teams    *Ledger
	Slots    *Ledger
	Tasks    *Ledger
	Assigner *Assigner
	Bars     *Bars

	doc atomic.Pointer[domain.ConfigDocument]
}

// NewSet returns the ledgers, with this instance as a holder of requests and
// slots. It must be called before the watch runs.
func NewSet(c SetConfig) *Set {
	s := &Set{Assigner: NewAssigner(c.Instance)}
	base := Config{
		Region: c.Region, Store: c.Store, Watch: c.Watch, Clock: c.Clock,
		Metrics: c.Metrics, Log: c.Log, Vouched: c.Vouched,
	}
	teams, slots, tasks := base, base, base
	teams.Key, teams.Limits, teams.Usage, teams.ByPeak = TeamsKey, s.requestLimits, c.TeamUsage, true
	slots.Key, slots.Limits, slots.Usage = SlotsKey(c.Region), s.Assigner.Limits, c.SlotUsage
	tasks.Key, tasks.Limits = TasksKey, s.taskLimits
	s.Teams, s.Slots, s.Tasks = New(teams), New(slots), New(tasks)
	s.Assigner.Bind(s.Slots)
	s.Bars = NewBars(s.Teams, s.Slots)
	holder := HolderName(c.Instance, c.Incarnation)
	s.Teams.JoinInstance(holder)
	s.Slots.JoinInstance(holder)
	return s
}

// Run runs the ledgers until ctx ends.
func (s *Set) Run(ctx context.Context) {
	var group sync.WaitGroup
	for _, l := range []*Ledger{s.Teams, s.Slots, s.Tasks} {
		group.Go(func() { _ = l.Run(ctx) })
	}
	group.Wait()
}

// SetConfiguration takes the limits of a version that came in force. A lowered
// limit holds here at once.
func (s *Set) SetConfiguration(doc domain.ConfigDocument) {
	s.doc.Store(&doc)
	for _, l := range []*Ledger{s.Teams, s.Tasks} {
		l.mu.Lock()
		l.refresh()
		l.mu.Unlock()
		l.wake()
	}
}

// Leave returns the requests and slots at a graceful exit, after the last use.
func (s *Set) Leave(ctx context.Context) error {
	return errors.CombineErrors(s.Teams.Leave(ctx), s.Slots.Leave(ctx))
}

func (s *Set) requestLimits() allot.Limits {
	return s.limits(func(row domain.TeamRow) allot.Vector { return allot.Units(row.LimitRequests) })
}

func (s *Set) taskLimits() allot.Limits {
	return s.limits(func(row domain.TeamRow) allot.Vector { return allot.FromResources(row.Limit) })
}

func (s *Set) limits(of func(domain.TeamRow) allot.Vector) allot.Limits {
	doc := s.doc.Load()
	if doc == nil {
		return allot.Limits{}
	}
	limits := allot.Limits{Config: doc.Version, Items: make(map[string]allot.Vector, len(doc.Teams))}
	for id, row := range doc.Teams {
		limits.Items[string(id)] = of(row)
	}
	return limits
}

// Revocations returns the holders that the documents show as revoked. complete
// is false until every document was read: an instance that does not know all
// revocations must not vouch for anyone.
func (b *Bars) Revocations() (holders []string, complete bool) {
	complete = true
	for _, l := range b.ledgers {
		l.mu.Lock()
		complete = complete && l.seen && !l.broken
		holders = append(holders, l.doc.RevokedHolders()...)
		l.mu.Unlock()
	}
	return holders, complete
}
