package peergnet

import (
	"context"
	"net"
	"net/netip"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/panjf2000/gnet/v2"

	"auburnpier/internal/core/membership"
	"auburnpier/internal/metrics"
	"auburnpier/internal/port"
)

// Names of the counters.
const (
	CounterSent            = "peer.datagram.sent"
	CounterSentBytes       = "peer.datagram.sent_bytes"
	CounterReceived        = "peer.datagram.received"
	CounterReceivedBytes   = "peer.datagram.received_bytes"
	CounterSendFailed      = "peer.datagram.send_failed"
	CounterTooLarge        = "peer.datagram.too_large"
	CounterQueueFull       = "peer.datagram.dropped_full"
	CounterMalformed       = "peer.datagram.malformed"
	CounterUnauthenticated = "peer.datagram.unauthenticated"
	CounterClockSkew       = "peer.datagram.clock_skew"
	CounterReplayed        = "peer.datagram.replayed"
	CounterEngineError     = "peer.datagram.engine_error"
)

// startTimeout limits the wait for the event loop to start.
const startTimeout = 5 * time.Second

// Options configure a Socket.
type Options struct {
	// Address is the IP:port to listen on.
	Address string
	Secret  []byte
	// QueueLength is the number of received datagrams that may wait to be read. Further ones are
	// dropped and counted.
	QueueLength int
	Clock       port.Clock
	Metrics     *metrics.Registry
}

// Received is an authenticated datagram.
type Received struct {
	// From is the IP:port of the sender.
	From    string
	Message *membership.Message
}

// Socket sends and receives authenticated datagrams.
type Socket struct {
	options    Options
	codec      *codec
	received   chan Received
	handler    *handler
	engineDone chan error
	conn       *net.UDPConn
	closeOnce  sync.Once
	closeErr   error
}

// Listen opens the socket. gnet sets SO_REUSEPORT on it, so two processes could bind the same UDP port.
// To prevent that, the caller first listens on the TCP port of the same number, which only one process
// can do.
func Listen(o Options) (*Socket, error) {
	c, err := newCodec(o.Secret)
	if err != nil {
		return nil, err
	}
	address, err := netip.ParseAddrPort(o.Address)
	if err != nil {
		return nil, errors.Wrapf(err, "datagram address %q is not IP:port", o.Address)
	}
	s := &Socket{
		options:    o,
		codec:      c,
		received:   make(chan Received, o.QueueLength),
		engineDone: make(chan error, 1),
	}
	s.handler = &handler{socket: s, filter: newReplayFilter(), booted: make(chan error, 1)}
	return s, s.start(address)
}

func (s *Socket) start(address netip.AddrPort) error {
	network := "udp6://"
	if address.Addr().Is4() {
		network = "udp4://"
	}
	go func() {
		s.engineDone <- gnet.Run(s.handler, network+address.String(),
			gnet.WithNumEventLoop(1),
			gnet.WithReadBufferCap(2*MaxDatagramBytes),
			gnet.WithLogger(engineErrorCounter{s.options.Metrics}))
	}()
	timer := time.NewTimer(startTimeout)
	defer timer.Stop()
	select {
	case err := <-s.handler.booted:
		return err
	case err := <-s.engineDone:
		return errors.Wrapf(err, "cannot listen for datagrams on %s; set the peer address to a free port of this VM", address)
	case <-timer.C:
		return errors.Newf("the datagram socket on %s did not start within %s", address, startTimeout)
	}
}

// Datagrams returns the channel of received datagrams.
func (s *Socket) Datagrams() <-chan Received { return s.received }

// Send encodes and sends a datagram. It does not report a datagram that is lost on the way.
func (s *Socket) Send(d membership.Datagram) error {
	m := s.options.Metrics
	address, err := netip.ParseAddrPort(d.To)
	if err != nil {
		m.Counter(CounterSendFailed).Inc(1)
		return errors.Wrapf(err, "datagram address %q is not IP:port", d.To)
	}
	datagram, err := s.codec.encode(&d.Message, s.options.Clock.Now())
	if err != nil {
		m.Counter(CounterTooLarge).Inc(1)
		return err
	}
	if _, err := s.conn.WriteToUDPAddrPort(datagram, address); err != nil {
		m.Counter(CounterSendFailed).Inc(1)
		return err
	}
	m.Counter(CounterSent).Inc(1)
	m.Counter(CounterSentBytes).Inc(int64(len(datagram)))
	return nil
}

// Close stops the event loop and closes the socket. Further calls return the result of the first.
func (s *Socket) Close() error {
	s.closeOnce.Do(func() { s.closeErr = s.close() })
	return s.closeErr
}

func (s *Socket) close() error {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = s.handler.engine.Stop(ctx) }()
	err := <-s.engineDone
	return errors.CombineErrors(err, s.conn.Close())
}

// handler receives datagrams in the event loop of gnet.
type handler struct {
	gnet.BuiltinEventEngine
	socket *Socket
	engine gnet.Engine
	filter *replayFilter
	booted chan error
}

// OnBoot duplicates the descriptor of the socket for sending.
func (h *handler) OnBoot(engine gnet.Engine) gnet.Action {
	h.engine = engine
	conn, err := dupSendConn(engine)
	h.socket.conn = conn
	h.booted <- err
	if err != nil {
		return gnet.Shutdown
	}
	return gnet.None
}

func dupSendConn(engine gnet.Engine) (*net.UDPConn, error) {
	fd, err := engine.Dup()
	if err != nil {
		return nil, err
	}
	file := os.NewFile(uintptr(fd), "peer datagrams")
	defer file.Close()
	conn, err := net.FilePacketConn(file)
	if err != nil {
		return nil, err
	}
	udp, ok := conn.(*net.UDPConn)
	if !ok {
		return nil, errors.Newf("the datagram socket has type %T", conn)
	}
	return udp, nil
}

// OnTraffic reads one datagram.
func (h *handler) OnTraffic(c gnet.Conn) gnet.Action {
	datagram, err := c.Next(-1)
	if err != nil {
		return gnet.None
	}
	h.receive(datagram, c.RemoteAddr().String())
	return gnet.None
}

func (h *handler) receive(datagram []byte, from string) {
	o := &h.socket.options
	o.Metrics.Counter(CounterReceived).Inc(1)
	o.Metrics.Counter(CounterReceivedBytes).Inc(int64(len(datagram)))
	now := o.Clock.Now()
	message, err := h.socket.codec.decode(datagram, now)
	if err == nil && !h.filter.accept(message, now) {
		err = errReplayed
	}
	if err != nil {
		o.Metrics.Counter(dropCounter(err)).Inc(1)
		return
	}
	select {
	case h.socket.received <- Received{From: from, Message: message}:
	default:
		o.Metrics.Counter(CounterQueueFull).Inc(1)
	}
}

func dropCounter(err error) string {
	switch {
	case errors.Is(err, errUnauthenticated):
		return CounterUnauthenticated
	case errors.Is(err, errClockSkew):
		return CounterClockSkew
	case errors.Is(err, errReplayed):
		return CounterReplayed
	default:
		return CounterMalformed
	}
}

// engineErrorCounter is the logger of gnet. It counts errors and drops their texts, which don't identify
// a datagram and so say no more than the counter.
type engineErrorCounter struct{ metrics *metrics.Registry }

func (l engineErrorCounter) Debugf(string, ...any) {}
func (l engineErrorCounter) Infof(string, ...any)  {}
func (l engineErrorCounter) Warnf(string, ...any)  {}
func (l engineErrorCounter) Errorf(string, ...any) { l.metrics.Counter(CounterEngineError).Inc(1) }
func (l engineErrorCounter) Fatalf(string, ...any) { l.metrics.Counter(CounterEngineError).Inc(1) }
