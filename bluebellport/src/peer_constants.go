package bbport

import "time"

// Limits of the sessions between instances.
const (
	// maxEnvelopeBytes is the largest envelope taken, in bytes.
	maxEnvelopeBytes = 4 << 20
	// maxSkippedBytes is the largest oversized envelope that is read past, in bytes;
	// above it the framing counts as lost.
	maxSkippedBytes = 64 << 20
	// maxConsecutiveMalformed is how many malformed envelopes in a row mean that the
	// framing is lost.
	maxConsecutiveMalformed = 8
	// maxNameBytes is the longest instance, failure domain or stream kind, in bytes.
	maxNameBytes = 128
	// maxStreamsPerSession is the most streams a peer may hold open in one session.
	maxStreamsPerSession = 4096

	// linkQueueSize is how many envelopes wait for one peer.
	linkQueueSize = 256
	// sessionIdleTimeout is the time without traffic after which a session is closed.
	sessionIdleTimeout = 60 * time.Second
	// dialTimeout bounds connecting and the exchange of Hello.
	dialTimeout = time.Second
	// dialBackoff is the least time between failed attempts to connect.
	dialBackoff = 250 * time.Millisecond
	// keepAliveInterval is the time between heartbeats of a session.
	keepAliveInterval = 2 * time.Second
	// keepAliveTimeout is the longest wait for a heartbeat's answer and for a
	// write to be taken.
	keepAliveTimeout = 2 * time.Second
	// probeTimeout bounds the probe of a session that is in doubt.
	probeTimeout = time.Second
)

// Limits of the list of instances and of gossip.
const (
	// minListPeriods is the least time between two reads of the list, in periods of
	// gossip.
	minListPeriods = 2
	// maxListReadRate is the most that reading the list costs, in bytes a second.
	maxListReadRate = 1 << 10
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// maxListBytes is the largest list, in bytes.
	maxListBytes = 4 << 20
	// maxGossiperBytes is the most that rumors add to a message, in bytes.
	maxGossiperBytes = 32 << 10
	// maxReportsPerMessage is the most members in one message.
	maxReportsPerMessage = 256
	// leaveFlushTimeout is the longest wait for the last messages to be sent.
	leaveFlushTimeout = 500 * time.Millisecond
)

// Limits of following the log of tickets.
const (
	// followInterval is the time between two looks at what is to be done.
	followInterval = 250 * time.Millisecond
	// headReadInterval is the time between two reads of the head beside the watch.
	headReadInterval = 5 * time.Second
	// joinReadInterval is the time between two reads of the head before any state is
	// known.
	joinReadInterval = time.Second
	// headReadTimeout bounds one read of the head and of the state.
	headReadTimeout = 5 * time.Second
	// maxWatchLag is how long a watch may be behind a read before it counts as
	// silent.
	maxWatchLag = time.Second
	// watchRestartDelay is the least time between two watches.
	watchRestartDelay = 500 * time.Millisecond
	// pushTreeFanout is how many instances of its failure domain one tells.
	pushTreeFanout = 4
	// pushDomainFanout is how many other failure domains the first of one tells.
	pushDomainFanout = 2
	// pushGracePeriod is the time that tickets have to arrive by themselves before
	// an instance that is behind is told.
	pushGracePeriod = 500 * time.Millisecond
	// minTicketRequestInterval is the least time between two questions for tickets.
	minTicketRequestInterval = 100 * time.Millisecond
	// stateTransferTimeout bounds the transfer of a whole state.
	stateTransferTimeout = 10 * time.Second
	// maxStateBytes is the largest whole state, in bytes of JSON.
	maxStateBytes = 128 << 20
	// joinTimeout is how long a joining instance waits for a state that a peer
	// spoke of.
	joinTimeout = 10 * time.Second
	// maxPushedTickets is the most tickets pushed at once; more are asked for.
	maxPushedTickets = 32
	// maxTicketLookahead is how far ahead of the state a ticket is held.
	maxTicketLookahead = 256
	// maxRetainedTickets and maxKeptBytes bound the tickets kept to pass on.
	maxRetainedTickets = 256
	maxRetainedBytes   = 1 << 20
)
