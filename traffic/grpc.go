package traffic

import (
	"context"
	"net"
	"path"
	"sync/atomic"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

// methodClasses maps each RPC method to the kind of its caller and its traffic class. The caller is PeerUnknown
// for methods that both routers and sidecars call.
var methodClasses = map[string]struct {
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

// classifyMethod returns the caller and class of a method. Unlisted methods count as control traffic.
func classifyMethod(method string) (Peer, Class) {
	entry, ok := methodClasses[method]
	if !ok {
		return PeerUnknown, ClassControl
	}
	return entry.caller, entry.class
}

// executeMethod is the method whose messages are counted as data.
const executeMethod = "Execute"

const (
	// flowControlWindow is the HTTP/2 flow-control window. Setting it disables gRPC's bandwidth estimator, which
	// sends a 17-byte ping with every burst of data.
	flowControlWindow = 1 << 20
	// controlBufferSize is the size of the read and write buffers of a control connection, whose messages are
	// small. gRPC's default of 32 KiB in each direction would make up most of a sidecar's memory.
	controlBufferSize = 4 << 10
)

// ClientOptions returns the dial options of a gRPC connection from this node to a sidecar: ClassData for
// a connection that carries Execute, Cancel and Hello, ClassControl for one that carries all other methods.
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
	options := []grpc.DialOption{grpc.WithContextDialer(dial), grpc.WithStatsHandler(&statsHandler{m})}
	if class == ClassControl {
		options = append(options,
			grpc.WithInitialWindowSize(flowControlWindow), grpc.WithInitialConnWindowSize(flowControlWindow),
			grpc.WithReadBufferSize(controlBufferSize), grpc.WithWriteBufferSize(controlBufferSize))
	}
	return options
}

// ServerOptions returns the options of a gRPC server that serves a listener from ListenGRPC.
func (m *Meter) ServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.StatsHandler(&statsHandler{m}),
		grpc.InitialWindowSize(flowControlWindow), grpc.InitialConnWindowSize(flowControlWindow),
	}
}

// statsHandler is a stats.Handler that counts messages by method and attributes those of Execute to data.
type statsHandler struct{ meter *Meter }

type contextKey int

const (
	connKey contextKey = iota
	callKey
)

// call holds the method and connection of one RPC.
type call struct {
	method string
	// conn is nil until the connection has been determined.
	conn atomic.Pointer[Conn]
}

// TagConn implements stats.Handler.
func (h *statsHandler) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	id := connID(info.LocalAddr, info.RemoteAddr)
	return context.WithValue(ctx, connKey, h.meter.lookup(id))
}

// HandleConn implements stats.Handler.
func (h *statsHandler) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler. On a server the context holds the connection; on a client the connection
// is not known until the header is sent.
func (h *statsHandler) TagRPC(ctx context.Context, info *stats.RPCTagInfo) context.Context {
	c := &call{method: path.Base(info.FullMethodName)}
	if conn, ok := ctx.Value(connKey).(*Conn); ok {
		c.conn.Store(conn)
	}
	return context.WithValue(ctx, callKey, c)
}

// HandleRPC implements stats.Handler. The length of a message includes gRPC's 5-byte prefix but not the
// HTTP/2 frame headers, which count as overhead.
func (h *statsHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	c, ok := ctx.Value(callKey).(*call)
	if !ok {
		return
	}
	switch s := s.(type) {
	case *stats.OutHeader:
		if s.Client {
			c.conn.Store(h.meter.lookup(connID(s.LocalAddr, s.RemoteAddr)))
		}
	case *stats.InHeader:
		if conn := c.conn.Load(); conn != nil && !s.Client {
			conn.classify(classifyMethod(c.method))
		}
	case *stats.InPayload:
		h.countMessage(c, In, s.WireLength)
	case *stats.OutPayload:
		h.countMessage(c, Out, s.WireLength)
	}
}

func (h *statsHandler) countMessage(c *call, dir Direction, length int) {
	h.meter.messageBytes.Add(c.method+"/"+string(dir), int64(length))
	h.meter.messages.Add(c.method+"/"+string(dir), 1)
	if conn := c.conn.Load(); conn != nil && c.method == executeMethod {
		conn.reclassifyAsData(dir, int64(length))
	}
}
