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

// stateStreamKind is the kind of stream that carries a whole state as JSON.
const stateStreamKind = "state"

const errNoTicketNumber = errors.ConstError("no ticket number")

// pushTickets passes the tickets above after on: to this instance's children in the
// tree of its failure domain, from the first of the domain to a few other
// domains, and to the first when the news came from elsewhere.
func (f *Follower) pushTickets(after bbunit.TicketNumber, from bbunit.InstanceID) {
	v := f.deps.Board.View.Load()
	e := f.ticketMessage(uint64(after))
	if e == nil || len(e.GetTickettell().Tickets) > maxPushedTickets {
		return
	}
	for _, to := range pushRecipients(v, from, rand.IntN) {
		_ = f.peers.Send(to, e)
	}
}

// pushRecipients returns whom an instance tells news that it heard from another; from
// is empty when the news came from the service.
func pushRecipients(v *bbmember.View, from bbunit.InstanceID, intN func(int) int) []bbunit.InstanceID {
	var out []bbunit.InstanceID
	rank := v.Rank(watchKey, v.Self.Domain, len(v.Members))
	at := -1
	for i, m := range rank {
		if m.ID == v.Self.ID {
			at = i
		}
	}
	if at >= 0 {
		for i := pushTreeFanout*at + 1; i <= pushTreeFanout*(at+1) && i < len(rank); i++ {
			out = append(out, rank[i].ID)
		}
	}
	if sender, ok := v.Find(from); at != 0 && len(rank) > 0 && (from == "" || (ok && sender.Domain != v.Self.Domain)) {
		out = append(out, rank[0].ID)
	}
	if at == 0 {
		out = append(out, otherDomainWatchers(v, intN)...)
	}
	return out
}

// otherDomainWatchers returns the first instances of a few other failure domains.
func otherDomainWatchers(v *bbmember.View, intN func(int) int) []bbunit.InstanceID {
	seen := map[bbunit.DomainID]bool{v.Self.Domain: true}
	var domains []bbunit.DomainID
	for _, m := range v.Members {
		if !seen[m.Domain] {
			seen[m.Domain] = true
			domains = append(domains, m.Domain)
		}
	}
	var out []bbunit.InstanceID
	for i := range min(pushDomainFanout, len(domains)) {
		j := i + intN(len(domains)-i)
		domains[i], domains[j] = domains[j], domains[i]
		if m, ok := v.Home(watchKey, domains[i]); ok {
			out = append(out, m.ID)
		}
	}
	return out
}

// ticketMessage returns a message with the tickets above a number, or nil when
// they are not at hand.
func (f *Follower) ticketMessage(after uint64) *bbwire.Envelope {
	f.mu.Lock()
	raw, ok := f.replica.ticketsAfter(bbunit.TicketNumber(after))
	f.mu.Unlock()
	if !ok {
		return nil
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{Tickets: raw}}}
}

// requestTickets asks an instance for what is above the number here, not more often than
// each askPause.
func (f *Follower) requestTickets(to bbunit.InstanceID) {
	now := time.Now().UnixNano()
	was := f.lastRequestAt.Load()
	if now-was < int64(minTicketRequestInterval) || !f.lastRequestAt.CompareAndSwap(was, now) {
		return
	}
	n := uint64(f.deps.Board.State.Load().Number)
	_ = f.peers.Send(to, &bbwire.Envelope{Body: &bbwire.Envelope_Ticketask{Ticketask: &bbwire.TicketAsk{After: n}}})
}

func (f *Follower) handleTicketAsk(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	f.sendMissing(from, e.GetTicketask().GetAfter())
	return nil
}

// sendMissing tells an instance what it lacks: tickets where they are at hand, else
// an empty message, on which it fetches the whole state.
func (f *Follower) sendMissing(to bbunit.InstanceID, after uint64) {
	if after >= uint64(f.deps.Board.State.Load().Number) {
		return
	}
	e := f.ticketMessage(after)
	if e == nil {
		e = &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{}}}
	}
	_ = f.peers.Send(to, e)
}

func (f *Follower) handleTicketTell(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	t := e.GetTickettell()
	switch {
	case len(t.GetState()) > 0:
		f.mergeEncodedState(from, t.GetState())
	case len(t.GetTickets()) > 0:
		tickets, err := decodeTickets(t.GetTickets())
		if err != nil {
			f.drop(from, err)
			return nil
		}
		f.recordPeerNumber(uint64(tickets[len(tickets)-1].Number))
		f.applyTickets(tickets, from)
	case f.ctx.Err() == nil:
		f.wg.Go(func() { f.fetchState(from) })
	}
	f.updateReady()
	return nil
}

func (f *Follower) mergeEncodedState(from bbunit.InstanceID, b []byte) {
	s := &bbticket.State{}
	if err := json.Unmarshal(b, s); err != nil {
		f.drop(from, err)
		return
	}
	if s.Number == 0 {
		f.drop(from, errNoTicketNumber)
		return
	}
	f.mergeState(s, from)
}

// fetchState takes the whole state from an instance; one at a time.
func (f *Follower) fetchState(from bbunit.InstanceID) {
	if !f.fetching.CompareAndSwap(false, true) {
		return
	}
	defer f.fetching.Store(false)
	ctx, cancel := context.WithTimeout(f.ctx, stateTransferTimeout)
	defer cancel()
	conn, err := f.peers.OpenStream(ctx, from, stateStreamKind)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	_ = conn.SetDeadline(time.Now().Add(stateTransferTimeout))
	b, err := io.ReadAll(io.LimitReader(conn, maxStateBytes+1))
	if err != nil || len(b) > maxStateBytes {
		f.drop(from, errors.Errorf("whole state: %d bytes, %v", len(b), err))
		return
	}
	f.mergeEncodedState(from, b)
	f.updateReady()
}

// serveState sends the whole state.
func (f *Follower) serveState(from bbunit.InstanceID, conn net.Conn) {
	b, err := json.Marshal(f.deps.Board.State.Load())
	if err != nil {
		f.drop(from, err)
		return
	}
	_ = conn.SetDeadline(time.Now().Add(stateTransferTimeout))
	_, _ = conn.Write(b)
}
