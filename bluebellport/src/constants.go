package bbport

import "time"

// Limits on what a caller may send.
const (
	// maxHeaderBytes is the size of a request's header block, in bytes.
	maxHeaderBytes = 16 << 10
	// maxBodyOverrun is how far above the limit a body is still read, in bytes, so
	// that its sender gets an answer instead of a closed connection.
	maxBodyOverrun = 1 << 20
	// maxRequestIDBytes is the length of an Idempotency-Key, in bytes.
	maxRequestIDBytes = 200
	// maxOutputTokens is the most tokens that a caller may ask for in one answer.
	maxOutputTokens = 1 << 20
	// maxChoices is the most answers that a chat may ask for at once.
	maxChoices = 8
	// defaultOutputTokens bounds an answer, in tokens, when neither the caller nor
	// the service does.
	defaultOutputTokens = 1024
	// maxTemplateTokens is the most prompt tokens that a chat template adds to
	// each message.
	maxTemplateTokens = 16
)

// Limits on what a target may answer.
const (
	// maxEventBytes is the size of one server-sent event, in bytes.
	maxEventBytes = 1 << 20
	// maxResponseBytes is the size of an answer that is not streamed, in bytes.
	maxResponseBytes = 16 << 20
)

// Times on the path of a request.
const (
	// targetDialTimeout bounds the opening of a connection to a target.
	targetDialTimeout = time.Second
	// targetIdleTimeout is how long a connection to a target is kept for reuse.
	targetIdleTimeout = 10 * time.Second
	// targetSweepInterval is how often targets that are gone are forgotten.
	targetSweepInterval = time.Minute
	// targetProbeTimeout bounds the question whether a target still runs a request.
	targetProbeTimeout = time.Second
	// cancelTimeout bounds the order to a target to cancel a request.
	cancelTimeout = 2 * time.Second
	// writeTimeoutMargin is how long after the longest deadline a caller may take to
	// read its answer.
	writeTimeoutMargin = 10 * time.Second
	// orderTimeout is how long an operator's call waits for a target to take an
	// order.
	orderTimeout = 10 * time.Second
	// defaultRetryAfter is when to come back where nothing better is known.
	defaultRetryAfter = time.Second
)

// maxConnsPerTarget is the most connections to one target.
const maxConnsPerTarget = 4096

// maxResumesPerEngine is how often a stream is resumed at one engine.
const maxResumesPerEngine = 3
