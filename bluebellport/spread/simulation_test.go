package bbspread

import (
	"bytes"
	"flag"
	"fmt"
	"io"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/bluebellport/emulate"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

var (
	simSeeds = flag.Uint64("spread-seeds", 1, "seeds of each simulated fleet")
	simLarge = flag.Bool("spread-large", false, "simulate fleets of 300 instances, too")
)

const (
	// simBound is within which time a version has to be in force everywhere, simCalmBound
	// the same where no reader of the store has trouble.
	simBound     = 3 * time.Second
	simCalmBound = simBound / 2
	// simContact is how long an instance has run and not been cut off to be in touch.
	simContact = 4 * time.Second
	simProbe   = 10 * time.Millisecond
	// simRate is the link of a small instance, in bytes a second.
	simRate = 10e6 / 8
	// simReadWindow is how much of an answer of the store is on its way at a time, in
	// bytes.
	simReadWindow = 32 << 10
	// simParse is how long an instance parses a megabyte.
	simParse = 200 * time.Millisecond
	// simSilence is when another instance reads the store after its domain's watcher has
	// ended.
	simSilence = 1300 * time.Millisecond
)

// simulation is a fleet of spreaders, and the store whose value they spread.
type simulation struct {
	*bbemulate.Fleet
	t         *testing.T
	nodes     map[*bbemulate.Node]*simNode
	versions  []Version
	writtenAt []time.Time
	seed      uint64
	log       *logrus.Logger
	routes    [][]byte
	number    *rand.Rand
	slowest   time.Duration // of all versions
	bound     time.Duration // of slowest
	reads     int
	spoil     bool // messages are doubled or changed
}

// spoiling is a network that doubles some messages with pieces and changes others.
type spoiling struct {
	*bbemulate.Node
	s *simulation
}

// Send sends a message, or another one, or twice.
func (n spoiling) Send(to bbunit.InstanceID, e *bbwire.Envelope) error {
	if msg := e.GetSpread(); n.s.spoil && msg.GetKind() == bbwire.Spread_TELL && len(msg.GetPiece()) > 0 {
		other := proto.CloneOf(msg)
		switch n.s.number.IntN(40) {
		case 0:
			other.Piece[n.s.number.IntN(len(other.Piece))]++
		case 1:
			other.Offset += pieceBytes
		case 2:
			other.Digest = other.Packed
		case 3:
			other.Size--
		case 4:
			other.Revision++
		case 5:
			_ = n.Node.Send(to, e)
		}
		e = &bbwire.Envelope{Body: &bbwire.Envelope_Spread{Spread: other}}
	}
	return n.Node.Send(to, e)
}

// simNode is what one run of an instance has.
type simNode struct {
	spreader *Spreader
	seen     bbstore.Revision
	watching bool // a watch of the store has returned something
	stopped  bool // the watch
}

func newSimulation(t *testing.T, instances, routes int, loss float64, seed uint64) *simulation {
	s := &simulation{t: t, nodes: map[*bbemulate.Node]*simNode{}, log: logrus.New(), seed: seed, number: rand.New(rand.NewPCG(seed, 1)), bound: simBound}
	s.log.SetOutput(io.Discard)
	s.addRoutes(routes)
	s.versions, s.writtenAt = append(s.versions, s.version()), append(s.writtenAt, time.Unix(1e9, 0))
	s.Fleet = bbemulate.NewFleet(instances, loss, seed, s.start)
	for i, n := range s.Nodes {
		n.LinkRate = simRate
		if i%7 == 3 {
			n.LinkRate *= 20
		}
		n.Member.LinkMbps = uint32(n.LinkRate * 8 / 1e6)
	}
	return s
}

// start starts an instance. One that joins the fleet at its begin has the first version.
func (s *simulation) start(n *bbemulate.Node) {
	node := &simNode{}
	now := func() time.Time {
		if s.Fleet == nil {
			return time.Unix(1e9, 0)
		}
		return s.Now()
	}
	node.spreader = New(Config{
		Network: spoiling{n, s}, Now: now, Rand: func(k int) int { return s.number.IntN(k) }, Log: s.log, Metrics: metrics.NewRegistry(), LinkRate: simRate,
		Go:        func(fn func()) { s.After(time.Millisecond, fn) },
		Apply:     func(v Version) { s.apply(n, node, v) },
		Seen:      func() bbstore.Revision { return node.seen },
		Read:      func() { s.read(n, func() bool { return false }, func() {}) },
		StopWatch: func() { node.stopped = true },
	})
	node.spreader.Listen()
	s.nodes[n] = node
	if s.Fleet == nil {
		node.seen = 1
		node.spreader.Hold(s.versions[0])
	} else {
		s.After(20*time.Millisecond, func() { node.spreader.Hear(s.RandomNode().Member.ID, s.versions[len(s.versions)-1].Rev) })
	}
	n.Every(tickInterval, func() { node.spreader.Tick() })
	n.Every(time.Second, func() {
		s.tell(n, n.View().RandomOthers(1, s.number.IntN))
		if s.watches(n) {
			s.tell(n, domain(n))
		}
	})
}

// watches reports whether an instance is the one of its failure domain that watches the
// store.
func (s *simulation) watches(n *bbemulate.Node) bool {
	for _, m := range n.View().RankByLink("watch", n.Member.Domain, len(s.Nodes)) {
		if other := s.ByID(m.ID); other.Up {
			return other == n
		}
	}
	return false
}

// tell tells other instances which revision one has, as the relay does: the watcher its
// domain, each other one a random instance now and then.
func (s *simulation) tell(n *bbemulate.Node, to []bbunit.InstanceID) {
	for _, id := range to {
		msg := &bbwire.Spread{Kind: bbwire.Spread_NEWS, Revision: int64(s.nodes[n].spreader.held.Rev)}
		_ = n.Send(id, &bbwire.Envelope{Body: &bbwire.Envelope_Spread{Spread: msg}})
	}
}

// domain returns the members of an instance's failure domain that it knows.
func domain(n *bbemulate.Node) []bbunit.InstanceID {
	var ids []bbunit.InstanceID
	for _, m := range n.View().Members {
		if m.Domain == n.Member.Domain && m.ID != n.Member.ID {
			ids = append(ids, m.ID)
		}
	}
	return ids
}

// apply checks a version that has arrived and puts it in force once it is parsed.
func (s *simulation) apply(n *bbemulate.Node, node *simNode, v Version) {
	if int(v.Rev) > len(s.versions) || !bytes.Equal(v.Text, s.versions[v.Rev-1].Text) {
		s.t.Fatalf("seed %d: %s got another text of revision %d", s.seed, n.Member.ID, v.Rev)
	}
	if v.Rev <= node.seen {
		return
	}
	node.seen = v.Rev
	inc := n.Member.Inc
	s.After(time.Duration(float64(len(v.Text))/1e6*float64(simParse)), func() {
		if n.Member.Inc == inc {
			node.spreader.Hold(v)
			if s.watches(n) {
				s.tell(n, domain(n))
			}
		}
	})
}

// read reads the store over the instance's link, in parts, until stopped says so; what is
// on its way then still passes the link. It calls done at the end.
func (s *simulation) read(n *bbemulate.Node, stopped func() bool, done func()) {
	s.reads++
	node, v := s.nodes[n], s.versions[len(s.versions)-1]
	var next func(left int)
	next = func(left int) {
		n.Receive(min(left, simReadWindow), func() {
			switch {
			case !n.Up || n.Cut || s.nodes[n] != node:
			case stopped():
				done()
			case left > simReadWindow:
				next(left - simReadWindow)
			default:
				s.apply(n, node, v)
				done()
			}
		})
	}
	next(len(v.Text) * 4 / 3)
}

// watch reads a version that the instance does not have as its watch of the store
// returns it. One watch is under way at a time; one that was stopped goes on once peers
// have sent what they have.
func (s *simulation) watch(n *bbemulate.Node) {
	node := s.nodes[n]
	if node.watching || node.seen >= bbstore.Revision(len(s.versions)) {
		return
	}
	node.watching, node.stopped = true, false
	s.read(n, func() bool { return node.stopped }, func() {
		s.whenFetched(node, time.Second, func() {
			node.watching = false
			if n.Up && s.nodes[n] == node {
				s.watch(n)
			}
		})
	})
}

// whenFetched calls fn once the instance awaits nothing from peers, or after a time.
func (s *simulation) whenFetched(node *simNode, within time.Duration, fn func()) {
	if !node.stopped || !node.spreader.fetch.begun() || within <= 0 {
		fn()
		return
	}
	s.After(simProbe, func() { s.whenFetched(node, within-simProbe, fn) })
}

func (s *simulation) addRoutes(count int) {
	for range count {
		s.routes = append(s.routes, fmt.Appendf(nil, `{"name":"r-%08x","host":"h%06x.example","path-prefix":"/%08x/","kind":"streaming","service":"llm","timeout-ms":10000,"target-latency-ms":600,"max-attempts":2}`,
			s.number.Uint32(), s.number.Uint32N(1<<24), s.number.Uint32()))
	}
}

// version returns the text of the next version.
func (s *simulation) version() Version {
	text := fmt.Appendf(nil, `{"version":%d,"routes":[`, len(s.versions)+1)
	text = append(append(text, bytes.Join(s.routes, []byte{','})...), "]}"...)
	return Version{Rev: bbstore.Revision(len(s.versions) + 1), Text: text}
}

// write writes the next version. The watcher of each failure domain reads it; if that
// ends meanwhile, the next instance does.
func (s *simulation) write() {
	s.versions, s.writtenAt = append(s.versions, s.version()), append(s.writtenAt, s.Now())
	rev := bbstore.Revision(len(s.versions))
	readers := map[bbunit.DomainID]bool{}
	for _, n := range s.Nodes {
		if n.Up && s.watches(n) {
			readers[n.Member.Domain] = true
			s.watch(n)
		}
	}
	s.After(simSilence, func() {
		for _, n := range s.Nodes {
			if n.Up && readers[n.Member.Domain] && s.nodes[n].seen < rev && !s.domainHas(n.Member.Domain, rev) {
				delete(readers, n.Member.Domain)
				s.watch(n)
			}
		}
	})
}

func (s *simulation) domainHas(domain bbunit.DomainID, rev bbstore.Revision) bool {
	for _, n := range s.Nodes {
		if n.Up && n.Member.Domain == domain && s.nodes[n].seen >= rev {
			return true
		}
	}
	return false
}

// check runs the fleet for a time. It fails for an instance in touch that has an older
// version than it should.
func (s *simulation) check(d time.Duration) {
	for end := s.Now().Add(d); s.Now().Before(end); s.Run(simProbe) {
		for i, at := range s.writtenAt {
			age := s.Now().Sub(at)
			if i == 0 || age > 2*simBound {
				continue
			}
			for _, n := range s.Nodes {
				if !n.InTouch(simContact) || s.nodes[n].spreader.held.Rev > bbstore.Revision(i) {
					continue
				}
				s.slowest = max(s.slowest, age)
				if age > s.bound {
					s.t.Fatalf("seed %d: %s has revision %d %s after revision %d was written", s.seed, n.Member.ID, s.nodes[n].spreader.held.Rev, age, i+1)
				}
			}
		}
	}
}
