// Package bbhead recognizes broken responses that the HTTP library takes for sound ones: those
// that broke off, also where they went on as another one, which read as one mix both, and those
// whose head has a status that is none of HTTP or a line that is no field.
package bbhead

import (
	"io"
	"net"
	"sync/atomic"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbend"
)

// Errors of responses that are broken.
const (
	// ErrJoined means that a response holds the status line of another one.
	ErrJoined = errors.ConstError("a response that goes on as another one")
	// ErrMalformed means that the head of a response is none of HTTP.
	ErrMalformed = errors.ConstError("a response with a malformed head")
)

// IsBroken reports whether an error of Conn says that a response is broken.
func IsBroken(err error) bool {
	return errors.Is(err, ErrJoined) || errors.Is(err, ErrMalformed) || errors.Is(err, bbend.ErrBroken)
}

// maxHead is the largest head that is looked at, in bytes.
const maxHead = 64 << 10

// Conn is a client's connection whose reads return an error in place of a broken response:
// ErrMalformed for its head, and ErrJoined where it goes on as another one, in its head, or
// in a body of a declared length, if more bytes have come behind that. A read returns io.EOF
// behind a part of a response only if that end is the server's, as bbend.Confirm has it. It
// carries one request at a time, which is written before its response is read.
type Conn struct {
	net.Conn
	head   []byte
	inBody bool
	left   int64  // of the body
	tail   []byte // the last bytes of the body that were read
	// ended is set while nothing has to be looked at before the next request.
	ended bool
	// begun is set once a part of the response has been read.
	begun bool
	// readBy is the deadline of reads, in ns since the epoch, 0 for none.
	readBy atomic.Int64
}

// Write writes a part of a request.
func (c *Conn) Write(b []byte) (int, error) {
	c.head, c.tail, c.inBody, c.ended, c.begun = c.head[:0], c.tail[:0], false, false, false
	return c.Conn.Write(b)
}

// Read reads a part of a response. It returns none of it with ErrMalformed and ErrJoined.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if broken := c.look(b[:n]); broken != nil {
		return 0, broken
	}
	if c.begun = c.begun || n > 0; err == io.EOF && c.begun {
		err = c.confirmEnd()
	}
	return n, err
}

// look looks at the next bytes of a response.
func (c *Conn) look(b []byte) error {
	if c.ended || len(b) == 0 {
		return nil
	}
	if c.inBody {
		return c.lookAtBody(b)
	}
	for c.head = append(c.head, b...); ; {
		n := headLength(c.head)
		if n == 0 {
			c.ended = len(c.head) > maxHead
			return nil
		}
		head, err := parseHead(string(c.head[:n]))
		if err != nil {
			return err
		}
		rest := c.head[n:]
		if head.isInformational() {
			c.head = append(c.head[:0], rest...)
			continue
		}
		c.left, c.inBody = head.length, head.hasLength
		c.ended = !c.inBody
		return c.look(rest)
	}
}

// lookAtBody looks at the next bytes of a body of a declared length.
func (c *Conn) lookAtBody(b []byte) error {
	own := b[:min(int64(len(b)), c.left)]
	c.left -= int64(len(own))
	more := b[len(own):]
	if len(more) == 0 {
		c.keepTail(own)
		return nil
	}
	c.ended = true
	end := append(append(c.tail, own...), more[:min(len(more), StatusLineBytes-1)]...)
	if HoldsStatusLine(string(end)) {
		return errors.Trace(ErrJoined)
	}
	return nil
}

// keepTail keeps the bytes in which a status line may begin that is not complete.
func (c *Conn) keepTail(own []byte) {
	c.tail = append(c.tail, own[max(0, len(own)-StatusLineBytes+1):]...)
	if over := len(c.tail) - StatusLineBytes + 1; over > 0 {
		c.tail = c.tail[:copy(c.tail, c.tail[over:])]
	}
}

// Dial opens a connection to addr, as the HTTP library does by itself.
func Dial(addr string) (net.Conn, error) {
	conn, err := fasthttp.Dial(addr)
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: conn}, nil
}
