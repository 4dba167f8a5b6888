// Package bbticket holds change tickets: their YAML form, the state that they
// put in force object by object, and the log whose head accepts them.
package bbticket

import (
	"bluebellport.example/shared/bbunit"
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text -output=kind_enumer.go

// Kind tells how a service is spoken to.
type Kind int

// Kinds of service.
const (
	// KindEngine is a model engine that speaks chat completions.
	KindEngine Kind = iota
	// KindPlain is a plain HTTP service that requests are passed on to whole.
	KindPlain
)

// Limit bounds the use of an account or a service. Zero fields do not limit.
type Limit struct {
	// Rate is in requests a second.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Burst is in requests; 0 means one second of Rate.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty"`
	// MaxInFlight is the most requests in flight at once in a failure domain.
	MaxInFlight int `yaml:"open,omitempty" json:"open,omitempty"`
}

// Price is what a request costs, in tokens.
type Price struct {
	// Call is charged once a request.
	Call bbunit.Tokens `yaml:"call,omitempty" json:"call,omitempty"`
	// Input is charged for each prompt token.
	Input bbunit.Tokens `yaml:"input,omitempty" json:"input,omitempty"`
	// Output is charged for each generated token.
	Output bbunit.Tokens `yaml:"output,omitempty" json:"output,omitempty"`
}

// Account is the whole state of a client account.
type Account struct {
	ID bbunit.AccountID `yaml:"id" json:"id"`
	// Keys are "sha256:" and the hex digest of each API key.
	Keys     []string        `yaml:"keys" json:"keys"`
	Priority bbunit.Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
	Limit    Limit           `yaml:"limit,omitempty" json:"limit,omitempty"`
	Deleted  bool            `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Budget is the whole state of a prepaid budget.
type Budget struct {
	ID      bbunit.BudgetID  `yaml:"id" json:"id"`
	Account bbunit.AccountID `yaml:"account" json:"account"`
	// Paid is the total ever paid in, in tokens.
	Paid    bbunit.Tokens `yaml:"paid" json:"paid"`
	Deleted bool          `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Service is the whole state of a service.
type Service struct {
	ID    bbunit.ServiceID `yaml:"id" json:"id"`
	Kind  Kind             `yaml:"kind" json:"kind"`
	Price Price            `yaml:"price,omitempty" json:"price,omitempty"`
	// Idempotent lists the HTTP methods that may be repeated; others are
	// claimed and run at most once. Empty means GET, HEAD, OPTIONS for plain
	// services. Chat completions are idempotent.
	Idempotent []string `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// DefaultMaxOutput is the most tokens an answer may have when the caller sets none.
	DefaultMaxOutput bbunit.Tokens `yaml:"output,omitempty" json:"output,omitempty"`
	// Accounts that may use the service; empty means all.
	Accounts []bbunit.AccountID `yaml:"accounts,omitempty" json:"accounts,omitempty"`
	Limit    Limit              `yaml:"limit,omitempty" json:"limit,omitempty"`
	Deleted  bool               `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Target is the whole state of a target.
type Target struct {
	ID      bbunit.TargetID  `yaml:"id" json:"id"`
	Service bbunit.ServiceID `yaml:"service" json:"service"`
	// Address is host:port.
	Address string          `yaml:"address" json:"address"`
	Domain  bbunit.DomainID `yaml:"domain" json:"domain"`
	// Slots is how many requests the target runs at once; 0 means unknown.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// Fence tells that the target refuses orders with an old fencing number.
	Fence bool `yaml:"fence,omitempty" json:"fence,omitempty"`
	// Leaving targets get no new requests.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	Deleted bool `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Ticket is one numbered change: the whole new state of all that it touches.
type Ticket struct {
	Number   bbunit.TicketNumber `yaml:"number" json:"number"`
	Note     string              `yaml:"note,omitempty" json:"note,omitempty"`
	Accounts []Account           `yaml:"accounts,omitempty" json:"accounts,omitempty"`
	Budgets  []Budget            `yaml:"budgets,omitempty" json:"budgets,omitempty"`
	Services []Service           `yaml:"services,omitempty" json:"services,omitempty"`
	Targets  []Target            `yaml:"targets,omitempty" json:"targets,omitempty"`
}

// Numbered is an object with the ticket that last wrote it.
type Numbered[T any] struct {
	Number bbunit.TicketNumber `json:"number"`
	Object T                   `json:"object"`
}

// State is all that is in force: an immutable snapshot, replaced whole. Objects
// marked Gone stay as tombstones so that an older ticket cannot bring them back.
type State struct {
	Number   bbunit.TicketNumber                    `json:"number"`
	Accounts map[bbunit.AccountID]Numbered[Account] `json:"accounts"`
	Budgets  Table[bbunit.BudgetID, Budget]         `json:"budgets"`
	Services map[bbunit.ServiceID]Numbered[Service] `json:"services"`
	Targets  map[bbunit.TargetID]Numbered[Target]   `json:"targets"`

	// LastRoutingChange is the last ticket that touched an account, a service or a target:
	// states in which it is the same route alike. 0 means unknown.
	LastRoutingChange bbunit.TicketNumber `json:"-"`

	// Derived indexes, rebuilt by Apply.
	ByKey     map[string]bbunit.AccountID            `json:"-"`
	ByAccount map[bbunit.AccountID][]bbunit.BudgetID `json:"-"`
	ByService map[bbunit.ServiceID][]Target          `json:"-"`
}
