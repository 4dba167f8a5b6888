package bbproxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbclock"
)

// meter counts the bytes that an instance reads and writes.
type meter struct{ in, out atomic.Int64 }

// meteredConn is a connection whose bytes are counted.
type meteredConn struct {
	*net.TCPConn
	m *meter
}

// wrap returns the connection counted, if it is one over TCP.
func (m *meter) wrap(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return meteredConn{tcp, m}
	}
	return c
}

// Read counts what it reads.
func (c meteredConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.m.in.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c meteredConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.m.out.Add(int64(n))
	return n, err
}

// guard decides when an instance has more traffic than its link carries. Then it
// asks the balancer for no new connections, and callers to connect anew, so that
// others take a part. The zero value without a limit never does.
type guard struct {
	limit   float64 // bytes a second, of each direction; 0: none
	above   int     // ticks in a row above the high mark
	until   time.Time
	crowded bool
}

const (
	// guardEvery is the time between two looks at the traffic.
	guardEvery = 250 * time.Millisecond
	// guardTicks is how many of them in a row must be above guardHigh.
	guardTicks = 2
	// guardHigh and guardLow are parts of the link's rate.
	guardHigh = 0.55
	guardLow  = 0.3
	// guardHold is the least time that an instance stays out.
	guardHold = 3 * time.Second
)

// tick takes the traffic since the last one, in bytes a second of the busier
// direction, and returns whether the instance is crowded.
func (g *guard) tick(rate float64, now time.Time) bool {
	if g.limit <= 0 {
		return false
	}
	if rate > guardHigh*g.limit {
		g.above++
	} else {
		g.above = 0
	}
	switch {
	case g.above >= guardTicks:
		g.crowded, g.until = true, now.Add(guardHold)
	case g.crowded && rate < guardLow*g.limit && now.After(g.until):
		g.crowded = false
	}
	return g.crowded
}

// watchLink runs the guard until ctx ends.
func (d *Door) watchLink(ctx context.Context) {
	g := guard{limit: d.set.LinkMbps * 1e6 / 8}
	in, out, at := d.meter.in.Load(), d.meter.out.Load(), d.now()
	for ctx.Err() == nil {
		bbclock.Wait(ctx, guardEvery)
		in2, out2, at2 := d.meter.in.Load(), d.meter.out.Load(), d.now()
		dt := max(at2.Sub(at).Seconds(), guardEvery.Seconds())
		rate := float64(max(in2-in, out2-out)) / dt
		in, out, at = in2, out2, at2
		if crowded := g.tick(rate, at2); d.board.Crowded.Swap(crowded) != crowded {
			d.log.WithFields(logrus.Fields{"event": "crowded", "crowded": crowded, "rate": int64(rate), "limit": int64(g.limit)}).Info("traffic against the link")
		}
	}
}
