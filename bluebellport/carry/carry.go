// Package bbcarry carries the bytes of a connection to a target through a peer:
//
//	asker --CarryAsk--> peer --connects--> target
//	      <--CarryTell--
//	      ---- bytes as they are ------>
//	      <--- frames of bytes, an end --
//
// The peer only copies. That the target closed its connection and that it broke are told
// apart by the end, and both from a stream that broke between the two instances.
package bbcarry

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"bluebellport.example/shared/bbwire"
)

// StreamKind is the kind of the streams between instances that carry connections.
const StreamKind = "carry"

const (
	// frameHeader is the length of a frame's header, in bytes: the length of what follows,
	// or endClosed or endBroken.
	frameHeader = 4
	endClosed   = 0
	endBroken   = 1<<32 - 1
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
	if err := ask(stream, address, limit); err != nil {
		_ = stream.Close()
		return nil, err
	}
	_ = stream.SetDeadline(time.Time{})
	return &conn{Conn: stream}, nil
}

// ask asks for a connection and returns nil once there is one.
func ask(stream net.Conn, address string, limit time.Duration) error {
	if _, err := protodelim.MarshalTo(stream, &bbwire.CarryAsk{Address: address, Limitms: uint32(limit.Milliseconds())}); err != nil {
		return errors.Annotate(ErrStreamLost, err.Error())
	}
	tell := &bbwire.CarryTell{}
	if err := (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(bbwire.Unbuffered{Reader: stream}, tell); err != nil {
		return errors.Annotate(ErrStreamLost, err.Error())
	}
	switch tell.State {
	case bbwire.CarryState_CARRY_STATE_CONNECTED:
		return nil
	case bbwire.CarryState_CARRY_STATE_REFUSED:
		return errors.Trace(syscall.ECONNREFUSED)
	case bbwire.CarryState_CARRY_STATE_UNREACHABLE:
		return errors.Trace(ErrUnreachable)
	}
	return errors.Trace(ErrBusy)
}

// conn is the asker's end of a carried connection. One goroutine reads at a time.
type conn struct {
	net.Conn
	header [frameHeader]byte
	have   int    // of header
	left   uint32 // bytes of the current frame
	end    error  // once the target's connection has ended
}

// Read reads what the target has sent. A read that its deadline ends loses nothing. The
// error is io.EOF only if the target closed its connection.
func (c *conn) Read(b []byte) (int, error) {
	if c.end != nil {
		return 0, c.end
	}
	for c.left == 0 {
		n, err := c.Conn.Read(c.header[c.have:])
		if c.have += n; c.have < frameHeader {
			if err != nil {
				return 0, c.lost(err)
			}
			continue
		}
		c.have = 0
		switch length := binary.BigEndian.Uint32(c.header[:]); length {
		case endClosed:
			c.end = io.EOF
			return 0, c.end
		case endBroken:
			c.end = errors.Trace(ErrBroken)
			return 0, c.end
		default:
			c.left = length
		}
	}
	n, err := c.Conn.Read(b[:min(len(b), int(c.left))])
	c.left -= uint32(n)
	if n > 0 || err == nil {
		return n, nil
	}
	return 0, c.lost(err)
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
