package bbproxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbclock"
)

// trafficMeter counts the bytes that an instance reads and writes.
type trafficMeter struct{ in, out atomic.Int64 }

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	*net.TCPConn
	meter *trafficMeter
}

// count returns the connection counted, if it is one over TCP.
func (m *trafficMeter) count(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return countedConn{tcp, m}
	}
	return c
}

// Read counts what it reads.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write counts what it writes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}

// saturationDetector decides when an instance has more traffic than its link carries. Then it
// asks the balancer for no new connections, and callers to connect anew, so that
// others take a part. The zero value without a limit never does.
type saturationDetector struct {
	limit      float64 // bytes a second, of each direction; 0: none
	ticksAbove int     // ticks in a row above the high mark
	holdUntil  time.Time
	saturated  bool
}

const (
	// linkCheckInterval is the time between two looks at the traffic.
	linkCheckInterval = 250 * time.Millisecond
	// saturationTicks is how many of them in a row must be above guardHigh.
	saturationTicks = 2
	// saturationHigh and guardLow are parts of the link's rate.
	saturationHigh = 0.55
	saturationLow  = 0.3
	// saturationHold is the least time that an instance stays out.
	saturationHold = 3 * time.Second
)

// update takes the traffic since the last one, in bytes a second of the busier
// direction, and returns whether the instance is crowded.
func (d *saturationDetector) update(rate float64, now time.Time) bool {
	if d.limit <= 0 {
		return false
	}
	if rate > saturationHigh*d.limit {
		d.ticksAbove++
	} else {
		d.ticksAbove = 0
	}
	switch {
	case d.ticksAbove >= saturationTicks:
		d.saturated, d.holdUntil = true, now.Add(saturationHold)
	case d.saturated && rate < saturationLow*d.limit && now.After(d.holdUntil):
		d.saturated = false
	}
	return d.saturated
}

// watchLink runs the guard until ctx ends.
func (p *Proxy) watchLink(ctx context.Context) {
	detector := saturationDetector{limit: p.settings.LinkMbps * 1e6 / 8}
	in, out, last := p.traffic.in.Load(), p.traffic.out.Load(), p.now()
	for ctx.Err() == nil {
		bbclock.Wait(ctx, linkCheckInterval)
		newIn, newOut, now := p.traffic.in.Load(), p.traffic.out.Load(), p.now()
		elapsed := max(now.Sub(last).Seconds(), linkCheckInterval.Seconds())
		rate := float64(max(newIn-in, newOut-out)) / elapsed
		in, out, last = newIn, newOut, now
		if saturated := detector.update(rate, now); p.shared.LinkSaturated.Swap(saturated) != saturated {
			p.log.WithFields(logrus.Fields{"event": "crowded", "crowded": saturated, "rate": int64(rate), "limit": int64(detector.limit)}).Info("traffic against the link")
		}
	}
}
