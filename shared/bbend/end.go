// Package bbend tells the end of a connection that its peer has closed from that of one that
// broke.
//
// The system reports the error of a connection to one call only, say the write of a request;
// all others find an end, as if the peer had closed it. So an end says nothing by itself: whoever
// takes what came before it for whole asks Confirm.
package bbend

import (
	"net"
	"os"
	"syscall"
	"time"

	"github.com/juju/errors"
	"golang.org/x/sys/unix"
)

// ErrBroken means that a connection broke although a read found its end.
const ErrBroken = errors.ConstError("the connection broke")

// minLookInterval and maxLookInterval bound the time between two looks at a connection whose peer
// has not yet taken all that was written. It doubles with each look.
const (
	minLookInterval = time.Millisecond
	maxLookInterval = 16 * time.Millisecond
)

// State is what the system shows of a connection that a read found the end of.
type State int

// States.
const (
	// Broken means that the connection failed or was closed here.
	Broken State = iota
	// Unacknowledged means that the peer has closed its side, and that its system has not
	// acknowledged all that was written. The connection may still break.
	Unacknowledged
	// Closed means that the peer has closed its side, and that its system has acknowledged all
	// that was written.
	Closed
)

// tcpClose is the state of a TCP connection that was reset, or ended on both sides.
const tcpClose = 7

// confirmer is a connection that knows by itself how it ended.
type confirmer interface {
	ConfirmEnd(written <-chan struct{}, deadline time.Time) error
}

// Confirm returns nil if the end that a read found on a connection is that of a peer that closed
// its side and took all that was written. Written is closed once nothing more is written; nil
// means that this is so. Confirm blocks while the peer has not taken everything, until the
// deadline, after which it returns os.ErrDeadlineExceeded. If the connection broke, the error is
// ErrBroken, or that of a connection that knows by itself. Whether writing has succeeded is left
// to the caller.
func Confirm(conn net.Conn, written <-chan struct{}, deadline time.Time) error {
	if c, ok := conn.(confirmer); ok {
		return c.ConfirmEnd(written, deadline)
	}
	for interval := minLookInterval; ; interval = min(2*interval, maxLookInterval) {
		ended := IsWritten(written)
		switch state := Look(conn); {
		case state == Broken:
			return errors.Trace(ErrBroken)
		case state == Closed && ended:
			return nil
		case !time.Now().Before(deadline):
			return errors.Trace(os.ErrDeadlineExceeded)
		}
		time.Sleep(interval)
	}
}

// IsWritten reports whether nothing more is written, as Confirm takes it.
func IsWritten(written <-chan struct{}) bool {
	select {
	case <-written:
		return true
	default:
		return written == nil
	}
}

// Look returns what the system shows of a connection that a read found the end of. It does not
// block, and takes no error from other calls. Any but a TCP connection counts as Closed.
func Look(conn net.Conn) State {
	sc, ok := conn.(syscall.Conn)
	if !ok {
		return Closed
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return Broken
	}
	state := Closed
	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		switch {
		case infoErr != nil: // no TCP connection
		case info.State == tcpClose:
			state = Broken
		case info.Unacked > 0 || info.Notsent_bytes > 0:
			state = Unacknowledged
		}
	})
	if err != nil {
		return Broken
	}
	return state
}
