package bbproxy

import (
	"net/http"

	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// charge is what a request costs its account: its prompt once, and the output that was
// delivered, of which an event has at most eventTokens. Where nothing tells these, a
// delivered event may hold all of the output. The zero value costs nothing.
type charge struct {
	applies        bool
	prompt, output bbunit.Tokens
	eventTokens    bbunit.Tokens
}

// most returns the most tokens that the request can use, its last event counted as a full
// one.
func (c *charge) most() bbunit.Tokens { return c.prompt + c.mostOutput() }

func (c *charge) mostOutput() bbunit.Tokens {
	if c.eventTokens == 0 {
		return c.output
	}
	return (c.output + c.eventTokens - 1) / c.eventTokens * c.eventTokens
}

// delivered is what a client has got of the output of a request.
type delivered struct {
	// events of a stream, which broke off unless it is whole.
	events int
	whole  bool
	// uncounted means that there was output which is no stream, so that nothing tells its
	// tokens.
	uncounted bool
}

// delivery returns how much of its answer the client has got.
func (d delivered) delivery() bbshare.Delivery {
	switch {
	case d.whole, d.uncounted:
		return bbshare.DeliveredWhole
	case d.events > 0:
		return bbshare.DeliveredPart
	}
	return bbshare.DeliveredNone
}

// of returns what a request costs that a target may have run. Of a stream that broke off,
// unseenEvents more count. Where the plan now in force tells that an event has up to
// eventTokens, the larger size counts, within what was reserved; 0 if it does not.
func (c *charge) of(d delivered, eventTokens bbunit.Tokens) bbunit.Tokens {
	events := d.events
	if !d.whole {
		events += unseenEvents
	}
	size := max(c.eventTokens, eventTokens)
	switch {
	case d.uncounted, c.eventTokens == 0 && d.events > 0:
		return c.most()
	case c.eventTokens == 0:
		return c.prompt
	}
	return c.prompt + min(bbunit.Tokens(events)*size, c.mostOutput())
}

// reserve reserves the most tokens that the request can use.
func (x *exchange) reserve() *Refusal {
	if !x.terms.charge.applies {
		return nil
	}
	if !x.req.HasUsage {
		return &Refusal{Status: http.StatusBadRequest, Reason: "the request does not tell its tokens"}
	}
	var refusal *Refusal
	x.balance, refusal = x.proxy.shares.reserve(x.account, x.terms.charge.most(), x.deadline, x.gone.done())
	if refusal != nil {
		x.refusedForMoney(refusal)
	}
	return refusal
}

// settle ends the reservation. A request that no target can have run costs nothing.
func (x *exchange) settle() {
	if x.balance == nil {
		return
	}
	var used bbunit.Tokens
	got := delivered{events: x.stream.eventCount, whole: x.stream.complete, uncounted: x.uncounted}
	if x.mayHaveRun {
		eventTokens, told := x.proxy.board.Plan.Load().EventTokens(x.route, x.service)
		if !told {
			eventTokens = 0
		}
		used = x.terms.charge.of(got, eventTokens)
	}
	x.proxy.shares.settle(x.account, x.balance, x.terms.charge.most(), used, got.delivery())
}

// countOutput counts the events of a response whose body has been read whole, if it is made
// of these. Any other output can't be counted.
func (x *exchange) countOutput(resp *Response, body []byte) {
	if !x.terms.charge.applies || !resp.isSuccess() || len(body) == 0 || x.req.Method == http.MethodHead {
		return
	}
	var stream streamState
	if _, rest, err := stream.splitEvents(body, false); resp.mayBeStream() && err == nil && len(rest) == 0 {
		x.stream.eventCount = stream.eventCount
		return
	}
	x.uncounted = true
}
