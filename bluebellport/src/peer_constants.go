package bbport

import "time"

// Limits of the sessions between instances.
const (
	// maxEnvelope is the largest envelope taken, in bytes.
	maxEnvelope = 4 << 20
	// maxSkip is the largest oversized envelope that is read past, in bytes;
	// above it the framing counts as lost.
	maxSkip = 64 << 20
	// maxMalformed is how many malformed envelopes in a row mean that the
	// framing is lost.
	maxMalformed = 8
	// maxName is the longest instance, failure domain or stream kind, in bytes.
	maxName = 128
	// maxStreams is the most streams a peer may hold open in one session.
	maxStreams = 4096

	// linkQueue is how many envelopes wait for one peer.
	linkQueue = 256
	// linkIdle is the time without traffic after which a session is closed.
	linkIdle = 60 * time.Second
	// dialTimeout bounds connecting and the exchange of Hello.
	dialTimeout = time.Second
	// dialPause is the least time between failed attempts to connect.
	dialPause = 250 * time.Millisecond
	// keepAlive is the time between heartbeats of a session.
	keepAlive = 2 * time.Second
	// keepAliveTimeout is the longest wait for a heartbeat's answer and for a
	// write to be taken.
	keepAliveTimeout = 2 * time.Second
	// probeTimeout bounds the probe of a session that is in doubt.
	probeTimeout = time.Second
)
