package port

import (
	"errors"
	"net"
	"syscall"
)

// NotSent reports whether the error of a call proves that it did not reach a process.
func NotSent(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial" || errors.Is(err, syscall.ECONNREFUSED)
}
