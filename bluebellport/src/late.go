package bbport

import (
	"context"

	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// late returns what takes the answer to a request that may not be repeated when
// it comes after the caller was told that the outcome is unknown: it bills the
// request and keeps the answer for a copy that the caller sends. Nil where the
// request may be repeated.
func (j *job) late() func(*fasthttp.Response) {
	if j.c.repeatable || j.rejoin == nil {
		return nil
	}
	return func(resp *fasthttp.Response) {
		<-j.ended
		out, leader, err := j.rejoin(j.c)
		if err != nil {
			return
		}
		defer out.Leave()
		if !leader {
			return // a copy is being told of the claim just now; the next one gets the answer
		}
		ctx, cancel := context.WithTimeout(context.Background(), j.plains.late)
		defer cancel()
		if err := j.plains.relay(ctx, resp, j.c, out); err != nil {
			out.Finish(bbunit.OutcomeUnknown)
			return
		}
		rec := bbjournal.Copy(j.rec)
		rec.Kind, rec.Amount = bbwire.Record_BILL, int64(j.c.service.Price.Call)
		j.ledger.BillThen(rec, nil)
		out.Finish(bbunit.OutcomeDone)
		j.parts.Log.WithField("event", "late").WithField("request", j.c.id).Info("answer came after the deadline")
	}
}
