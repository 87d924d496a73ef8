package peering

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"auburnpier/internal/adapter/peergnet"
	"auburnpier/internal/core/membership"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Limits and intervals of the loop.
const (
	// tickInterval is one third of the shortest membership timeout.
	tickInterval = 100 * time.Millisecond
	// commandQueueLength is the maximum number of commands queued for the loop.
	commandQueueLength = 64
	// outgoingQueueLength is the maximum number of datagrams queued for the sender.
	outgoingQueueLength = 1024
	// incomingQueueLength is the maximum number of datagrams queued for the loop.
	incomingQueueLength = 1024
	// leaveTimeout bounds the announcement of the exit.
	leaveTimeout = 1500 * time.Millisecond
)

// Names of the counters and gauges.
const (
	counterOutgoingFull = "peer.outgoing_full"
	counterCommandsFull = "peer.commands_full"
	gaugeHealth         = "peer.health_score"
	gaugeMembersLive    = "peer.members_live"
)

// errLoopBusy is returned if the command queue is full.
var errLoopBusy = errors.New("command queue of the membership loop is full, retry later")

// errStopped is returned if the loop has ended.
var errStopped = errors.New("membership loop has ended")

// command is a function to run in the loop.
type command struct {
	run  func(*membership.Node)
	done chan struct{}
}

// loop is the goroutine that owns the membership state.
type loop struct {
	node      *membership.Node
	clock     port.Clock
	metrics   *metrics.Registry
	selfState *selfState
	view      *view
	incoming  <-chan peergnet.Received
	outgoing  chan membership.Datagram
	commands  chan command
	// ended is closed when no more commands will run.
	ended chan struct{}
	// onChange is called in the loop for each change.
	onChange func(membership.Change)
}

// run processes input until the context ends, then announces the exit.
func (l *loop) run(ctx context.Context) {
	defer close(l.ended)
	defer close(l.outgoing)
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		l.step(ctx.Done(), ticker.C)
	}
	l.leave(ticker.C)
}

func (l *loop) leave(ticks <-chan time.Time) {
	l.node.Leave()
	ctx, cancel := context.WithTimeout(context.Background(), leaveTimeout)
	defer cancel()
	for ctx.Err() == nil && !l.node.AllSent() {
		l.step(ctx.Done(), ticks)
	}
}

func (l *loop) step(stop <-chan struct{}, ticks <-chan time.Time) {
	select {
	case <-stop:
	case received := <-l.incoming:
		l.selfState.apply(l.node)
		l.emit(l.node.Receive(l.clock.Now(), received.From, received.Message), false)
	case <-ticks:
		l.tick()
	case <-l.selfState.wake:
		l.tick()
	case c := <-l.commands:
		c.run(l.node)
		close(c.done)
		l.tick()
	}
}

func (l *loop) tick() {
	l.selfState.apply(l.node)
	l.emit(l.node.Tick(l.clock.Now()), true)
}

// emit publishes the member list and queues the datagrams. Without changes, the
// list is published only on ticks. A change is published before the datagram that
// acknowledges it is sent, because the receiver takes it to be in effect.
func (l *loop) emit(out membership.Output, tick bool) {
	if tick || len(out.Changes) > 0 {
		l.view.publish(l.snapshot(), out.Changes)
	}
	for _, d := range out.Datagrams {
		select {
		case l.outgoing <- d:
		default:
			l.metrics.Counter(counterOutgoingFull).Inc(1)
		}
	}
	for _, c := range out.Changes {
		l.onChange(c)
	}
}

func (l *loop) snapshot() snapshot {
	s := snapshot{
		self:             l.node.Self(),
		members:          l.node.Members(),
		allPeers:         l.node.PeersConfirmation(l.node.Self().ConfigVersion),
		relayed:          l.node.RelayedConfirmations(),
		regionAck:        l.node.LastRegionAck(),
		storeOutage:      l.node.StoreOutage(),
		storeConfirmedAt: l.node.StoreConfirmedAt(),
		joined:           l.node.Joined(),
		superseded:       l.node.Superseded(),
		drainingKnown:    l.node.DrainingKnown(),
	}
	version, holder := l.node.NewestVersion()
	s.newestVersion = version
	if holder != nil {
		s.newestHolder = holder.ID
	}
	live := int64(0)
	for _, m := range s.members {
		if m.State == membership.StateAlive {
			live++
		}
	}
	l.metrics.Gauge(gaugeHealth).Update(int64(l.node.Health()))
	l.metrics.Gauge(gaugeMembersLive).Update(live)
	return s
}

// do runs a function in the loop and waits for it.
func (l *loop) do(ctx context.Context, run func(*membership.Node)) error {
	c := command{run: run, done: make(chan struct{})}
	select {
	case l.commands <- c:
	default:
		l.metrics.Counter(counterCommandsFull).Inc(1)
		return errLoopBusy
	}
	select {
	case <-c.done:
		return nil
	case <-l.ended:
		return errStopped
	case <-ctx.Done():
		return ctx.Err()
	}
}

// send sends the queued datagrams until the loop has ended.
func (l *loop) send(socket *peergnet.Socket) {
	for d := range l.outgoing {
		// The socket counts failed sends, and the protocol tolerates lost datagrams.
		_ = socket.Send(d)
	}
}
