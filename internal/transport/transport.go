// Package transport provides the gRPC options for connections between the system's own processes.
package transport

import (
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
	"jacinthfork.example/jacinthfork/kernel/settings"
)

const (
	// MaxMessageBytes is the maximum size of a gRPC message. It is large enough for the largest request body.
	MaxMessageBytes = 16 << 20
	// keepaliveTime is how long a connection may be idle before it is probed; clients probe it only while it has
	// open streams. Without probes, a paused peer or a broken link would be detected only by TCP, after minutes.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long to wait for the response to a probe before the connection is closed.
	keepaliveTimeout = 5 * time.Second
	// minProbeInterval is the minimum interval between probes that a server enforces. With gRPC's default of five
	// minutes, servers would close our connections.
	minProbeInterval = 5 * time.Second
)

// ServerOptions returns the options of a sidecar's gRPC server.
func ServerOptions(files settings.TLS) ([]grpc.ServerOption, error) {
	options := []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minProbeInterval, PermitWithoutStream: true}),
	}
	if !files.Enabled() {
		return options, nil
	}
	config, err := files.Config()
	if err != nil {
		return nil, err
	}
	return append(options, grpc.Creds(credentials.NewTLS(config))), nil
}

// DialOptions returns the options of a gRPC connection to a sidecar.
func DialOptions(files settings.TLS) ([]grpc.DialOption, error) {
	options := []grpc.DialOption{
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDisableServiceConfig(),
		// Retries are decided by the router alone. gRPC may still transparently retry a call that no server has
		// processed; the sidecar incarnation in an ExecuteRequest protects against a sidecar that was
		// replaced in the meantime.
		grpc.WithDisableRetry(),
	}
	if !files.Enabled() {
		return append(options, grpc.WithTransportCredentials(insecure.NewCredentials())), nil
	}
	config, err := files.Config()
	if err != nil {
		return nil, err
	}
	return append(options, grpc.WithTransportCredentials(credentials.NewTLS(config))), nil
}
