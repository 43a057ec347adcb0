package socket

import (
	"errors"
	"syscall"
)

// NoDescriptor reports whether an error says that this process or machine has no descriptor left for a connection. Such an error
// says nothing about the other side.
func NoDescriptor(err error) bool {
	return errors.Is(err, syscall.EMFILE) || errors.Is(err, syscall.ENFILE)
}
