package bbport

import (
	"context"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// claimAttempt is one Claim call.
type claimAttempt struct {
	rec *bbwire.Record
	// abandoned is set when the call gives up. Only the call itself sets it,
	// and never after it was granted the claim.
	abandoned atomic.Bool
}

// Claim records that this instance runs the request of rec and backs it up as
// Open does. It waits until the claim timeout or until ctx ends. It sets
// rec.Kind and rec.Owner, which Bill and Withdraw of the request need. The
// error is ErrAlreadyClaimed or ErrRequestIDReused (both with the record that
// is stored), ErrRequestIDExpired, ErrClaimNotWritten or
// bbjournal.ErrInvalidRecord; the request must not be sent then. After
// ErrClaimNotWritten the caller may try again with the same id.
func (r *Recorder) Claim(ctx context.Context, rec *bbwire.Record) (*bbwire.Record, error) {
	if err := bbjournal.Check(rec); err != nil {
		return nil, err
	}
	if r.Full() {
		return nil, ErrClaimNotWritten
	}
	r.metrics.claims.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, r.opts.ClaimTimeout)
	defer cancel()
	rec.Kind, rec.Owner, rec.Made = bbwire.Record_CLAIM, r.newOwner(), r.Now().UnixMilli()
	attempt := &claimAttempt{rec: bbjournal.Copy(rec)}
	existing, err := r.claim(ctx, attempt)
	if err != nil {
		r.abandon(attempt)
		return existing, err
	}
	r.backUpOpen(rec)
	return nil, nil
}

// claim submits the attempt until it is granted or refused, or until ctx ends.
// A stored claim of an abandoned attempt is withdrawn.
func (r *Recorder) claim(ctx context.Context, attempt *claimAttempt) (*bbwire.Record, error) {
	for {
		verdict := r.submit(ctx, attempt)
		switch verdict.Kind {
		case bbwire.Verdict_TAKEN:
			return nil, nil
		case bbwire.Verdict_MISMATCH:
			return verdict.Record, ErrRequestIDReused
		case bbwire.Verdict_LATE:
			return nil, ErrRequestIDExpired
		case bbwire.Verdict_CONFLICT:
			if verdict.Record.GetKind() != bbwire.Record_CLAIM || !r.isAbandoned(ctx, verdict.Record.Owner) {
				r.metrics.alreadyClaimed.Inc(1)
				return verdict.Record, ErrAlreadyClaimed
			}
			r.queueWithdrawal(verdict.Record)
		}
		if ctx.Err() != nil {
			r.metrics.claimsNotWritten.Inc(1)
			return nil, ErrClaimNotWritten
		}
	}
}

// submit queues the attempt's record and waits for the verdict. The verdict is
// RETRY when ctx ends.
func (r *Recorder) submit(ctx context.Context, attempt *claimAttempt) *bbwire.Verdict {
	verdicts := make(chan *bbwire.Verdict, 1)
	r.enqueue(&queuedRecord{
		rec: attempt.rec, local: true,
		canceled:  func(time.Time) bool { return attempt.abandoned.Load() },
		onVerdict: func(v *bbwire.Verdict) { verdicts <- v },
	})
	select {
	case v := <-verdicts:
		return v
	case <-ctx.Done():
		return retryVerdict
	}
}

// abandon gives an attempt up for good and queues the withdrawal of its claim.
func (r *Recorder) abandon(attempt *claimAttempt) {
	attempt.abandoned.Store(true)
	r.abandoned.add(attempt.rec.Owner)
	r.queueWithdrawal(attempt.rec)
}

// Withdraw gives up a granted claim or an open reservation whose request was
// not sent and will not be. It does not wait.
func (r *Recorder) Withdraw(rec *bbwire.Record) {
	if rec.Owner == "" {
		return
	}
	r.backup.remove(rec.Owner)
	if rec.Kind == bbwire.Record_CLAIM {
		r.abandoned.add(rec.Owner)
		r.queueWithdrawal(rec)
	}
}

// queueWithdrawal queues the withdrawal of a claim. The attempt that owns it
// must be known to be abandoned.
func (r *Recorder) queueWithdrawal(claim *bbwire.Record) {
	withdrawal := bbjournal.Copy(claim)
	withdrawal.Kind = bbwire.Record_WITHDRAWN
	r.metrics.claimsWithdrawn.Inc(1)
	r.enqueue(&queuedRecord{rec: withdrawal, local: true, onVerdict: func(*bbwire.Verdict) {}})
}

// isAbandoned reports whether the instance that owns a claim confirms that the
// attempt was abandoned before the request was sent.
func (r *Recorder) isAbandoned(ctx context.Context, owner string) bool {
	parsed, err := bbjournal.ParseOwner(owner)
	if err != nil {
		return false
	}
	if r.isSelf(parsed.Instance) {
		return r.abandoned.has(owner)
	}
	if r.Bus == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, claimQueryTimeout)
	defer cancel()
	query := &bbwire.Envelope{Body: &bbwire.Envelope_Claimask{Claimask: &bbwire.ClaimAsk{Owner: owner}}}
	e, err := r.Bus.Call(ctx, parsed.Instance, query)
	if err != nil {
		return false
	}
	tell := e.GetClaimtell()
	return tell.GetOwner() == owner && tell.GetWithdrawn()
}

// handleClaimQuery tells another instance whether a claim of this one was
// abandoned.
func (r *Recorder) handleClaimQuery(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	owner := e.GetClaimask().GetOwner()
	tell := &bbwire.ClaimTell{Owner: owner, Withdrawn: r.abandoned.has(owner)}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Claimtell{Claimtell: tell}}
}
