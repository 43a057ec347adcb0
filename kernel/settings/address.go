package settings

import (
	"fmt"
	"net/netip"
	"net/url"
)

// Address is an IP number with a port. Names are refused, because processes talk by IP numbers.
type Address string

// UnmarshalText implements encoding.TextUnmarshaler.
func (a *Address) UnmarshalText(text []byte) error {
	if _, err := netip.ParseAddrPort(string(text)); err != nil {
		return fmt.Errorf("%q is not an IP address with a port", text)
	}
	*a = Address(text)
	return nil
}

// URL is the base address of an HTTP service, by IP number.
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

// Secret is a value that never reaches logs or status pages.
type Secret string

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Secret) UnmarshalText(text []byte) error {
	*s = Secret(text)
	return nil
}

// String hides the value from fmt and log/slog.
func (s Secret) String() string { return "(hidden)" }

// GoString hides the value from the %#v verb.
func (s Secret) GoString() string { return "(hidden)" }

// MarshalText hides the value from encoders.
func (s Secret) MarshalText() ([]byte, error) { return []byte("(hidden)"), nil }

// Reveal returns the value.
func (s Secret) Reveal() string { return string(s) }
