package bbport

import (
	"context"

	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// lateAnswerHandler returns a function for the answer to a request that is not
// idempotent, called if the answer comes after the caller was told that the
// outcome is unknown. It bills the request and keeps the answer for a later
// copy of the request. It returns nil for idempotent requests.
func (j *execution) lateAnswerHandler() func(*fasthttp.Response) {
	if j.req.idempotent || j.rejoin == nil {
		return nil
	}
	return func(resp *fasthttp.Response) {
		<-j.ended
		answer, leader, err := j.rejoin(j.req)
		if err != nil {
			return
		}
		defer answer.Leave()
		if !leader {
			return // another copy is being refused because of the claim; the answer is not kept
		}
		ctx, cancel := context.WithTimeout(context.Background(), j.plainClient.lateWindow)
		defer cancel()
		if err := j.plainClient.relay(ctx, resp, j.req, answer); err != nil {
			answer.Finish(bbunit.OutcomeUnknown)
			return
		}
		rec := bbjournal.Copy(j.rec)
		rec.Kind, rec.Amount = bbwire.Record_BILL, int64(j.req.service.Price.Call)
		j.journal.BillThen(rec, nil)
		answer.Finish(bbunit.OutcomeDone)
		j.deps.Log.WithField("event", "late").WithField("request", j.req.id).Info("answer came after the deadline")
	}
}
