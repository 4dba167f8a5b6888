package bbport

import (
	"bufio"
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/juju/errors"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/types/known/wrapperspb"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// envelopeStreamKind is the kind of stream that carries envelopes.
const envelopeStreamKind = "envelope"

const (
	errBadHello          = errors.ConstError("invalid hello")
	errFramingLost       = errors.ConstError("framing lost")
	errUnknownStreamKind = errors.ConstError("unknown kind of stream")
)

// session is a connection to a peer: a yamux session with a long-lived envelope
// stream in each direction, and streams of other kinds that are opened as
// needed.
type session struct {
	hello     *bbwire.Hello // sent by the peer
	mux       *yamux.Session
	dialed    bool // opened by this instance
	createdAt time.Time

	mu  sync.Mutex // guards writes to out
	out *yamux.Stream
	in  *yamux.Stream

	suspect    atomic.Bool  // being probed, or failed the probe
	lastUsedAt atomic.Int64 // last traffic, in ns since the epoch
	received   atomic.Bool  // an envelope was received since the flag was last cleared
}

// muxConfig returns the configuration of a yamux session.
func muxConfig(log io.Writer) *yamux.Config {
	cfg := yamux.DefaultConfig()
	cfg.KeepAliveInterval = keepAliveInterval
	cfg.ConnectionWriteTimeout = keepAliveTimeout
	cfg.StreamOpenTimeout = keepAliveTimeout + keepAliveInterval
	cfg.LogOutput = log
	return cfg
}

// newSession starts yamux on conn and exchanges Hello. It blocks for up to
// dialTimeout, and closes conn if it fails.
func newSession(ctx context.Context, conn net.Conn, dialed bool, self *bbwire.Hello, log io.Writer) (*session, error) {
	mux, err := startMux(conn, dialed, log)
	if err != nil {
		_ = conn.Close()
		return nil, errors.Trace(err)
	}
	s := &session{mux: mux, dialed: dialed, createdAt: time.Now()}
	s.touch()
	if err := s.exchangeHello(ctx, self); err != nil {
		_ = mux.Close()
		return nil, err
	}
	return s, nil
}

func startMux(conn net.Conn, dialed bool, log io.Writer) (*yamux.Session, error) {
	if dialed {
		return yamux.Client(conn, muxConfig(log))
	}
	return yamux.Server(conn, muxConfig(log))
}

// exchangeHello opens the outgoing envelope stream with this instance's Hello
// and accepts the peer's.
func (s *session) exchangeHello(ctx context.Context, self *bbwire.Hello) error {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	out, err := openStream(s.mux, envelopeStreamKind)
	if err != nil {
		return errors.Trace(err)
	}
	s.out = out
	if err := s.write(&bbwire.Envelope{Body: &bbwire.Envelope_Hello{Hello: self}}); err != nil {
		return errors.Trace(err)
	}
	in, err := acceptStream(ctx, s.mux)
	if err != nil {
		return errors.Trace(err)
	}
	s.in = in
	_ = in.SetReadDeadline(time.Now().Add(dialTimeout))
	kind, err := readStreamKind(in)
	if err != nil || kind != envelopeStreamKind {
		return errors.Annotatef(errBadHello, "first stream is %q", kind)
	}
	return s.readHello(in)
}

// acceptStream waits for the peer to open a stream. If ctx ends first, it
// closes the session.
func acceptStream(ctx context.Context, mux *yamux.Session) (*yamux.Stream, error) {
	stop := context.AfterFunc(ctx, func() { _ = mux.Close() })
	stream, err := mux.AcceptStream()
	if !stop() {
		return nil, errors.Trace(ctx.Err())
	}
	return stream, err
}

func (s *session) readHello(in *yamux.Stream) error {
	e := &bbwire.Envelope{}
	if err := envelopeDecodeOptions().UnmarshalFrom(bbwire.Unbuffered{Reader: in}, e); err != nil {
		return errors.Annotate(errBadHello, err.Error())
	}
	_ = in.SetReadDeadline(time.Time{})
	s.hello = e.GetHello()
	return checkHello(s.hello)
}

// checkHello rejects a Hello without a valid identity and address.
func checkHello(h *bbwire.Hello) error {
	switch {
	case h.GetInstance() == "" || len(h.GetInstance()) > maxNameBytes:
		return errors.Annotatef(errBadHello, "instance %.40q", h.GetInstance())
	case h.GetDomain() == "" || len(h.GetDomain()) > maxNameBytes:
		return errors.Annotatef(errBadHello, "failure domain %.40q", h.GetDomain())
	case h.GetInc() == 0:
		return errors.Annotate(errBadHello, "no incarnation")
	case !bbmember.ValidAddress(h.GetAddress()):
		return errors.Annotatef(errBadHello, "address %.40q", h.GetAddress())
	}
	return nil
}

func (s *session) peer() bbunit.InstanceID { return bbunit.InstanceID(s.hello.Instance) }

func (s *session) incarnation() bbunit.Incarnation { return bbunit.Incarnation(s.hello.Inc) }

func (s *session) touch() { s.lastUsedAt.Store(time.Now().UnixNano()) }

// idle reports whether the session has not been used for d and has no open
// streams besides the two envelope streams.
func (s *session) idle(d time.Duration) bool {
	return time.Since(time.Unix(0, s.lastUsedAt.Load())) > d && s.mux.NumStreams() <= 2
}

func (s *session) closed() bool { return s.mux.IsClosed() }

func (s *session) close() { _ = s.mux.Close() }

// write sends one envelope. It blocks for up to keepAliveTimeout. If it fails,
// it closes the session, since a partial write breaks the framing.
func (s *session) write(e *bbwire.Envelope) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	_ = s.out.SetWriteDeadline(time.Now().Add(keepAliveTimeout))
	if _, err := protodelim.MarshalTo(s.out, e); err != nil {
		s.close()
		return errors.Trace(err)
	}
	s.touch()
	return nil
}

// probe pings the peer, and closes the session if there is no answer within
// probeTimeout.
func (s *session) probe() bool {
	done := make(chan error, 1)
	go func() {
		_, err := s.mux.Ping()
		done <- err
	}()
	select {
	case err := <-done:
		if err == nil {
			return true
		}
	case <-time.After(probeTimeout):
	}
	s.close()
	return false
}

// read passes each received envelope to handle until the session ends. For each
// envelope that is dropped it calls onDropped.
func (s *session) read(handle func(*bbwire.Envelope), onDropped func(error)) {
	defer s.close()
	r, opts := bufio.NewReader(s.in), envelopeDecodeOptions()
	for malformed := 0; ; {
		e := &bbwire.Envelope{}
		err := opts.UnmarshalFrom(r, e)
		var large *protodelim.SizeTooLargeError
		switch {
		case err == nil:
			malformed = 0
			s.touch()
			s.received.Store(true)
			e.From, e.Inc = s.hello.Instance, s.hello.Inc
			handle(e)
			continue
		case errors.As(err, &large) && large.Size <= maxSkippedBytes:
			onDropped(err)
			if _, err := r.Discard(int(large.Size)); err != nil {
				return
			}
			continue
		case errors.Is(err, proto.Error) && large == nil && malformed < maxConsecutiveMalformed:
			malformed++
			onDropped(err)
			continue
		case errors.Is(err, proto.Error):
			onDropped(errors.Annotate(errFramingLost, err.Error()))
		}
		return
	}
}

// envelopeDecodeOptions returns the options for decoding received envelopes.
func envelopeDecodeOptions() protodelim.UnmarshalOptions {
	return protodelim.UnmarshalOptions{MaxSize: maxEnvelopeBytes}
}

// openStream opens a stream and writes its kind as the header.
func openStream(mux *yamux.Session, kind string) (*yamux.Stream, error) {
	stream, err := mux.OpenStream()
	if err != nil {
		return nil, err
	}
	_ = stream.SetWriteDeadline(time.Now().Add(keepAliveTimeout))
	if _, err := protodelim.MarshalTo(stream, wrapperspb.String(kind)); err != nil {
		_ = stream.Close()
		return nil, err
	}
	_ = stream.SetWriteDeadline(time.Time{})
	return stream, nil
}

// readStreamKind reads the header of a stream that the peer has opened.
func readStreamKind(stream *yamux.Stream) (string, error) {
	kind := &wrapperspb.StringValue{}
	opts := protodelim.UnmarshalOptions{MaxSize: maxNameBytes}
	if err := opts.UnmarshalFrom(bbwire.Unbuffered{Reader: stream}, kind); err != nil {
		return "", err
	}
	return kind.Value, nil
}
