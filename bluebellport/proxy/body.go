package bbproxy

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbhead"
)

// bodyReader reads the body of a message. It distinguishes a complete body from
// one that broke off.
type bodyReader struct {
	br        *bufio.Reader
	framing   framing
	remaining int64 // bytes left of the body, or of the chunk
	complete  bool
	// data and lines are the bytes read of chunks and of the lines around them.
	data, lines int64
	// untilClose marks a body that ends when its connection is closed. ConfirmEnd, if set,
	// returns an error if that end is not the target's.
	untilClose bool
	confirmEnd func() error
}

// requestBody returns a reader for the body of a request. A request without a
// length has no body.
func requestBody(br *bufio.Reader, f framing) *bodyReader {
	b := &bodyReader{br: br, framing: f, remaining: f.length}
	b.complete = !f.chunked && f.length <= 0
	return b
}

// responseBody returns a reader for the body of a response. Without a length the
// body ends when the connection is closed.
func responseBody(br *bufio.Reader, f framing, status int, method string) *bodyReader {
	if method == "HEAD" || status == 204 || status == 304 || status < 200 {
		return &bodyReader{br: br, complete: true}
	}
	b := &bodyReader{br: br, framing: f, remaining: f.length}
	b.untilClose = !f.chunked && f.length < 0
	b.complete = !f.chunked && f.length == 0
	return b
}

// Read returns io.EOF only when the body is complete, and io.ErrUnexpectedEOF
// when it broke off.
func (b *bodyReader) Read(p []byte) (int, error) {
	if b.complete {
		return 0, io.EOF
	}
	if b.framing.chunked && b.remaining <= 0 {
		if err := b.readChunkSize(); err != nil {
			return 0, err
		}
		if b.complete {
			return 0, io.EOF
		}
	}
	if !b.untilClose && int64(len(p)) > b.remaining {
		p = p[:b.remaining]
	}
	n, err := b.br.Read(p)
	if !b.untilClose {
		b.remaining -= int64(n)
	}
	b.data += int64(n)
	switch {
	case b.untilClose && err == io.EOF:
		return n, b.endWithConn()
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	case err != nil:
		return n, err
	case !b.framing.chunked && !b.untilClose && b.remaining == 0:
		b.complete = true
	case b.framing.chunked && b.remaining == 0:
		return n, b.readChunkEnd()
	}
	return n, nil
}

// endWithConn completes a body whose connection has ended, and returns io.EOF, unless that end
// is not the target's.
func (b *bodyReader) endWithConn() error {
	if b.confirmEnd != nil {
		if err := b.confirmEnd(); err != nil {
			return err
		}
	}
	b.complete = true
	return io.EOF
}

// readChunkEnd reads the line end that follows a chunk's data.
func (b *bodyReader) readChunkEnd() error {
	var crlf [2]byte
	if _, err := io.ReadFull(b.br, crlf[:]); err != nil {
		return unexpectedEOF(err)
	}
	if string(crlf[:]) != "\r\n" {
		return errors.Annotate(ErrMalformed, "end of chunk")
	}
	return nil
}

// readChunkSize reads the line before a chunk. After the last chunk it reads the
// trailer, which is dropped.
func (b *bodyReader) readChunkSize() error {
	line, err := b.readLine()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	if b.remaining, err = parseDigits(size, 16); err != nil {
		return err
	}
	if b.remaining > 0 {
		return nil
	}
	for range 64 {
		line, err := b.readLine()
		if err != nil {
			return err
		}
		if line == "" {
			b.complete = true
			return nil
		}
		if name, value, ok := strings.Cut(line, ":"); !ok || !bbhead.IsToken(name) || bbhead.HoldsStatusLine(value) {
			break
		}
	}
	return errors.Annotate(ErrMalformed, "trailer")
}

// readLine reads a chunk-size or trailer line, without its line end.
func (b *bodyReader) readLine() (string, error) {
	line, err := b.br.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			return "", errors.Annotate(ErrMalformed, "chunk line")
		}
		return "", unexpectedEOF(err)
	}
	if len(line) > maxChunkLine || !bytes.HasSuffix(line, []byte("\r\n")) || !isFieldValue(string(line[:len(line)-2])) {
		return "", errors.Annotate(ErrMalformed, "chunk line")
	}
	if b.lines += int64(len(line)); b.lines > maxHead+maxLinesPerData*b.data {
		return "", errors.Annotate(ErrMalformed, "more chunk lines than data")
	}
	return string(line[:len(line)-2]), nil
}

// discard reads the rest of the body without keeping it. It returns ErrBodySize
// if the body is longer than limit bytes, at once if its length is known.
func (b *bodyReader) discard(limit int) error {
	if b.framing.length > int64(limit) {
		return errors.Trace(ErrBodySize)
	}
	n, err := io.Copy(io.Discard, io.LimitReader(b, int64(limit)+1))
	if err == nil && n > int64(limit) {
		return errors.Trace(ErrBodySize)
	}
	return err
}

// unexpectedEOF turns io.EOF into io.ErrUnexpectedEOF.
func unexpectedEOF(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
