package bbport

import (
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbwire"
)

// Open backs up, before a request is sent, what it may cost. It sets rec.Kind
// and rec.Owner unless Claim did. Every Open must be followed by Bill or
// Withdraw with the same owner. It does not wait.
func (r *Recorder) Open(rec *bbwire.Record) {
	if rec.Owner == "" {
		rec.Kind, rec.Owner = bbwire.Record_OPEN, r.newOwner()
	}
	r.backUpOpen(rec)
}

// backUpOpen has the peers keep an OPEN record of the request.
func (r *Recorder) backUpOpen(rec *bbwire.Record) {
	open := bbjournal.Copy(rec)
	open.Kind, open.Made = bbwire.Record_OPEN, r.Now().UnixMilli()
	r.backup.add(open)
}

// Bill queues the final record of a request: a bill, or UNKNOWN when the
// request was sent and its end was not seen (a bill may follow). It does not
// wait and is never refused; Full reports when to refuse new work instead.
func (r *Recorder) Bill(rec *bbwire.Record) { r.BillThen(rec, nil) }

// BillThen is Bill with a callback, which may be nil: it is called with the
// verdict once the record is acknowledged, and must not block. On REPEATED and
// MISMATCH another bill is stored for the request: the amount is not owed and
// goes back to its budget.
func (r *Recorder) BillThen(rec *bbwire.Record, onVerdict func(v *bbwire.Verdict)) {
	if rec.Owner == "" {
		rec.Owner = r.newOwner()
	}
	final := bbjournal.Copy(rec)
	if final.Kind != bbwire.Record_UNKNOWN {
		final.Kind = bbwire.Record_BILL
	}
	final.Made = r.Now().UnixMilli()
	r.queueBill(final, onVerdict)
}

func (r *Recorder) queueBill(rec *bbwire.Record, onVerdict func(v *bbwire.Verdict)) {
	if err := bbjournal.Check(rec); err != nil {
		r.metrics.mismatched.Inc(1)
		r.Log.WithError(err).WithFields(recordFields(rec)).Error("bill refused")
		if onVerdict != nil {
			onVerdict(&bbwire.Verdict{Kind: bbwire.Verdict_MISMATCH})
		}
		return
	}
	r.backup.add(rec)
	r.enqueue(&queuedRecord{rec: rec, local: true, onVerdict: func(v *bbwire.Verdict) {
		r.onFinalVerdict(rec, v)
		if onVerdict != nil {
			onVerdict(v)
		}
	}})
}

// onFinalVerdict counts and logs the verdict on a final record.
func (r *Recorder) onFinalVerdict(rec *bbwire.Record, v *bbwire.Verdict) {
	r.backup.remove(rec.Owner)
	log := r.Log.WithFields(recordFields(rec))
	switch v.Kind {
	case bbwire.Verdict_TAKEN:
		switch {
		case rec.Kind == bbwire.Record_BILL:
			r.metrics.bills.Inc(1)
		case v.Record.GetKind() != bbwire.Record_BILL:
			r.metrics.unknowns.Inc(1)
			log.Warn("outcome unknown")
		}
	case bbwire.Verdict_LATE:
		r.metrics.late.Inc(1)
		log.Error("bill older than the retention, not recorded")
	case bbwire.Verdict_MISMATCH:
		r.metrics.mismatched.Inc(1)
		log.Warn("bill of a reused request id, not owed")
	default:
		r.metrics.repeated.Inc(1)
		log.Info("bill repeated, not owed")
	}
}

func recordFields(rec *bbwire.Record) logrus.Fields {
	return logrus.Fields{
		"account": rec.Account, "request": rec.Request, "owner": rec.Owner, "budget": rec.Budget,
		"service": rec.Service, "target": rec.Target, "amount": rec.Amount,
	}
}
