package traffic

import (
	"context"
	"net"
	"path"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// methods gives the class and the kind of caller for each method.
var methods = map[string]struct {
	caller Peer
	class  Class
}{
	"Execute":      {PeerRouter, ClassOverhead},
	"Cancel":       {PeerRouter, ClassOverhead},
	"Hello":        {PeerRouter, ClassOverhead},
	"Watch":        {PeerRouter, ClassControl},
	"Exchange":     {PeerSidecar, ClassControl},
	"ReportLimits": {PeerSidecar, ClassControl},
	"PullConfig":   {PeerUnknown, ClassControl},
	"OfferConfig":  {PeerUnknown, ClassControl},
}

// kindOf returns the caller and class of a method. A method that is not listed is control.
func kindOf(method string) (Peer, Class) {
	kind, ok := methods[method]
	if !ok {
		return PeerUnknown, ClassControl
	}
	return kind.caller, kind.class
}

// dataMethod is the method whose messages are data.
const dataMethod = "Execute"

const (
	// window is a fixed flow-control window. A fixed one turns off gRPC's estimation of the bandwidth,
	// which sends a ping of 17 bytes with every burst of data.
	window = 1 << 20
	// controlBuffer is the buffer of a control connection, whose messages are small. gRPC's default of
	// 32 KiB in each direction would be most of a sidecar's memory.
	controlBuffer = 4 << 10
)

// ClientOptions return the options of a gRPC connection from this node to a sidecar. ClassData makes
// a connection for Execute and Cancel, ClassControl one for all other methods.
func (m *Meter) ClientOptions(class Class) []grpc.DialOption {
	if class == ClassData {
		class = ClassOverhead
	}
	dial := func(ctx context.Context, address string) (net.Conn, error) {
		var dialer net.Dialer
		conn, err := dialer.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		c := m.Wrap(conn, PeerSidecar, class)
		m.register(c)
		return c, nil
	}
	options := []grpc.DialOption{grpc.WithContextDialer(dial), grpc.WithStatsHandler(&handler{m})}
	if class == ClassControl {
		options = append(options,
			grpc.WithInitialWindowSize(window), grpc.WithInitialConnWindowSize(window),
			grpc.WithReadBufferSize(controlBuffer), grpc.WithWriteBufferSize(controlBuffer))
	}
	return options
}

// ServerOptions return the options of a gRPC server whose listener is from ListenFleet.
func (m *Meter) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StatsHandler(&handler{m}),
		grpc.InitialWindowSize(window), grpc.InitialConnWindowSize(window),
	}
}

// handler tells the messages of Execute from the rest, and counts messages by method.
type handler struct{ meter *Meter }

type contextKey int

const (
	connKey contextKey = iota
	callKey
)

// call is what is known of one RPC.
type call struct {
	method string
	// conn is nil until the connection is known.
	conn atomic.Pointer[Conn]
}

// TagConn implements stats.Handler.
func (h *handler) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	name := connectionName(info.LocalAddr, info.RemoteAddr)
	return context.WithValue(ctx, connKey, h.meter.connection(name))
}

// HandleConn implements stats.Handler.
func (h *handler) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler. A server's context has the connection; a client learns it when
// the header is sent.
func (h *handler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	c := &call{method: path.Base(info.FullMethodName)}
	if conn, ok := ctx.Value(connKey).(*Conn); ok {
		c.conn.Store(conn)
	}
	return context.WithValue(ctx, callKey, c)
}

// HandleRPC implements stats.Handler. The length of a message includes gRPC's prefix of 5 bytes, but
// not HTTP/2 frame headers, which count as overhead.
func (h *handler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(callKey).(*call)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.OutHeader:
		if s.Client {
			c.conn.Store(h.meter.connection(connectionName(s.LocalAddr, s.RemoteAddr)))
		}
	case *stats.InHeader:
		if conn := c.conn.Load(); conn != nil && !s.Client {
			conn.classify(kindOf(c.method))
		}
	case *stats.InPayload:
		h.message(c, In, s.WireLength)
	case *stats.OutPayload:
		h.message(c, Out, s.WireLength)
	}
}

func (h *handler) message(c *call, dir Direction, length int) {
	h.meter.messageBytes.Add(c.method+"/"+string(dir), int64(length))
	h.meter.messages.Add(c.method+"/"+string(dir), 1)
	if conn := c.conn.Load(); conn != nil && c.method == dataMethod {
		conn.toData(dir, int64(length))
	}
}
