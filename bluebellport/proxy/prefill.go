package bbproxy

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// prefillNotifier tells peers of large prompts as they are sent: a target reads one
// after the other and holds up all streams meanwhile, and what it reports of
// itself comes too late.
type prefillNotifier struct {
	peers  PeerNetwork
	shared *SharedState
	now    func() time.Time
}

func newPrefillNotifier(peers PeerNetwork, shared *SharedState, now func() time.Time) *prefillNotifier {
	p := &prefillNotifier{peers: peers, shared: shared, now: now}
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Prefill{}}, p.handlePrefill)
	return p
}

// recordPrompt notes a prompt that goes to a target, and tells peers of a large one.
func (p *prefillNotifier) recordPrompt(target *Target, n bbunit.Tokens) {
	if n <= 0 {
		return
	}
	target.State.AddPrefill(n, p.now())
	if n < largePromptTokens {
		return
	}
	e := &bbwire.Envelope{Body: &bbwire.Envelope_Prefill{Prefill: &bbwire.Prefill{
		Service: string(target.Service), Target: string(target.ID), Tokens: int64(n),
	}}}
	for _, id := range randomPeers(p.peers.View(), maxPrefillPeers) {
		_ = p.peers.Send(id, e) // old news is worth nothing, so it is not sent again
	}
}

func (p *prefillNotifier) handlePrefill(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg := e.GetPrefill()
	service := p.shared.targetsOf(bbunit.ServiceID(msg.Service))
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
