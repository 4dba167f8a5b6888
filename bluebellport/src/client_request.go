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

// clientRequest is a caller's request, parsed and checked against the current
// state.
type clientRequest struct {
	account bbticket.Account
	service bbticket.Service
	budgets []bbunit.BudgetID
	id      bbunit.RequestID
	// clientChosenID is set if the id is the caller's Idempotency-Key, so that
	// copies of the request may arrive.
	clientChosenID bool
	// forwarded is set if another instance sent the request here.
	forwarded bool
	// forwardedToOwner is set if it was sent here because this instance owns
	// the request's claim.
	forwardedToOwner bool
	// fingerprint is a hash of method, service, path and body.
	fingerprint uint64
	method      string
	// path is the path and query that a plain service gets.
	path     string
	header   []HeaderField
	body     []byte
	deadline time.Time
	priority bbunit.Priority
	// idempotent is set if the request may run more than once.
	idempotent bool
	chat       *chat
	// maxPrice is an upper bound of the request's price.
	maxPrice bbunit.Tokens
}

// rawRequest is an unparsed request from a caller or from another instance.
type rawRequest struct {
	method, path, service string
	apiKey, id            string
	deadlineMs, priority  string
	header                []HeaderField
	body                  []byte
}

// hashAPIKey returns the hash under which an API key is stored.
func hashAPIKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return "sha256:" + hex.EncodeToString(sum[:])
}

// accountByKey returns the account with an API key. An empty text is no key.
func accountByKey(s *bbticket.State, key string) (account bbunit.AccountID, ok bool) {
	if key == "" {
		return "", false
	}
	account, ok = s.ByKey[hashAPIKey(key)]
	return account, ok
}

// parse checks a request against the current state. It fails with
// errUnknownKey, errUnknownService, errForbidden or errInvalidRequest.
func (r *rawRequest) parse(s *bbticket.State, now time.Time, maxTimeout time.Duration) (*clientRequest, error) {
	account, ok := accountByKey(s, r.apiKey)
	if !ok {
		return nil, errors.Trace(errUnknownKey)
	}
	return r.parseForAccount(s, account, now, maxTimeout)
}

// parseForAccount is parse for a request whose API key was already checked.
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

// setService sets the service and checks that its kind fits the request and that
// the account may use it.
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

// setID sets the request id to the caller's, or to a new UUIDv7, which contains
// its time of creation.
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
	c.id, c.clientChosenID = bbunit.RequestID(id), true
	return nil
}

// setDeadlineAndPriority reads the caller's deadline, at most maxTimeout from
// now, and priority. A caller may lower its account's priority but not raise it.
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

// isIdempotentMethod reports whether the service allows requests with this
// method to run more than once.
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

// requestFingerprint returns a hash that distinguishes different requests with
// the same id.
func requestFingerprint(method, service, path string, body []byte) uint64 {
	d := xxhash.New()
	for _, s := range []string{method, service, path} {
		_, _ = d.WriteString(s)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(body)
	return d.Sum64()
}

// prefixHashes returns a hash of each run of leading messages of a chat,
// shortest first.
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

// attemptID returns the id of one attempt at a target. It contains a hash of
// account, request id and owner, so that ids of different accounts and instances
// do not collide.
func (c *clientRequest) attemptID(owner string, attempt int) string {
	sum := sha256.Sum256([]byte(string(c.account.ID) + "\x00" + string(c.id) + "\x00" + owner))
	return hex.EncodeToString(sum[:12]) + "-" + strconv.Itoa(attempt)
}

// price returns the price for the tokens that the engine counted, at most
// maxPrice.
func (c *clientRequest) price(usage tokenUsage) bbunit.Tokens {
	prices := c.service.Price
	return min(c.maxPrice, prices.Call+prices.Input*usage.Prompt+prices.Output*usage.Completion)
}

// bearerToken returns the key in an Authorization header, or an empty string if
// the header has another scheme.
func bearerToken(v string) string {
	const scheme = "Bearer "
	if len(v) < len(scheme) || !strings.EqualFold(v[:len(scheme)], scheme) {
		return ""
	}
	return strings.TrimSpace(v[len(scheme):])
}
