package bbport

import "time"

// Limits of a caller's request.
const (
	// maxHeaderBytes bounds a request's header block.
	maxHeaderBytes = 16 << 10
	// maxBodyOverrun is how many bytes of a body above the limit are still
	// read, so that its sender gets an answer instead of a closed connection.
	maxBodyOverrun = 1 << 20
	// maxRequestIDBytes bounds an Idempotency-Key.
	maxRequestIDBytes = 200
	// maxOutputTokens is the most tokens that a caller may request in one
	// answer.
	maxOutputTokens = 1 << 20
	// maxChoices bounds the choices (n) of a chat completion.
	maxChoices = 8
	// defaultOutputTokens bounds an answer when neither the caller nor the
	// service does.
	defaultOutputTokens = 1024
	// maxTemplateTokens is the most prompt tokens that a chat template adds to
	// each message.
	maxTemplateTokens = 16
)

// Limits of a target's answer.
const (
	// maxEventBytes bounds one server-sent event.
	maxEventBytes = 1 << 20
	// maxResponseBytes bounds an answer that is not streamed. maxBodiesBytes bounds what
	// all whole answers and the texts of all chats take together while targets send
	// them; minBodyBuffer is the least that a whole answer takes.
	maxResponseBytes = 16 << 20
	maxBodiesBytes   = 64 << 20
	minBodyBuffer    = 4 << 10
)

// Timeouts and intervals of requests.
const (
	// targetDialTimeout bounds the opening of a connection to a target.
	targetDialTimeout = time.Second
	// targetIdleTimeout is how long an idle connection to a target is kept
	// open.
	targetIdleTimeout = 10 * time.Second
	// targetSweepInterval is the time between two removals of the connections
	// to deleted targets.
	targetSweepInterval = time.Minute
	// targetProbeTimeout bounds the query whether a target still runs a
	// request.
	targetProbeTimeout = time.Second
	// cancelTimeout bounds the call that cancels a request at a target.
	cancelTimeout = 2 * time.Second
	// writeTimeoutMargin is the time that a caller has to read its answer,
	// beyond the longest deadline.
	writeTimeoutMargin = 10 * time.Second
	// orderTimeout is how long an operator's call waits for a target to
	// acknowledge an order.
	orderTimeout = 10 * time.Second
	// handBackPeriod is the part of the drain time that is kept for handing back
	// shares and records; of a short drain time, one part in handBackDivisor.
	handBackPeriod  = 5 * time.Second
	handBackDivisor = 4
	// endAnswerPeriod is how long the answers to requests that the stop has ended may
	// take to be written.
	endAnswerPeriod = time.Second
	// defaultRetryAfter is the Retry-After of refusals without a better
	// estimate.
	defaultRetryAfter = time.Second
)

// maxConnsPerTarget bounds the connections to one target.
const maxConnsPerTarget = 4096

// unnamedRefusalPeriod is how long a target gets each request over a connection of its
// own after a refusal that does not name the request.
const unnamedRefusalPeriod = time.Minute

// maxSentIDs is how many ids of requests sent over pooled connections are
// remembered.
const maxSentIDs = 8192

// maxResumesPerEngine is how often a broken stream is resumed at the same
// engine.
const maxResumesPerEngine = 3
