package bbversion

import (
	"cmp"
	"encoding/json"
	"maps"
	"math"
	"slices"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbhash"
	"bluebellport.example/shared/bbunit"
)

// ErrSplit means that a text is not a usable split.
const ErrSplit = errors.ConstError("invalid split")

// StreamKey identifies a stream: a hash of service, client account and the id of
// the attempt that brought its first event.
type StreamKey uint64

// NewStreamKey returns the key of a stream.
func NewStreamKey(service bbunit.ServiceID, account bbunit.AccountID, attempt string) StreamKey {
	return StreamKey(xxhash.Sum64String(string(service) + "\x00" + string(account) + "\x00" + attempt))
}

// Split tells which software version begins a stream, for each service. It is
// immutable. A later split has a higher Number; the zero value is none.
type Split struct {
	Number   uint64                       `json:"number"`
	Services map[bbunit.ServiceID][]Epoch `json:"services"`
}

// Epoch is a division of the streams of a service among the versions of its
// targets. Streams may go on that an earlier epoch began.
type Epoch struct {
	Number uint64 `json:"number"`
	// Weights holds the slots of the targets of each version.
	Weights map[string]int `json:"weights"`
}

// decodeSplit parses and checks a split. Its error is an ErrSplit.
func decodeSplit(text []byte) (*Split, error) {
	if len(text) > maxSplitBytes {
		return nil, errors.Annotatef(ErrSplit, "%d bytes", len(text))
	}
	s := &Split{}
	if err := json.Unmarshal(text, s); err != nil {
		return nil, errors.WithType(err, ErrSplit)
	}
	for service, epochs := range s.Services {
		if len(epochs) == 0 || len(epochs) > maxEpochs {
			return nil, errors.Annotatef(ErrSplit, "%d epochs of %q", len(epochs), service)
		}
		for i := range epochs {
			if i > 0 && epochs[i].Number <= epochs[i-1].Number || epochs[i].Number > s.Number || !epochs[i].isValid() {
				return nil, errors.Annotatef(ErrSplit, "epoch %d of %q", epochs[i].Number, service)
			}
		}
	}
	return s, nil
}

// isValid reports whether streams can be divided by the epoch.
func (e *Epoch) isValid() bool {
	if len(e.Weights) == 0 || len(e.Weights) > maxVersions {
		return false
	}
	for version, weight := range e.Weights {
		if weight <= 0 || len(version) > maxVersionBytes {
			return false
		}
	}
	return true
}

// encode returns the split's text.
func (s *Split) encode() []byte {
	text, err := json.Marshal(s)
	if err != nil {
		panic(err) // numbers and strings always encode
	}
	return text
}

// Version returns the version that begins a stream by the epoch, by weighted
// rendezvous hashing: a change of weights moves no more streams than it has to.
func (e *Epoch) Version(key StreamKey) string {
	best, highest := "", math.Inf(-1)
	for version, weight := range e.Weights {
		hash := bbhash.Mix(uint64(key) ^ xxhash.Sum64String(version))
		uniform := (float64(hash>>11) + 0.5) / (1 << 53)
		score := -float64(weight) / math.Log(uniform)
		if score > highest || score == highest && version < best {
			best, highest = version, score
		}
	}
	return best
}

// versionIn returns the version that began a stream, and whether all epochs agree
// on it.
func versionIn(epochs []Epoch, key StreamKey) (version string, unanimous bool) {
	if len(epochs) == 0 {
		return "", false
	}
	version = epochs[0].Version(key)
	for i := range epochs[1:] {
		if epochs[i+1].Version(key) != version {
			return "", false
		}
	}
	return version, true
}

// newest returns the newest epoch of a service, nil if there is none.
func (s *Split) newest(service bbunit.ServiceID) *Epoch {
	epochs := s.Services[service]
	if len(epochs) == 0 {
		return nil
	}
	return &epochs[len(epochs)-1]
}

// fits reports whether an epoch divides the streams as the slots of the targets
// that serve are divided. No target at all changes nothing.
func (e *Epoch) fits(slots map[string]int) bool {
	if len(slots) == 0 {
		return true
	}
	if len(slots) != len(e.Weights) {
		return false
	}
	total, weights := sum(slots), sum(e.Weights)
	for version, n := range slots {
		weight, known := e.Weights[version]
		if !known {
			return false
		}
		share := float64(n) / float64(total)
		if math.Abs(share-float64(weight)/float64(weights)) > max(maxChangedShare, maxChangedRatio*share) {
			return false
		}
	}
	return true
}

// hasIdle reports whether a version of the epoch has no targets that serve.
func (e *Epoch) hasIdle(slots map[string]int) bool {
	for version := range e.Weights {
		if slots[version] == 0 {
			return true
		}
	}
	return false
}

// with returns a split with one more epoch of a service.
func (s *Split) with(service bbunit.ServiceID, slots map[string]int) *Split {
	next := &Split{Number: s.Number + 1, Services: maps.Clone(s.Services)}
	if next.Services == nil {
		next.Services = map[bbunit.ServiceID][]Epoch{}
	}
	next.Services[service] = append(slices.Clone(s.Services[service]), Epoch{Number: next.Number, Weights: maps.Clone(slots)})
	return next
}

// without returns a split without the epochs of which drop is true. The newest
// epoch of a service is kept.
func (s *Split) without(drop func(service bbunit.ServiceID, i int) bool) *Split {
	next := &Split{Number: s.Number + 1, Services: map[bbunit.ServiceID][]Epoch{}}
	for service, epochs := range s.Services {
		for i := range epochs {
			if i == len(epochs)-1 || !drop(service, i) {
				next.Services[service] = append(next.Services[service], epochs[i])
			}
		}
	}
	return next
}

// services returns the services in order.
func (s *Split) services() []bbunit.ServiceID {
	return slices.SortedFunc(maps.Keys(s.Services), cmp.Compare)
}

// sum returns the sum of all values.
func sum(values map[string]int) int {
	total := 0
	for _, v := range values {
		total += v
	}
	return total
}
