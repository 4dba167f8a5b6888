package bbproxy

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// prefills tells peers of large prompts as they are sent: a target reads one
// after the other and holds up all streams meanwhile, and what it reports of
// itself comes too late.
type prefills struct {
	fleet Fleet
	board *Board
	now   func() time.Time
}

func newPrefills(fleet Fleet, board *Board, now func() time.Time) *prefills {
	p := &prefills{fleet: fleet, board: board, now: now}
	fleet.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Prefill{}}, p.heard)
	return p
}

// sent notes a prompt that goes to a target, and tells peers of a large one.
func (p *prefills) sent(s *Server, n bbunit.Tokens) {
	if n <= 0 {
		return
	}
	s.State.AddPrefill(n, p.now())
	if n < largePrompt {
		return
	}
	e := &bbwire.Envelope{Body: &bbwire.Envelope_Prefill{Prefill: &bbwire.Prefill{
		Service: string(s.Service), Target: string(s.ID), Tokens: int64(n),
	}}}
	for _, id := range peersOf(p.fleet.View(), prefillPeers) {
		_ = p.fleet.Send(id, e) // old news is worth nothing, so it is not sent again
	}
}

func (p *prefills) heard(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	t := e.GetPrefill()
	g := p.board.group(bbunit.ServiceID(t.Service))
	if g == nil || t.Tokens <= 0 || t.Tokens > maxPrompt {
		return nil
	}
	for _, s := range g.Servers {
		if s.ID == bbunit.TargetID(t.Target) {
			s.State.AddPrefill(bbunit.Tokens(t.Tokens), p.now())
		}
	}
	return nil
}
