package bbproxy

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// exchange is a request under way: what it is, what it holds, what it has tried.
type exchange struct {
	door   *Door
	caller *caller
	q      *Request
	gone   <-chan struct{}

	plan    *bbplan.Plan
	route   *bbplan.Route
	account *bbplan.Account
	service bbunit.ServiceID
	end     time.Time // when the answer is of no more use
	print   uint64

	purse    *bbshare.Balance
	reserved bbunit.Tokens
	stride   bbunit.Tokens

	unread bbunit.Tokens // of the prompt, at the target chosen last
	sends  int           // attempts of which bytes left
	unsent int           // attempts of which none did
	tried  []bbunit.TargetID
	at     atomic.Pointer[Server] // tried last
	// ran tells that a target may have run the request.
	ran    bool
	stream stream

	mu      sync.Mutex // guards conn and aborted
	conn    *targetConn
	aborted bool
}

// run answers the request. It tells whether the client's connection stays.
func (x *exchange) run() bool {
	if r := x.admit(); r != nil {
		return x.refuse(r)
	}
	defer x.settle()
	return x.attempts()
}

// admit checks the request against what is in force and reserves its money.
func (x *exchange) admit() *Refusal {
	x.plan = x.door.board.Plan.Load()
	if x.plan == nil || x.door.board.Groups.Load() == nil {
		return notRun("nothing is in force here yet", comeBack)
	}
	if x.route = x.plan.FindRoute(x.q.Host, x.q.Path()); x.route == nil {
		return &Refusal{Status: http.StatusNotFound, Reason: "no such route"}
	}
	if x.plan.KeyRequired && !x.route.Public {
		if x.account = x.plan.AccountByKey(x.q.Key); x.account == nil {
			return &Refusal{Status: http.StatusUnauthorized, Reason: "unknown key"}
		}
	}
	x.end = x.q.At.Add(x.q.Wait)
	if t := x.route.Timeout; t > 0 {
		x.end = earlier(x.end, x.q.At.Add(t))
	}
	x.end = x.end.Add(-answerSlack)
	x.service = x.route.PickService(rand.Float64())
	x.print = x.q.Print(x.accountID())
	if x.door.suspects.poison(x.print) {
		return notRun("targets that ran this request have crashed", 0)
	}
	return x.reserve()
}

// reserve sets the most that the request can cost aside.
func (x *exchange) reserve() *Refusal {
	s := x.plan.Services[x.service]
	if s == nil || s.Engine == nil {
		return nil
	}
	x.stride = s.Engine.MaxEventTokens
	if x.account == nil || !x.account.Prepaid {
		return nil
	}
	if !x.q.Sized {
		return &Refusal{Status: http.StatusBadRequest, Reason: "the request does not tell its tokens"}
	}
	x.reserved = x.q.Prompt + (x.q.Output+x.stride-1)/x.stride*x.stride
	var r *Refusal
	x.purse, r = x.door.money.reserve(x.account, x.reserved, x.end, x.gone)
	return r
}

// settle ends the reservation at what was spent: nothing when no target can
// have run the request, else the prompt and what of the answer came.
func (x *exchange) settle() {
	if x.purse == nil {
		return
	}
	var used bbunit.Tokens
	if x.ran {
		used = x.q.Prompt + bbunit.Tokens(x.stream.events)*x.stride
		if !x.stream.whole {
			used += unseenEvents * x.stride
		}
	}
	x.purse.Settle(x.reserved, used)
}

func (x *exchange) accountID() bbunit.AccountID {
	if x.account == nil {
		return ""
	}
	return x.account.ID
}

// priority is the account's, or else the route's.
func (x *exchange) priority() int {
	if x.account != nil && x.account.Priority >= 0 {
		return x.account.Priority
	}
	return x.route.Priority
}

// attempts sends the request to targets until one has answered, or until there
// is nothing more to try.
func (x *exchange) attempts() bool {
	var last *Refusal
	for again := true; again; {
		s, r := x.choose()
		if s == nil {
			if last == nil || !x.ran {
				last = r
			}
			break
		}
		out := x.attempt(s)
		x.door.ended(x, s, &out)
		switch out.kind {
		case endDone:
			return out.keep
		case endGone:
			return false
		}
		last, again = x.after(&out)
	}
	return x.give(last)
}

// after returns what to say after an attempt that brought no answer, and whether
// another one may follow.
func (x *exchange) after(out *ending) (*Refusal, bool) {
	switch out.kind {
	case endLate:
		return late("the request's time is over"), false
	case endUnsent:
		x.unsent++
		return notRun("no target could be reached", comeBack), x.unsent <= maxUnsent
	case endNotRun:
		return notRun("the targets have no room", comeBack), x.mayRepeat()
	}
	return mayHaveRun("the target broke off"), x.route.Repeatable() && x.mayRepeat()
}

// give ends a request that no target answered. Of a stream that has begun there
// is no more to say: it ends without its end.
func (x *exchange) give(r *Refusal) bool {
	if x.stream.begun {
		return false
	}
	if x.ran && !x.route.Repeatable() && r.outcome() == "not-run" {
		r = mayHaveRun(r.Reason)
	}
	return x.refuse(r)
}

func (x *exchange) refuse(r *Refusal) bool {
	x.door.refused(x.q.Attempt, r)
	closing := r.Close || x.q.Close || x.door.board.closing()
	return x.caller.write(r.bytes(x.q.Attempt, closing)) == nil && !closing
}

// mayRepeat takes a repeat from the service's budget, if the route allows one more
// attempt.
func (x *exchange) mayRepeat() bool {
	return x.sends < x.route.MaxAttempts && time.Now().Before(x.end) && x.door.mayRepeat(x.service)
}

// choose returns the target for the next attempt, or why there is none.
func (x *exchange) choose() (*Server, *Refusal) {
	g := x.door.board.group(x.service)
	if g == nil {
		return nil, notRun("no target of the service is known", comeBack)
	}
	now := x.door.now()
	ask := bbplace.Request{Domain: x.door.domain, Excluded: x.tried, Random: rand.Uint64()}
	if x.stride > 0 {
		ask.PromptHash, ask.SharedTokens = x.q.Shared()
		ask.PromptTokens = x.q.Prompt
	}
	i, why := bbplace.Choose(g.Places, &ask, now)
	if i >= 0 {
		x.unread = ask.UncachedTokens(bbplace.IsCacheTarget(g.Places, i, &ask, now))
		return g.Servers[i], nil
	}
	if why == bbplace.ReasonAllFull {
		return nil, notRun("the targets have no room", comeBack)
	}
	return nil, notRun("no target of the service can be used", comeBack)
}

// abortWhen ends the target's work once the client has left. The function that
// it returns ends the watch.
func (x *exchange) abortWhen(gone <-chan struct{}) func() {
	done := make(chan struct{})
	go func() {
		select {
		case <-gone:
			x.abort()
		case <-done:
		}
	}()
	return func() { close(done) }
}

func (x *exchange) abort() {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.aborted = true
	if x.conn != nil {
		_ = x.conn.Close()
	}
}

// hold makes c the connection that an abort closes; false when the client has
// already left.
func (x *exchange) hold(c *targetConn) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.aborted {
		return false
	}
	x.conn = c
	return true
}

func (x *exchange) left() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.aborted
}

// context ends when the request's time is over.
func (x *exchange) context() (context.Context, context.CancelFunc) {
	return context.WithDeadline(context.Background(), x.end)
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// fields are what a log line tells of a request.
func (x *exchange) fields(s *Server, out *ending) logrus.Fields {
	f := logrus.Fields{
		"request": x.q.Attempt, "service": x.service, "target": s.ID, "end": out.kind.String(),
		"sends": x.sends, "plan": x.plan.Version, "ms": time.Since(x.q.At).Milliseconds(), "inflight": s.State.InFlight(),
	}
	if out.err != nil {
		f["error"] = out.err.Error()
	}
	return f
}
