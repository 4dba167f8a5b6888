package bbcarry

import (
	"encoding/binary"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbend"
)

// lookInterval is the time between two looks at how much of a request a target has taken that
// has closed its side, at the peer and at the asker.
const lookInterval = 2 * time.Millisecond

// carried is a connection to a target that is carried for a peer.
type carried struct {
	stream, target net.Conn
	counted        bool // the asker understands an end with a count
	end            time.Time
	// passed is how many bytes of the asker were written to the target.
	passed atomic.Int64
	// uploaded is closed once nothing more is written to the target: the asker has left, or
	// writing failed.
	uploaded          chan struct{}
	askerLeft, failed atomic.Bool
}

// copyBoth copies between the stream and the connection to the target until the asker leaves
// or the connection has ended, and closes it.
func (c *carried) copyBoth() {
	go c.copyRequest()
	c.copyResponse()
	_ = c.target.Close()
	_ = c.stream.SetReadDeadline(time.Now()) // ends the other direction
	<-c.uploaded
}

// copyRequest copies what the asker sends to the target.
func (c *carried) copyRequest() {
	defer close(c.uploaded)
	buf := make([]byte, copyBuffer)
	for {
		n, err := c.stream.Read(buf)
		if n > 0 {
			if _, writeErr := c.target.Write(buf[:n]); writeErr != nil {
				c.failed.Store(true) // before the read of the target can find its end
				return
			}
			c.passed.Add(int64(n))
		}
		if err != nil {
			c.askerLeft.Store(true)
			_ = c.target.Close()
			return
		}
	}
}

// copyResponse copies what the target sends, in frames, and how its side ends, unless the
// asker left before.
func (c *carried) copyResponse() {
	buf := make([]byte, frameHeader+copyBuffer)
	for {
		n, err := c.target.Read(buf[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if _, writeErr := c.stream.Write(buf[:frameHeader+n]); writeErr != nil {
				return
			}
		}
		switch {
		case err == nil:
		case c.askerLeft.Load():
			return
		case errors.Is(err, io.EOF):
			c.tellClosed()
			return
		default:
			c.tellEnd(endBroken)
			return
		}
	}
}

// tellClosed tells that the target closed its side, with how much of the request it has taken,
// each time that has grown, until the asker leaves. If the connection breaks it tells that.
func (c *carried) tellClosed() {
	for told := int64(-1); !c.askerLeft.Load() && time.Now().Before(c.end); {
		passed := c.passed.Load()
		switch state := bbend.Look(c.target); {
		case c.askerLeft.Load():
			return
		case state == bbend.Broken || c.failed.Load():
			c.tellEnd(endBroken)
			return
		case state == bbend.Closed && !c.counted:
			c.tellEnd(endClosed)
			return
		case state == bbend.Closed && passed > told:
			c.tellEnd(endCounted, uint64(passed))
			told = passed
		}
		select {
		case <-c.uploaded:
		case <-time.After(lookInterval):
		}
	}
}

// tellEnd writes an end, with the counts that follow it.
func (c *carried) tellEnd(end uint32, counts ...uint64) {
	b := binary.BigEndian.AppendUint32(nil, end)
	for _, n := range counts {
		b = binary.BigEndian.AppendUint64(b, n)
	}
	_, _ = c.stream.Write(b)
}
