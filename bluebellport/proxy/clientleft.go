package bbproxy

import (
	"bytes"
	"syscall"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	"bluebellport.example/platform"
)

// maxCrossingHead is how many bytes of a request that is not read any more are looked
// at for its id.
const maxCrossingHead = 2 << 10

// look copies what the client has sent and was not read to b, and leaves it unread. It
// does not block, and reports false if it could not look.
func (c *clientConn) look(b []byte) (n int, ok bool, err error) {
	conn, isSocket := c.socket.(syscall.Conn)
	if !isSocket {
		return 0, false, nil
	}
	raw, rawErr := conn.SyscallConn()
	if rawErr != nil {
		return 0, false, nil
	}
	rawErr = raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), b, syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return n, rawErr == nil, err
}

// hasLeft reports whether the client has closed its connection, also if this
// instance has not got round to reading that: one that has fallen behind reads a
// request long after the client sent it. It does not block.
func (c *clientConn) hasLeft() bool {
	if c.hasNext.Load() {
		return false
	}
	n, ok, err := c.look(make([]byte, 1))
	return ok && (n == 0 && err == nil || err == syscall.ECONNRESET)
}

// isDelivered reports whether the client's system has acknowledged all that was written,
// or that can't be known.
func (c *clientConn) isDelivered() bool {
	conn, isSocket := c.socket.(syscall.Conn)
	if !isSocket {
		return true
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return true
	}
	unacknowledged := 0
	err = raw.Control(func(fd uintptr) {
		if n, ioctlErr := unix.IoctlGetInt(int(fd), unix.TIOCOUTQ); ioctlErr == nil {
			unacknowledged = n
		}
	})
	return err != nil || unacknowledged == 0
}

// logCrossing logs a request that has come as an idle connection is closed: its client
// gets no answer to it.
func (c *clientConn) logCrossing() {
	late := make([]byte, maxCrossingHead)
	n, ok, err := c.look(late)
	if !ok || err != nil || n == 0 {
		return
	}
	_, attempt, _ := bytes.Cut(late[:n], []byte(bbplatform.HeaderAttemptID+": "))
	attempt, _, _ = bytes.Cut(attempt, []byte("\r\n"))
	c.proxy.log.WithFields(logrus.Fields{"event": "crossed", "request": string(attempt), "bytes": n, "since": c.proxy.sinceStop()}).Info("request crossed the close of an idle connection")
}
