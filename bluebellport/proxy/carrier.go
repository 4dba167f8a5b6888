package bbproxy

import (
	"net"
	"syscall"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"

	"bluebellport.example/bluebellport/carry"
	"bluebellport.example/shared/bbunit"
)

// serveCarried carries connections for peers that have lost their own path to targets.
func (p *Proxy) serveCarried(peers PeerNetwork, registry metrics.Registry) {
	server := bbcarry.NewServer(bbcarry.ServerConfig{
		Begin: p.beginCarry, End: p.openConns.Done, Connect: p.connectForPeer, Metrics: registry,
	})
	peers.HandleStream(bbcarry.StreamKind, func(_ bbunit.InstanceID, stream net.Conn) { server.Serve(stream) })
}

// beginCarry reports whether a connection to an address may be carried for a peer. The
// stop of this instance then waits for its end.
func (p *Proxy) beginCarry(address string) bool {
	if p.board.Leaving.Load() || p.ways.isStrained() || p.ways.usesPeer(address) || p.board.poolOf(address) == nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closing.Load() {
		return false
	}
	p.openConns.Add(1)
	return true
}

// connectForPeer connects to an address for a peer. What comes of it says something of this
// instance's own path, too. It asks nobody: a question never leads to another one.
func (p *Proxy) connectForPeer(address string) (net.Conn, error) {
	d := p.ways.dial(address)
	if d.err == nil || !errors.Is(d.err, syscall.ECONNREFUSED) && !p.ways.isStrained() {
		p.ways.looked(address, d.err == nil, false)
	}
	return d.conn, d.err
}
