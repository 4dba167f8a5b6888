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

// gossip carries what instances learn from each other: members, and what the
// rumors of other parts add.
type gossip struct {
	peers   *Peers
	members *membership

	mu     sync.Mutex // guards rumors
	rumors []Rumor

	sent metrics.Counter // bytes of messages
	over metrics.Counter // messages cut down to their members
}

func newGossip(ps *Peers, m *membership) *gossip {
	g := &gossip{
		peers: ps, members: m,
		sent: metrics.GetOrRegisterCounter("peer.gossip.bytes", ps.parts.Metrics),
		over: metrics.GetOrRegisterCounter("peer.gossip.over", ps.parts.Metrics),
	}
	ps.Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Gossip{}}, g.take)
	return g
}

// AddRumor adds a part that spreads what it knows by gossip.
func (p *Peers) AddRumor(r Rumor) {
	g := p.members.gossip
	g.mu.Lock()
	defer g.mu.Unlock()
	g.rumors = append(g.rumors[:len(g.rumors):len(g.rumors)], r)
}

func (g *gossip) heard() []Rumor {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.rumors
}

// round sends the messages of one round, with all rumors.
func (g *gossip) round(msgs []bbmember.Message) {
	for _, msg := range msgs {
		out := &bbwire.Gossip{}
		for _, r := range g.heard() {
			r.Fill(out)
		}
		if proto.Size(out) > maxGossip {
			g.over.Inc(1)
			out = &bbwire.Gossip{Number: out.Number}
		}
		out.Members = bbmember.Encode(msg.Reports)
		g.send(msg.To, out)
	}
}

// news sends reports that can't wait for the next round.
func (g *gossip) news(msg bbmember.Message) {
	g.send(msg.To, &bbwire.Gossip{Members: bbmember.Encode(msg.Reports)})
}

func (g *gossip) send(to bbunit.InstanceID, out *bbwire.Gossip) {
	g.sent.Inc(int64(proto.Size(out)))
	_ = g.peers.Send(to, &bbwire.Envelope{Body: &bbwire.Envelope_Gossip{Gossip: out}})
}

// take reads a message from another instance.
func (g *gossip) take(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
	in := e.GetGossip()
	if len(in.GetMembers()) > maxReports {
		g.peers.drop(from, errTooMany)
		return nil
	}
	reports := bbmember.Decode(in.GetMembers())
	g.members.do(func(f *bbmember.Fleet, now time.Time) bbmember.Actions { return f.HandleGossip(now, reports) })
	for _, r := range g.heard() {
		r.Take(from, in)
	}
	return nil
}
