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
func (r *rawRequest) parse(s *bbticket.State, now time.Time, maxTimeout time.Duration) (*clientRequest, error) {
	account, ok := s.ByKey[hashAPIKey(r.apiKey)]
	if !ok {
		return nil, errors.Trace(errUnknownKey)
	}
	return r.parseForAccount(s, account, now, maxTimeout)
}

// parseForAccount is parse for an account that is already known.
func (r *rawRequest) parseForAccount(s *bbticket.State, account bbunit.AccountID, now time.Time, maxTimeout time.Duration) (*clientRequest, error) {
	req := &clientRequest{
		account: s.Accounts[account].Object,
		budgets: s.ByAccount[account],
		method:  r.method,
		path:    r.path,
		header:  r.header,
		body:    r.body,
	}
	if r.service == "" {
		var err error
		if req.chat, err = parseChat(r.body); err != nil {
			return nil, err
		}
		r.service = req.chat.Model
	}
	if err := req.setService(s, bbunit.ServiceID(r.service)); err != nil {
		return nil, err
	}
	if err := req.setID(r.id); err != nil {
		return nil, err
	}
	if err := req.setDeadlineAndPriority(r.deadlineMs, r.priority, now, maxTimeout); err != nil {
		return nil, err
	}
	req.fingerprint = requestFingerprint(r.method, string(req.service.ID), r.path, r.body)
	req.idempotent = req.chat != nil || isIdempotentMethod(req.service, req.method)
	req.maxPrice = req.service.Price.Call
	if req.chat != nil {
		req.maxPrice = req.chat.maxPrice(req.service, len(req.body))
	}
	return req, nil
}

func (c *clientRequest) setService(s *bbticket.State, id bbunit.ServiceID) error {
	service, ok := s.Services[id]
	wantKind := bbticket.KindPlain
	if c.chat != nil {
		wantKind = bbticket.KindEngine
	}
	if !ok || service.Object.Deleted || service.Object.Kind != wantKind {
		return errors.WithType(errors.Errorf("service: unknown: %q", id), errUnknownService)
	}
	c.service = service.Object
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
func (c *clientRequest) setDeadlineAndPriority(deadlineMs, priority string, now time.Time, maxTimeout time.Duration) error {
	c.deadline = now.Add(maxTimeout)
	if deadlineMs != "" {
		n, err := strconv.ParseInt(deadlineMs, 10, 64)
		if err != nil || n <= 0 {
			return badRequest("X-Request-Deadline-Ms: not a number above 0: %q", deadlineMs)
		}
		if n < maxTimeout.Milliseconds() {
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
	methods := s.Idempotent
	if len(methods) == 0 {
		methods = []string{"GET", "HEAD", "OPTIONS"}
	}
	for _, m := range methods {
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
	hashes := make([]uint64, 0, len(c.chat.Messages))
	for _, m := range c.chat.Messages {
		_, _ = d.Write(bytes.TrimSpace(m))
		hashes = append(hashes, d.Sum64())
	}
	return hashes
}

// attemptID names one attempt of the owner at a target; accounts and instances
// cannot collide.
func (c *clientRequest) attemptID(owner string, attempt int) string {
	sum := sha256.Sum256([]byte(string(c.account.ID) + "\x00" + string(c.id) + "\x00" + owner))
	return hex.EncodeToString(sum[:12]) + "-" + strconv.Itoa(attempt)
}

// price is what the request costs with what the engine counted.
func (c *clientRequest) price(usage tokenUsage) bbunit.Tokens {
	prices := c.service.Price
	return min(c.maxPrice, prices.Call+prices.Input*usage.Prompt+prices.Output*usage.Completion)
}

// bearerToken returns the key of an Authorization header.
func bearerToken(v string) string {
	const scheme = "Bearer "
	if len(v) < len(scheme) || !strings.EqualFold(v[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(v[len(scheme):])
}
