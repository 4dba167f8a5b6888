package bbproxy

import "syscall"

// hasLeft reports whether the client has closed its connection, also if this
// instance has not got round to reading that: one that has fallen behind reads a
// request long after the client sent it. It does not block.
func (c *clientConn) hasLeft() bool {
	conn, ok := c.socket.(syscall.Conn)
	if !ok || c.hasNext.Load() {
		return false
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return false
	}
	left := false
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		left = n == 0 && err == nil || err == syscall.ECONNRESET
	})
	return left
}
