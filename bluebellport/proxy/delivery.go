package bbproxy

import (
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// deliver passes a response of the target to the client. A response that the
// memory allows to be read whole is passed on only if it is complete, so that
// another attempt can follow one that broke off. Any other is passed on while it
// is read.
func (x *exchange) deliver(conn *targetConn, resp *Response) attemptResult {
	_ = conn.SetReadDeadline(x.deadline)
	b := x.bodyOf(conn, resp)
	buf := buffer{budget: x.proxy.responseMemory}
	defer buf.free()
	err := buf.readAll(b, maxResponseBody)
	if err == nil {
		err = conn.checkEnd(b, buf.bytes)
	}
	switch {
	case err == nil:
		x.releaseConn(conn)
		x.countOutput(resp, buf.bytes)
		result := x.writeResponse(resp, buf.bytes)
		result.targetFailed = resp.Status >= 500
		return result
	case errors.Is(err, ErrNoMemory) && (resp.framing.length >= 0 || !x.req.HTTP10):
		return x.passOn(conn, resp, b, &buf)
	}
	_ = conn.Close()
	return x.connFailure(err)
}

// passOn passes the response to the client while it is read, beginning with what
// the buffer holds. A body that breaks off stays without its last bytes or its
// last chunk, and the client's connection is closed, so that it never looks
// complete.
func (x *exchange) passOn(conn *targetConn, resp *Response, b *bodyReader, buf *buffer) attemptResult {
	x.passedOn = true
	x.uncounted = resp.isSuccess()
	closeConn := x.closesConn()
	length := int(resp.framing.length)
	err := x.client.write(responseHead(resp, length, closeConn))
	if err == nil {
		err = x.passBytes(buf.bytes, length)
	}
	size := len(buf.bytes)
	block := newPassBlock(buf, length < 0)
	for err == nil && !b.complete {
		n, readErr := b.Read(block.space())
		if endErr := conn.checkEnd(b, block.space()[:n]); endErr != nil {
			n, readErr = 0, endErr // without its last bytes it does not look complete
		}
		if n > 0 {
			err = x.writePart(block.frame(n))
		}
		if size += n; err == nil && size > maxResponseBody {
			readErr = errors.Trace(ErrBodySize)
		}
		if readErr != nil && readErr != io.EOF {
			_ = conn.Close()
			return x.connFailure(readErr)
		}
	}
	if err == nil && length < 0 {
		err = x.client.write([]byte(lastChunk))
	}
	if err != nil {
		_ = conn.Close()
		return attemptResult{kind: resultGone, err: err}
	}
	x.stream.complete = true
	x.releaseConn(conn)
	return attemptResult{kind: resultDone, keepConn: !closeConn, targetFailed: resp.Status >= 500}
}

// passBytes writes a part of a body, as a chunk if the body has no length.
func (x *exchange) passBytes(part []byte, length int) error {
	if length < 0 {
		part = appendChunk(nil, part)
	}
	return x.writePart(part)
}

// writePart writes a part of a response while the rest is still read. The client
// has no use for it after its deadline.
func (x *exchange) writePart(part []byte) error {
	return x.client.writeBy(part, x.deadline.Add(responseMargin))
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// passBlock is the memory through which a body is passed on, with room for the
// lines around a chunk.
type passBlock struct {
	chunked bool
	bytes   []byte
}

// chunkLineRoom is the room for the line before a chunk, in bytes.
const chunkLineRoom = 10

// newPassBlock uses the memory of a buffer that needs no budget, and frees any
// other.
func newPassBlock(buf *buffer, chunked bool) *passBlock {
	p := &passBlock{chunked: chunked}
	if buf.taken == 0 && cap(buf.bytes) >= minBuffer {
		p.bytes = buf.bytes[:cap(buf.bytes)]
		return p
	}
	buf.free()
	p.bytes = make([]byte, freeBuffer)
	return p
}

// space returns where to read the next bytes.
func (p *passBlock) space() []byte { return p.bytes[chunkLineRoom : len(p.bytes)-len("\r\n")] }

// frame returns the first n bytes of the space, as a chunk if the body is chunked.
func (p *passBlock) frame(n int) []byte {
	end := chunkLineRoom + n
	if !p.chunked {
		return p.bytes[chunkLineRoom:end]
	}
	var line [chunkLineRoom]byte
	text := append(strconv.AppendInt(line[:0], int64(n), 16), "\r\n"...)
	start := chunkLineRoom - copy(p.bytes[chunkLineRoom-len(text):], text)
	return p.bytes[start : end+copy(p.bytes[end:], "\r\n")]
}

// writeResponse writes a response whose body has been read whole.
func (x *exchange) writeResponse(resp *Response, body []byte) attemptResult {
	x.stream.complete = true
	closeConn := x.closesConn()
	head := responseHead(resp, len(body), closeConn)
	if x.req.Method == http.MethodHead {
		body = nil
	}
	err := x.client.writeBoth(head, body, x.deadline.Add(responseMargin))
	return attemptResult{kind: resultDone, err: err, keepConn: err == nil && !closeConn}
}

// writeBoth writes a head and a body. Large ones are not copied, and may take until the
// deadline.
func (c *clientConn) writeBoth(head, body []byte, deadline time.Time) error {
	if len(body) <= freeBuffer {
		return c.write(append(head, body...))
	}
	if err := c.write(head); err != nil {
		return err
	}
	if least := time.Now().Add(clientWriteTimeout); deadline.Before(least) {
		deadline = least
	}
	return c.writeBy(body, deadline)
}
