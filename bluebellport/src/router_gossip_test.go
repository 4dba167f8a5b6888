package bbport

import (
	"context"
	"io"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// gossipNet delivers gossip between routers and counts the messages of each
// sender.
type gossipNet struct {
	mu      sync.Mutex
	routers map[bbunit.InstanceID]*Router
	sent    map[bbunit.InstanceID]int
}

type gossipBus struct {
	net  *gossipNet
	from bbunit.InstanceID
}

func (b gossipBus) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	b.net.mu.Lock()
	b.net.sent[b.from]++
	r := b.net.routers[to]
	b.net.mu.Unlock()
	if r != nil && e.GetGossip() != nil {
		r.HandleGossip(b.from, e.GetGossip())
	}
	return nil
}

func (b gossipBus) Call(context.Context, bbunit.InstanceID, *bbwire.Envelope) (*bbwire.Envelope, error) {
	return nil, ErrPeerUnreachable
}

func (b gossipBus) Handle(*bbwire.Envelope, func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
}

// TestPoisonBroadcastReachesEveryInstance checks that a crash seen by one
// instance is known to all without a gossip round, and that the messages of
// each instance are bounded by the number of failure domains and of instances
// in a domain.
func TestPoisonBroadcastReachesEveryInstance(t *testing.T) {
	is := is.New(t)
	network := &gossipNet{routers: map[bbunit.InstanceID]*Router{}, sent: map[bbunit.InstanceID]int{}}
	var members []bbmember.Member
	for _, id := range []string{"a1", "a2", "a3", "b1", "b2", "b3", "c1", "c2", "c3"} {
		members = append(members, bbmember.Member{ID: bbunit.InstanceID(id), Inc: 1, Domain: bbunit.DomainID(id[:1])})
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, m := range members {
		o := &Options{}
		parseOptions(t, o, "--instance", string(m.ID), "--domain", string(m.Domain), "--store", "127.0.0.1:1")
		deps := Deps{Board: NewBoard(m), Store: bbstore.NewMem(), Bus: gossipBus{network, m.ID}, Log: log, Metrics: metrics.NewRegistry(), Opts: o, Now: time.Now}
		deps.Board.View.Store(&bbmember.View{Self: m, Members: members})
		r, stop := NewRouter(deps)
		t.Cleanup(stop)
		network.routers[m.ID] = r
	}
	reporter := network.routers["a2"]
	is.True(reporter.poison.recordCrash(42, "t1", time.Now()))
	reporter.broadcastPoisons([]uint64{42}, true)
	is.True(reporter.poison.recordCrash(42, "t2", time.Now()))
	reporter.broadcastPoisons([]uint64{42}, true)
	for id, r := range network.routers {
		is.True(r.poison.isPoisoned(42)) // known to all
		is.True(network.sent[id] <= 2*(2+2))
	}
	reporter.broadcastPoisons(nil, true)
}
