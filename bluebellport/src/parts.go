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
	// ErrBudget means that the account's budgets have nothing left.
	ErrBudget = errors.ConstError("budget exhausted")
	// ErrShare means that money may be left but none could be had in time.
	ErrShare = errors.ConstError("no budget share at hand")
	// ErrClaimed means that another instance runs, or has run, the request.
	ErrClaimed = errors.ConstError("request already claimed")
	// ErrReused means that the request id was used with another body.
	ErrReused = errors.ConstError("request id reused with another body")
	// ErrStale means that the request id is older than the claims kept.
	ErrStale = errors.ConstError("request id too old")
	// ErrNoClaim means that the claim could not be written; the request did
	// not run.
	ErrNoClaim = errors.ConstError("claim not written")
	// ErrPeer means that the instance asked could not be reached.
	ErrPeer = errors.ConstError("peer unreachable")
)

// Parts is what every controller is built from.
type Parts struct {
	Board   *Board
	Store   bbstore.Store
	Bus     Bus
	Log     logrus.FieldLogger
	Metrics metrics.Registry
	Opts    *Options
	Now     func() time.Time
}

// Rumor is a part that spreads what it knows by gossip. Fill and Take must not
// block.
type Rumor interface {
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

// Money is the budget side of a request.
type Money interface {
	// Reserve sets most tokens aside from the first of the budgets that has
	// them. Without a lock while a share lasts; otherwise it waits for a share
	// up to the context's deadline. ErrBudget or ErrShare.
	Reserve(ctx context.Context, budgets []bbunit.BudgetID, most bbunit.Tokens) (*Hold, error)
}

// Hold is an amount set aside for one request. The first call of End ends it;
// later ones do nothing.
type Hold struct {
	Budget bbunit.BudgetID
	Holder bbunit.HolderID
	Most   bbunit.Tokens
	End    func(used bbunit.Tokens)
	// Refund takes back, after End, what turned out not to be owed.
	Refund func(n bbunit.Tokens)
}

// Ledger is the record side of a request.
type Ledger interface {
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
	Done func(end AttemptEnd)
}

// AttemptEnd tells the router how an attempt went.
type AttemptEnd struct {
	Err error
	// Sent tells that a byte of the request left for the target.
	Sent bool
	// Crashed tells that the connection broke while the target ran the request.
	Crashed bool
	// Reused tells that the connection had been open before the attempt. Unless
	// the target crashed, such an end does not speak against it.
	Reused bool
	// First and Total are times from sending to the first byte and to the end.
	First, Total time.Duration
	// Output is how many tokens were generated.
	Output bbunit.Tokens
}
