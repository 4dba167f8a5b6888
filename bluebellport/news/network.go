package bbnews

import (
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Network sends messages to the other instances. Send must not block; messages
// may be lost.
type Network interface {
	Send(to bbunit.InstanceID, e *bbwire.Envelope) error
	Handle(sample *bbwire.Envelope, fn func(from bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope)
	View() *bbmember.View
}
