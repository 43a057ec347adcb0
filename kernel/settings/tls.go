package settings

import (
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"os"
)

// TLS names the files for mutual TLS between the system's processes. All empty means plaintext,
// which is meant for loopback only.
type TLS struct {
	// Certificate and Key are this process's own, in PEM.
	Certificate string `toml:"certificate"`
	Key         string `toml:"key"`
	// Authority signs the certificates of all processes of the fleet, in PEM.
	Authority string `toml:"authority"`
	// ServerName is the name that certificates of sidecars carry.
	ServerName string `toml:"server_name"`
}

// Enabled reports whether TLS is configured.
func (t TLS) Enabled() bool { return t.Certificate != "" }

// Validate implements Validator.
func (t *TLS) Validate() []error {
	set := 0
	for _, file := range []string{t.Certificate, t.Key, t.Authority, t.ServerName} {
		if file != "" {
			set++
		}
	}
	if set != 0 && set != 4 {
		return []error{errors.New("certificate, key, authority and server_name go together")}
	}
	return nil
}

// Config returns a TLS configuration for both ends of a connection: each side presents its
// certificate and requires one of the fleet's authority from the other.
func (t TLS) Config() (*tls.Config, error) {
	certificate, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, fmt.Errorf("TLS certificate: %w", err)
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
