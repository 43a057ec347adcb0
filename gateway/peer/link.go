package peer

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/peer"

	"jacinthfork.example/jacinthfork/gateway/peer/peerpb"
	"jacinthfork.example/jacinthfork/internal/socket"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/traffic"
)

const (
	// linkTimeout bounds the time to open a link. Routers are a few milliseconds away.
	linkTimeout = 600 * time.Millisecond
	// startLinkTimeout is the same for a router that has just started, perhaps with hundreds of others: giving up and
	// trying again would only add to what makes them slow.
	startLinkTimeout = 2400 * time.Millisecond
	// linkQueue is the number of messages that may wait to be sent on a link. A link that is slower is closed.
	linkQueue = 512
	// connectionBuffer is the size of a connection's read and write buffers. Messages are smaller.
	connectionBuffer = 4 << 10
	// windowBytes is the flow control window. A fixed one also turns off the pings by which gRPC measures a
	// connection to adapt its window, which would double the number of packets.
	windowBytes = 1 << 20
	// receiptTime is the time after which a message that was sent counts as received by a router of an older version, which does
	// not tell. What was sent less than that before a link was closed may be lost: messages wait in the buffers of both machines
	// while a process gets no processor time, and a parent that is silent is given up after 1.6 s.
	receiptTime = 2500 * time.Millisecond
	// receiptInterval is the longest time after which a router tells what it has received. Its answers tell it as well.
	receiptInterval = 2 * time.Second
	// maxTold bounds the messages that are kept until they are received. A router has a few hundred requests in flight.
	maxTold = 4096
)

// stream is the part of a gRPC stream that both sides of a link have in common.
type stream interface {
	Send(*peerpb.Message) error
	Recv() (*peerpb.Message, error)
}

// link is an open stream to another router. One goroutine reads it and one writes it.
type link struct {
	node string
	// incarnation is that of the hello.
	incarnation uint64
	out         chan *peerpb.Message
	// ctx is done once close was called, which ends both goroutines.
	ctx   context.Context
	close context.CancelFunc
	// silence counts the questions that were not answered in time.
	silence silence
	// outdated is set once the router is known to have restarted: what is still to be read is from before that.
	outdated atomic.Bool
	// sentMembersAt is when the whole membership was last sent. It is guarded by the fleet's lock.
	sentMembersAt time.Time
	mu            sync.Mutex
	// receipts is set if the other router tells what it has received.
	receipts bool
	// The fields below are guarded by mu. ended is set once nothing is sent any more. told are the messages without an answer that
	// may not have been received, and forgotten is the number of those sent before them.
	ended     bool
	told      []toldMessage
	forgotten uint64
	// received is the number of such messages that were received on this link, acknowledged the number that was told, and
	// acknowledging is set while the next message about it is due.
	received, acknowledged uint64
	acknowledging          bool
}

// toldMessage is a message without an answer that was sent.
type toldMessage struct {
	message *peerpb.Message
	at      time.Time
}

// needsReceipt reports whether the state of the receiver would stay wrong if a message were lost.
func needsReceipt(m *peerpb.Message) bool { return m.GetReleased() != 0 || m.GetReserve().GetForced() }

// newLink returns a link to a router whose hello has been received. The caller must close it.
func newLink(ctx context.Context, hello *peerpb.Member) *link {
	ctx, cancel := context.WithCancel(ctx)
	return &link{node: hello.GetNode(), incarnation: hello.GetIncarnation(), out: make(chan *peerpb.Message, linkQueue), ctx: ctx, close: cancel}
}

// send queues a message, or closes the link if it is too slow. It returns false if the message is not sent.
func (l *link) send(m *peerpb.Message) (queued bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return false
	}
	select {
	case l.out <- m:
		return true
	default:
		l.close()
		return false
	}
}

// recordTold keeps a message that is being sent until it counts as received.
func (l *link) recordTold(m *peerpb.Message, now time.Time) {
	if !needsReceipt(m) {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	old := 0
	for !l.receipts && old < len(l.told) && now.Sub(l.told[old].at) > receiptTime {
		old++
	}
	if len(l.told) >= maxTold {
		old = max(old, 1)
	}
	l.forget(old)
	l.told = append(l.told, toldMessage{m, now})
}

// forget forgets the first messages that were told. The caller holds mu.
func (l *link) forget(n int) {
	l.told = l.told[n:]
	l.forgotten += uint64(n)
}

// confirm records the number of messages that the other router has received.
func (l *link) confirm(received uint64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if received > l.forgotten {
		l.forget(int(min(received-l.forgotten, uint64(len(l.told)))))
	}
}

// recordReceived counts a message that needs a receipt, once it is handled, and tells the other router of it soon.
func (l *link) recordReceived() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received++
	if l.receipts && !l.acknowledging {
		l.acknowledging = true
		time.AfterFunc(receiptInterval, l.acknowledge)
	}
}

// acknowledge tells the other router what was received, unless it was told meanwhile.
func (l *link) acknowledge() {
	l.mu.Lock()
	l.acknowledging = false
	due := l.acknowledged < l.received && !l.ended
	l.mu.Unlock()
	if due {
		l.send(l.withReceipt(&peerpb.Message{}))
	}
}

// withReceipt adds the number of messages received to one that is sent on this link only, if the other router asks for it.
func (l *link) withReceipt(m *peerpb.Message) *peerpb.Message {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.receipts && l.acknowledged < l.received {
		m.Received, l.acknowledged = l.received, l.received
	}
	return m
}

// end makes send refuse further messages and returns those without an answer that may not have been received, in the order in
// which they were told.
func (l *link) end(now time.Time) (undelivered []*peerpb.Message) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
	for _, t := range l.told {
		if l.receipts || now.Sub(t.at) <= receiptTime {
			undelivered = append(undelivered, t.message)
		}
	}
	l.told = nil
	for {
		select {
		case m := <-l.out:
			if needsReceipt(m) {
				undelivered = append(undelivered, m)
			}
		default:
			return undelivered
		}
	}
}

var (
	// errLinkClosed is the error of a link that this router has closed.
	errLinkClosed = errors.New("the link was closed")
	// errOwnLink is the error of a link that leads back to this router.
	errOwnLink = errors.New("the link leads back to this router")
	// errNoDescriptor is the error of a link for which this process has no descriptor. It says nothing about the other router.
	errNoDescriptor = errors.New("no descriptor is left for a link")
)

// write sends the queued messages until the link is closed.
func (l *link) write(s stream) error {
	for {
		select {
		case <-l.ctx.Done():
			return errLinkClosed
		case m := <-l.out:
			l.recordTold(m, time.Now())
			if err := s.Send(m); err != nil {
				return err
			}
		}
	}
}

// serve runs a link whose first message has been received, until it ends. opened is called once it can be used.
func (f *Fleet) serve(ctx context.Context, s stream, first *peerpb.Message, opened func()) error {
	l := newLink(ctx, first.GetHello())
	l.receipts = first.GetReceipts()
	defer l.close()
	if !f.addLink(l, first.GetHello()) {
		return errOwnLink
	}
	defer f.removeLink(l)
	opened()
	failed := make(chan error, 2)
	go func() {
		failed <- l.write(s)
		l.close()
		for _, m := range l.end(time.Now()) {
			f.handler.Undelivered(l.node, m)
		}
	}()
	go func() {
		for {
			m, err := s.Recv()
			if err != nil {
				failed <- err
				return
			}
			f.receive(l, m)
		}
	}()
	return <-failed
}

// Link implements peerpb.PeerServer.
func (f *Fleet) Link(s grpc.BidiStreamingServer[peerpb.Message, peerpb.Message]) error {
	first, err := s.Recv()
	if err != nil {
		return err
	}
	if client, ok := peer.FromContext(s.Context()); ok && f.limit != nil && first.GetHello().GetNode() != "" {
		f.limit.Trust(client.Addr.String())
	}
	if err := s.Send(&peerpb.Message{Hello: f.self(), Receipts: true}); err != nil {
		return err
	}
	return f.serve(s.Context(), s, first, func() {})
}

// dial opens a link to an address and runs it until it ends. opened is called once the hello has been received, or
// with the error.
func (f *Fleet) dial(ctx context.Context, address string, opened func(error)) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var noDescriptor atomic.Bool
	conn, err := f.newConn(address, func(err error) { noDescriptor.Store(socket.NoDescriptor(err)) })
	if err != nil {
		opened(err)
		return
	}
	defer conn.Close()
	timer := time.AfterFunc(f.linkTimeout(), cancel)
	s, err := peerpb.NewPeerClient(conn).Link(ctx)
	if err == nil {
		err = s.Send(&peerpb.Message{Hello: f.self(), Receipts: true})
	}
	var first *peerpb.Message
	if err == nil {
		first, err = s.Recv()
	}
	if !timer.Stop() {
		// The attempt was cancelled, whatever it failed with.
		err = context.DeadlineExceeded
	}
	if err != nil && noDescriptor.Load() {
		err = errNoDescriptor
	}
	if err != nil {
		opened(err)
		return
	}
	if err := f.serve(ctx, s, first, func() { opened(nil) }); err == errOwnLink {
		opened(err)
	}
}

// linkTimeout returns how long an attempt to open a link may take.
func (f *Fleet) linkTimeout() time.Duration {
	if time.Since(f.startedAt) < startAge {
		return startLinkTimeout
	}
	return linkTimeout
}

// newConn returns a connection that is made on first use. failed is called with the error of an attempt.
func (f *Fleet) newConn(address string, failed func(error)) (*grpc.ClientConn, error) {
	options, err := transport.DialOptions(settings.TLS{})
	if err != nil {
		return nil, err
	}
	metered := f.meter.Dialer(traffic.PeerRouter, traffic.ClassControl)
	options = append(options, grpc.WithContextDialer(func(ctx context.Context, address string) (net.Conn, error) {
		conn, err := metered(ctx, "tcp", address)
		if err != nil {
			failed(err)
		}
		return conn, err
	}))
	options = append(options, grpc.WithReadBufferSize(connectionBuffer), grpc.WithWriteBufferSize(connectionBuffer), grpc.WithIdleTimeout(0),
		grpc.WithInitialWindowSize(windowBytes), grpc.WithInitialConnWindowSize(windowBytes))
	return grpc.NewClient("passthrough:///"+address, options...)
}
