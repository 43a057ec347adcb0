package settings

import (
	"fmt"
	"net/netip"
	"net/url"
)

// Address is an IP address with a port. Host names are rejected, because processes connect to IP addresses
// only.
type Address string

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return fmt.Errorf("%q is not an IP address with a port", text)
	}
	*a = Address(text)
	return nil
}

// URL is the base URL of an HTTP service, with an IP address and a port as its host.
type URL string

// UnmarshalText implements encoding.TextUnmarshaler.
func (u *URL) UnmarshalText(text []byte) error {
	parsed, err := url.Parse(string(text))
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return fmt.Errorf("%q is not an http or https address", text)
	}
	if _, err := netip.ParseAddrPort(parsed.Host); err != nil {
		return fmt.Errorf("%q does not name an IP address with a port", text)
	}
	*u = URL(text)
	return nil
}

// Secret is a value that must not appear in logs or status pages.
type Secret string

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	*s = Secret(text)
	return nil
}

// String returns a placeholder, so that fmt and log/slog do not print the value.
func (s Secret) String() string { return "(hidden)" }

// GoString returns a placeholder for the %#v verb.
func (s Secret) GoString() string { return "(hidden)" }

// MarshalText returns a placeholder, so that encoders do not write the value.
func (s Secret) MarshalText() ([]byte, error) { return []byte("(hidden)"), nil }

// Reveal returns the value in plain text.
func (s Secret) Reveal() string { return string(s) }
