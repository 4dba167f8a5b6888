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

// Limits of the list of instances and of gossip.
const (
	// listRounds is the least time between two reads of the list, in periods of
	// gossip.
	listRounds = 2
	// listRate is the most that reading the list costs, in bytes a second.
	listRate = 1 << 10
	// listTimeout bounds one read of the list.
	listTimeout = 2 * time.Second
	// maxList is the largest list, in bytes.
	maxList = 4 << 20
	// maxGossip is the most that rumors add to a message, in bytes.
	maxGossip = 32 << 10
	// maxReports is the most members in one message.
	maxReports = 256
	// leaveFlush is the longest wait for the last messages to be sent.
	leaveFlush = 500 * time.Millisecond
)

// Limits of following the log of tickets.
const (
	// followPeriod is the time between two looks at what is to be done.
	followPeriod = 250 * time.Millisecond
	// headPeriod is the time between two reads of the head beside the watch.
	headPeriod = 5 * time.Second
	// joinPeriod is the time between two reads of the head before any state is
	// known.
	joinPeriod = time.Second
	// headTimeout bounds one read of the head and of the state.
	headTimeout = 5 * time.Second
	// watchLag is how long a watch may be behind a read before it counts as
	// silent.
	watchLag = time.Second
	// watchPause is the least time between two watches.
	watchPause = 500 * time.Millisecond
	// treeWidth is how many instances of its failure domain one tells.
	treeWidth = 4
	// otherTells is how many other failure domains the first of one tells.
	otherTells = 2
	// tellPause is the time that tickets have to arrive by themselves before
	// an instance that is behind is told.
	tellPause = 500 * time.Millisecond
	// askPause is the least time between two questions for tickets.
	askPause = 100 * time.Millisecond
	// stateTimeout bounds the transfer of a whole state.
	stateTimeout = 10 * time.Second
	// maxState is the largest whole state, in bytes of JSON.
	maxState = 128 << 20
	// joinPatience is how long a joining instance waits for a state that a peer
	// spoke of.
	joinPatience = 10 * time.Second
	// maxPush is the most tickets pushed at once; more are asked for.
	maxPush = 32
	// maxHeld is how far ahead of the state a ticket is held.
	maxHeld = 256
	// maxKept and maxKeptBytes bound the tickets kept to pass on.
	maxKept      = 256
	maxKeptBytes = 1 << 20
)
