package bbproxy

import (
	"bufio"
	"bytes"
	"iter"
	"strconv"
	"strings"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbhead"
)

// Errors of reading heads and bodies.
const (
	// ErrMalformed means that the bytes are no valid message, or that two readers
	// could take them for different messages.
	ErrMalformed = errors.ConstError("malformed message")
	// ErrHeadSize means that the head is larger than its limit.
	ErrHeadSize = errors.ConstError("head too large")
	// ErrBodySize means that the body is larger than its limit.
	ErrBodySize = errors.ConstError("body too large")
)

// Field is one header field, spelled as received.
type Field struct{ Name, Value string }

// Fields are the header fields of a message in order.
type Fields []Field

// Get returns the first value of a field, and how many times the field occurs.
func (f Fields) Get(name string) (value string, count int) {
	for i := range f {
		if len(f[i].Name) == len(name) && strings.EqualFold(f[i].Name, name) {
			if count == 0 {
				value = f[i].Value
			}
			count++
		}
	}
	return value, count
}

// Value returns the first value of a field, empty if there is none.
func (f Fields) Value(name string) string {
	v, _ := f.Get(name)
	return v
}

// readHead reads up to the empty line and returns the first line and the
// fields. The head may have left bytes, from which its size is taken. Errors of
// the connection are passed through; io.EOF without an annotation means that no
// byte came.
func readHead(br *bufio.Reader, left *int) (string, Fields, error) {
	var buf []byte
	for {
		line, err := br.ReadSlice('\n')
		buf = append(buf, line...)
		if *left -= len(line); *left < 0 {
			return "", nil, errors.Trace(ErrHeadSize)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if len(buf) > 0 {
				return "", nil, errors.Annotate(err, "head incomplete")
			}
			return "", nil, err
		}
		if len(buf) == 2 && string(buf) == "\r\n" {
			buf = buf[:0] // one empty line before a message is allowed
			continue
		}
		if bytes.HasSuffix(buf, []byte("\r\n\r\n")) {
			break
		}
		if bytes.HasSuffix(buf, []byte("\n\n")) || bytes.HasSuffix(buf, []byte("\n\r\n")) {
			return "", nil, errors.Annotate(ErrMalformed, "bare line feed")
		}
	}
	return parseHead(string(buf[:len(buf)-4]))
}

// parseHead splits a head without its empty line into the first line and the
// fields.
func parseHead(head string) (string, Fields, error) {
	firstLine, lines, hasFields := strings.Cut(head, "\r\n")
	if strings.ContainsAny(firstLine, "\r\n\x00") {
		return "", nil, errors.Annotate(ErrMalformed, "control byte in the first line")
	}
	if !hasFields {
		return firstLine, nil, nil
	}
	fields := make(Fields, 0, 16)
	for line := range strings.SplitSeq(lines, "\r\n") {
		name, value, ok := strings.Cut(line, ":")
		if !ok || !bbhead.IsToken(name) {
			return "", nil, errors.Annotatef(ErrMalformed, "field %.40q", line)
		}
		value = strings.Trim(value, " \t")
		if !isFieldValue(value) {
			return "", nil, errors.Annotatef(ErrMalformed, "value of %.40q", name)
		}
		fields = append(fields, Field{name, value})
	}
	return firstLine, fields, nil
}

// isFieldValue reports whether s has no control character except tab.
func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// framing says how the end of a body is found.
type framing struct {
	chunked bool
	length  int64 // -1 if the head gives none
}

// bodyFraming returns the framing that a head declares. It returns ErrMalformed
// if more than one is declared, since readers could then disagree where the
// body ends.
func bodyFraming(f Fields) (framing, error) {
	coding, codings := f.Get("Transfer-Encoding")
	length, lengths := f.Get("Content-Length")
	switch {
	case codings+lengths > 1:
		return framing{}, errors.Annotate(ErrMalformed, "more than one length")
	case codings == 1 && !strings.EqualFold(coding, "chunked"):
		return framing{}, errors.Annotatef(ErrMalformed, "transfer coding %.40q", coding)
	case codings == 1:
		return framing{chunked: true, length: -1}, nil
	case lengths == 0:
		return framing{length: -1}, nil
	}
	n, err := parseDigits(length, 10)
	return framing{length: n}, err
}

// parseDigits parses a number that consists of digits only: no sign, space or
// underscore.
func parseDigits(s string, base int) (int64, error) {
	if s == "" || len(s) > 15 || s[0] == '+' || s[0] == '-' || strings.ContainsRune(s, '_') {
		return 0, errors.Annotatef(ErrMalformed, "number %.40q", s)
	}
	n, err := strconv.ParseInt(s, base, 64)
	if err != nil {
		return 0, errors.Annotatef(ErrMalformed, "number %.40q", s)
	}
	return n, nil
}

// hopByHopFields concern a single connection and are not passed on. Lower case.
var hopByHopFields = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "content-length": true, "expect": true,
}

// tokens iterates over the comma-separated tokens of all fields of a name.
func (f Fields) tokens(name string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for i := range f {
			if !strings.EqualFold(f[i].Name, name) {
				continue
			}
			for part := range strings.SplitSeq(f[i].Value, ",") {
				if !yield(strings.TrimSpace(part)) {
					return
				}
			}
		}
	}
}

// hasToken reports whether a field of comma-separated tokens contains one.
func (f Fields) hasToken(name, token string) bool {
	for t := range f.tokens(name) {
		if strings.EqualFold(t, token) {
			return true
		}
	}
	return false
}
