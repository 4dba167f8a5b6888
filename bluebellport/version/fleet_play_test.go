package bbversion

import (
	"context"
	"flag"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/emulate"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

var (
	simSeeds = flag.Uint64("version-seeds", 1, "seeds of each simulated fleet")
	simLarge = flag.Bool("version-large", false, "also fleets of 84 and 295 instances")
)

const (
	simService = bbunit.ServiceID("llm")
	// simBegins is the time between two streams, simLife how long a stream lasts.
	simBegins = 10 * time.Millisecond
	simLife   = 600 * time.Millisecond
	// simReturn is after how long a client takes a broken stream up, simPatience how
	// long it tries.
	simReturn   = 100 * time.Millisecond
	simPatience = 5 * time.Second
	// simTries is how often a client comes back after a refusal, simRetry how much
	// later each time.
	simTries = 3
	simRetry = 300 * time.Millisecond
	// simMaxMixed is how many streams may hold events of two versions.
	simMaxMixed = 2
	simSlots    = 16
	simPlay     = 50 * time.Second
)

// simNode is one instance as its keeper sees the others.
type simNode struct {
	*bbemulate.Node
	sim    *simulation
	keeper *Keeper
	lag    time.Duration // of what it knows of the targets
	asks   func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope
	// reachesCore reports that the store is reached though the instance is cut off,
	// frozen that it does nothing.
	reachesCore, frozen bool
}

// nodeID returns the id of an instance.
func nodeID(i int) bbunit.InstanceID { return bbunit.InstanceID(fmt.Sprint("i", i)) }

func (n *simNode) Handle(sample *bbwire.Envelope, fn func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
	if _, ok := sample.Body.(*bbwire.Envelope_Begunask); ok {
		n.asks = fn
		return
	}
	n.Node.Handle(sample, fn)
}

// Call asks another instance at once.
func (n *simNode) Call(_ context.Context, to bbunit.InstanceID, e *bbwire.Envelope) (*bbwire.Envelope, error) {
	n.sim.calls.RLock()
	defer n.sim.calls.RUnlock()
	other := n.sim.byID[to]
	if !other.Up || other.Cut != n.Cut {
		return nil, errors.New("no answer")
	}
	return other.asks(n.Member.ID, e), nil
}

// Get, List, CAS and Era are the store, which a cut instance does not reach.
func (n *simNode) Get(ctx context.Context, key string) (bbstore.Entry, error) {
	if n.Cut && !n.reachesCore {
		return bbstore.Entry{}, bbstore.ErrDown
	}
	n.sim.reads++
	return n.sim.store.Get(ctx, key)
}

func (n *simNode) List(ctx context.Context, prefix string) ([]bbstore.Entry, bbstore.Revision, error) {
	if n.Cut && !n.reachesCore {
		return nil, 0, bbstore.ErrDown
	}
	n.sim.reads++
	return n.sim.store.List(ctx, prefix)
}

func (n *simNode) CAS(ctx context.Context, key string, value []byte, prev bbstore.Revision, lease bbstore.LeaseID) (bbstore.Revision, error) {
	if n.Cut && !n.reachesCore {
		return 0, bbstore.ErrDown
	}
	n.sim.writes++
	return n.sim.store.CAS(ctx, key, value, prev, lease)
}

func (n *simNode) Era() bbstore.Era { return n.sim.store.Era() }

// targetsAt are the targets of each version from a time on.
type targetsAt struct {
	at      time.Duration
	targets map[string]int
}

// simulation is a fleet of keepers beside clients whose streams break.
type simulation struct {
	*bbemulate.Fleet
	// calls is held while the fleet may change, which is whenever no instance waits
	// for answers.
	calls         sync.RWMutex
	store         *bbstore.Mem
	byID          map[bbunit.InstanceID]*simNode
	targets       []targetsAt
	began         time.Time
	streamCount   int
	reads, writes int
	log           *logrus.Logger

	begun, notBegun, mixed   int
	takenUp, wentOn, refused int // while two targets of the version serve
	killedAll                map[*simStream]bool
	live                     map[*simStream]bool
	lostUp, lostOn           int // the same of streams that a kill of all broke
}

// simStream is a stream of a client.
type simStream struct {
	key     StreamKey
	version string
	node    *simNode
	inc     bbunit.Incarnation
	breaks  int // how often it breaks yet
	tries   int // how often it was refused
}

func newSimulation(instances int, loss float64, seed uint64, targets []targetsAt) *simulation {
	s := &simulation{
		store: bbstore.NewMem(), byID: map[bbunit.InstanceID]*simNode{}, targets: targets, log: logrus.New(),
		killedAll: map[*simStream]bool{}, live: map[*simStream]bool{},
	}
	s.log.SetOutput(io.Discard)
	var started []*bbemulate.Node
	s.Fleet = bbemulate.NewFleet(instances, loss, seed, func(n *bbemulate.Node) {
		if s.Fleet == nil {
			started = append(started, n)
			return
		}
		s.startKeeper(n)
	})
	s.calls.Lock()
	s.began = s.Now()
	for _, n := range started {
		s.startKeeper(n)
	}
	return s
}

func (s *simulation) startKeeper(n *bbemulate.Node) {
	node := &simNode{Node: n, sim: s, lag: time.Duration(50+s.Rand.IntN(550)) * time.Millisecond}
	s.byID[n.Member.ID] = node
	node.keeper = New(Config{
		Network: node, Store: node, StoreKey: "versions", LogPrefix: "begun/", Now: s.Now, Rand: s.Rand.IntN, Log: s.log, Metrics: metrics.NewRegistry(),
		Slots: func() map[bbunit.ServiceID]map[string]int {
			slots := map[string]int{}
			for version, n := range s.targetsBefore(node.lag) {
				slots[version] = n * simSlots
			}
			return map[bbunit.ServiceID]map[string]int{simService: slots}
		},
		IsWatcher: func() bool { return node.View().Members[0].ID == n.Member.ID || n.Member.ID == bbunit.InstanceID("i1") },
	})
	n.Every(tickInterval, func() {
		if !node.frozen {
			node.keeper.Tick(context.Background())
		}
	})
}

// targetsBefore returns the targets that served a time ago.
func (s *simulation) targetsBefore(lag time.Duration) map[string]int {
	targets := s.targets[0].targets
	for _, t := range s.targets {
		if s.Now().Sub(s.began)-lag >= t.at {
			targets = t.targets
		}
	}
	return targets
}

// serve begins a stream each simBegins.
func (s *simulation) serve() {
	s.begin()
	s.After(simBegins, s.serve)
}

func (s *simulation) begin() {
	up := s.RandomNode()
	if up == nil {
		return
	}
	s.streamCount++
	node := s.byID[up.Member.ID]
	key := NewStreamKey(simService, "a", fmt.Sprint("attempt-", s.streamCount))
	version, known := node.keeper.Version(simService, key)
	if !known || s.targetsBefore(0)[version] == 0 {
		s.notBegun++
		return
	}
	s.begun++
	stream := &simStream{key: key, version: version, breaks: s.Rand.IntN(3)}
	s.pass(stream, node)
}

// pass lets an instance pass a stream on until it breaks or ends.
func (s *simulation) pass(stream *simStream, node *simNode) {
	stream.node, stream.inc = node, node.Member.Inc
	s.live[stream] = true
	node.keeper.Begin(simService, stream.key, stream.version)
	lasts := simLife
	if stream.breaks > 0 {
		lasts = time.Duration(40+s.Rand.IntN(400)) * time.Millisecond
	}
	s.After(lasts, func() { s.endPass(stream, node) })
}

// endPass ends what pass began, also if the instance was killed meanwhile.
func (s *simulation) endPass(stream *simStream, node *simNode) {
	delete(s.live, stream)
	killed := !node.Up || node.Member.Inc != stream.inc
	if !killed {
		node.keeper.End(stream.key)
	}
	if killed || stream.breaks > 0 {
		stream.breaks--
		s.takeUp(stream, s.Now().Add(simPatience))
	}
}

// takeUp lets the client come back to any instance that lives.
func (s *simulation) takeUp(stream *simStream, until time.Time) {
	s.After(simReturn+time.Duration(stream.tries)*simRetry, func() {
		up := s.RandomNode()
		if up == nil {
			if s.Now().Before(until) {
				s.takeUp(stream, until)
			}
			return
		}
		node := s.byID[up.Member.ID]
		s.calls.Unlock()
		version, known := node.keeper.Find(context.Background(), simService, stream.key)
		s.calls.Lock()
		targets := s.targetsBefore(0)
		switch {
		case known && version != stream.version && targets[version] > 0:
			s.mixed++
		case known && version == stream.version && targets[version] > 0:
			s.count(stream, targets, true)
			s.pass(stream, node)
		case stream.tries < simTries && targets[stream.version] >= 2:
			stream.tries++
			s.takeUp(stream, s.Now().Add(simPatience))
		default:
			s.count(stream, targets, false)
		}
	})
}

// count counts a stream that was taken up while two targets of its version serve.
func (s *simulation) count(stream *simStream, targets map[string]int, wentOn bool) {
	if targets[stream.version] < 2 {
		return
	}
	up, on := &s.takenUp, &s.wentOn
	if s.killedAll[stream] {
		up, on = &s.lostUp, &s.lostOn
	}
	*up++
	if wentOn {
		*on++
	}
}

// killAll kills all instances at once.
func (s *simulation) killAll(down time.Duration) {
	for stream := range s.live {
		s.killedAll[stream] = true
	}
	s.KillShare(1, down)
}

// rollOut replaces the targets of one version by those of another, one by one.
func rollOut(at, gap time.Duration, from, to string, before map[string]int, count int) []targetsAt {
	var out []targetsAt
	for i := range count {
		after := map[string]int{}
		for version, n := range before {
			after[version] = n
		}
		after[to] += i + 1
		if after[from] -= i + 1; after[from] <= 0 {
			delete(after, from)
		}
		out = append(out, targetsAt{at + time.Duration(i)*gap, after})
	}
	return out
}
