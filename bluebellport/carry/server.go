package bbcarry

import (
	"encoding/binary"
	"io"
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
		tell(stream, bbwire.CarryState_CARRY_STATE_BUSY)
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
		tell(stream, state)
		return
	}
	if !tell(stream, bbwire.CarryState_CARRY_STATE_CONNECTED) {
		_ = target.Close()
		return
	}
	s.carried.Inc(1)
	end := time.Now().Add(min(time.Duration(ask.Limitms)*time.Millisecond, maxLife))
	_ = target.SetDeadline(end)
	_ = stream.SetDeadline(end)
	copyBoth(stream, target)
}

// tell replies to a question and reports whether that worked.
func tell(stream net.Conn, state bbwire.CarryState) bool {
	_, err := protodelim.MarshalTo(stream, &bbwire.CarryTell{State: state})
	return err == nil
}

// copyBoth copies between a stream and the connection to a target until one of them ends,
// and closes the connection.
func copyBoth(stream, target net.Conn) {
	askerLeft := make(chan struct{})
	go func() {
		defer close(askerLeft)
		_, _ = io.CopyBuffer(writer{target}, reader{stream}, make([]byte, copyBuffer))
		_ = target.Close() // the asker has closed its end, or one of the two broke
	}()
	writeFrames(stream, target, askerLeft)
	_ = target.Close()
	_ = stream.SetReadDeadline(time.Now()) // ends the other direction
	<-askerLeft
}

// writeFrames copies what a target sends, in frames, and how its connection ends, unless
// the asker left before.
func writeFrames(stream, target net.Conn, askerLeft <-chan struct{}) {
	buf := make([]byte, frameHeader+copyBuffer)
	for {
		n, err := target.Read(buf[frameHeader:])
		if n > 0 {
			binary.BigEndian.PutUint32(buf, uint32(n))
			if _, writeErr := stream.Write(buf[:frameHeader+n]); writeErr != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		select {
		case <-askerLeft:
			return
		default:
		}
		end := uint32(endBroken)
		if errors.Is(err, io.EOF) {
			end = endClosed
		}
		binary.BigEndian.PutUint32(buf, end)
		_, _ = stream.Write(buf[:frameHeader])
		return
	}
}

// writer and reader hide all but the one method, so that the buffer is used.
type (
	writer struct{ io.Writer }
	reader struct{ io.Reader }
)
