package bbproxy

import (
	"context"
	"net"
)

// targetDialer opens a connection to a target over this instance's own path.
type targetDialer func(ctx context.Context, address string) (net.Conn, error)

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	return d.DialContext(ctx, "tcp4", address)
}

// targetWays connects to targets.
type targetWays struct {
	dialOwn targetDialer
	meter   *trafficMeter
}

// newTargetWays returns ways whose bytes are counted.
func newTargetWays(dialOwn targetDialer, meter *trafficMeter) *targetWays {
	return &targetWays{dialOwn: dialOwn, meter: meter}
}

// connect opens a connection to an address. It blocks until ctx ends, for dialTimeout at
// most.
func (w *targetWays) connect(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := w.dialOwn(ctx, address)
	if err != nil {
		return nil, err
	}
	return w.meter.count(conn), nil
}
