package bbproxy

import (
	"bufio"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bluebellport.example/platform"
	"bluebellport.example/shared/bbunit"
)

// Request is one attempt of a client, read whole.
type Request struct {
	Method, Target string
	Host           string
	Fields         Fields
	Body           []byte
	HasBody        bool
	// Close tells that the client wants the connection closed after the answer.
	Close bool

	Attempt string
	Key     string
	// At is when the request had been read; Wait is how long its client waits.
	At   time.Time
	Wait time.Duration
	// Prompt and Output are the tokens of the prompt and the most of the answer.
	Prompt, Output bbunit.Tokens
	Sized          bool
	LastEvent      string
}

// Path returns the target without its query.
func (q *Request) Path() string {
	path, _, _ := strings.Cut(q.Target, "?")
	return path
}

// readRequest reads a request's head. The body is still to be read.
func readRequest(br *bufio.Reader, limit int) (*Request, framing, error) {
	first, fields, err := readHead(br, limit)
	if err != nil {
		return nil, framing{}, err
	}
	q := &Request{Fields: fields}
	parts := strings.Split(first, " ")
	if len(parts) != 3 || !isToken(parts[0]) || !validTarget(parts[1]) || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return q, framing{}, errors.Annotatef(ErrMalformed, "request line %.60q", first)
	}
	q.Method, q.Target = parts[0], parts[1]
	f, err := bodyFraming(fields)
	if err != nil {
		return q, f, err
	}
	if f.chunked && parts[2] == "HTTP/1.0" {
		return q, f, errors.Annotate(ErrMalformed, "chunks in HTTP/1.0")
	}
	q.HasBody = f.chunked || f.length >= 0
	q.Close = fields.hasToken("Connection", "close") || parts[2] == "HTTP/1.0"
	return q, f, q.readFields()
}

func validTarget(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == '#' {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

// once are the fields that may stand once only, since two could be read in two
// ways.
var once = []string{
	bbplatform.HeaderAttempt, bbplatform.HeaderDeadline, bbplatform.HeaderKey,
	bbplatform.HeaderUsage, bbplatform.HeaderPrompt, "Model", bbplatform.HeaderLastEvent,
}

// readFields reads what the fleet needs of the fields.
func (q *Request) readFields() error {
	for _, name := range once {
		if _, n := q.Fields.Get(name); n > 1 {
			return errors.Annotatef(ErrMalformed, "%s stands %d times", name, n)
		}
	}
	host, n := q.Fields.Get("Host")
	if n != 1 {
		return errors.Annotatef(ErrMalformed, "host stands %d times", n)
	}
	q.Host = host
	q.Attempt = q.Fields.Value(bbplatform.HeaderAttempt)
	q.Key = q.Fields.Value(bbplatform.HeaderKey)
	q.LastEvent = q.Fields.Value(bbplatform.HeaderLastEvent)
	q.Wait = defaultDeadline
	if text, n := q.Fields.Get(bbplatform.HeaderDeadline); n == 1 {
		wait, ok := bbplatform.Deadline(text)
		if !ok {
			return errors.Annotatef(ErrMalformed, "deadline %.40q", text)
		}
		q.Wait = wait
	}
	if text, n := q.Fields.Get(bbplatform.HeaderUsage); n == 1 {
		if q.Prompt, q.Output, q.Sized = bbplatform.Usage(text); !q.Sized {
			return errors.Annotatef(ErrMalformed, "usage %.40q", text)
		}
	}
	return nil
}

// Print is a hash by which a request that comes again is known.
func (q *Request) Print(account bbunit.AccountID) uint64 {
	h := xxhash.New()
	for _, s := range []string{string(account), "\x00", q.Method, "\x00", q.Target, "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(q.Body)
	return h.Sum64()
}

// Shared returns a hash of what the prompt shares with others, and its tokens:
// all parts but the last, which is the request's own.
func (q *Request) Shared() (uint64, bbunit.Tokens) {
	text := q.Fields.Value(bbplatform.HeaderPrompt)
	i := strings.LastIndexByte(text, ',')
	if i < 0 {
		return 0, 0
	}
	var n bbunit.Tokens
	for _, p := range bbplatform.Parts(text[:i]) {
		n += p.Tokens
	}
	return xxhash.Sum64String(text[:i]), min(n, q.Prompt)
}
