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

// stateStreamKind is the kind of stream that carries a full state as JSON.
const stateStreamKind = "state"

const errNoTicketNumber = errors.ConstError("ticket or state without a number")

// pushTickets sends the tickets above after to the instances that
// pushRecipients selects; from is the instance that sent them, empty for the
// key-value service.
func (f *Follower) pushTickets(after bbunit.TicketNumber, from bbunit.InstanceID) {
	view := f.deps.Board.View.Load()
	msg := f.ticketMessage(uint64(after))
	if msg == nil || len(msg.GetTickettell().Tickets) > maxPushedTickets {
		return
	}
	for _, to := range pushRecipients(view, from, rand.IntN) {
		_ = f.peers.Send(to, msg)
	}
}

// pushRecipients returns the instances to which this one pushes tickets that it
// got from another instance, or from the key-value service if from is empty:
//   - its children in the push tree of its failure domain,
//   - if it is the watcher of its domain: the watchers of some other domains,
//   - if it is not, and got them from another domain or from the service: the
//     watcher of its domain.
func pushRecipients(view *bbmember.View, from bbunit.InstanceID, intN func(int) int) []bbunit.InstanceID {
	var recipients []bbunit.InstanceID
	ranked := view.Rank(watchKey, view.Self.Domain, len(view.Members))
	selfRank := -1
	for i, m := range ranked {
		if m.ID == view.Self.ID {
			selfRank = i
		}
	}
	if selfRank >= 0 {
		for i := pushTreeFanout*selfRank + 1; i <= pushTreeFanout*(selfRank+1) && i < len(ranked); i++ {
			recipients = append(recipients, ranked[i].ID)
		}
	}
	if sender, ok := view.Find(from); selfRank != 0 && len(ranked) > 0 && (from == "" || (ok && sender.Domain != view.Self.Domain)) {
		recipients = append(recipients, ranked[0].ID)
	}
	if selfRank == 0 {
		recipients = append(recipients, otherDomainWatchers(view, intN)...)
	}
	return recipients
}

// otherDomainWatchers returns the watchers of up to pushDomainFanout other
// failure domains, chosen at random.
func otherDomainWatchers(view *bbmember.View, intN func(int) int) []bbunit.InstanceID {
	seen := map[bbunit.DomainID]bool{view.Self.Domain: true}
	var domains []bbunit.DomainID
	for _, m := range view.Members {
		if !seen[m.Domain] {
			seen[m.Domain] = true
			domains = append(domains, m.Domain)
		}
	}
	var watchers []bbunit.InstanceID
	for i := range min(pushDomainFanout, len(domains)) {
		j := i + intN(len(domains)-i)
		domains[i], domains[j] = domains[j], domains[i]
		if m, ok := view.Home(watchKey, domains[i]); ok {
			watchers = append(watchers, m.ID)
		}
	}
	return watchers
}

// ticketMessage returns a message with the tickets above a number, or nil if
// there are none or not all are retained.
func (f *Follower) ticketMessage(after uint64) *bbwire.Envelope {
	f.mu.Lock()
	raw, ok := f.replica.ticketsAfter(bbunit.TicketNumber(after))
	f.mu.Unlock()
	if !ok {
		return nil
	}
	return &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{Tickets: raw}}}
}

// requestTickets asks an instance for the tickets above the own number, at most
// once in minTicketRequestInterval.
func (f *Follower) requestTickets(to bbunit.InstanceID) {
	now := time.Now().UnixNano()
	last := f.lastRequestAt.Load()
	if now-last < int64(minTicketRequestInterval) || !f.lastRequestAt.CompareAndSwap(last, now) {
		return
	}
	n := uint64(f.deps.Board.State.Load().Number)
	_ = f.peers.Send(to, &bbwire.Envelope{Body: &bbwire.Envelope_Ticketask{Ticketask: &bbwire.TicketAsk{After: n}}})
}

func (f *Follower) handleTicketAsk(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	f.sendMissing(from, e.GetTicketask().GetAfter())
	return nil
}

// sendMissing sends an instance the tickets above a number. If they are not all
// retained, it sends an empty message, upon which the instance fetches the full
// state.
func (f *Follower) sendMissing(to bbunit.InstanceID, after uint64) {
	if after >= uint64(f.deps.Board.State.Load().Number) {
		return
	}
	msg := f.ticketMessage(after)
	if msg == nil {
		msg = &bbwire.Envelope{Body: &bbwire.Envelope_Tickettell{Tickettell: &bbwire.TicketTell{}}}
	}
	_ = f.peers.Send(to, msg)
}

func (f *Follower) handleTicketTell(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg := e.GetTickettell()
	switch {
	case len(msg.GetState()) > 0:
		f.mergeEncodedState(from, msg.GetState())
	case len(msg.GetTickets()) > 0:
		tickets, err := decodeTickets(msg.GetTickets())
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

func (f *Follower) mergeEncodedState(from bbunit.InstanceID, encoded []byte) {
	state := &bbticket.State{}
	if err := json.Unmarshal(encoded, state); err != nil {
		f.drop(from, err)
		return
	}
	if state.Number == 0 {
		f.drop(from, errNoTicketNumber)
		return
	}
	f.mergeState(state, from)
}

// fetchState fetches the full state from an instance, unless a fetch is in
// progress.
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
	encoded, err := io.ReadAll(io.LimitReader(conn, maxStateBytes+1))
	if err != nil || len(encoded) > maxStateBytes {
		f.drop(from, errors.Errorf("full state not received: %d bytes read, %v", len(encoded), err))
		return
	}
	f.mergeEncodedState(from, encoded)
	f.updateReady()
}

// serveState sends the full state on a stream that another instance has opened.
func (f *Follower) serveState(from bbunit.InstanceID, conn net.Conn) {
	encoded, err := json.Marshal(f.deps.Board.State.Load())
	if err != nil {
		f.drop(from, err)
		return
	}
	_ = conn.SetDeadline(time.Now().Add(stateTransferTimeout))
	_, _ = conn.Write(encoded)
}
