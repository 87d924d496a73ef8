// Package confsync keeps the configuration in force at an instance. It follows
// the document in the store, takes newer versions from peers, decides whether
// the configuration is fresh, and writes the operators' edits.
package confsync

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"auburnpier/internal/app/sharedwatch"
	"auburnpier/internal/core/confdoc"
	"auburnpier/internal/domain"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// ConfigKey is the store key of the configuration document.
const ConfigKey = sharedwatch.Prefix + "config"

// tick is how often the peers' statements and unresolved edits are looked at.
const tick = 250 * time.Millisecond

// Config holds what a Sync needs. Peers may be nil: the store is then the only
// source of confirmations.
type Config struct {
	// Announce is called with each change of the statement that others rely on:
	// before the first write of an edit, before an edit ends, and when a higher
	// version is heard of. Acknowledgements sent after it returned must carry
	// the statement. It must not block or call the Sync. It may be nil.
	Announce func(Statement)

	Store   port.Store
	Watch   *sharedwatch.Watcher
	Peers   Peers
	Clock   port.Clock
	Metrics *metrics.Registry
	Log     *zap.Logger
}

// Sync is the configuration at one instance. Its methods are safe for
// concurrent use.
type Sync struct {
	store   port.Store
	watch   *sharedwatch.Watcher
	peers   Peers
	clock   port.Clock
	metrics *metrics.Registry
	log     *zap.Logger
	report  func(Statement)

	current   atomic.Pointer[Snapshot]
	freshness freshness

	announcing  sync.Mutex
	install     sync.Mutex // orders the installation of versions
	subscribers []chan *Snapshot

	// storeVersion is the version that the watch last showed. It belongs to the
	// goroutine of the watch.
	storeVersion uint64
	storeValid   bool

	editTurn chan struct{} // holds one token; one edit at a time
	flight   flight
	newer    chan domain.InstanceID // peers that know a newer version
}

// New returns a Sync that follows the watch. Run must be called too.
func New(c Config) *Sync {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	s := &Sync{
		store: c.Store, watch: c.Watch, peers: c.Peers,
		clock: c.Clock, metrics: c.Metrics, log: c.Log,
		report:     c.Announce,
		storeValid: true,
		editTurn:   make(chan struct{}, 1),
		newer:      make(chan domain.InstanceID, 1),
	}
	c.Watch.Subscribe(s.onUpdate)
	return s
}

// Run takes newer versions from peers, evaluates their statements and resolves
// edits of unknown outcome until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-s.newer:
			s.fetch(ctx, from)
		case <-ticker.C:
			s.askPeers()
			s.resolve(ctx)
		}
	}
}

// Current returns the configuration in force, or nil before the first one.
func (s *Sync) Current() *Snapshot { return s.current.Load() }

// Subscribe returns a channel that holds the latest version not yet received.
// It must be called before Run.
func (s *Sync) Subscribe() <-chan *Snapshot {
	s.install.Lock()
	defer s.install.Unlock()
	ch := make(chan *Snapshot, 1)
	if current := s.current.Load(); current != nil {
		ch <- current
	}
	s.subscribers = append(s.subscribers, ch)
	return ch
}

// adopt puts the document in force if its version is above the current one.
func (s *Sync) adopt(doc domain.ConfigDocument) {
	s.install.Lock()
	defer s.install.Unlock()
	s.freshness.hear(doc.Version)
	current := s.current.Load()
	if current != nil && doc.Version <= current.Version() {
		return
	}
	next := newSnapshot(doc)
	s.current.Store(next)
	s.metrics.Gauge("confsync.version").Update(int64(doc.Version))
	for _, ch := range s.subscribers {
		replace(ch, next)
	}
	s.announce()
}

// replace puts the snapshot in the channel in place of one not yet received.
func replace(ch chan *Snapshot, next *Snapshot) {
	select {
	case <-ch:
	default:
	}
	ch <- next // there is room: only adopt sends, one at a time
}

// applied returns the version in force. Zero is also the version of a cell
// without a document.
func (s *Sync) applied() (uint64, bool) {
	current := s.current.Load()
	if current == nil {
		return 0, false
	}
	return current.Version(), true
}

// onUpdate takes the configuration from an answer of the watch.
func (s *Sync) onUpdate(u sharedwatch.Update) {
	if ev, ok := u.Latest(ConfigKey); ok {
		s.take(ev)
	}
	if !s.storeValid {
		return
	}
	if s.storeVersion == 0 {
		s.adopt(confdoc.Clone(domain.ConfigDocument{}))
	}
	if version, ok := s.applied(); ok && version == s.storeVersion {
		s.freshness.confirmByStore(version, u.RequestedAt)
	}
}

// take adopts the document of an event. A document that can't be read, or that
// was deleted, confirms nothing, so the instance fails closed.
func (s *Sync) take(ev port.Event) {
	s.storeValid = false
	if ev.Deleted {
		s.log.Error("the configuration document was deleted from the store; write it again", zap.String("key", ConfigKey))
		s.metrics.Counter("confsync.document_deleted").Inc(1)
		return
	}
	doc, err := confdoc.Decode(ev.Entry.Value)
	if err != nil {
		s.log.Error("the configuration document in the store can't be read", zap.Error(err))
		s.metrics.Counter("confsync.document_unreadable").Inc(1)
		return
	}
	s.storeValid = true
	s.storeVersion = doc.Version
	s.adopt(doc)
}
