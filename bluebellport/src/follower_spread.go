package bbport

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"time"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// stateStream is the kind of stream that carries a whole state as JSON.
const stateStream = "state"

const errNoNumber = errors.ConstError("no ticket number")

// tell passes the tickets above after on: to this instance's children in the
// tree of its failure domain, from the first of the domain to a few other
// domains, and to the first when the news came from elsewhere.
func (f *Follower) tell(after bbunit.TicketNumber, from bbunit.InstanceID) {
	v := f.parts.Board.View.Load()
	e := f.ticketsAfter(uint64(after))
	if e == nil || len(e.GetTickettell().Tickets) > maxPush {
		return
	}
	for _, to := range spread(v, from, rand.IntN) {
		_ = f.peers.Send(to, e)
	}
}

// spread returns whom an instance tells news that it heard from another; from
// is empty when the news came from the service.
func spread(v *bbmember.View, from bbunit.InstanceID, intN func(int) int) []bbunit.InstanceID {
	var out []bbunit.InstanceID
	rank := v.Rank(watchKey, v.Self.Domain, len(v.Members))
	at := -1
	for i, m := range rank {
		if m.ID == v.Self.ID {
			at = i
		}
	}
	if at >= 0 {
		for i := treeWidth*at + 1; i <= treeWidth*(at+1) && i < len(rank); i++ {
			out = append(out, rank[i].ID)
		}
	}
	if sender, ok := v.Find(from); at != 0 && len(rank) > 0 && (from == "" || (ok && sender.Domain != v.Self.Domain)) {
		out = append(out, rank[0].ID)
	}
	if at == 0 {
		out = append(out, otherFirsts(v, intN)...)
	}
	return out
}

// otherFirsts returns the first instances of a few other failure domains.
func otherFirsts(v *bbmember.View, intN func(int) int) []bbunit.InstanceID {
	seen := map[bbunit.DomainID]bool{v.Self.Domain: true}
	var domains []bbunit.DomainID
	for _, m := range v.Members {
		if !seen[m.Domain] {
			seen[m.Domain] = true
			domains = append(domains, m.Domain)
		}
	}
	var out []bbunit.InstanceID
	for i := range min(otherTells, len(domains)) {
		j := i + intN(len(domains)-i)
		domains[i], domains[j] = domains[j], domains[i]
		if m, ok := v.Home(watchKey, domains[i]); ok {
			out = append(out, m.ID)
		}
	}
	return out
}

// ticketsAfter returns a message with the tickets above a number, or nil when
// they are not at hand.
func (f *Follower) ticketsAfter(after uint64) *bbwire.Envelope {
	f.mu.Lock()
	raw, ok := f.replica.after(bbunit.TicketNumber(after))
	f.mu.Unlock()
	if !ok {
		return nil
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{Tickets: raw}}}
}

// ask asks an instance for what is above the number here, not more often than
// each askPause.
func (f *Follower) ask(to bbunit.InstanceID) {
	now := time.Now().UnixNano()
	was := f.asked.Load()
	if now-was < int64(askPause) || !f.asked.CompareAndSwap(was, now) {
		return
	}
	n := uint64(f.parts.Board.State.Load().Number)
	_ = f.peers.Send(to, &bbwire.Envelope{Body: &bbwire.Envelope_Ticketask{Ticketask: &bbwire.TicketAsk{After: n}}})
}

func (f *Follower) onAsk(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	f.answer(from, e.GetTicketask().GetAfter())
	return nil
}

// answer tells an instance what it lacks: tickets where they are at hand, else
// an empty message, on which it fetches the whole state.
func (f *Follower) answer(to bbunit.InstanceID, after uint64) {
	if after >= uint64(f.parts.Board.State.Load().Number) {
		return
	}
	e := f.ticketsAfter(after)
	if e == nil {
		e = &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{}}}
	}
	_ = f.peers.Send(to, e)
}

func (f *Follower) onTell(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	t := e.GetTickettell()
	switch {
	case len(t.GetState()) > 0:
		f.decodeState(from, t.GetState())
	case len(t.GetTickets()) > 0:
		tickets, err := decodeTickets(t.GetTickets())
		if err != nil {
			f.drop(from, err)
			return nil
		}
		f.want(uint64(tickets[len(tickets)-1].Number))
		f.takeTickets(tickets, from)
	case f.ctx.Err() == nil:
		f.wg.Go(func() { f.fetch(from) })
	}
	f.ready()
	return nil
}

func (f *Follower) decodeState(from bbunit.InstanceID, b []byte) {
	s := &bbticket.State{}
	if err := json.Unmarshal(b, s); err != nil {
		f.drop(from, err)
		return
	}
	if s.Number == 0 {
		f.drop(from, errNoNumber)
		return
	}
	f.takeState(s, from)
}

// fetch takes the whole state from an instance; one at a time.
func (f *Follower) fetch(from bbunit.InstanceID) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	defer f.fetching.Store(false)
	ctx, cancel := context.WithTimeout(f.ctx, stateTimeout)
	defer cancel()
	conn, err := f.peers.OpenStream(ctx, from, stateStream)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(stateTimeout))
	b, err := io.ReadAll(io.LimitReader(conn, maxState+1))
	if err != nil || len(b) > maxState {
		f.drop(from, errors.Errorf("whole state: %d bytes, %v", len(b), err))
		return
	}
	f.decodeState(from, b)
	f.ready()
}

// onStateStream sends the whole state.
func (f *Follower) onStateStream(from bbunit.InstanceID, conn net.Conn) {
	b, err := json.Marshal(f.parts.Board.State.Load())
	if err != nil {
		f.drop(from, err)
		return
	}
	_ = conn.SetDeadline(time.Now().Add(stateTimeout))
	_, _ = conn.Write(b)
}
