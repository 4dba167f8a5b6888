// Package bbserve stops HTTP servers.
package bbserve

import (
	"net"
	"time"
)

// Server is a server that runs on a listener.
type Server interface {
	ShutdownWithTimeout(timeout time.Duration) error
}

// Stop ends a server within the timeout, whether or not it has begun to serve: a
// shutdown that comes before the server knows its listener does nothing, so the
// listener is closed besides.
func Stop(server Server, ln net.Listener, timeout time.Duration) error {
	err := server.ShutdownWithTimeout(timeout)
	_ = ln.Close()
	return err
}
