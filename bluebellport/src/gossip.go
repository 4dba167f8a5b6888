package bbport

import (
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// gossip exchanges messages with other instances. They contain reports on
// members, and what the registered gossipers add.
type gossip struct {
	peers   *Peers
	members *membership

	mu        sync.Mutex // guards gossipers
	gossipers []Gossiper

	sentBytes metrics.Counter // bytes sent
	truncated metrics.Counter // messages sent without the gossipers' part, above maxGossiperBytes
}

func newGossip(peers *Peers, members *membership) *gossip {
	g := &gossip{
		peers: peers, members: members,
		sentBytes: metrics.GetOrRegisterCounter("peer.gossip.bytes", peers.deps.Metrics),
		truncated: metrics.GetOrRegisterCounter("peer.gossip.over", peers.deps.Metrics),
	}
	peers.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Gossip{}}, g.receive)
	return g
}

// AddGossiper registers a component that exchanges data by gossip.
func (p *Peers) AddGossiper(gossiper Gossiper) {
	g := p.members.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	g.gossipers = append(g.gossipers[:len(g.gossipers):len(g.gossipers)], gossiper)
}

func (g *gossip) currentGossipers() []Gossiper {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.gossipers
}

// sendRound sends the messages of a gossip round, filled by all gossipers.
func (g *gossip) sendRound(msgs []bbmember.Message) {
	for _, msg := range msgs {
		out := &bbwire.Gossip{}
		for _, gossiper := range g.currentGossipers() {
			gossiper.FillGossip(out)
		}
		if proto.Size(out) > maxGossiperBytes {
			g.truncated.Inc(1)
			out = &bbwire.Gossip{Number: out.Number}
		}
		out.Members = bbmember.Encode(msg.Reports)
		g.send(msg.To, out)
	}
}

// sendUrgent sends reports that cannot wait for the next round.
func (g *gossip) sendUrgent(msg bbmember.Message) {
	g.send(msg.To, &bbwire.Gossip{Members: bbmember.Encode(msg.Reports)})
}

func (g *gossip) send(to bbunit.InstanceID, out *bbwire.Gossip) {
	g.sentBytes.Inc(int64(proto.Size(out)))
	_ = g.peers.Send(to, &bbwire.Envelope{Body: &bbwire.Envelope_Gossip{Gossip: out}})
}

// receive handles a message from another instance.
func (g *gossip) receive(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	msg := e.GetGossip()
	if len(msg.GetMembers()) > maxReportsPerMessage {
		g.peers.drop(from, errTooManyMembers)
		return nil
	}
	reports := bbmember.Decode(msg.GetMembers())
	g.members.apply(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.HandleGossip(now, reports) })
	for _, gossiper := range g.currentGossipers() {
		gossiper.HandleGossip(from, msg)
	}
	return nil
}
