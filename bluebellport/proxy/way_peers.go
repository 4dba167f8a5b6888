package bbproxy

import (
	"context"
	"math/rand/v2"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/bluebellport/carry"
	"bluebellport.example/shared/bbend"
	"bluebellport.example/shared/bbunit"
)

// tryPeers is askPeers while it is not known whether the own path is lost. It asks only if
// what it finds would show that: neither this instance's own link nor its processor may be as
// likely the cause, and further work would make these worse.
func (w *targetWays) tryPeers(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	if w.isStrained() {
		return nil, errStrained
	}
	select {
	case w.comparing <- struct{}{}:
	default:
		return nil, errStrained
	}
	defer func() { <-w.comparing }()
	conn, err := w.askPeers(ctx, address, limit)
	if err != nil && w.isStrained() {
		return nil, errStrained
	}
	return conn, err
}

// askPeers asks peers to connect to an address, until ctx ends: the next one once the one
// before has declined, or has not answered for carryDelay. The first connection is used; it
// lasts for limit at most.
func (w *targetWays) askPeers(ctx context.Context, address string, limit time.Duration) (net.Conn, error) {
	ids := w.carriers.Choose(w.peers.View(), w.now(), rand.IntN)
	if len(ids) == 0 {
		return nil, errNoCarrier
	}
	answers := make(chan dialed, len(ids))
	open := 0
	defer func() { go closeAll(answers, open) }()
	err := error(errNoCarrier)
	for next := 0; open > 0 || next < len(ids); {
		if next < len(ids) {
			id := ids[next]
			go func() { answers <- w.askOne(ctx, id, address, limit) }()
			open, next = open+1, next+1
		}
		hedge := time.NewTimer(carryDelay)
		select {
		case d := <-answers:
			open--
			if d.err == nil || errors.Is(d.err, syscall.ECONNREFUSED) {
				hedge.Stop()
				return d.conn, d.err
			}
			err = d.err
		case <-hedge.C:
		case <-ctx.Done():
			hedge.Stop()
			return nil, ctx.Err()
		}
		hedge.Stop()
	}
	return nil, err
}

// closeAll closes the connections that so many answers still bring.
func closeAll(answers <-chan dialed, open int) {
	for range open {
		closeDialed(answers)
	}
}

// askOne asks one peer, and does not ask it again soon if it does not carry. That it
// cannot reach the target is no reason.
func (w *targetWays) askOne(ctx context.Context, id bbunit.InstanceID, address string, limit time.Duration) dialed {
	conn, err := w.ask(ctx, id, address, limit)
	if err == nil {
		w.carried.Inc(1)
		return dialed{conn: &meteredConn{Conn: conn, meter: w.meter}}
	}
	if ctx.Err() == nil && !errors.Is(err, syscall.ECONNREFUSED) && !errors.Is(err, bbcarry.ErrUnreachable) {
		w.carriers.Declined(id, w.now())
	}
	return dialed{err: err}
}

// ask asks one peer to connect to an address. It returns as soon as ctx ends.
func (w *targetWays) ask(ctx context.Context, id bbunit.InstanceID, address string, limit time.Duration) (net.Conn, error) {
	w.asked.Inc(1)
	deadline, _ := ctx.Deadline()
	result := make(chan dialed, 1)
	go func() {
		stream, err := w.peers.OpenStream(ctx, id, bbcarry.StreamKind)
		if err != nil {
			result <- dialed{err: err}
			return
		}
		conn, err := bbcarry.Dial(stream, address, limit, deadline)
		result <- dialed{conn, err}
	}()
	select {
	case d := <-result:
		return d.conn, d.err
	case <-ctx.Done():
		go closeDialed(result)
		return nil, ctx.Err()
	}
}

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	net.Conn
	meter *trafficMeter
}

// Read reads and counts the bytes.
func (c *meteredConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *meteredConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// ConfirmEnd is that of the connection.
func (c *meteredConn) ConfirmEnd(written <-chan struct{}, deadline time.Time) error {
	return bbend.Confirm(c.Conn, written, deadline)
}
