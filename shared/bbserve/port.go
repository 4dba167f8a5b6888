package bbserve

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// The range of ports to try, without endPort. It lies below the ephemeral ports that
// operating systems use for outgoing connections.
const (
	firstPort = 12_000
	endPort   = 32_000
)

// lastTriedPort is the last port that FreeAddress tried; 0 before the first call.
var lastTriedPort atomic.Int64

// FreeAddress returns a loopback address on which nothing listens, for tests that
// start a program there. It never returns an address twice in one process.
func FreeAddress() (string, error) {
	lastTriedPort.CompareAndSwap(0, int64(firstPort+rand.IntN((endPort-firstPort)/2)))
	for port := lastTriedPort.Add(1); port < endPort; port = lastTriedPort.Add(1) {
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		if ln, err := net.Listen("tcp4", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.Errorf("no free port up to %d", endPort-1)
}
