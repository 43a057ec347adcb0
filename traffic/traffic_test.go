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

type echo struct {
	wire.UnimplementedSidecarServer
}

var answer = &wire.Chunk{Kind: &wire.Chunk_Data{Data: &wire.Data{Body: []byte(strings.Repeat("x", 5000))}}}

func (echo) Execute(_ *wire.ExecuteRequest, s grpc.ServerStreamingServer[wire.Chunk]) error {
	return s.Send(answer)
}

func (echo) Exchange(context.Context, *wire.ExchangeRequest) (*wire.ExchangeReply, error) {
	return &wire.ExchangeReply{}, nil
}

// Data and control must be told apart to the byte, at both ends in the same way.
func TestControlIsToldFromData(t *testing.T) {
	is := is.New(t)
	server, client := NewMeter(kernel.NewCounters()), NewMeter(kernel.NewCounters())
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s := grpc.NewServer(server.ServerOptions()...)
	wire.RegisterSidecarServer(s, echo{})
	done := make(chan error)
	go func() { done <- s.Serve(server.ListenFleet(l)) }()
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
	const prefix = 5 // gRPC's length prefix of a message.
	sent, received := client.Totals(), server.Totals()
	is.Equal(sent["sidecar/data/out"], int64(3*(proto.Size(request)+prefix)))
	is.Equal(sent["sidecar/data/in"], int64(3*(proto.Size(answer)+prefix)))
	is.Equal(received["router/data/in"], sent["sidecar/data/out"])
	is.Equal(received["router/data/out"], sent["sidecar/data/in"])
	is.True(sent["sidecar/overhead/out"] > 0 && sent["sidecar/control/out"] > 0)
	is.Equal(received["unknown/control/in"], int64(0)) // Moved to the kind of the first request.
	is.True(received["sidecar/control/in"] > 0)
	is.True(received["sidecar/control/in"] <= sent["sidecar/control/out"])
}

// The rate must cover whole seconds of the last ten and forget older ones.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		m := NewMeter(kernel.NewCounters())
		control := key{PeerLog, ClassControl, In}
		for range 30 {
			m.add(control, 500)
			m.add(key{PeerCaller, ClassData, In}, 1<<20)
			time.Sleep(time.Second)
		}
		is.Equal(m.Rate(), 500.0)
		is.Equal(m.Control(), int64(15000))
		time.Sleep(4 * time.Second)
		is.Equal(m.Rate(), 300.0)
		time.Sleep(time.Minute)
		is.Equal(m.Rate(), 0.0)
	})
}
