package bbserve

import (
	"math/rand/v2"
	"net"
	"strconv"
	"sync/atomic"

	"github.com/juju/errors"
)

// Ports below those that systems give to outgoing connections.
const (
	firstPort = 12_000
	lastPort  = 32_000
)

// lastAllocated is the last port that was given out.
var lastAllocated atomic.Int64

// FreeAddress returns an address on loopback at which nobody listens and that
// this process has not got before, for tests that start a program there.
// Outgoing connections do not take its port, since it is below their range.
func FreeAddress() (string, error) {
	lastAllocated.CompareAndSwap(0, int64(firstPort+rand.IntN((lastPort-firstPort)/2)))
	for port := lastAllocated.Add(1); port < lastPort; port = lastAllocated.Add(1) {
		address := net.JoinHostPort("127.0.0.1", strconv.FormatInt(port, 10))
		if ln, err := net.Listen("tcp4", address); err == nil {
			return address, ln.Close()
		}
	}
	return "", errors.New("no free port")
}
