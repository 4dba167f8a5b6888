package bbport

import (
	"context"
	"sync/atomic"
	"time"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// attempt is one Claim call.
type attempt struct {
	rec *bbwire.Record
	// dead is set once the call has given up; only the call itself sets it, and
	// never after it was granted the claim.
	dead atomic.Bool
}

// Claim records that this instance runs the request of r, and notes it as Open
// does. It sets r.Kind, and r.Owner, which Bill and Withdraw of the same request
// need, and waits up to the claim
// timeout and the context's deadline. ErrClaimed, ErrReused (with the record
// that stands), ErrStale, ErrNoClaim or bbjournal.ErrRecord: the request must
// not be sent. After ErrNoClaim the caller may come again with the same id.
func (r *Recorder) Claim(ctx context.Context, rec *bbwire.Record) (*bbwire.Record, error) {
	if err := bbjournal.Check(rec); err != nil {
		return nil, err
	}
	if r.Full() {
		return nil, ErrNoClaim
	}
	r.count.claims.Inc(1)
	ctx, cancel := context.WithTimeout(ctx, r.opts.ClaimTimeout)
	defer cancel()
	rec.Kind, rec.Owner, rec.Made = bbwire.Record_CLAIM, r.newOwner(), r.Now().UnixMilli()
	a := &attempt{rec: bbjournal.Copy(rec)}
	s, err := r.claim(ctx, a)
	if err != nil {
		r.abandon(a)
		return s, err
	}
	r.note(rec)
	return nil, nil
}

// claim submits the attempt until it is granted or refused.
func (r *Recorder) claim(ctx context.Context, a *attempt) (*bbwire.Record, error) {
	for {
		v := r.submit(ctx, a)
		switch v.Kind {
		case bbwire.Verdict_TAKEN:
			return nil, nil
		case bbwire.Verdict_MISMATCH:
			return v.Record, ErrReused
		case bbwire.Verdict_LATE:
			return nil, ErrStale
		case bbwire.Verdict_CONFLICT:
			if v.Record.GetKind() != bbwire.Record_CLAIM || !r.givenUp(ctx, v.Record.Owner) {
				r.count.claimed.Inc(1)
				return v.Record, ErrClaimed
			}
			r.retract(v.Record)
		}
		if ctx.Err() != nil {
			r.count.notWritten.Inc(1)
			return nil, ErrNoClaim
		}
	}
}

// submit queues the attempt's record and waits for the verdict, RETRY when time
// runs out.
func (r *Recorder) submit(ctx context.Context, a *attempt) *bbwire.Verdict {
	got := make(chan *bbwire.Verdict, 1)
	r.enqueue(&item{
		rec: a.rec, own: true,
		dropped: func(time.Time) bool { return a.dead.Load() },
		done:    func(v *bbwire.Verdict) { got <- v },
	})
	select {
	case v := <-got:
		return v
	case <-ctx.Done():
		return retryVerdict
	}
}

// abandon gives an attempt up for good; its claim is taken back wherever it
// stands.
func (r *Recorder) abandon(a *attempt) {
	a.dead.Store(true)
	r.dead.add(a.rec.Owner)
	r.retract(a.rec)
}

// Withdraw gives up a claim that was granted, or an open reservation, when
// nothing was sent and nothing will be. It does not wait.
func (r *Recorder) Withdraw(rec *bbwire.Record) {
	if rec.Owner == "" {
		return
	}
	r.shadow.end(rec.Owner)
	if rec.Kind == bbwire.Record_CLAIM {
		r.dead.add(rec.Owner)
		r.retract(rec)
	}
}

// retract queues the withdrawal of a claim. The attempt that owns it must be
// known to be dead.
func (r *Recorder) retract(claim *bbwire.Record) {
	w := bbjournal.Copy(claim)
	w.Kind = bbwire.Record_WITHDRAWN
	r.count.withdrawn.Inc(1)
	r.enqueue(&item{rec: w, own: true, done: func(*bbwire.Verdict) {}})
}

// givenUp tells whether the instance that owns a claim says that it gave the
// claim up unsent.
func (r *Recorder) givenUp(ctx context.Context, owner string) bool {
	o, err := bbjournal.ParseOwner(owner)
	if err != nil {
		return false
	}
	if r.isSelf(o.Instance) {
		return r.dead.has(owner)
	}
	if r.Bus == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ask := &bbwire.Envelope{Body: &bbwire.Envelope_Claimask{Claimask: &bbwire.ClaimAsk{Owner: owner}}}
	e, err := r.Bus.Call(ctx, o.Instance, ask)
	if err != nil {
		return false
	}
	t := e.GetClaimtell()
	return t.GetOwner() == owner && t.GetWithdrawn()
}

// takeAsk answers another instance's question about a claim of ours.
func (r *Recorder) takeAsk(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	owner := e.GetClaimask().GetOwner()
	tell := &bbwire.ClaimTell{Owner: owner, Withdrawn: r.dead.has(owner)}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Claimtell{Claimtell: tell}}
}
