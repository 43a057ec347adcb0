package traffic

import (
	"context"
	"net"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"

	"jacinthfork.example/jacinthfork/kernel"
	"jacinthfork.example/jacinthfork/wire"
)

type testServer struct {
	wire.UnimplementedSidecarServer
}

var responseChunk = &wire.Chunk{Kind: &wire.Chunk_Data{Data: &wire.Data{Body: []byte(strings.Repeat("x", 5000))}}}

func (testServer) Execute(_ *wire.ExecuteRequest, s grpc.ServerStreamingServer[wire.Chunk]) error {
	return s.Send(responseChunk)
}

func (testServer) Exchange(context.Context, *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return &wire.ExchangeReply{}, nil
}

// Client and server must agree on the exact numbers of data and control bytes.
func TestControlAndDataBytesAreCountedSeparately(t *testing.T) {
	is := is.New(t)
	server, client := NewMeter(kernel.NewCounters()), NewMeter(kernel.NewCounters())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := grpc.NewServer(server.ServerOptions()...)
	wire.RegisterSidecarServer(s, testServer{})
	done := make(chan error)
	go func() { done <- s.Serve(server.ListenGRPC(l)) }()
	dial := func(class Class) *grpc.ClientConn {
		options := append(client.ClientOptions(class), grpc.WithTransportCredentials(insecure.NewCredentials()))
		conn, err := grpc.NewClient(l.Addr().String(), options...)
		is.NoErr(err)
		return conn
	}
	data, control := dial(ClassData), dial(ClassControl)
	request := &wire.ExecuteRequest{Body: []byte(strings.Repeat("y", 3000))}
	for range 3 {
		stream, err := wire.NewSidecarClient(data).Execute(t.Context(), request)
		is.NoErr(err)
		_, err = stream.Recv()
		is.NoErr(err)
		_, err = stream.Recv()
		is.True(err != nil)
		_, err = wire.NewSidecarClient(control).Exchange(t.Context(), &wire.ExchangeRequest{})
		is.NoErr(err)
	}
	is.NoErr(data.Close())
	is.NoErr(control.Close())
	s.GracefulStop()
	is.NoErr(<-done)
	const prefix = 5 // gRPC's message prefix
	sent, received := client.BytesByKey(), server.BytesByKey()
	is.Equal(sent["sidecar/data/out"], int64(3*(proto.Size(request)+prefix)))
	is.Equal(sent["sidecar/data/in"], int64(3*(proto.Size(responseChunk)+prefix)))
	is.Equal(received["router/data/in"], sent["sidecar/data/out"])
	is.Equal(received["router/data/out"], sent["sidecar/data/in"])
	is.True(sent["sidecar/overhead/out"] > 0 && sent["sidecar/control/out"] > 0)
	is.Equal(received["unknown/control/in"], int64(0)) // moved to the peer of the first request
	is.True(received["sidecar/control/in"] > 0)
	is.True(received["sidecar/control/in"] <= sent["sidecar/control/out"])
}

// Guards against a rate that includes seconds older than its ten-second window or the unfinished second.
func TestControlRateCoversLastTenSeconds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMeter(kernel.NewCounters())
		control := key{PeerLog, ClassControl, In}
		for range 30 {
			m.add(control, 500)
			m.add(key{PeerCaller, ClassData, In}, 1<<20)
			time.Sleep(time.Second)
		}
		is.Equal(m.ControlRate(), 500.0)
		is.Equal(m.ControlBytes(), int64(15000))
		time.Sleep(4 * time.Second)
		is.Equal(m.ControlRate(), 300.0)
		time.Sleep(time.Minute)
		is.Equal(m.ControlRate(), 0.0)
	})
}
