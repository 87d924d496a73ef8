// Package allotment manages this instance's share of the allotment documents (section
// 5.4 of the design page). It claims, transfers and returns amounts according to demand,
// with at most one store write per second and document, and provides the request plane
// and the task plane with their current allowances.
package allotment

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/allot"
	"auburnpier/internal/ctxtime"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Store keys of the documents.
const (
	TeamsKey = sharedwatch.Prefix + "allot/teams"
	TasksKey = sharedwatch.Prefix + "allot/tasks"
)

// SlotsKey returns the store key of the region's backend server slots.
func SlotsKey(region domain.RegionID) string {
	return sharedwatch.Prefix + "allot/slots/" + string(region)
}

const (
	// roundInterval is the minimum time between two writes of a document by one instance.
	roundInterval = time.Second
	// storeCallTimeout bounds the store calls of one round.
	storeCallTimeout = 2 * time.Second
	// returnGracePeriod is the grace period after a limit was lowered in which holders can
	// return unused amounts before work is stopped. It covers one round and the
	// interval between watch requests.
	returnGracePeriod = 2 * time.Second
)

// Config contains the dependencies and settings of a Ledger.
type Config struct {
	Key string
	// Region is the region of this instance.
	Region  domain.RegionID
	Store   port.Store
	Watch   *sharedwatch.Watcher
	Clock   port.Clock
	Metrics *metrics.Registry
	Log     *zap.Logger
	// Limits returns the limits in force. It is called with the ledger's lock held
	// and must not call the ledger.
	Limits func() allot.Limits
	// ByPeak derives the demand from the peak of recent use. It is set for the
	// requests of teams.
	ByPeak bool
	// Usage returns the units that the instance has in use. It must include every
	// start that was decided before the call. It is called without the ledger's
	// lock and may call the ledger. It is nil for task resources.
	Usage func() map[string]UnitUse
	// LastConfirmed returns the send time of the latest ping that confirmed this instance's
	// authority: a peer of the region acknowledged it and does not suppress
	// acknowledgements to this instance. It may be nil.
	LastConfirmed func() time.Time
}

// Ledger manages one allotment document on behalf of this instance. Its methods are
// safe for concurrent use.
type Ledger struct {
	key           string
	region        string
	store         port.Store
	clock         port.Clock
	metrics       *metrics.Registry
	log           *zap.Logger
	limits        func() allot.Limits
	byPeak        bool
	usage         func() map[string]UnitUse
	lastConfirmed func() time.Time
	wakeup        chan struct{}

	mu           sync.Mutex
	doc          allot.Document
	revision     int64
	loaded       bool      // whether the document has been read from the store
	undecodable  bool      // whether the latest document can't be decoded
	lastRead     time.Time // start of the latest store call that returned the current document
	localHolders map[string]*localHolder
	// pending contains writes of unknown outcome that expected the current revision.
	pending         []allot.Document
	aboveLimitSince map[string]time.Time // when each item was first found above its limit
	lastWrite       time.Time
}

// New returns a ledger that subscribes to the watch. The caller must also call Run.
func New(c Config) *Ledger {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := &Ledger{
		key: c.Key, region: string(c.Region), store: c.Store, clock: c.Clock, metrics: c.Metrics, log: c.Log,
		limits: c.Limits, byPeak: c.ByPeak, usage: c.Usage, lastConfirmed: c.LastConfirmed,
		wakeup:          make(chan struct{}, 1),
		doc:             allot.New(),
		localHolders:    make(map[string]*localHolder),
		aboveLimitSince: make(map[string]time.Time),
	}
	c.Watch.Subscribe(l.onUpdate)
	return l
}

// JoinInstance adds this instance as a holder. The name must be unique to the
// process, so that a restarted process is a different holder.
func (l *Ledger) JoinInstance(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.localHolders[name] = &localHolder{holder: name, base: name, items: make(map[string]*itemState)}
}

// Run runs one round per second until ctx is done. Work that is rejected because the
// instance has no allowance triggers a round as soon as the last write is a second old.
func (l *Ledger) Run(ctx context.Context) error {
	pause := time.NewTimer(rand.N(roundInterval))
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pause.C:
		case <-l.wakeup:
			if wait := l.untilNextWrite(); wait > 0 && !ctxtime.Sleep(ctx, wait) {
				return ctx.Err()
			}
		}
		l.round(ctx)
		// The jitter keeps the instances from writing at the same moment.
		pause.Reset(roundInterval + rand.N(roundInterval/10))
	}
}

func (l *Ledger) untilNextWrite() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return roundInterval - l.clock.Now().Sub(l.lastWrite)
}

func (l *Ledger) requestRound() {
	select {
	case l.wakeup <- struct{}{}:
	default:
	}
}

// onUpdate applies the document from a response of the watch.
func (l *Ledger) onUpdate(u sharedwatch.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ev, ok := u.Latest(l.key); ok && !ev.Deleted {
		l.applyEntry(ev.Entry)
	}
	if u.Revision >= l.revision {
		l.recordRead(u.RequestedAt)
	}
	l.refresh()
}

// recordRead records that a store call that began at the given time returned the current
// document.
func (l *Ledger) recordRead(begun time.Time) {
	if l.undecodable {
		return
	}
	l.loaded = true
	l.lastRead = later(l.lastRead, begun)
}

// applyEntry applies an entry if its revision is later than the current one, and reports
// whether it did. The caller holds the lock.
func (l *Ledger) applyEntry(e port.Entry) bool {
	if e.Revision <= l.revision {
		return false
	}
	doc, err := allot.Decode(e.Value)
	if err != nil {
		l.log.Error("cannot decode the allotment document in the store", zap.String("key", l.key), zap.Error(err))
		l.metrics.Counter("allotment.document_unreadable").Inc(1)
		l.undecodable = true
		return false
	}
	l.setDocument(doc, e.Revision)
	return true
}

func (l *Ledger) setDocument(doc allot.Document, revision int64) {
	l.doc = doc
	l.revision = revision
	l.undecodable = false
	l.pending = nil
	for _, lo := range l.localHolders {
		if _, ok := doc.Holders[lo.holder]; ok {
			lo.joined = true
		}
		for item := range doc.Items {
			lo.item(item)
		}
		for item, u := range lo.items {
			u.setHeld(doc.Held(item, lo.holder))
		}
	}
}

// refresh recomputes the allowances from the document, the planned transfers and the
// limits in force. The caller holds the lock.
func (l *Ledger) refresh() {
	limits := l.limits()
	now := l.clock.Now()
	for item, it := range l.doc.Items {
		if it.TotalHeld().AtMost(it.Limit.Min(l.limitOf(limits, item))) {
			delete(l.aboveLimitSince, item)
		} else if _, ok := l.aboveLimitSince[item]; !ok {
			l.aboveLimitSince[item] = now
		}
	}
	for _, lo := range l.localHolders {
		changed := false
		for item, u := range lo.items {
			changed = l.refreshItem(limits, now, lo, item, u) || changed
		}
		if changed {
			lo.generation++
		}
	}
}

func (l *Ledger) refreshItem(limits allot.Limits, now time.Time, lo *localHolder, item string, u *itemState) bool {
	since, above := l.aboveLimitSince[item]
	stop := above && now.Sub(since) >= returnGracePeriod
	a := l.doc.AllowanceOf(item, lo.holder, l.limitOf(limits, item), stop)
	a.Amount = a.Amount.Min(u.kept)
	for _, p := range l.pending {
		a.Amount = a.Amount.Min(p.Held(item, lo.holder))
	}
	changed := a != u.allowance
	u.allowance = a
	u.maxUsable = u.maxUsable.Max(a.Amount)
	return changed
}

// limitOf returns the limit of the configuration in force on this instance, or the
// limit in the document if that comes from a newer configuration.
func (l *Ledger) limitOf(limits allot.Limits, item string) allot.Vector {
	if limits.FromList || limits.Config < l.doc.Config {
		return l.doc.Items[item].Limit
	}
	return limits.Items[item]
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
