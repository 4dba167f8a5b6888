// Package bbunit holds the named types for ids, units and outcomes that every
// program of the workspace shares.
package bbunit

// Version is the version of the programs, set at build time.
var Version = "dev"

//go:generate enumer -type=Outcome -trimprefix=Outcome -transform=kebab -text -output=outcome_enumer.go

// AccountID names a client account.
type AccountID string

// BudgetID names a prepaid budget.
type BudgetID string

// ServiceID names a service: a model or a plain service.
type ServiceID string

// TargetID names a target of a service.
type TargetID string

// InstanceID names an instance of the fleet, as its settings give it.
type InstanceID string

// DomainID names a failure domain.
type DomainID string

// RequestID names a request within its client account: the Idempotency-Key
// that the caller sent, or one that the instance made.
type RequestID string

// HolderID names one holder of budget shares. It is never used twice: it joins
// instance, incarnation and a counter.
type HolderID string

// Incarnation tells the lives of an instance apart. It is drawn at random at
// each start.
type Incarnation uint64

// TicketNumber is the place of a change ticket in the log; the first is 1.
type TicketNumber uint64

// Fence is a fencing number: an order that carries a lower one than the target
// has seen is stale.
type Fence uint64

// Tokens is an amount of prepaid tokens.
type Tokens int64

// Priority orders requests under overload; a higher one is shed later.
type Priority int

// Outcome tells a caller what is known of its request.
type Outcome int

// Outcomes of a request.
const (
	// OutcomeDone means that the request ran and the answer is whole.
	OutcomeDone Outcome = iota
	// OutcomeNotRun means that no byte of the request reached a target.
	OutcomeNotRun
	// OutcomeUnknown means that the request was sent and its end was not seen.
	OutcomeUnknown
	// OutcomeFailed means that the request ran and ended in an error.
	OutcomeFailed
)
