package bbproxy

import (
	"bufio"
	"bytes"
	"io"
	"strings"

	"github.com/juju/errors"
)

// body reads a message's body and knows whether it ended whole.
type body struct {
	br    *bufio.Reader
	kind  framing
	left  int64 // of the length, or of the chunk
	ended bool
	// unframed bodies end with their connection.
	unframed bool
}

// requestBody reads the body of a request, which has none without a length.
func requestBody(br *bufio.Reader, f framing) *body {
	b := &body{br: br, kind: f, left: f.length}
	b.ended = !f.chunked && f.length <= 0
	return b
}

// answerBody reads the body of an answer, which ends with its connection when no
// length is given.
func answerBody(br *bufio.Reader, f framing, status int, method string) *body {
	if method == "HEAD" || status == 204 || status == 304 || status < 200 {
		return &body{br: br, ended: true}
	}
	b := &body{br: br, kind: f, left: f.length}
	b.unframed = !f.chunked && f.length < 0
	b.ended = !f.chunked && f.length == 0
	return b
}

// Read reads bytes of the body, and returns io.EOF only once it has ended
// whole; io.ErrUnexpectedEOF when it broke off.
func (b *body) Read(p []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}
	if b.kind.chunked && b.left <= 0 {
		if err := b.nextChunk(); err != nil {
			return 0, err
		}
		if b.ended {
			return 0, io.EOF
		}
	}
	if !b.unframed && int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	if !b.unframed {
		b.left -= int64(n)
	}
	switch {
	case b.unframed && err == io.EOF:
		b.ended = true
		return n, io.EOF
	case err == io.EOF:
		return n, io.ErrUnexpectedEOF
	case err != nil:
		return n, err
	case !b.kind.chunked && !b.unframed && b.left == 0:
		b.ended = true
	case b.kind.chunked && b.left == 0:
		return n, b.endChunk()
	}
	return n, nil
}

// endChunk reads the line end behind a chunk.
func (b *body) endChunk() error {
	var end [2]byte
	if _, err := io.ReadFull(b.br, end[:]); err != nil {
		return broke(err)
	}
	if string(end[:]) != "\r\n" {
		return errors.Annotate(ErrMalformed, "end of chunk")
	}
	return nil
}

// nextChunk reads a chunk's size, and the trailer behind the last one.
func (b *body) nextChunk() error {
	line, err := b.line()
	if err != nil {
		return err
	}
	size, _, _ := strings.Cut(line, ";")
	if b.left, err = parseDigits(size, 16); err != nil {
		return err
	}
	if b.left > 0 {
		return nil
	}
	for range 64 {
		line, err := b.line()
		if err != nil {
			return err
		}
		if line == "" {
			b.ended = true
			return nil
		}
	}
	return errors.Annotate(ErrMalformed, "trailer")
}

func (b *body) line() (string, error) {
	line, err := b.br.ReadSlice('\n')
	if err != nil {
		if err == bufio.ErrBufferFull {
			return "", errors.Annotate(ErrMalformed, "chunk line")
		}
		return "", broke(err)
	}
	if len(line) > maxChunkLine || !bytes.HasSuffix(line, []byte("\r\n")) || !isValue(string(line[:len(line)-2])) {
		return "", errors.Annotate(ErrMalformed, "chunk line")
	}
	return string(line[:len(line)-2]), nil
}

// all reads the whole body, up to limit bytes.
func (b *body) all(limit int) ([]byte, error) {
	if b.ended {
		return nil, nil
	}
	if b.kind.length > int64(limit) {
		return nil, errors.Trace(ErrBodySize)
	}
	out := make([]byte, 0, max(b.kind.length, 512))
	for {
		if len(out) == cap(out) {
			out = append(out, 0)[:len(out)]
		}
		n, err := b.Read(out[len(out):cap(out)])
		out = out[:len(out)+n]
		if len(out) > limit {
			return nil, errors.Trace(ErrBodySize)
		}
		if err == io.EOF || b.ended {
			return out, nil
		}
		if err != nil {
			return out, err
		}
	}
}

// broke is the error of a message that ended too early.
func broke(err error) error {
	if err == io.EOF {
		return io.ErrUnexpectedEOF
	}
	return err
}
