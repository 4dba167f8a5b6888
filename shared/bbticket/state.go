// Package bbticket implements change tickets: their YAML form and validation,
// the state that results from applying them, and the log in the key-value
// service that accepts them in order.
package bbticket

import (
	"bluebellport.example/shared/bbunit"
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text -output=kind_enumer.go

// Kind is the protocol of a service.
type Kind int

// Kinds of service.
const (
	// KindEngine is a model engine with the chat completions API.
	KindEngine Kind = iota
	// KindPlain is any other HTTP service. Requests are forwarded unchanged.
	KindPlain
)

// Limit restricts the use of an account or a service. A zero field sets no
// limit.
type Limit struct {
	// Rate is in requests per second.
	Rate float64 `yaml:"rate,omitempty" json:"rate,omitempty"`
	// Burst is in requests. 0 means the requests of one second at Rate.
	Burst float64 `yaml:"burst,omitempty" json:"burst,omitempty"`
	// MaxInFlight is the maximum number of requests in flight in a failure
	// domain.
	MaxInFlight int `yaml:"open,omitempty" json:"open,omitempty"`
}

// Price is the price of a request, in tokens.
type Price struct {
	// Call is charged once per request.
	Call bbunit.Tokens `yaml:"call,omitempty" json:"call,omitempty"`
	// Input is charged for each prompt token.
	Input bbunit.Tokens `yaml:"input,omitempty" json:"input,omitempty"`
	// Output is charged for each generated token.
	Output bbunit.Tokens `yaml:"output,omitempty" json:"output,omitempty"`
}

// Account is the complete configuration of a client account.
type Account struct {
	ID bbunit.AccountID `yaml:"id" json:"id"`
	// Keys holds "sha256:" and the hex digest of each API key.
	Keys     []string        `yaml:"keys" json:"keys"`
	Priority bbunit.Priority `yaml:"priority,omitempty" json:"priority,omitempty"`
	Limit    Limit           `yaml:"limit,omitempty" json:"limit,omitempty"`
	Deleted  bool            `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Budget is the complete configuration of a prepaid budget.
type Budget struct {
	ID      bbunit.BudgetID  `yaml:"id" json:"id"`
	Account bbunit.AccountID `yaml:"account" json:"account"`
	// Paid is the sum of all payments so far, in tokens. It is not the balance.
	Paid    bbunit.Tokens `yaml:"paid" json:"paid"`
	Deleted bool          `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Service is the complete configuration of a service.
type Service struct {
	ID    bbunit.ServiceID `yaml:"id" json:"id"`
	Kind  Kind             `yaml:"kind" json:"kind"`
	Price Price            `yaml:"price,omitempty" json:"price,omitempty"`
	// Idempotent lists the HTTP methods that may be retried. Requests with
	// other methods are claimed and run at most once. Empty means GET, HEAD and
	// OPTIONS for plain services; a ticket leaves the list out for that. Chat completions
	// are always idempotent.
	Idempotent []string `yaml:"idempotent,omitempty" json:"idempotent,omitempty"`
	// DefaultMaxOutput is the maximum length of an answer, in tokens, if the
	// caller sets none.
	DefaultMaxOutput bbunit.Tokens `yaml:"output,omitempty" json:"output,omitempty"`
	// Accounts lists the accounts that may use the service. Empty means all; a ticket
	// leaves the list out for that, so that no list is emptied by mistake.
	Accounts []bbunit.AccountID `yaml:"accounts,omitempty" json:"accounts,omitempty"`
	Limit    Limit              `yaml:"limit,omitempty" json:"limit,omitempty"`
	Deleted  bool               `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Target is the complete configuration of a target.
type Target struct {
	ID      bbunit.TargetID  `yaml:"id" json:"id"`
	Service bbunit.ServiceID `yaml:"service" json:"service"`
	// Address is host:port.
	Address string          `yaml:"address" json:"address"`
	Domain  bbunit.DomainID `yaml:"domain" json:"domain"`
	// Slots is the number of requests that the target runs concurrently. 0
	// means unknown.
	Slots int `yaml:"slots,omitempty" json:"slots,omitempty"`
	// ChecksFence is set if the target refuses orders with an old fencing token.
	ChecksFence bool `yaml:"fence,omitempty" json:"fence,omitempty"`
	// Leaving is set while the target is drained: it gets no new requests.
	Leaving bool `yaml:"leaving,omitempty" json:"leaving,omitempty"`
	Deleted bool `yaml:"gone,omitempty" json:"gone,omitempty"`
}

// Ticket is one numbered change. It contains the complete new configuration of
// each object that it changes.
type Ticket struct {
	Number   bbunit.TicketNumber `yaml:"number" json:"number"`
	Note     string              `yaml:"note,omitempty" json:"note,omitempty"`
	Accounts []Account           `yaml:"accounts,omitempty" json:"accounts,omitempty"`
	Budgets  []Budget            `yaml:"budgets,omitempty" json:"budgets,omitempty"`
	Services []Service           `yaml:"services,omitempty" json:"services,omitempty"`
	Targets  []Target            `yaml:"targets,omitempty" json:"targets,omitempty"`
}

// Numbered is an object and the number of the ticket that last wrote it.
type Numbered[T any] struct {
	Number bbunit.TicketNumber `json:"number"`
	Object T                   `json:"object"`
}

// State is an immutable snapshot of the configuration in force. Objects that
// are marked Deleted stay in it as tombstones, so that an older ticket cannot
// restore them.
type State struct {
	Number   bbunit.TicketNumber                    `json:"number"`
	Accounts map[bbunit.AccountID]Numbered[Account] `json:"accounts"`
	Budgets  Table[bbunit.BudgetID, Budget]         `json:"budgets"`
	Services map[bbunit.ServiceID]Numbered[Service] `json:"services"`
	Targets  map[bbunit.TargetID]Numbered[Target]   `json:"targets"`

	// LastRoutingChange is the last ticket that wrote an account, a service or
	// a target. States in which it is equal route alike. 0 means unknown.
	LastRoutingChange bbunit.TicketNumber `json:"-"`

	// Indexes of the objects above without deleted ones. Apply and Merge keep
	// them up to date; after decoding, call Reindex.
	ByKey     map[string]bbunit.AccountID            `json:"-"`
	ByAccount map[bbunit.AccountID][]bbunit.BudgetID `json:"-"`
	ByService map[bbunit.ServiceID][]Target          `json:"-"`
}
