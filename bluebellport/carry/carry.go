// Package bbcarry carries the bytes of a connection to a target through a peer:
//
//	asker --CarryAsk--> peer --connects--> target
//	      <--CarryTell--
//	      ---- bytes as they are ------>
//	      <--- frames of bytes, an end --
//
// The peer only copies. That the target closed its side and that the connection broke are told
// apart by the end, and both from a stream that broke between the two instances. A target may
// close its side while the request still comes; the end then says how much of the request the
// target has taken, and comes again as that grows, until the asker leaves or the connection
// breaks.
package bbcarry

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"bluebellport.example/shared/bbclock"
	"bluebellport.example/shared/bbend"
	"bluebellport.example/shared/bbwire"
)

// StreamKind is the kind of the streams between instances that carry connections.
const StreamKind = "carry"

const (
	// frameHeader is the length of a frame's header, in bytes: the length of what follows,
	// or one of the ends. EndCounted is followed by a count of endCount bytes; it is told to
	// who understands it in place of endClosed.
	frameHeader = 4
	endClosed   = 0
	endBroken   = 1<<32 - 1
	endCounted  = 1<<32 - 2
	endCount    = 8
	// copyBuffer is how much is copied at once, in bytes.
	copyBuffer = 16 << 10
	// maxMessage bounds a CarryAsk and a CarryTell, in bytes.
	maxMessage = 256
)

// Errors of connections that a peer is asked for.
const (
	// ErrBusy means that the peer does not carry now; another one may.
	ErrBusy = errors.ConstError("the peer does not carry connections now")
	// ErrUnreachable means that the target does not answer the peer.
	ErrUnreachable = errors.ConstError("the target does not answer the peer")
	// ErrStreamLost means that the stream to the peer broke: nothing is known of the
	// target.
	ErrStreamLost = errors.ConstError("the connection to the carrying peer broke")
	// ErrBroken means that the connection between peer and target broke.
	ErrBroken = errors.ConstError("the connection between the peer and the target broke")
)

// Dial asks the peer at the other end of a stream to connect to an address, and returns
// the connection, which lasts for limit at most. It waits until the deadline. If nothing
// listens at the address, the error is ECONNREFUSED. It closes the stream if it fails.
func Dial(stream net.Conn, address string, limit time.Duration, deadline time.Time) (net.Conn, error) {
	_ = stream.SetDeadline(deadline)
	counted, err := ask(stream, address, limit)
	if err != nil {
		_ = stream.Close()
		return nil, err
	}
	_ = stream.SetDeadline(time.Time{})
	return &conn{Conn: stream, counted: counted}, nil
}

// ask asks for a connection and returns once there is one, and whether its end is counted.
func ask(stream net.Conn, address string, limit time.Duration) (counted bool, err error) {
	if _, err := protodelim.MarshalTo(stream, &bbwire.CarryAsk{Address: address, Limitms: uint32(limit.Milliseconds()), Counted: true}); err != nil {
		return false, errors.Annotate(ErrStreamLost, err.Error())
	}
	tell := &bbwire.CarryTell{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(bbwire.Unbuffered{Reader: stream}, tell); err != nil {
		return false, errors.Annotate(ErrStreamLost, err.Error())
	}
	switch tell.State {
	case bbwire.CarryState_CARRY_STATE_CONNECTED:
		return tell.Counted, nil
	case bbwire.CarryState_CARRY_STATE_REFUSED:
		return false, errors.Trace(syscall.ECONNREFUSED)
	case bbwire.CarryState_CARRY_STATE_UNREACHABLE:
		return false, errors.Trace(ErrUnreachable)
	}
	return false, errors.Trace(ErrBusy)
}

// conn is the asker's end of a carried connection. One goroutine reads at a time.
type conn struct {
	net.Conn
	counted bool // the end tells how much of the request the target has taken
	written atomic.Int64
	header  [frameHeader + endCount]byte
	have    int    // of header
	left    uint32 // bytes of the current frame
	closed  bool   // by the target, its side
	taken   int64  // bytes of the request by the target, as of the latest end
	broken  error  // once the target's connection has broken
}

// Write writes a part of a request.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// Read reads what the target has sent. A read that its deadline ends loses nothing. The
// error is io.EOF only if the target closed its side.
func (c *conn) Read(b []byte) (int, error) {
	for c.left == 0 && !c.closed {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	if c.closed {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(b[:min(len(b), int(c.left))])
	c.left -= uint32(n)
	if n > 0 || err == nil {
		return n, nil
	}
	return 0, c.lost(err)
}

// ConfirmEnd returns nil once the target has taken the whole request, after a read has found that
// it closed its side. Written is closed once the asker writes no more. It blocks while the
// target takes the request, until the deadline. A peer that does not count closes the connection
// with the target's side, so that only what it copies at once counts as taken.
func (c *conn) ConfirmEnd(written <-chan struct{}, deadline time.Time) error {
	if !c.counted {
		if !bbend.IsWritten(written) || c.written.Load() > copyBuffer {
			return errors.Annotate(ErrStreamLost, "the peer does not tell what the target has taken")
		}
		return nil
	}
	for !bbend.IsWritten(written) || c.taken < c.written.Load() {
		_ = c.SetReadDeadline(bbclock.Earlier(deadline, time.Now().Add(lookInterval)))
		err := c.readHeader()
		var netErr net.Error
		if err != nil && (!errors.As(err, &netErr) || !netErr.Timeout() || !time.Now().Before(deadline)) {
			return err
		}
	}
	return nil
}

// readHeader reads the header of the next frame. What it has read is kept for the next call if
// the deadline ends it.
func (c *conn) readHeader() error {
	if c.broken != nil {
		return c.broken
	}
	for c.have < c.headerLength() {
		n, err := c.Conn.Read(c.header[c.have:c.headerLength()])
		if c.have += n; err != nil && c.have < c.headerLength() {
			return c.lost(err)
		}
	}
	c.have = 0
	switch length := c.frameLength(); length {
	case endClosed:
		c.closed = true
	case endCounted:
		c.closed, c.taken = true, int64(binary.BigEndian.Uint64(c.header[frameHeader:]))
	case endBroken:
		c.broken = errors.Trace(ErrBroken)
		return c.broken
	default:
		c.left = length
	}
	return nil
}

// frameLength returns what the first part of a header says.
func (c *conn) frameLength() uint32 { return binary.BigEndian.Uint32(c.header[:]) }

// headerLength returns how long the header is, as far as it has been read.
func (c *conn) headerLength() int {
	if c.have >= frameHeader && c.frameLength() == endCounted {
		return frameHeader + endCount
	}
	return frameHeader
}

// lost returns the error of a read that failed on the stream. One that its deadline ended
// stays what it is.
func (c *conn) lost(err error) error {
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return err
	}
	return errors.Annotate(ErrStreamLost, err.Error())
}
