package bbcarry

import (
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/encoding/protodelim"

	"bluebellport.example/shared/bbwire"
)

const (
	// maxCarried is how many connections an instance carries at a time.
	maxCarried = 128
	// askTimeout bounds the arrival of a question on a new stream.
	askTimeout = time.Second
	// maxLife bounds a carried connection whatever its asker says.
	maxLife = 2 * time.Minute
)

// ServerConfig is what a Server needs.
type ServerConfig struct {
	// Begin reports whether a connection to an address may be carried now. If so, End is
	// called when it has ended.
	Begin func(address string) bool
	End   func()
	// Connect connects to an address over this instance's own path.
	Connect func(address string) (net.Conn, error)
	Metrics metrics.Registry
}

// Server carries connections for peers.
type Server struct {
	cfg             ServerConfig
	open            atomic.Int64
	carried, denied metrics.Counter
}

// NewServer returns a server that carries connections.
func NewServer(cfg ServerConfig) *Server {
	s := &Server{cfg: cfg, carried: metrics.GetOrRegisterCounter("door.carry.served", cfg.Metrics), denied: metrics.GetOrRegisterCounter("door.carry.denied", cfg.Metrics)}
	metrics.NewRegisteredFunctionalGauge("door.carry.open", cfg.Metrics, s.open.Load)
	return s
}

// Serve carries the connection that a peer asks for on a stream. It returns when the
// connection has ended; the caller then closes the stream.
func (s *Server) Serve(stream net.Conn) {
	_ = stream.SetDeadline(time.Now().Add(askTimeout))
	ask := &bbwire.CarryAsk{}
	if (protodelim.UnmarshalOptions{MaxSize: maxMessage}).UnmarshalFrom(bbwire.Unbuffered{Reader: stream}, ask) != nil {
		return
	}
	if s.open.Add(1) > maxCarried || !s.cfg.Begin(ask.Address) {
		s.open.Add(-1)
		s.denied.Inc(1)
		tell(stream, &bbwire.CarryTell{State: bbwire.CarryState_CARRY_STATE_BUSY})
		return
	}
	defer s.cfg.End()
	defer s.open.Add(-1)
	target, err := s.cfg.Connect(ask.Address)
	if err != nil {
		state := bbwire.CarryState_CARRY_STATE_UNREACHABLE
		if errors.Is(err, syscall.ECONNREFUSED) {
			state = bbwire.CarryState_CARRY_STATE_REFUSED
		}
		tell(stream, &bbwire.CarryTell{State: state})
		return
	}
	if !tell(stream, &bbwire.CarryTell{State: bbwire.CarryState_CARRY_STATE_CONNECTED, Counted: ask.Counted}) {
		_ = target.Close()
		return
	}
	s.carried.Inc(1)
	end := time.Now().Add(min(time.Duration(ask.Limitms)*time.Millisecond, maxLife))
	_ = target.SetDeadline(end)
	_ = stream.SetDeadline(end)
	c := &carried{stream: stream, target: target, counted: ask.Counted, end: end, uploaded: make(chan struct{})}
	c.copyBoth()
}

// tell replies to a question and reports whether that worked.
func tell(stream net.Conn, t *bbwire.CarryTell) bool {
	_, err := protodelim.MarshalTo(stream, t)
	return err == nil
}
