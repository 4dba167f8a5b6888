package bbport

import (
	"bytes"
	"crypto/sha256"
	"encoding/hex"
	"strconv"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// clientRequest is one request of a caller, parsed and checked against what is in force.
type clientRequest struct {
	account bbticket.Account
	service bbticket.Service
	budgets []bbunit.BudgetID
	id      bbunit.RequestID
	// clientNamed tells that the caller named the request, so that it may come twice.
	clientNamed bool
	// forwarded tells that another instance sent it here, to its home.
	forwarded bool
	// forwardedToOwner tells that it was sent here since the claim's owner is here.
	forwardedToOwner bool
	// fingerprint is a hash of method, path and body.
	fingerprint uint64
	method      string
	// path is what a plain service sees, with its query.
	path     string
	header   []HeaderField
	body     []byte
	deadline time.Time
	priority bbunit.Priority
	// idempotent tells that the request may run more than once.
	idempotent bool
	chat       *chat
	// maxPrice is the highest price that the request can come to.
	maxPrice bbunit.Tokens
}

// rawRequest is a request as it came, from a caller or from another instance.
type rawRequest struct {
	method, path, service string
	apiKey, id            string
	deadlineMs, priority  string
	header                []HeaderField
	body                  []byte
}

// hashAPIKey is the form in which API keys are kept.
func hashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// parse checks a request against the state in force. The error is errKey,
// errService, errForbidden or errRequest; nothing has run.
func (w *rawRequest) parse(s *bbticket.State, now time.Time, limit time.Duration) (*clientRequest, error) {
	account, ok := s.ByKey[hashAPIKey(w.apiKey)]
	if !ok {
		return nil, errors.Trace(errUnknownKey)
	}
	return w.parseForAccount(s, account, now, limit)
}

// parseForAccount is parse for an account that is already known.
func (w *rawRequest) parseForAccount(s *bbticket.State, account bbunit.AccountID, now time.Time, limit time.Duration) (*clientRequest, error) {
	c := &clientRequest{
		account: s.Accounts[account].Object,
		budgets: s.ByAccount[account],
		method:  w.method,
		path:    w.path,
		header:  w.header,
		body:    w.body,
	}
	if w.service == "" {
		var err error
		if c.chat, err = parseChat(w.body); err != nil {
			return nil, err
		}
		w.service = c.chat.Model
	}
	if err := c.setService(s, bbunit.ServiceID(w.service)); err != nil {
		return nil, err
	}
	if err := c.setID(w.id); err != nil {
		return nil, err
	}
	if err := c.setDeadlineAndPriority(w.deadlineMs, w.priority, now, limit); err != nil {
		return nil, err
	}
	c.fingerprint = requestFingerprint(w.method, string(c.service.ID), w.path, w.body)
	c.idempotent = c.chat != nil || isIdempotentMethod(c.service, c.method)
	c.maxPrice = c.service.Price.Call
	if c.chat != nil {
		c.maxPrice = c.chat.maxPrice(c.service, len(c.body))
	}
	return c, nil
}

func (c *clientRequest) setService(s *bbticket.State, id bbunit.ServiceID) error {
	v, ok := s.Services[id]
	want := bbticket.KindPlain
	if c.chat != nil {
		want = bbticket.KindEngine
	}
	if !ok || v.Object.Deleted || v.Object.Kind != want {
		return errors.WithType(errors.Errorf("service: unknown: %q", id), errUnknownService)
	}
	c.service = v.Object
	if len(c.service.Accounts) == 0 {
		return nil
	}
	for _, a := range c.service.Accounts {
		if a == c.account.ID {
			return nil
		}
	}
	return errors.Trace(errForbidden)
}

// setID sets the request's id: the caller's, or one made here that carries its
// time.
func (c *clientRequest) setID(id string) error {
	if id == "" {
		u, err := uuid.NewV7()
		if err != nil {
			return errors.Trace(err)
		}
		c.id = bbunit.RequestID(u.String())
		return nil
	}
	if len(id) > maxRequestIDBytes {
		return badRequest("Idempotency-Key: longer than %d bytes", maxRequestIDBytes)
	}
	for _, r := range id {
		if r <= ' ' || r > '~' {
			return badRequest("Idempotency-Key: printable ASCII without spaces only")
		}
	}
	c.id, c.clientNamed = bbunit.RequestID(id), true
	return nil
}

// setDeadlineAndPriority sets deadline and priority. A caller may lower its account's priority
// but not raise it.
func (c *clientRequest) setDeadlineAndPriority(ms, priority string, now time.Time, limit time.Duration) error {
	c.deadline = now.Add(limit)
	if ms != "" {
		n, err := strconv.ParseInt(ms, 10, 64)
		if err != nil || n <= 0 {
			return badRequest("X-Request-Deadline-Ms: not a number above 0: %q", ms)
		}
		if n < limit.Milliseconds() {
			c.deadline = now.Add(time.Duration(n) * time.Millisecond)
		}
	}
	c.priority = c.account.Priority
	if priority != "" {
		n, err := strconv.Atoi(priority)
		if err != nil {
			return badRequest("X-Request-Priority: not a number: %q", priority)
		}
		c.priority = min(c.priority, bbunit.Priority(n))
	}
	return nil
}

// isIdempotentMethod tells whether the service lets the method run more than once.
func isIdempotentMethod(s bbticket.Service, method string) bool {
	list := s.Idempotent
	if len(list) == 0 {
		list = []string{"GET", "HEAD", "OPTIONS"}
	}
	for _, m := range list {
		if m == method {
			return true
		}
	}
	return false
}

// requestFingerprint is the hash that tells two bodies of one request id apart.
func requestFingerprint(method, service, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, service, path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// prefixHashes are hashes of the chat's leading messages, the shortest first.
func (c *clientRequest) prefixHashes() []uint64 {
	if c.chat == nil {
		return nil
	}
	d := xxhash.New()
	out := make([]uint64, 0, len(c.chat.Messages))
	for _, m := range c.chat.Messages {
		_, _ = d.Write(bytes.TrimSpace(m))
		out = append(out, d.Sum64())
	}
	return out
}

// attemptID names one attempt of the owner at a target; accounts and instances
// cannot collide.
func (c *clientRequest) attemptID(owner string, attempt int) string {
	sum := sha256.Sum256([]byte(string(c.account.ID) + "\x00" + string(c.id) + "\x00" + owner))
	return hex.EncodeToString(sum[:12]) + "-" + strconv.Itoa(attempt)
}

// price is what the request costs with what the engine counted.
func (c *clientRequest) price(u tokenUsage) bbunit.Tokens {
	p := c.service.Price
	return min(c.maxPrice, p.Call+p.Input*u.Prompt+p.Output*u.Completion)
}

// bearerToken returns the key of an Authorization header.
func bearerToken(v string) string {
	const scheme = "Bearer "
	if len(v) < len(scheme) || !strings.EqualFold(v[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(v[len(scheme):])
}
