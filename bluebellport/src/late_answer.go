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
func (e *execution) lateAnswerHandler() func(*fasthttp.Response) {
	if e.req.idempotent || e.rejoin == nil {
		return nil
	}
	return func(resp *fasthttp.Response) {
		<-e.ended
		answer, leader, err := e.rejoin(e.req)
		if err != nil {
			return
		}
		defer answer.Leave()
		if !leader {
			return // another copy is being refused because of the claim; the answer is not kept
		}
		ctx, cancel := context.WithTimeout(context.Background(), e.plainClient.lateWindow)
		defer cancel()
		if err := e.plainClient.relay(ctx, resp, e.req, answer); err != nil {
			answer.Finish(bbunit.OutcomeUnknown)
			return
		}
		rec := bbjournal.Copy(e.rec)
		rec.Kind, rec.Amount = bbwire.Record_BILL, int64(e.req.service.Price.Call)
		e.journal.BillThen(rec, nil)
		answer.Finish(bbunit.OutcomeDone)
		e.deps.Log.WithField("event", "late").WithField("request", e.req.id).Info("answer came after the deadline")
	}
}
