package bbticket

import (
	"bytes"
	"fmt"
	"net"
	"regexp"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// ErrInvalid marks a ticket that cannot be put in force; the error names every
// fault that was found.
const ErrInvalid = errors.ConstError("invalid ticket")

// MaxPaid is the most tokens that a budget may hold.
const MaxPaid bbunit.Tokens = 1 << 53

// MaxPrice is the most tokens that a call or a token may cost.
const MaxPrice bbunit.Tokens = 1 << 32

// MaxIDBytes is the longest id, in bytes.
const MaxIDBytes = 128

var (
	idPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]*$`)
	keyPattern = regexp.MustCompile(`^sha256:[0-9a-f]{64}$`)
)

// Parse reads a ticket from YAML. Unknown and repeated fields are errors with
// line and column; the error is ErrInvalid. References to other objects are
// checked by Check.
func Parse(src []byte) (Ticket, error) {
	var t Ticket
	d := yaml.NewDecoder(bytes.NewReader(src), yaml.Strict(), yaml.DisallowUnknownField())
	if err := d.Decode(&t); err != nil {
		text := yaml.FormatError(err, false, true)
		if at := unknownKindError(src); at != "" {
			text = at // the decoder gives no place for a name that is not in an enum
		}
		return Ticket{}, errors.WithType(errors.New(text), ErrInvalid)
	}
	return t, nil
}

// unknownKindError tells where the first service stands whose kind is unknown, in the
// decoder's form, or "" when there is none.
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
			continue // it names none
		}
		name := strings.Trim(node.String(), `"'`)
		if _, err := KindString(name); err == nil {
			continue
		}
		excerpt, err := path.AnnotateSource(src, false)
		if err != nil {
			return ""
		}
		at := node.GetToken().Position
		return fmt.Sprintf("[%d:%d] kind: %s or %s, is %q\n%s", at.Line, at.Column, KindEngine, KindPlain, name, excerpt)
	}
}

// violations collects what is wrong with a ticket.
type violations []string

func (f *violations) addf(format string, args ...any) { *f = append(*f, fmt.Sprintf(format, args...)) }

// Check tells whether the ticket may follow the state. The error is ErrInvalid
// and names every fault, one a line.
func (s *State) Check(t Ticket) error {
	if s == nil {
		s = &State{}
	}
	var f violations
	if t.Number == 0 {
		f.addf("number: must be above 0")
	}
	if len(t.Accounts)+len(t.Budgets)+len(t.Services)+len(t.Targets) == 0 {
		f.addf("ticket %d: touches nothing", t.Number)
	}
	next := s.Apply(t)
	f.checkAccounts(t.Accounts, next)
	f.checkBudgets(t.Budgets, next)
	f.checkServices(t.Services, next)
	f.checkTargets(t.Targets, next)
	f.checkOrphans(next)
	if len(f) == 0 {
		return nil
	}
	return errors.WithType(errors.New(strings.Join(f, "\n")), ErrInvalid)
}

func (f *violations) checkAccounts(list []Account, next *State) {
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
		f.checkID(path, string(a.ID), seen)
		f.checkLimit(path, a.Limit)
		for _, k := range a.Keys {
			if !keyPattern.MatchString(k) {
				f.addf("%s: key must be sha256: and 64 hex digits", path)
			}
			if other, ok := keyOwner[k]; ok {
				f.addf("%s: key is also that of account %q", path, other)
			}
			keyOwner[k] = a.ID
		}
		if len(a.Keys) == 0 && !a.Deleted {
			f.addf("%s: has no keys", path)
		}
	}
}

func (f *violations) checkBudgets(list []Budget, next *State) {
	seen := map[string]bool{}
	for i, b := range list {
		path := fmt.Sprintf("budgets[%d] %q", i, b.ID)
		f.checkID(path, string(b.ID), seen)
		f.checkAmount(path+": paid", b.Paid, MaxPaid)
		if !b.Deleted {
			checkExists(f, path, "account", next.Accounts, b.Account)
		}
	}
}

func (f *violations) checkServices(list []Service, next *State) {
	seen := map[string]bool{}
	for i, v := range list {
		path := fmt.Sprintf("services[%d] %q", i, v.ID)
		f.checkID(path, string(v.ID), seen)
		f.checkLimit(path, v.Limit)
		f.checkAmount(path+": price.call", v.Price.Call, MaxPrice)
		f.checkAmount(path+": price.input", v.Price.Input, MaxPrice)
		f.checkAmount(path+": price.output", v.Price.Output, MaxPrice)
		f.checkAmount(path+": output", v.DefaultMaxOutput, MaxPrice)
		for _, m := range v.Idempotent {
			if m == "" || strings.ToUpper(m) != m {
				f.addf("%s: idempotent: not an HTTP method: %q", path, m)
			}
		}
		for _, a := range v.Accounts {
			if !v.Deleted {
				checkExists(f, path, "account", next.Accounts, a)
			}
		}
	}
}

func (f *violations) checkTargets(list []Target, next *State) {
	seen := map[string]bool{}
	for i, t := range list {
		path := fmt.Sprintf("targets[%d] %q", i, t.ID)
		f.checkID(path, string(t.ID), seen)
		if t.Deleted {
			continue
		}
		checkExists(f, path, "service", next.Services, t.Service)
		if _, port, err := net.SplitHostPort(t.Address); err != nil || port == "" {
			f.addf("%s: address: not host:port: %q", path, t.Address)
		}
		if t.Domain == "" {
			f.addf("%s: domain: must not be empty", path)
		}
		if t.Slots < 0 {
			f.addf("%s: slots: must not be negative, is %d", path, t.Slots)
		}
	}
}

// checkOrphans finds objects in force whose owner the ticket takes away.
func (f *violations) checkOrphans(next *State) {
	for id, b := range next.Budgets.All() {
		if a, ok := next.Accounts[b.Object.Account]; ok && a.Object.Deleted && !b.Object.Deleted {
			f.addf("account %q: gone, but budget %q is not", b.Object.Account, id)
		}
	}
	for id, t := range next.Targets {
		if v, ok := next.Services[t.Object.Service]; ok && v.Object.Deleted && !t.Object.Deleted {
			f.addf("service %q: gone, but target %q is not", t.Object.Service, id)
		}
	}
}

func (f *violations) checkID(path, id string, seen map[string]bool) {
	switch {
	case !idPattern.MatchString(id):
		f.addf("%s: id: letters, digits, '.', '_' and '-' only", path)
	case len(id) > MaxIDBytes:
		f.addf("%s: id: longer than %d bytes", path, MaxIDBytes)
	case seen[id]:
		f.addf("%s: id: stands twice", path)
	}
	seen[id] = true
}

func (f *violations) checkAmount(path string, v, limit bbunit.Tokens) {
	if v < 0 || v > limit {
		f.addf("%s: must be from 0 to %d, is %d", path, limit, v)
	}
}

func (f *violations) checkLimit(path string, l Limit) {
	if l.Rate < 0 || l.Burst < 0 || l.MaxInFlight < 0 {
		f.addf("%s: limit: must not be negative", path)
	}
}

// checkExists adds a fault when the object referred to is not in force.
func checkExists[K ~string, T any](f *violations, path, kind string, objects map[K]Numbered[T], id K) {
	if _, ok := objects[id]; !ok {
		f.addf("%s: %s: unknown: %q", path, kind, id)
	}
}
