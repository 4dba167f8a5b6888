package bbcrash

import (
	"context"
	"fmt"
	"io"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/emulate"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// simulation is a fleet of trackers, and targets that crash.
type simulation struct {
	*bbemulate.Fleet
	store   Store
	nodes   []*simNode
	byNode  map[*bbemulate.Node]*simNode
	targets int64 // started so far
}

// simNode is one instance.
type simNode struct {
	*bbemulate.Node
	sim     *simulation
	tracker *Tracker
}

const (
	simLatency    = 5 * time.Millisecond
	simContact    = 4 * time.Second // after which a calm instance has to know what the fleet knows
	simCrashDelay = 5 * time.Millisecond
)

func newSimulation(n int, loss float64, seed uint64) *simulation {
	s := &simulation{store: bbstore.NewMem(), byNode: map[*bbemulate.Node]*simNode{}}
	s.Fleet = bbemulate.NewFleet(0, loss, seed, s.start)
	s.Latency = simLatency
	for range n {
		s.Add()
	}
	return s
}

// start starts an instance that knows nothing.
func (s *simulation) start(node *bbemulate.Node) {
	n := s.byNode[node]
	if n == nil {
		n = &simNode{Node: node, sim: s}
		s.nodes, s.byNode[node] = append(s.nodes, n), n
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	n.tracker = New(Config{
		Threshold: 2, Network: n, Store: s.store, StoreKey: "refused", Now: s.Now, Rand: s.Rand.IntN, Log: log, Metrics: metrics.NewRegistry(),
	})
	n.Every(tickInterval, func() { n.tracker.Tick() })
	n.Every(copyCheckInterval, func() { _ = n.tracker.syncCopy(context.Background()) })
}

// newRun starts a target.
func (s *simulation) newRun() TargetRun {
	s.targets++
	return TargetRun{ID: bbunit.TargetID(fmt.Sprintf("i-%08x", s.targets)), StartedAtMillis: 1e12 + s.targets}
}

// crashTarget ends a target with requests in flight since sentAt, at random
// instances.
func (s *simulation) crashTarget(run TargetRun, fingerprints []uint64, sentAt time.Time) {
	brokenAt := s.Now()
	for _, fingerprint := range fingerprints {
		if n := s.randomNode(); n != nil {
			s.After(simCrashDelay, func() {
				if n.Up {
					n.tracker.RecordCrash(Observation{Fingerprint: fingerprint, Run: run, SentAt: sentAt, BrokenAt: brokenAt})
				}
			})
		}
	}
}

// randomNode returns a random running instance, nil if there is none.
func (s *simulation) randomNode() *simNode { return s.byNode[s.RandomNode()] }
