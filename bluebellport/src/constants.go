package bbport

import "time"

// Limits on what a caller may send.
const (
	// maxHeader is the size of a request's header block, in bytes.
	maxHeader = 16 << 10
	// bodySlack is how far above the limit a body is still read, in bytes, so
	// that its sender gets an answer instead of a closed connection.
	bodySlack = 1 << 20
	// maxRequestID is the length of an Idempotency-Key, in bytes.
	maxRequestID = 200
	// maxOutput is the most tokens that a caller may ask for in one answer.
	maxOutput = 1 << 20
	// maxChoices is the most answers that a chat may ask for at once.
	maxChoices = 8
	// defaultOutput bounds an answer, in tokens, when neither the caller nor
	// the service does.
	defaultOutput = 1024
	// messageOverhead is the most prompt tokens that a chat template adds to
	// each message.
	messageOverhead = 16
)

// Limits on what a target may answer.
const (
	// maxEvent is the size of one server-sent event, in bytes.
	maxEvent = 1 << 20
	// maxAnswer is the size of an answer that is not streamed, in bytes.
	maxAnswer = 16 << 20
)

// Times on the path of a request.
const (
	// targetDialTimeout bounds the opening of a connection to a target.
	targetDialTimeout = time.Second
	// idleTimeout is how long a connection to a target is kept for reuse.
	idleTimeout = 10 * time.Second
	// tendEvery is how often targets that are gone are forgotten.
	tendEvery = time.Minute
	// targetProbeTimeout bounds the question whether a target still runs a request.
	targetProbeTimeout = time.Second
	// cancelTimeout bounds the order to a target to cancel a request.
	cancelTimeout = 2 * time.Second
	// writeSlack is how long after the longest deadline a caller may take to
	// read its answer.
	writeSlack = 10 * time.Second
	// orderTimeout is how long an operator's call waits for a target to take an
	// order.
	orderTimeout = 10 * time.Second
	// retryAfter is when to come back where nothing better is known.
	retryAfter = time.Second
)

// maxConns is the most connections to one target.
const maxConns = 4096

// maxResumes is how often a stream is resumed at one engine.
const maxResumes = 3
