package bbproxy

import (
	"bufio"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbhead"
	"bluebellport.example/shared/bbunit"
)

// Request is one request as a client sent it, read whole. A client that retries
// sends another one with a new attempt id.
type Request struct {
	Method, URI string
	Host        string
	Fields      Fields
	Body        []byte
	HasBody     bool
	// Close reports that the client wants the connection closed after the response.
	Close bool
	// HTTP10 reports that the client doesn't understand chunks.
	HTTP10 bool

	AttemptID string
	APIKey    string
	// ReceivedAt is when the whole request had been read, Timeout how long the
	// client waits from then.
	ReceivedAt time.Time
	Timeout    time.Duration
	// PromptTokens is the size of the prompt, OutputTokens the most that the
	// response may have. Both are 0 unless HasUsage.
	PromptTokens, OutputTokens bbunit.Tokens
	HasUsage                   bool
	// LastEventID is the last event that the client has of the stream that the
	// attempt Resumes began.
	LastEventID, Resumes string
}

// Path returns the URI without its query.
func (r *Request) Path() string {
	path, _, _ := strings.Cut(r.URI, "?")
	return path
}

// readRequest reads the head of a request. Its body is still unread. After an
// error the request, if not nil, holds what could be read of it.
func readRequest(br *bufio.Reader, limit int) (*Request, framing, error) {
	line, fields, err := readHead(br, &limit)
	if err != nil {
		return nil, framing{}, err
	}
	r := &Request{Fields: fields}
	parts := strings.Split(line, " ")
	if len(parts) != 3 || !bbhead.IsToken(parts[0]) || !validURI(parts[1]) || parts[2] != "HTTP/1.1" && parts[2] != "HTTP/1.0" {
		return r, framing{}, errors.Annotatef(ErrMalformed, "request line %.60q", line)
	}
	r.Method, r.URI, r.HTTP10 = parts[0], parts[1], parts[2] == "HTTP/1.0"
	f, err := bodyFraming(fields)
	if err != nil {
		return r, f, err
	}
	if f.chunked && r.HTTP10 {
		return r, f, errors.Annotate(ErrMalformed, "chunks in HTTP/1.0")
	}
	r.HasBody = f.chunked || f.length >= 0
	r.Close = fields.hasToken("Connection", "close") || r.HTTP10
	return r, f, r.readFields()
}

// validURI reports whether s is an absolute path of printable ASCII, without a
// fragment.
func validURI(s string) bool {
	for i := range len(s) {
		if s[i] <= ' ' || s[i] >= 0x7f || s[i] == '#' {
			return false
		}
	}
	return strings.HasPrefix(s, "/")
}

// singletonFields may occur only once: of two values, two readers could use
// different ones.
var singletonFields = []string{
	bbplatform.HeaderAttemptID, bbplatform.HeaderDeadline, bbplatform.HeaderAPIKey,
	bbplatform.HeaderTokenUsage, bbplatform.HeaderPromptParts, "Model", bbplatform.HeaderLastEventID,
	bbplatform.HeaderResumes,
}

// readFields parses the fields that the proxy uses.
func (r *Request) readFields() error {
	for _, name := range singletonFields {
		if _, n := r.Fields.Get(name); n > 1 {
			return errors.Annotatef(ErrMalformed, "%s stands %d times", name, n)
		}
	}
	host, n := r.Fields.Get("Host")
	if n != 1 {
		return errors.Annotatef(ErrMalformed, "host stands %d times", n)
	}
	r.Host = host
	r.AttemptID = r.Fields.Value(bbplatform.HeaderAttemptID)
	r.APIKey = r.Fields.Value(bbplatform.HeaderAPIKey)
	r.LastEventID = r.Fields.Value(bbplatform.HeaderLastEventID)
	r.Resumes = r.Fields.Value(bbplatform.HeaderResumes)
	if len(r.Resumes) > maxAttemptIDBytes || r.Resumes != "" && r.Resumes == r.AttemptID {
		return errors.Annotatef(ErrMalformed, "resumed attempt %.40q", r.Resumes)
	}
	r.Timeout = defaultDeadline
	if text, n := r.Fields.Get(bbplatform.HeaderDeadline); n == 1 {
		timeout, ok := bbplatform.ParseDeadline(text)
		if !ok {
			return errors.Annotatef(ErrMalformed, "deadline %.40q", text)
		}
		r.Timeout = timeout
	}
	if text, n := r.Fields.Get(bbplatform.HeaderTokenUsage); n == 1 {
		if r.PromptTokens, r.OutputTokens, r.HasUsage = bbplatform.ParseTokenUsage(text); !r.HasUsage {
			return errors.Annotatef(ErrMalformed, "usage %.40q", text)
		}
	}
	return nil
}

// Fingerprint returns a hash by which a repeated request is recognized.
func (r *Request) Fingerprint(account bbunit.AccountID) uint64 {
	h := xxhash.New()
	for _, s := range []string{string(account), "\x00", r.Method, "\x00", r.URI, "\x00"} {
		_, _ = h.WriteString(s)
	}
	_, _ = h.Write(r.Body)
	return h.Sum64()
}

// sharedPartsText returns the field of the prompt's parts without its last entry,
// which belongs to the request alone or to its session.
func (r *Request) sharedPartsText() string {
	text := strings.TrimRight(r.Fields.Value(bbplatform.HeaderPromptParts), ", ")
	return text[:max(strings.LastIndexByte(text, ','), 0)]
}

// SharedPrefix returns a hash of the parts of the prompt that other requests may
// share, and their tokens: all parts but the last.
func (r *Request) SharedPrefix() (uint64, bbunit.Tokens) {
	text := r.sharedPartsText()
	if text == "" {
		return 0, 0
	}
	var n bbunit.Tokens
	for _, p := range bbplatform.ParsePromptParts(text) {
		n += p.Tokens
	}
	return xxhash.Sum64String(text), min(n, r.PromptTokens)
}

// SharedParts returns the parts of the prompt that other requests may share, all
// but the last. Malformed ones are left out.
func (r *Request) SharedParts() []bbcrash.Part {
	parsed := bbplatform.ParsePromptParts(r.sharedPartsText())
	if len(parsed) == 0 {
		return nil
	}
	parts := make([]bbcrash.Part, 0, len(parsed))
	for _, p := range parsed {
		if p.ID != "" {
			parts = append(parts, bbcrash.NewPart(p.ID))
		}
	}
	return parts
}
