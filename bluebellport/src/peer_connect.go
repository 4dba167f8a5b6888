package bbport

import (
	"context"
	"crypto/tls"
	"net"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc/panics"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// connect opens a session with an instance and checks that this instance, and
// no other, has answered at the address.
func (p *Peers) connect(ctx context.Context, to bbunit.InstanceID) (*session, error) {
	address, ok := p.members.address(to)
	if !ok {
		return nil, errors.Errorf("no known address of %q", to)
	}
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if p.tlsConfig != nil {
		conn = tls.Client(conn, p.tlsConfig)
	}
	s, err := p.handshake(ctx, conn, true)
	if err != nil {
		return nil, err
	}
	if s.peer() != to {
		s.close()
		return nil, errors.Errorf("instance %s answered at %s", s.peer(), address)
	}
	return s, p.startSession(s)
}

// acceptConnections accepts connections until Peers is closed.
func (p *Peers) acceptConnections() {
	for {
		conn, err := p.ln.Accept()
		if p.ctx.Err() != nil {
			return
		}
		if err != nil {
			p.drop("", err)
			time.Sleep(dialBackoff)
			continue
		}
		p.wg.Go(func() { p.handleConnection(conn) })
	}
}

func (p *Peers) handleConnection(conn net.Conn) {
	remote := conn.RemoteAddr().String()
	if p.tlsConfig != nil {
		conn = tls.Server(conn, p.tlsConfig)
	}
	s, err := p.handshake(p.ctx, conn, false)
	if err == nil {
		err = p.startSession(s)
	}
	if err != nil {
		p.drop("", errors.Annotatef(err, "connection from %s", remote))
	}
}

// handshake does the TLS handshake, if TLS is on, and the exchange of Hello. It
// closes the connection if one of them fails.
func (p *Peers) handshake(ctx context.Context, conn net.Conn, dialed bool) (*session, error) {
	if c, ok := conn.(*tls.Conn); ok {
		handshakeCtx, cancel := context.WithTimeout(ctx, dialTimeout)
		defer cancel()
		if err := c.HandshakeContext(handshakeCtx); err != nil {
			_ = conn.Close()
			return nil, err
		}
	}
	counted := &countedConn{Conn: conn, in: p.bytesIn, out: p.bytesOut}
	return newSession(ctx, counted, dialed, p.hello(), yamuxLog{p.log})
}

// hello returns the greeting of this instance, with the number of the last
// applied ticket.
func (p *Peers) hello() *bbwire.Hello {
	m := p.self()
	return &bbwire.Hello{
		Instance: string(m.ID), Inc: uint64(m.Inc), Domain: string(m.Domain), Address: m.Address, Link: m.LinkMbps,
		Number: uint64(p.deps.Board.State.Load().Number),
	}
}

// startSession adds a new session to the peer's link and serves it on new
// goroutines.
func (p *Peers) startSession(s *session) error {
	if s.peer() == p.self().ID {
		s.close()
		return errors.Annotatef(errBadHello, "%s is this instance", s.peer())
	}
	l, err := p.createLink(s.peer())
	if err != nil {
		s.close()
		return err
	}
	l.addSession(s)
	p.members.handleHello(s.hello)
	p.wg.Go(func() { p.serveEnvelopes(l, s) })
	p.wg.Go(func() { p.acceptStreams(s) })
	return nil
}

// serveEnvelopes reads envelopes until the session ends. If no other session
// with the peer can be used then, all pending calls to the peer fail.
func (p *Peers) serveEnvelopes(l *link, s *session) {
	stop := context.AfterFunc(p.ctx, s.close)
	defer stop()
	s.read(
		func(e *bbwire.Envelope) { p.receive(l.id, e) },
		func(err error) { p.drop(l.id, err) },
	)
	l.removeSession(s)
	if l.preferredSession() == nil {
		p.failCalls(l.id)
	}
}

// acceptStreams serves the streams that the peer opens.
func (p *Peers) acceptStreams(s *session) {
	for {
		stream, err := s.mux.AcceptStream()
		if err != nil {
			return
		}
		if s.mux.NumStreams() > maxStreamsPerSession {
			p.drop(s.peer(), errors.New("too many streams"))
			_ = stream.Close()
			continue
		}
		p.wg.Go(func() { p.serveStream(s, stream) })
	}
}

func (p *Peers) serveStream(s *session, stream *yamux.Stream) {
	defer func() { _ = stream.Close() }()
	_ = stream.SetReadDeadline(time.Now().Add(dialTimeout))
	kind, err := readStreamKind(stream)
	if err != nil {
		p.drop(s.peer(), errors.Annotate(err, "stream header"))
		return
	}
	_ = stream.SetReadDeadline(time.Time{})
	fn, ok := p.streams.Load(kind)
	if !ok {
		p.drop(s.peer(), errors.Annotatef(errUnknownStreamKind, "%.40q", kind))
		return
	}
	s.touch()
	if panicked := panics.Try(func() { fn.(func(bbunit.InstanceID, net.Conn))(s.peer(), stream) }); panicked != nil {
		p.drop(s.peer(), errors.Annotatef(errPanic, "stream %s: %v", kind, panicked.Value))
	}
}

// countedConn counts the bytes that pass a connection.
type countedConn struct {
	net.Conn
	in, out metrics.Counter
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Inc(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Inc(int64(n))
	return n, err
}

// yamuxLog writes yamux's log lines at debug level.
type yamuxLog struct{ log logrus.FieldLogger }

// Write logs b as one entry.
func (l yamuxLog) Write(b []byte) (int, error) {
	l.log.WithField("lib", "yamux").Debug(string(b))
	return len(b), nil
}
