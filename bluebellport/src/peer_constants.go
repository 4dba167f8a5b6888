package bbport

import "time"

// Limits of the sessions between instances.
const (
	// maxEnvelopeBytes bounds an accepted envelope.
	maxEnvelopeBytes = 4 << 20
	// maxSkippedBytes bounds an oversized envelope that is skipped; a greater
	// length means that the framing is lost.
	maxSkippedBytes = 64 << 20
	// maxConsecutiveMalformed is how many malformed envelopes in a row are
	// dropped; one more means that the framing is lost.
	maxConsecutiveMalformed = 8
	// maxNameBytes bounds the name of an instance, a failure domain or a kind
	// of stream.
	maxNameBytes = 128
	// maxStreamsPerSession bounds the open streams of a session.
	maxStreamsPerSession = 4096

	// linkQueueSize is the capacity of the queue to one peer, in envelopes.
	linkQueueSize = 256
	// sessionIdleTimeout is how long a session without traffic is kept open.
	sessionIdleTimeout = 60 * time.Second
	// dialTimeout bounds connecting, the TLS handshake and the exchange of
	// Hello.
	dialTimeout = time.Second
	// dialBackoff is the delay after a failed attempt to connect or to accept.
	dialBackoff = 250 * time.Millisecond
	// keepAliveInterval is the time between heartbeats of a session.
	keepAliveInterval = 2 * time.Second
	// keepAliveTimeout bounds the answer to a heartbeat and a write.
	keepAliveTimeout = 2 * time.Second
	// probeTimeout bounds the ping that checks a session.
	probeTimeout = time.Second
)

// Limits of the list of instances and of gossip.
const (
	// minListPeriods is the least time between two reads of the list, in gossip
	// periods.
	minListPeriods = 2
	// maxListReadRate bounds the traffic of reading the list, in bytes per
	// second.
	maxListReadRate = 1 << 10
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// maxListBytes bounds the accepted list.
	maxListBytes = 4 << 20
	// maxGossiperBytes bounds what all gossipers together add to a message.
	maxGossiperBytes = 32 << 10
	// maxReportsPerMessage bounds the member reports in a received message.
	maxReportsPerMessage = 256
	// leaveFlushTimeout bounds the wait until a leaving instance has sent its
	// queued messages.
	leaveFlushTimeout = 500 * time.Millisecond
	// lastFlushTimeout bounds it if the instance has announced that long before, so
	// that a peer that does not read does not hold up the exit.
	lastFlushTimeout = 100 * time.Millisecond
)

// Limits of following the log of change tickets.
const (
	// followInterval is the time between two ticks of the follower.
	followInterval = 250 * time.Millisecond
	// headReadInterval is the time between two reads of the log's head, which
	// check that the watch is not silent.
	headReadInterval = 5 * time.Second
	// joinReadInterval is the time between two reads of the head until a state
	// is loaded.
	joinReadInterval = time.Second
	// headReadTimeout bounds one read of the head and, if needed, of the state.
	headReadTimeout = 5 * time.Second
	// maxWatchLag is how long a watch may lack a revision that a read returned;
	// after that it is restarted.
	maxWatchLag = time.Second
	// watchRestartDelay is the delay after a watch has failed.
	watchRestartDelay = 500 * time.Millisecond
	// pushTreeFanout is the number of children of an instance in the push tree
	// of its failure domain.
	pushTreeFanout = 4
	// pushDomainFanout is how many other failure domains a watcher pushes to.
	pushDomainFanout = 2
	// pushGracePeriod is the time that a push has to reach every instance.
	// Until then, gossip from an instance that is behind is not answered with
	// tickets.
	pushGracePeriod = 500 * time.Millisecond
	// minTicketRequestInterval is the least time between two requests for
	// tickets.
	minTicketRequestInterval = 100 * time.Millisecond
	// stateTransferTimeout bounds the transfer of a full state.
	stateTransferTimeout = 10 * time.Second
	// maxStateBytes bounds the JSON of a full state.
	maxStateBytes = 128 << 20
	// joinTimeout is how long a joining instance waits for a ticket number that
	// a peer has announced; then it becomes ready without it.
	joinTimeout = 10 * time.Second
	// maxPushedTickets bounds the tickets of a push. If there are more, nothing
	// is pushed and the other instances request them.
	maxPushedTickets = 32
	// maxTicketLookahead is how far a ticket may be ahead of the state to be
	// kept until the tickets before it arrive.
	maxTicketLookahead = 256
	// maxRetainedTickets and maxRetainedBytes bound the applied tickets that
	// are kept to send them to other instances.
	maxRetainedTickets = 256
	maxRetainedBytes   = 1 << 20
)
