package bbproxy

import (
	"bufio"
	"bytes"
	"iter"
	"strconv"
	"strings"

	"github.com/juju/errors"
)

// Sentinel errors of heads and bodies.
const (
	// ErrMalformed means that the bytes are no message, or could be read in two
	// ways.
	ErrMalformed = errors.ConstError("malformed message")
	// ErrHeadSize means that the head is above its limit.
	ErrHeadSize = errors.ConstError("head too large")
	// ErrBodySize means that the body is above its limit.
	ErrBodySize = errors.ConstError("body too large")
)

// Field is one field of a head, spelled as it came.
type Field struct{ Name, Value string }

// Fields are the fields of a head in order.
type Fields []Field

// Get returns the first value of a field, and how often the field stands.
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

// Value returns the first value of a field, empty when there is none.
func (f Fields) Value(name string) string {
	v, _ := f.Get(name)
	return v
}

// readHead reads up to the empty line and returns the first line and the fields.
// An error of the connection is returned as it is; io.EOF only before any byte.
func readHead(br *bufio.Reader, limit int) (string, Fields, error) {
	var buf []byte
	for {
		line, err := br.ReadSlice('\n')
		buf = append(buf, line...)
		if len(buf) > limit {
			return "", nil, errors.Trace(ErrHeadSize)
		}
		if err == bufio.ErrBufferFull {
			continue
		}
		if err != nil {
			if len(buf) > 0 {
				return "", nil, errors.Annotate(err, "head broke off")
			}
			return "", nil, err
		}
		if len(buf) == 2 && string(buf) == "\r\n" {
			buf = buf[:0] // one empty line before a message is allowed
			limit -= 2
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
		if !ok || !isToken(name) {
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

// tokenBytes are the bytes that a field name or method may have.
var tokenBytes = func() (t [256]bool) {
	for _, c := range "!#$%&'*+-.^_`|~0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ" {
		t[c] = true
	}
	return t
}()

func isToken(s string) bool {
	for i := range len(s) {
		if !tokenBytes[s[i]] {
			return false
		}
	}
	return s != ""
}

func isFieldValue(s string) bool {
	for i := range len(s) {
		if c := s[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// framing tells where a body ends.
type framing struct {
	chunked bool
	length  int64 // -1: none is given
}

// bodyFraming reads the framing of a head; ErrMalformed when it could be read in
// two ways.
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

// parseDigits reads a number of digits alone: no sign, no space.
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

// hopByHopFields concern one connection only, in lower case.
var hopByHopFields = map[string]bool{
	"connection": true, "keep-alive": true, "proxy-connection": true, "proxy-authenticate": true,
	"proxy-authorization": true, "te": true, "trailer": true, "transfer-encoding": true,
	"upgrade": true, "content-length": true, "expect": true,
}

// tokens are those of all fields of a name, whose values are lists of them.
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

// hasToken tells whether a field that lists tokens has one.
func (f Fields) hasToken(name, token string) bool {
	for t := range f.tokens(name) {
		if strings.EqualFold(t, token) {
			return true
		}
	}
	return false
}
