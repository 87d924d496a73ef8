// Package confsync maintains the configuration in force at an instance. It watches the document in the
// store, fetches newer versions from peers, decides whether the configuration is fresh, and writes the
// operators' edits to the store.
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

// evaluationInterval is the interval at which peer statements are evaluated and unresolved edits
// are checked.
const evaluationInterval = 250 * time.Millisecond

// Config holds the dependencies of a Sync. If Peers is nil, the store is the only source of
// confirmations.
type Config struct {
	// Announce, if set, is called with each change of the statement that peers rely on: before the
	// first write of an edit, before Apply returns, and when a higher version becomes known.
	// Acknowledgements sent after it returns must carry the statement. It must not block or call the
	// Sync.
	Announce func(Statement)

	Store   port.Store
	Watch   *sharedwatch.Watcher
	Peers   Peers
	Clock   port.Clock
	Metrics *metrics.Registry
	Log     *zap.Logger
}

// Sync maintains the configuration of one instance. Its methods are safe for concurrent use.
type Sync struct {
	store      port.Store
	watch      *sharedwatch.Watcher
	peers      Peers
	clock      port.Clock
	metrics    *metrics.Registry
	log        *zap.Logger
	onAnnounce func(Statement)

	current   atomic.Pointer[Snapshot]
	freshness freshness

	announceMu  sync.Mutex
	adoptMu     sync.Mutex // serializes adopt
	subscribers []chan *Snapshot

	// storeVersion is the version last reported by the watch, and storeValid whether that document was
	// readable. Only the goroutine of the watch uses them.
	storeVersion uint64
	storeValid   bool

	editSemaphore chan struct{} // semaphore that admits one edit at a time
	inFlight      editsInFlight
	fetchFrom     chan domain.InstanceID // peers that know a newer version
}

// New returns a Sync that subscribes to the watch. The caller must also call Run.
func New(c Config) *Sync {
	if c.Log == nil {
		c.Log = zap.NewNop()
	}
	s := &Sync{
		store: c.Store, watch: c.Watch, peers: c.Peers,
		clock: c.Clock, metrics: c.Metrics, log: c.Log,
		onAnnounce:    c.Announce,
		storeValid:    true,
		editSemaphore: make(chan struct{}, 1),
		fetchFrom:     make(chan domain.InstanceID, 1),
	}
	c.Watch.Subscribe(s.onUpdate)
	return s
}

// Run fetches newer versions from peers, evaluates their statements and resolves edits of unknown
// outcome until ctx ends.
func (s *Sync) Run(ctx context.Context) error {
	ticker := time.NewTicker(evaluationInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case from := <-s.fetchFrom:
			s.fetch(ctx, from)
		case <-ticker.C:
			s.confirmFromPeers()
			s.resolve(ctx)
		}
	}
}

// Current returns the configuration in force, or nil if there is none yet.
func (s *Sync) Current() *Snapshot { return s.current.Load() }

// Subscribe returns a channel that delivers versions put in force; an unreceived one is replaced by the
// next. Subscribe must be called before Run.
func (s *Sync) Subscribe() <-chan *Snapshot {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	ch := make(chan *Snapshot, 1)
	if current := s.current.Load(); current != nil {
		ch <- current
	}
	s.subscribers = append(s.subscribers, ch)
	return ch
}

// adopt puts the document in force if its version is higher than the current one.
func (s *Sync) adopt(doc domain.ConfigDocument) {
	s.adoptMu.Lock()
	defer s.adoptMu.Unlock()
	s.freshness.addKnown(doc.Version)
	current := s.current.Load()
	if current != nil && doc.Version <= current.Version() {
		return
	}
	next := newSnapshot(doc)
	s.current.Store(next)
	s.metrics.Gauge("confsync.version").Update(int64(doc.Version))
	for _, ch := range s.subscribers {
		sendLatest(ch, next)
	}
	s.announce()
}

// sendLatest sends the snapshot and discards one that was not received yet.
func sendLatest(ch chan *Snapshot, next *Snapshot) {
	select {
	case <-ch:
	default:
	}
	ch <- next // never blocks: only adopt sends, and it is serialized
}

// applied returns the version in force, or false if there is none yet. A cell without a document has
// version zero.
func (s *Sync) applied() (uint64, bool) {
	current := s.current.Load()
	if current == nil {
		return 0, false
	}
	return current.Version(), true
}

// onUpdate processes a response of the watch.
func (s *Sync) onUpdate(u sharedwatch.Update) {
	if ev, ok := u.Latest(ConfigKey); ok {
		s.processEvent(ev)
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

// processEvent adopts the document of a watch event. A deleted or unreadable document confirms
// nothing, so that the instance fails closed.
func (s *Sync) processEvent(ev port.Event) {
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
