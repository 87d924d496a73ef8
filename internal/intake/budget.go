// Package intake bounds what callers can take of a process before their requests are
// handled: the memory of request bodies in progress, and connections. Under pressure it
// closes what has gone longest without progress in favour of what makes progress.
package intake

import (
	"container/list"
	"sync"
	"time"

	gometrics "github.com/rcrowley/go-metrics"

	"auburnpier/internal/metrics"
)

const (
	// progressBytes is how much has to arrive to count as progress. A caller that sends single
	// bytes makes none, and gives way to others.
	progressBytes = 1 << 10
	// stallAfter is the time without progress from which on a body gives way. Bodies that make
	// progress are not evicted in favour of others, since then none might ever be complete.
	stallAfter = 500 * time.Millisecond
	// maxDecoding bounds the bodies decoded at a time. A body of many small elements allocates up
	// to 16 times its size while it is decoded.
	maxDecoding = 2
)

// Budget bounds the memory of the request bodies in progress in one process.
type Budget struct {
	limit    int64 // zero or less means no bound
	now      func() time.Time
	decoding chan struct{}

	mu sync.Mutex
	// changed is signalled when memory is released or a body is evicted.
	changed *sync.Cond
	used    int64
	// leaving is the part of used that evicted bodies have not yet released.
	leaving int64
	// reading holds the bodies that are being read, the one longest without progress first.
	reading *list.List

	evicted, refused, timedOut gometrics.Counter
	bytes                      gometrics.Gauge
}

// NewBudget returns a budget of the given number of bytes. Zero means no bound.
func NewBudget(bytes int64, m *metrics.Registry) *Budget {
	b := &Budget{
		limit: bytes, now: time.Now, decoding: make(chan struct{}, maxDecoding), reading: list.New(),
		evicted:  m.Counter("intake.body_evicted"),
		refused:  m.Counter("intake.body_refused"),
		timedOut: m.Counter("intake.body_timed_out"),
		bytes:    m.Gauge("intake.body_bytes"),
	}
	b.changed = sync.NewCond(&b.mu)
	return b
}

// Decode calls f, which decodes a body, as soon as fewer than maxDecoding others are being decoded.
func (b *Budget) Decode(f func()) {
	b.decoding <- struct{}{}
	defer func() { <-b.decoding }()
	f()
}

// body is a request body in progress. Its caller reads it in one goroutine.
type body struct {
	budget *Budget
	// stop makes a pending read of the body fail. It must not block.
	stop func()

	// The budget's lock guards these.
	held     int64
	progress time.Time     // of the last progress
	element  *list.Element // nil once the body is no longer being read
	evicted  bool
	closed   bool

	sinceProgress int64 // bytes read since then, used by the reading goroutine only
}

func (b *Budget) open(stop func()) *body {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := &body{budget: b, stop: stop, progress: b.now()}
	x.element = b.reading.PushBack(x)
	return x
}

// arrived counts bytes that were read.
func (x *body) arrived(n int) {
	if x.sinceProgress += int64(n); x.sinceProgress < progressBytes {
		return
	}
	x.sinceProgress = 0
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	x.progress = b.now()
	if x.element != nil {
		b.reading.MoveToBack(x.element)
	}
}

// grow takes memory for the body. If the budget is used up it evicts stalled bodies and waits until
// they have released theirs. It fails if the body was evicted itself, or if the others make progress.
func (x *body) grow(n int64) error {
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.growLocked(x, n)
}

func (b *Budget) growLocked(x *body, n int64) error {
	for {
		if x.evicted {
			return &EvictedError{}
		}
		// A body that is alone is served whatever its size, which the limit of one body bounds.
		if n <= 0 || b.limit <= 0 || b.used+n <= b.limit || b.used == x.held {
			b.used += n
			x.held += n
			b.bytes.Update(b.used)
			return nil
		}
		for b.used-b.leaving+n > b.limit && b.evictStalled(x) {
		}
		if b.used-b.leaving+n > b.limit && b.used-b.leaving > x.held {
			b.refused.Inc(1)
			return &FullError{}
		}
		b.changed.Wait()
	}
}

// evictStalled evicts the body that has gone longest without progress, other than keep. It reports
// whether there was one that has stalled.
func (b *Budget) evictStalled(keep *body) bool {
	latest := b.now().Add(-stallAfter)
	for e := b.reading.Front(); e != nil; e = e.Next() {
		x := e.Value.(*body)
		if x.progress.After(latest) {
			return false
		}
		if x == keep || x.held == 0 {
			continue
		}
		x.evicted = true
		b.stopReading(x)
		b.leaving += x.held
		b.evicted.Inc(1)
		x.stop()
		b.changed.Broadcast()
		return true
	}
	return false
}

func (b *Budget) stopReading(x *body) {
	if x.element != nil {
		b.reading.Remove(x.element)
		x.element = nil
	}
}

// complete ends the reading of the body, after which it is never evicted, and sets the memory that it
// holds from now on.
func (x *body) complete(need int64) error {
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stopReading(x)
	return b.growLocked(x, need-x.held)
}

// close releases the memory of the body.
func (x *body) close() {
	b := x.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if x.closed {
		return
	}
	x.closed = true
	b.stopReading(x)
	if x.evicted {
		b.leaving -= x.held
	}
	b.used -= x.held
	b.bytes.Update(b.used)
	b.changed.Broadcast()
}
