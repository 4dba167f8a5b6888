package bbnews

import (
	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Outgoing is a message to be sent once the sender's lock is released.
type Outgoing[M proto.Message] struct {
	To  bbunit.InstanceID
	Msg M
}

// ToEach addresses a message to each of several instances.
func ToEach[M proto.Message](to []bbunit.InstanceID, msg M) []Outgoing[M] {
	var out []Outgoing[M]
	for _, id := range to {
		out = append(out, Outgoing[M]{To: id, Msg: msg})
	}
	return out
}

// Sender sends messages and counts them. One that is lost is repeated by what comes
// later.
type Sender[M proto.Message] struct {
	network         transmitter
	envelope        func(M) *bbwire.Envelope
	messages, bytes metrics.Counter
}

// transmitter is the part of a Network that a Sender uses.
type transmitter interface {
	Send(to bbunit.InstanceID, e *bbwire.Envelope) error
}

// NewSender returns a sender of messages that go in envelopes made by envelope. counter
// returns the counters "messages" and "bytes".
func NewSender[M proto.Message](network transmitter, envelope func(M) *bbwire.Envelope, counter func(name string) metrics.Counter) *Sender[M] {
	return &Sender[M]{network: network, envelope: envelope, messages: counter("messages"), bytes: counter("bytes")}
}

// Send sends messages. The caller holds no lock.
func (s *Sender[M]) Send(out []Outgoing[M]) {
	for _, o := range out {
		s.messages.Inc(1)
		s.bytes.Inc(int64(proto.Size(o.Msg)))
		_ = s.network.Send(o.To, s.envelope(o.Msg))
	}
}
