// Package bbhead recognizes responses that broke off and went on as another one. Read as
// one, they mix both.
package bbhead

import (
	"net"
	"strconv"
	"strings"

	"github.com/juju/errors"
	"github.com/valyala/fasthttp"
)

// VersionPrefix is how each status line begins.
const VersionPrefix = "HTTP/1."

// StatusLineBytes is how many bytes show that a status line begins.
const StatusLineBytes = len(VersionPrefix + "1 200")

// ErrJoined means that a response holds the status line of another one.
const ErrJoined = errors.ConstError("a response that goes on as another one")

// maxHead is the largest head that is looked at, in bytes.
const maxHead = 64 << 10

// headEnd ends a head.
const headEnd = "\r\n\r\n"

// Conn is a client's connection whose reads return ErrJoined where a response goes on as
// another one: in its head, or in a body of a declared length, if more bytes have come
// behind that. It carries one request at a time.
type Conn struct {
	net.Conn
	head   []byte
	inBody bool
	left   int64  // of the body
	tail   []byte // the last bytes of the body that were read
	// ended is set while nothing has to be looked at before the next request.
	ended bool
}

// Write writes a part of a request.
func (c *Conn) Write(b []byte) (int, error) {
	c.head, c.tail, c.inBody, c.ended = c.head[:0], c.tail[:0], false, false
	return c.Conn.Write(b)
}

// Read reads a part of a response. It returns none of it with ErrJoined.
func (c *Conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if joined := c.look(b[:n]); joined != nil {
		return 0, joined
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
		head, rest, ok := strings.Cut(strings.TrimLeft(string(c.head), "\r\n"), headEnd)
		if !ok {
			c.ended = len(c.head) > maxHead
			return nil
		}
		if len(head) > 0 && HoldsStatusLine(head[1:]) {
			return errors.Trace(ErrJoined)
		}
		c.head = append(c.head[:0], rest...)
		if strings.HasPrefix(head[min(len(head), len(VersionPrefix)):], "1 1") {
			continue // the head of an informational response
		}
		c.left, c.inBody = contentLength(head)
		c.ended = !c.inBody
		return c.look([]byte(rest))
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

// contentLength returns the length that a head declares, and whether that frames the body.
func contentLength(head string) (n int64, ok bool) {
	for line := range strings.SplitSeq(head, "\r\n") {
		name, value, _ := strings.Cut(line, ":")
		switch strings.ToLower(strings.TrimSpace(name)) {
		case "transfer-encoding":
			return 0, false
		case "content-length":
			var err error
			n, err = strconv.ParseInt(strings.TrimSpace(value), 10, 64)
			ok = err == nil && n >= 0
		}
	}
	return n, ok
}
