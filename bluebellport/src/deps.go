package bbport

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Sentinel errors that components return to the code that runs a request.
const (
	// ErrBudgetExhausted means that nothing is left of the account's budgets.
	ErrBudgetExhausted = errors.ConstError("budget exhausted")
	// ErrShareUnavailable means that a budget may have tokens left, but no
	// share of it was granted in time.
	ErrShareUnavailable = errors.ConstError("no budget share at hand")
	// ErrAlreadyClaimed means that another copy of the request runs or has run.
	ErrAlreadyClaimed = errors.ConstError("request already claimed")
	// ErrRequestIDReused means that the request id was used with another body.
	ErrRequestIDReused = errors.ConstError("request id reused with another body")
	// ErrRequestIDExpired means that the request id is older than the retention
	// of records, so that a copy may have run without a trace.
	ErrRequestIDExpired = errors.ConstError("request id too old")
	// ErrClaimNotWritten means that the claim could not be written in time; the
	// request did not run.
	ErrClaimNotWritten = errors.ConstError("claim not written")
	// ErrPeerUnreachable means that the instance could not be reached.
	ErrPeerUnreachable = errors.ConstError("peer unreachable")
)

// Deps holds what every component depends on.
type Deps struct {
	Board   *Board
	Store   bbstore.Store
	Bus     Bus
	Log     logrus.FieldLogger
	Metrics metrics.Registry
	Opts    *Options
	Now     func() time.Time
}

// Gossiper is a component that shares state with other instances by gossip.
// Its methods must not block.
type Gossiper interface {
	// FillGossip adds the component's state to an outgoing message.
	FillGossip(g *bbwire.Gossip)
	// HandleGossip merges the state of another instance.
	HandleGossip(from bbunit.InstanceID, g *bbwire.Gossip)
}

// Bus carries envelopes between instances. Handlers run on the session's
// goroutine and must not block.
type Bus interface {
	// Send queues e for the instance and returns at once. The error is
	// ErrPeerUnreachable when there is no session and none can be opened soon.
	Send(to bbunit.InstanceID, e *bbwire.Envelope) error
	// Call sends e and waits for the reply until ctx ends.
	Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error)
	// Handle sets the function for envelopes whose body has the type of the
	// sample's body. A non-nil result is sent back as the reply.
	Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope)
}

// BudgetReserver reserves tokens for requests.
type BudgetReserver interface {
	// Reserve sets amount tokens aside from the first of the budgets that has
	// them. It takes no lock while this instance's share lasts; otherwise it
	// waits for a share until ctx ends. The error is ErrBudgetExhausted or
	// ErrShareUnavailable.
	Reserve(ctx context.Context, budgets []bbunit.BudgetID, amount bbunit.Tokens) (*Reservation, error)
}

// Reservation is an amount set aside for one request. Only the first call of
// Commit has an effect.
type Reservation struct {
	Budget bbunit.BudgetID
	Holder bbunit.HolderID
	Amount bbunit.Tokens
	Commit func(used bbunit.Tokens)
	// Refund returns tokens to the budget that were committed and turned out
	// not to be owed.
	Refund func(n bbunit.Tokens)
}

// Journal records requests: claims before they run, and bills after.
type Journal interface {
	// Claim records that this instance runs a request that is not idempotent.
	// It returns nil once the claim is stored in the key-value service. The
	// error is ErrAlreadyClaimed (with the record that is stored),
	// ErrRequestIDReused, ErrRequestIDExpired or ErrClaimNotWritten.
	Claim(ctx context.Context, r *bbwire.Record) (*bbwire.Record, error)
	// Open backs up a reservation before the request is sent. It does not wait.
	Open(r *bbwire.Record)
	// Withdraw gives up a claim or an open reservation whose request was not
	// sent and will not be. It does not wait.
	Withdraw(r *bbwire.Record)
	// Full reports whether so many bills are unacknowledged that new work must
	// be refused.
	Full() bool
	// BillThen queues the final record of a request and sends it until it is
	// acknowledged. It does not wait. onVerdict, if not nil, is called with the
	// verdict: on REPEATED and MISMATCH another bill is stored for the request
	// and the amount is not owed.
	BillThen(r *bbwire.Record, onVerdict func(v *bbwire.Verdict))
}

// Attempt is a request's use of one chosen target.
type Attempt struct {
	Target bbticket.Target
	// Done reports the result of the attempt. It must be called once.
	Done func(result AttemptResult)
}

// AttemptResult is the result of an attempt, as the router needs it.
type AttemptResult struct {
	Err error
	// Sent is set if a byte of the request was sent to the target.
	Sent bool
	// Crashed is set if the connection broke while the target ran the request.
	Crashed bool
	// ConnReused is set if the connection was already open before the attempt.
	// A failure on such a connection does not count against the target unless
	// the target crashed.
	ConnReused bool
	// TimeToFirstByte and Total are measured from the sending of the request to
	// the first byte and to the end of the response.
	TimeToFirstByte, Total time.Duration
	// OutputTokens is the number of generated tokens.
	OutputTokens bbunit.Tokens
}
