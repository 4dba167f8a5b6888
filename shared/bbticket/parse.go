package bbticket

import (
	"bytes"
	"crypto/sha256"
	"fmt"
	"net"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// ErrInvalid means that a ticket is malformed or not valid against the state.
// The error lists every violation that was found.
const ErrInvalid = errors.ConstError("invalid ticket")

// MaxPaid is the maximum of Budget.Paid.
const MaxPaid bbunit.Tokens = 1 << 53

// MaxPrice is the maximum of each field of Price and of
// Service.DefaultMaxOutput.
const MaxPrice bbunit.Tokens = 1 << 32

// MaxIDBytes is the maximum length of an id.
const MaxIDBytes = 128

var (
	idPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	keyPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
	// emptyKey is the hash of the empty text, which requests without a key have.
	emptyKey = fmt.Sprintf("sha256:%x", sha256.Sum256(nil))
)

// Parse decodes a ticket from YAML. Unknown and duplicate fields are errors.
// The error is ErrInvalid and contains line and column. Parse checks only the
// syntax; values and references to other objects are checked by State.Check.
func Parse(src []byte) (Ticket, error) {
	var t Ticket
	d := yaml.NewDecoder(bytes.NewReader(src), yaml.Strict(), yaml.DisallowUnknownField())
	if err := d.Decode(&t); err != nil {
		text := yaml.FormatError(err, false, true)
		if located := unknownKindError(src); located != "" {
			text = located // the decoder's error for an unknown enum name has no position
		}
		return Ticket{}, errors.WithType(errors.New(text), ErrInvalid)
	}
	if text := emptyListError(src); text != "" {
		return Ticket{}, errors.WithType(errors.New(text), ErrInvalid)
	}
	return t, nil
}

// unknownKindError returns an error text for the first service with an unknown
// kind, in the format of the decoder's errors, or "" if there is none.
func unknownKindError(src []byte) string {
	for i := 0; ; i++ {
		service, err := yaml.PathString(fmt.Sprintf("$.services[%d]", i))
		if err != nil {
			return ""
		}
		if _, err := service.ReadNode(bytes.NewReader(src)); err != nil {
			return ""
		}
		path, err := yaml.PathString(fmt.Sprintf("$.services[%d].kind", i))
		if err != nil {
			return ""
		}
		node, err := path.ReadNode(bytes.NewReader(src))
		if err != nil {
			continue // no kind given
		}
		name := strings.Trim(node.String(), `"'`)
		if _, err := KindString(name); err == nil {
			continue
		}
		return located(src, path, fmt.Sprintf("kind: %s or %s, is %q", KindEngine, KindPlain, name))
	}
}

// violations collects the errors in a ticket, one text each.
type violations []string

func (vs *violations) addf(format string, args ...any) {
	*vs = append(*vs, fmt.Sprintf(format, args...))
}

// Check validates the ticket against the state that it would be applied to. The
// error is ErrInvalid and lists every violation, one per line. A nil s is an
// empty state.
func (s *State) Check(t Ticket) error {
	if s == nil {
		s = &State{}
	}
	var vs violations
	if t.Number == 0 {
		vs.addf("number: must be above 0")
	}
	if len(t.Accounts)+len(t.Budgets)+len(t.Services)+len(t.Targets) == 0 {
		vs.addf("ticket %d: touches nothing", t.Number)
	}
	next := s.Apply(t)
	vs.checkAccounts(t.Accounts, next)
	vs.checkBudgets(t.Budgets, next)
	vs.checkServices(t.Services, next)
	vs.checkTargets(t.Targets, next)
	vs.checkOrphans(next)
	if len(vs) == 0 {
		return nil
	}
	return errors.WithType(errors.New(strings.Join(vs, "\n")), ErrInvalid)
}

func (vs *violations) checkAccounts(list []Account, next *State) {
	seen := map[string]bool{}
	keyOwner := map[string]bbunit.AccountID{}
	for id, a := range next.Accounts {
		if a.Number < next.Number && !a.Object.Deleted {
			for _, k := range a.Object.Keys {
				keyOwner[k] = id
			}
		}
	}
	for i, a := range list {
		path := fmt.Sprintf("accounts[%d] %q", i, a.ID)
		vs.checkID(path, string(a.ID), seen)
		vs.checkLimit(path, a.Limit)
		for _, k := range a.Keys {
			if !keyPattern.MatchString(k) {
				vs.addf("%s: key must be sha256: and 64 hex digits", path)
			}
			if k == emptyKey {
				vs.addf("%s: keys: one is the hash of the empty text, which is no key", path)
			}
			if other, ok := keyOwner[k]; ok {
				vs.addf("%s: keys: one is already a key of account %q", path, other)
			}
			keyOwner[k] = a.ID
		}
		if len(a.Keys) == 0 && !a.Deleted {
			vs.addf("%s: keys: must not be empty", path)
		}
	}
}

func (vs *violations) checkBudgets(list []Budget, next *State) {
	seen := map[string]bool{}
	for i, b := range list {
		path := fmt.Sprintf("budgets[%d] %q", i, b.ID)
		vs.checkID(path, string(b.ID), seen)
		vs.checkAmount(path+": paid", b.Paid, MaxPaid)
		if !b.Deleted {
			checkExists(vs, path, "account", next.Accounts, b.Account)
		}
	}
}

func (vs *violations) checkServices(list []Service, next *State) {
	seen := map[string]bool{}
	for i, v := range list {
		path := fmt.Sprintf("services[%d] %q", i, v.ID)
		vs.checkID(path, string(v.ID), seen)
		vs.checkLimit(path, v.Limit)
		vs.checkAmount(path+": price.call", v.Price.Call, MaxPrice)
		vs.checkAmount(path+": price.input", v.Price.Input, MaxPrice)
		vs.checkAmount(path+": price.output", v.Price.Output, MaxPrice)
		vs.checkAmount(path+": output", v.DefaultMaxOutput, MaxPrice)
		for _, m := range v.Idempotent {
			if m == "" || strings.ToUpper(m) != m {
				vs.addf("%s: idempotent: not an HTTP method: %q", path, m)
			}
		}
		for _, a := range v.Accounts {
			if !v.Deleted {
				checkExists(vs, path, "account", next.Accounts, a)
			}
		}
	}
}

func (vs *violations) checkTargets(list []Target, next *State) {
	seen := map[string]bool{}
	for i, t := range list {
		path := fmt.Sprintf("targets[%d] %q", i, t.ID)
		vs.checkID(path, string(t.ID), seen)
		if t.Deleted {
			continue
		}
		checkExists(vs, path, "service", next.Services, t.Service)
		if _, port, err := net.SplitHostPort(t.Address); err != nil || port == "" {
			vs.addf("%s: address: not host:port: %q", path, t.Address)
		}
		if t.Domain == "" {
			vs.addf("%s: domain: must not be empty", path)
		}
		if t.Slots < 0 {
			vs.addf("%s: slots: must not be negative, is %d", path, t.Slots)
		}
	}
}

// checkOrphans reports budgets and targets in force whose account or service
// the ticket deletes.
func (vs *violations) checkOrphans(next *State) {
	for id, b := range next.Budgets.All() {
		if a, ok := next.Accounts[b.Object.Account]; ok && a.Object.Deleted && !b.Object.Deleted {
			vs.addf("account %q: gone, but its budget %q is not", b.Object.Account, id)
		}
	}
	for id, t := range next.Targets {
		if v, ok := next.Services[t.Object.Service]; ok && v.Object.Deleted && !t.Object.Deleted {
			vs.addf("service %q: gone, but its target %q is not", t.Object.Service, id)
		}
	}
}

func (vs *violations) checkID(path, id string, seen map[string]bool) {
	switch {
	case !idPattern.MatchString(id):
		vs.addf("%s: id: letters, digits, '.', '_' and '-' only", path)
	case len(id) > MaxIDBytes:
		vs.addf("%s: id: longer than %d bytes", path, MaxIDBytes)
	case seen[id]:
		vs.addf("%s: id: stands twice", path)
	}
	seen[id] = true
}

func (vs *violations) checkAmount(path string, v, limit bbunit.Tokens) {
	if v < 0 || v > limit {
		vs.addf("%s: must be from 0 to %d, is %d", path, limit, v)
	}
}

func (vs *violations) checkLimit(path string, l Limit) {
	if l.Rate < 0 || l.Burst < 0 || l.MaxInFlight < 0 {
		vs.addf("%s: limit: rate, burst and open must not be negative", path)
	}
}

// checkExists reports a reference to an object that is not in the state.
// Deleted objects count as present; for budgets and targets, checkOrphans
// reports those.
func checkExists[K ~string, T any](vs *violations, path, kind string, objects map[K]Numbered[T], id K) {
	if _, ok := objects[id]; !ok {
		vs.addf("%s: %s: unknown: %q", path, kind, id)
	}
}
