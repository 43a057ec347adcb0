package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLS configures mutual TLS between the processes of the fleet. When all fields are empty, connections are
// plaintext, which is intended for loopback only.
type TLS struct {
	// Certificate and Key are the files of this process's certificate and private key, in PEM format.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority is the file of the certificate authority of the fleet, in PEM format.
	Authority string `toml:"authority"`
	// ServerName is the name in the certificates of sidecars.
	ServerName string `toml:"server_name"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Validate implements Validator.
func (t *TLS) Validate() []error {
	set := 0
	for _, value := range []string{t.Certificate, t.Key, t.Authority, t.ServerName} {
		if value != "" {
			set++
		}
	}
	if set != 0 && set != 4 {
		return []error{errors.New("certificate, key, authority and server_name must be set together")}
	}
	return nil
}

// Config returns a TLS configuration for clients and servers: each side presents its certificate and requires
// the other side to present one that the fleet's authority has signed.
func (t TLS) Config() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("TLS certificate %s with key %s: %w", t.Certificate, t.Key, err)
	}
	text, err := os.ReadFile(t.Authority)
	if err != nil {
		return nil, fmt.Errorf("TLS authority: %w", err)
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return nil, fmt.Errorf("TLS authority: no certificate in %s", t.Authority)
	}
	return &tls.Config{
		Certificates: []tls.Certificate{certificate},
		RootCAs:      pool,
		ClientCAs:    pool,
		ClientAuth:   tls.RequireAndVerifyClientCert,
		ServerName:   t.ServerName,
		MinVersion:   tls.VersionTLS13,
	}, nil
}
