package bbproxy

import (
	"net"
	"sync/atomic"
)

// trafficMeter counts the bytes that an instance reads and writes, and those of large bodies
// that it admitted while its link was short.
type trafficMeter struct{ in, out, bodies atomic.Int64 }

// countedConn is a TCP connection whose bytes are counted.
type countedConn struct {
	*net.TCPConn
	meter *trafficMeter
}

// count wraps a TCP connection so that its bytes are counted.
func (m *trafficMeter) count(c net.Conn) net.Conn {
	if tcp, ok := c.(*net.TCPConn); ok {
		return countedConn{tcp, m}
	}
	return c
}

// Read reads and counts the bytes.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.TCPConn.Read(b)
	c.meter.in.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.TCPConn.Write(b)
	c.meter.out.Add(int64(n))
	return n, err
}
