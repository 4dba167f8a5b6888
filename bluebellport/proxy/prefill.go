package bbproxy

import (
	"math/rand/v2"
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// prefillNotifier tells peers of large prompts as they are sent. A target reads
// prompts one after the other and holds up all its streams meanwhile, and the
// load that it reports shows this too late.
type prefillNotifier struct {
	peers PeerNetwork
	board *Board
	now   func() time.Time
}

func newPrefillNotifier(peers PeerNetwork, board *Board, now func() time.Time) *prefillNotifier {
	p := &prefillNotifier{peers: peers, board: board, now: now}
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Prefill{}}, p.handlePrefill)
	return p
}

// recordPrompt counts a prompt of which a target has to read n tokens, and tells
// peers of a large one. It returns when the target is expected to have read it.
func (p *prefillNotifier) recordPrompt(target *Target, n bbunit.Tokens) (until int64) {
	if n <= 0 {
		return 0
	}
	until = target.State.AddPrefill(n, p.now())
	if n < largePromptTokens {
		return until
	}
	e := &bbwire.Envelope{Body: &bbwire.Envelope_Prefill{Prefill: &bbwire.Prefill{
		Service: string(target.Service), Target: string(target.ID), Tokens: int64(n),
	}}}
	for _, id := range p.peers.View().RandomOthers(maxPrefillPeers, rand.IntN) {
		_ = p.peers.Send(id, e) // not repeated if lost: a late message is useless
	}
	return until
}

// handlePrefill counts a prompt that a peer has sent to a target.
func (p *prefillNotifier) handlePrefill(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg := e.GetPrefill()
	service := p.board.targetsOf(bbunit.ServiceID(msg.Service))
	if service == nil || msg.Tokens <= 0 || msg.Tokens > maxPromptTokens {
		return nil
	}
	for _, target := range service.Targets {
		if target.ID == bbunit.TargetID(msg.Target) {
			target.State.AddPrefill(bbunit.Tokens(msg.Tokens), p.now())
		}
	}
	return nil
}
