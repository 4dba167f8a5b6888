// Package bbserve stops HTTP servers and finds free addresses for tests.
package bbserve

import (
	"net"
	"time"
)

// Server is an HTTP server that can be shut down.
type Server interface {
	ShutdownWithTimeout(timeout time.Duration) error
}

// Stop shuts the server down within the timeout and closes its listener. Shutdown
// alone does nothing if the server has not begun to serve, because it does not know
// its listener yet.
func Stop(server Server, ln net.Listener, timeout time.Duration) error {
	err := server.ShutdownWithTimeout(timeout)
	_ = ln.Close()
	return err
}
