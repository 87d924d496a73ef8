package port

import (
	"errors"
	"net"
	"syscall"
)

// NotSent reports whether the error proves that a call failed before it was
// sent, because no connection could be opened.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}
