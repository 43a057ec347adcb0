// Package entry validates entries of instance lists.
package entry

import (
	"errors"
	"fmt"
	"net/netip"

	"jacinthfork.example/jacinthfork/services"
)

// Validate returns an error that describes why an entry is unusable, or nil.
func Validate(i services.Instance) error {
	if i.ID == "" {
		return errors.New("an instance has an empty id")
	}
	switch i.Role {
	case services.RoleRouter:
	case services.RoleSidecar:
		if i.Pool == "" {
			return fmt.Errorf("instance %q: a sidecar needs a pool", i.ID)
		}
		if i.Address == "" {
			return fmt.Errorf("instance %q: a sidecar needs an address", i.ID)
		}
	default:
		return fmt.Errorf("instance %q: role %q is not router or sidecar", i.ID, i.Role)
	}
	return errors.Join(validateAddress(i.ID, i.Address), validateAddress(i.ID, i.OperatorAddress))
}

func validateAddress(id, address string) error {
	if address == "" {
		return nil
	}
	if _, err := netip.ParseAddrPort(address); err != nil {
		return fmt.Errorf("instance %q: %q is not an IP address with a port", id, address)
	}
	return nil
}
