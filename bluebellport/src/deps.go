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

// Sentinel errors that parts return to the path of a request.
const (
	// ErrBudgetExhausted means that the account's budgets have nothing left.
	ErrBudgetExhausted = errors.ConstError("budget exhausted")
	// ErrShareUnavailable means that money may be left but none could be had in time.
	ErrShareUnavailable = errors.ConstError("no budget share at hand")
	// ErrAlreadyClaimed means that another instance runs, or has run, the request.
	ErrAlreadyClaimed = errors.ConstError("request already claimed")
	// ErrRequestIDReused means that the request id was used with another body.
	ErrRequestIDReused = errors.ConstError("request id reused with another body")
	// ErrRequestIDExpired means that the request id is older than the claims kept.
	ErrRequestIDExpired = errors.ConstError("request id too old")
	// ErrClaimNotWritten means that the claim could not be written; the request did
	// not run.
	ErrClaimNotWritten = errors.ConstError("claim not written")
	// ErrPeerUnreachable means that the instance asked could not be reached.
	ErrPeerUnreachable = errors.ConstError("peer unreachable")
)

// Deps is what every controller is built from.
type Deps struct {
	Board   *Board
	Store   bbstore.Store
	Bus     Bus
	Log     logrus.FieldLogger
	Metrics metrics.Registry
	Opts    *Options
	Now     func() time.Time
}

// Gossiper is a part that spreads what it knows by gossip. Fill and Take must not
// block.
type Gossiper interface {
	// Fill adds what the part knows to an outgoing message.
	Fill(g *bbwire.Gossip)
	// Take reads what another instance knows.
	Take(from bbunit.InstanceID, g *bbwire.Gossip)
}

// Bus carries envelopes between instances. Handlers run on the session's
// goroutine and must not block.
type Bus interface {
	// Send queues e for the instance and returns at once; ErrPeer when there
	// is no session and none can be opened soon.
	Send(to bbunit.InstanceID, e *bbwire.Envelope) error
	// Call sends e and waits for the answer, up to the context's deadline.
	Call(ctx context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error)
	// Handle sets the function that gets envelopes whose body has the same
	// type as the sample's; a non-nil result is sent back as the answer.
	Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope)
}

// BudgetReserver is the budget side of a request.
type BudgetReserver interface {
	// Reserve sets most tokens aside from the first of the budgets that has
	// them. Without a lock while a share lasts; otherwise it waits for a share
	// up to the context's deadline. ErrBudget or ErrShare.
	Reserve(ctx context.Context, budgets []bbunit.BudgetID, most bbunit.Tokens) (*Reservation, error)
}

// Reservation is an amount set aside for one request. The first call of End ends it;
// later ones do nothing.
type Reservation struct {
	Budget bbunit.BudgetID
	Holder bbunit.HolderID
	Max    bbunit.Tokens
	Commit func(used bbunit.Tokens)
	// Refund takes back, after End, what turned out not to be owed.
	Refund func(n bbunit.Tokens)
}

// Journal is the record side of a request.
type Journal interface {
	// Claim records that this instance runs a request that is not idempotent.
	// It returns once the claim stands in the key-value service, or with
	// ErrClaimed (and the record that stands), ErrReused, ErrStale, ErrNoClaim.
	Claim(ctx context.Context, r *bbwire.Record) (*bbwire.Record, error)
	// Open notes a reservation before the request is sent. It does not wait.
	Open(r *bbwire.Record)
	// Withdraw gives up a claim or an open reservation of which nothing was
	// sent and nothing will be. It does not wait.
	Withdraw(r *bbwire.Record)
	// Full tells that new work must be refused, since too many bills wait.
	Full() bool
	// BillThen queues the final record of a request. It does not wait; the
	// record is sent until it is acknowledged, and then, if set, gets the
	// verdict: on REPEATED and MISMATCH another bill stands and the amount is
	// not owed.
	BillThen(r *bbwire.Record, then func(v *bbwire.Verdict))
}

// Attempt is one choice of a target for a request.
type Attempt struct {
	Target bbticket.Target
	// Done reports how the attempt ended; it must be called once.
	Done func(end AttemptResult)
}

// AttemptResult tells the router how an attempt went.
type AttemptResult struct {
	Err error
	// Sent tells that a byte of the request left for the target.
	Sent bool
	// Crashed tells that the connection broke while the target ran the request.
	Crashed bool
	// ConnReused tells that the connection had been open before the attempt. Unless
	// the target crashed, such an end does not speak against it.
	ConnReused bool
	// TimeToFirstByte and Total are times from sending to the first byte and to the end.
	TimeToFirstByte, Total time.Duration
	// OutputTokens is how many tokens were generated.
	OutputTokens bbunit.Tokens
}
