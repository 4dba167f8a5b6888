package bbpressure

import (
	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

// Domain is what an instance knows of its own failure domain. The zero value is an instance
// that knows of no other.
type Domain struct {
	// Instances is how many there are, this one included.
	Instances int
	// Crowded is how many others say that they are crowded, Before how many of these may
	// be not ready before this one. Instances that leave are not ready in any case.
	Crowded, Before, Leaving int
}

// DomainOf returns what a view of the fleet tells of the own failure domain.
func DomainOf(view *bbmember.View) Domain {
	self := view.Self
	d := Domain{Instances: 1}
	for _, m := range view.Members {
		if m.ID == self.ID || m.Domain != self.Domain {
			continue
		}
		d.Instances++
		switch {
		case m.Leaving:
			d.Leaving++
		case m.Crowded:
			d.Crowded++
			if rank(m.ID) < rank(self.ID) {
				d.Before++
			}
		}
	}
	return d
}

// rank orders the crowded instances of a failure domain in the same way everywhere.
func rank(id bbunit.InstanceID) uint64 { return xxhash.Sum64String(string(id)) }

// mayBeNotReady reports whether one more instance may be not ready.
func (d Domain) mayBeNotReady() bool {
	return d.Before+d.Leaving < d.Instances/notReadyDivisor
}

// spare returns the part of the other instances that can take connections.
func (d Domain) spare() float64 {
	others := d.Instances - 1
	if others <= 0 {
		return 0
	}
	return float64(max(others-d.Crowded-d.Leaving, 0)) / float64(others)
}
