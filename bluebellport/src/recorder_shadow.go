package bbport

import (
	"context"
	"sync/atomic"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// shadow copies what is open or unacknowledged to peers.
type shadow struct {
	r    *Recorder
	open atomic.Int64
	kept atomic.Int64
}

func newShadow(r *Recorder) *shadow { return &shadow{r: r} }

func (s *shadow) add(_ *bbwire.Record) {}

func (s *shadow) end(_ string) {}

func (s *shadow) run(ctx context.Context) { <-ctx.Done() }

func (s *shadow) take(_ bbunit.InstanceID, _ *bbwire.Envelope) *bbwire.Envelope { return nil }
