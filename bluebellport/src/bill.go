package bbport

import (
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbwire"
)

// Open notes, before a request is sent, what it may cost. It sets r.Kind and
// r.Owner unless Claim did. Every Open is ended by Bill or Withdraw with the same owner. It
// does not wait.
func (r *Recorder) Open(rec *bbwire.Record) {
	if rec.Owner == "" {
		rec.Kind, rec.Owner = bbwire.Record_OPEN, r.newOwner()
	}
	r.backUpOpen(rec)
}

// backUpOpen has the peers keep that the request was sent.
func (r *Recorder) backUpOpen(rec *bbwire.Record) {
	c := bbjournal.Copy(rec)
	c.Kind, c.Made = bbwire.Record_OPEN, r.Now().UnixMilli()
	r.backup.add(c)
}

// Bill queues the final record of a request: a bill, or UNKNOWN when the request
// was sent and its end was not seen (a bill may follow). It does not wait and is
// never refused; Full tells when to refuse new work instead.
func (r *Recorder) Bill(rec *bbwire.Record) { r.BillThen(rec, nil) }

// BillThen is Bill; then, if set, gets the verdict once the record is
// acknowledged and must not block. On REPEATED and MISMATCH another bill stands
// for the request: the amount is not owed and goes back to its budget.
func (r *Recorder) BillThen(rec *bbwire.Record, then func(v *bbwire.Verdict)) {
	if rec.Owner == "" {
		rec.Owner = r.newOwner()
	}
	c := bbjournal.Copy(rec)
	if c.Kind != bbwire.Record_UNKNOWN {
		c.Kind = bbwire.Record_BILL
	}
	c.Made = r.Now().UnixMilli()
	r.queueBill(c, then)
}

func (r *Recorder) queueBill(c *bbwire.Record, then func(v *bbwire.Verdict)) {
	if err := bbjournal.Check(c); err != nil {
		r.metrics.mismatched.Inc(1)
		r.Log.WithError(err).WithFields(recordFields(c)).Error("bill refused")
		if then != nil {
			then(&bbwire.Verdict{Kind: bbwire.Verdict_MISMATCH})
		}
		return
	}
	r.backup.add(c)
	r.enqueue(&queuedRecord{rec: c, local: true, onVerdict: func(v *bbwire.Verdict) {
		r.onFinalVerdict(c, v)
		if then != nil {
			then(v)
		}
	}})
}

// onFinalVerdict counts what became of a final record.
func (r *Recorder) onFinalVerdict(c *bbwire.Record, v *bbwire.Verdict) {
	r.backup.remove(c.Owner)
	log := r.Log.WithFields(recordFields(c))
	switch v.Kind {
	case bbwire.Verdict_TAKEN:
		switch {
		case c.Kind == bbwire.Record_BILL:
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

func recordFields(c *bbwire.Record) logrus.Fields {
	return logrus.Fields{
		"account": c.Account, "request": c.Request, "owner": c.Owner, "budget": c.Budget,
		"service": c.Service, "target": c.Target, "amount": c.Amount,
	}
}
