package bbproxy

import "bluebellport.example/platform"

//go:generate enumer -type=origin -trimprefix=origin -transform=kebab -output=origin_enumer.go

// origin tells to which request a response belongs, as far as it can be known.
// The names appear in logs.
type origin int

// Origins of a response.
const (
	// originNone means that no response was read.
	originNone origin = iota
	// originOwnID means that the response bears the id of the request.
	originOwnID
	// originOnlyRequest means that it bears no id, and that its connection has
	// carried nothing but the request.
	originOnlyRequest
	// originUnproven means that it bears no id, on a connection that may still hold
	// a response to another request.
	originUnproven
	// originOther means that it bears the id of another request, or more than one.
	originOther
)

// originOf returns the origin of a response that was read for a request.
// onlyRequest reports that the connection has carried nothing else and has shown
// no response to another request.
func originOf(fields Fields, attemptID string, onlyRequest bool) origin {
	id, n := fields.Get(bbplatform.HeaderAttemptID)
	switch {
	case n > 1 || id != "" && id != attemptID:
		return originOther
	case id != "":
		return originOwnID
	case onlyRequest:
		return originOnlyRequest
	}
	return originUnproven
}

// isOwn reports that the response is shown to belong to the request.
func (o origin) isOwn() bool { return o == originOwnID || o == originOnlyRequest }

// heardResponse is what is known of the response that an attempt read last, and
// of its connection: the requests that it has carried, and the responses to other
// requests that it has shown. refused reports a refusal that may be another
// request's, expectedUntil what unnamedRefusals said of it.
type heardResponse struct {
	origin           origin
	requests, strays int
	refused          bool
	expectedUntil    int64
}
