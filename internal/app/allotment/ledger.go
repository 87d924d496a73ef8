// Package allotment keeps this instance's part of the allotments of section
// 5.4: it claims, gives and returns amounts by demand, with at most one store
// write a second for each document, and tells the planes what they may use.
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
	// round is the time between two writes of a document by one instance.
	round = time.Second
	// callTimeout bounds the store calls of one round.
	callTimeout = 2 * time.Second
	// returnTime is how long holders may return what they do not use after a
	// limit was lowered, before work is stopped. It covers one round and the
	// spacing of the watch.
	returnTime = 2 * time.Second
)

// Config holds what a Ledger needs.
type Config struct {
	Key string
	// Region is the region of this instance.
	Region  domain.RegionID
	Store   port.Store
	Watch   *sharedwatch.Watcher
	Clock   port.Clock
	Metrics *metrics.Registry
	Log     *zap.Logger
	// Limits returns the limits in force. It is called with the ledger locked
	// and must not call it.
	Limits func() allot.Limits
	// ByPeak derives the demand from the recent use. It is set for the teams'
	// requests.
	ByPeak bool
	// Usage returns the use of the instance's units. Every start that was
	// decided before the call is counted. It is called without the ledger's
	// lock and may call the ledger. It is nil for task resources.
	Usage func() map[string]UnitUse
	// Vouched returns the latest time at which a ping was sent that a peer of
	// the region acknowledged without barring this instance. It may be nil.
	Vouched func() time.Time
}

// Ledger is one allotment document at this instance. Its methods are safe for
// concurrent use.
type Ledger struct {
	key     string
	region  string
	store   port.Store
	clock   port.Clock
	metrics *metrics.Registry
	log     *zap.Logger
	limits  func() allot.Limits
	byPeak  bool
	usage   func() map[string]UnitUse
	vouched func() time.Time
	poke    chan struct{}

	mu       sync.Mutex
	doc      allot.Document
	revision int64
	seen     bool      // whether the store has shown the document
	broken   bool      // whether the latest document can't be used
	read     time.Time // the latest begin of a call that showed it
	locals   map[string]*local
	// pending are writes of unknown outcome that expected the present revision.
	pending   []allot.Document
	above     map[string]time.Time // since when an item is above its limit
	lastWrite time.Time
}

// New returns a ledger that follows the watch. Run must be called too.
func New(c Config) *Ledger {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	l := &Ledger{
		key: c.Key, region: string(c.Region), store: c.Store, clock: c.Clock, metrics: c.Metrics, log: c.Log,
		limits: c.Limits, byPeak: c.ByPeak, usage: c.Usage, vouched: c.Vouched,
		poke:   make(chan struct{}, 1),
		doc:    allot.New(),
		locals: make(map[string]*local),
		above:  make(map[string]time.Time),
	}
	c.Watch.Subscribe(l.onUpdate)
	return l
}

// JoinInstance adds this instance as a holder. The name must be unique to the
// process, so that a restarted process is another holder.
func (l *Ledger) JoinInstance(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.locals[name] = &local{holder: name, base: name, items: make(map[string]*usage)}
}

// Run makes one round a second until ctx ends. Work that is turned away because
// the instance has nothing starts a round at once if the last write is a second ago.
func (l *Ledger) Run(ctx context.Context) error {
	pause := time.NewTimer(rand.N(round))
	defer pause.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-pause.C:
		case <-l.poke:
			if wait := l.untilNextWrite(); wait > 0 && !ctxtime.Sleep(ctx, wait) {
				return ctx.Err()
			}
		}
		l.round(ctx)
		// The jitter keeps the instances from writing in step.
		pause.Reset(round + rand.N(round/10))
	}
}

func (l *Ledger) untilNextWrite() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return round - l.clock.Now().Sub(l.lastWrite)
}

func (l *Ledger) wake() {
	select {
	case l.poke <- struct{}{}:
	default:
	}
}

// onUpdate takes the document from an answer of the watch.
func (l *Ledger) onUpdate(u sharedwatch.Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if ev, ok := u.Latest(l.key); ok && !ev.Deleted {
		l.take(ev.Entry)
	}
	if u.Revision >= l.revision {
		l.shown(u.RequestedAt)
	}
	l.refresh()
}

// shown notes that a call that began at the time showed the present document.
func (l *Ledger) shown(begun time.Time) {
	if l.broken {
		return
	}
	l.seen = true
	l.read = later(l.read, begun)
}

// take adopts an entry of a later revision. The caller holds the lock.
func (l *Ledger) take(e port.Entry) bool {
	if e.Revision <= l.revision {
		return false
	}
	doc, err := allot.Decode(e.Value)
	if err != nil {
		l.log.Error("an allotment document in the store can't be used", zap.String("key", l.key), zap.Error(err))
		l.metrics.Counter("allotment.document_unreadable").Inc(1)
		l.broken = true
		return false
	}
	l.adopt(doc, e.Revision)
	return true
}

func (l *Ledger) adopt(doc allot.Document, revision int64) {
	l.doc = doc
	l.revision = revision
	l.broken = false
	l.pending = nil
	for _, lo := range l.locals {
		if _, ok := doc.Holders[lo.holder]; ok {
			lo.joined = true
		}
		for item := range doc.Items {
			lo.usage(item)
		}
		for item, u := range lo.items {
			u.hold(doc.Held(item, lo.holder))
		}
	}
}

// refresh computes the allowances from the document, the transfers being made
// and the limits in force. The caller holds the lock.
func (l *Ledger) refresh() {
	limits := l.limits()
	now := l.clock.Now()
	for item, it := range l.doc.Items {
		if it.TotalHeld().AtMost(it.Limit.Min(l.limitOf(limits, item))) {
			delete(l.above, item)
		} else if _, ok := l.above[item]; !ok {
			l.above[item] = now
		}
	}
	for _, lo := range l.locals {
		changed := false
		for item, u := range lo.items {
			changed = l.refreshItem(limits, now, lo, item, u) || changed
		}
		if changed {
			lo.generation++
		}
	}
}

func (l *Ledger) refreshItem(limits allot.Limits, now time.Time, lo *local, item string, u *usage) bool {
	since, above := l.above[item]
	stop := above && now.Sub(since) >= returnTime
	a := l.doc.AllowanceOf(item, lo.holder, l.limitOf(limits, item), stop)
	a.Amount = a.Amount.Min(u.planned)
	for _, p := range l.pending {
		a.Amount = a.Amount.Min(p.Held(item, lo.holder))
	}
	changed := a != u.allowance
	u.allowance = a
	u.exposed = u.exposed.Max(a.Amount)
	return changed
}

// limitOf returns the limit of the configuration in force here, or that of the
// document where it comes from a newer configuration.
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
