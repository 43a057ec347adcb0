package demo

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"jacinthfork.example/jacinthfork/internal/transport"
	"jacinthfork.example/jacinthfork/kernel/settings"
	"jacinthfork.example/jacinthfork/router"
	"jacinthfork.example/jacinthfork/sidecar"
	"jacinthfork.example/jacinthfork/wire"
)

const serverName = "sidecar.fleet"

// testCA is a certificate authority for one fleet.
type testCA struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	dir         string
}

func newTestCA(t *testing.T) *testCA {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "fleet"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	is.NoErr(err)
	certificate, err := x509.ParseCertificate(raw)
	is.NoErr(err)
	ca := &testCA{certificate, key, t.TempDir()}
	ca.write(t, "authority.pem", "CERTIFICATE", raw)
	return ca
}

func (ca *testCA) write(t *testing.T, name, kind string, raw []byte) string {
	file := filepath.Join(ca.dir, name)
	is.New(t).NoErr(os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: raw}), 0o600))
	return file
}

// issue returns TLS settings with a new certificate of this authority.
func (ca *testCA) issue(t *testing.T) settings.TLS {
	is := is.New(t)
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	is.NoErr(err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(2), NotAfter: time.Now().Add(time.Hour), DNSNames: []string{serverName},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageClientAuth, x509.ExtKeyUsageServerAuth},
	}
	raw, err := x509.CreateCertificate(rand.Reader, template, ca.certificate, &key.PublicKey, ca.key)
	is.NoErr(err)
	private, err := x509.MarshalECPrivateKey(key)
	is.NoErr(err)
	return settings.TLS{
		Certificate: ca.write(t, "own.pem", "CERTIFICATE", raw), Key: ca.write(t, "key.pem", "EC PRIVATE KEY", private),
		Authority: filepath.Join(ca.dir, "authority.pem"), ServerName: serverName,
	}
}

// A sidecar must accept connections only from its fleet: a client without a certificate, or with a certificate
// of another authority, must be rejected. The fleet itself must work with TLS.
func TestSidecarRejectsClientsWithoutFleetCertificate(t *testing.T) {
	is := is.New(t)
	tlsSettings := newTestCA(t).issue(t)
	options := DefaultOptions()
	options.Size = Size{Routers: 1, Engines: 2, Services: 1}
	options.Router = func(s *router.Settings) { s.TLS = tlsSettings }
	options.Sidecar = func(s *sidecar.Settings) { s.TLS = tlsSettings }
	fleet, err := Start(options)
	is.NoErr(err)
	defer fleet.Close()
	ctx, cancel := context.WithTimeout(context.Background(), runTimeout)
	defer cancel()
	is.NoErr(fleet.WaitReady(ctx))
	result, err := fleet.Run(ctx, Workload{Chats: 2, Turns: 2, Actions: 1, Seed: 1})
	is.NoErr(err)
	is.Equal(result.WholeAnswers, result.Requests)

	foreign, err := transport.DialOptions(newTestCA(t).issue(t))
	is.NoErr(err)
	plain := []grpc.DialOption{grpc.WithTransportCredentials(insecure.NewCredentials())}
	for _, dial := range [][]grpc.DialOption{plain, foreign} {
		conn, err := grpc.NewClient("passthrough:///"+fleet.Sidecars[0].Address(), dial...)
		is.NoErr(err)
		_, err = wire.NewSidecarClient(conn).Hello(ctx, &wire.HelloRequest{Router: "intruder"})
		is.True(err != nil)
		is.NoErr(conn.Close())
	}
}
