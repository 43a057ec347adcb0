// Package transport builds the gRPC connections between the system's own processes.
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
	// MaxMessageBytes bounds one gRPC message; it holds the largest request body.
	MaxMessageBytes = 16 << 20
	// keepaliveTime is the pause after which an idle connection with streams is probed. Without it a
	// paused peer or a cut link would be noticed only by TCP, after minutes.
	keepaliveTime = 10 * time.Second
	// keepaliveTimeout is how long a probe waits for its answer.
	keepaliveTimeout = 5 * time.Second
	// minProbeInterval is what a server allows; gRPC's default of five minutes would close our
	// connections.
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

// DialOptions returns the options of a connection to a sidecar.
func DialOptions(files settings.TLS) ([]grpc.DialOption, error) {
	options := []grpc.DialOption{
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: keepaliveTime, Timeout: keepaliveTimeout}),
		grpc.WithDisableServiceConfig(),
		// Only the router decides about another attempt. gRPC may still resend a call that no server
		// has processed; the incarnation on the attempt covers a sidecar that was replaced meanwhile.
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
