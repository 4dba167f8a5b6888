package bbproxy

import (
	"context"
	"net"
	"slices"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
	"golang.org/x/sys/unix"

	bbpressure "bluebellport.example/bluebellport/pressure"
	"bluebellport.example/shared/bbclock"
)

// wideBuffer is the receive buffer of a connection whose window is not limited any more, in
// bytes. The system no longer chooses it by itself then; 10 Mbit/s need less.
const wideBuffer = 256 << 10

// minIdleToClose is for how long a connection has waited for a request that is closed for want
// of descriptors.
const minIdleToClose = time.Second

// crowdedTeller is the part of a PeerNetwork that tells the failure domain that this instance
// is short of a resource.
type crowdedTeller interface{ SetCrowded(crowded bool) }

// pressureMonitor samples what the instance uses and publishes on the board what follows.
type pressureMonitor struct {
	proxy    *Proxy
	peers    PeerNetwork
	listener net.Listener // for clients
	usage    processUsage
	decide   *bbpressure.Monitor

	in, out, bodies int64 // bytes at the last sample
	last            time.Time
	short           bbpressure.Resources
	notReady        bool
}

func newPressureMonitor(p *Proxy, peers PeerNetwork, listener net.Listener) *pressureMonitor {
	return &pressureMonitor{
		proxy: p, peers: peers, listener: listener, decide: bbpressure.NewMonitor(p.settings.LinkRate()), last: p.now(),
		usage: processUsage{maxDescriptors: p.settings.MaxFileDescriptors, memoryMB: p.settings.MemoryMB, held: p.heldPart},
	}
}

// run samples until ctx ends.
func (m *pressureMonitor) run(ctx context.Context) {
	for ctx.Err() == nil {
		begun := m.proxy.now()
		bbclock.Wait(ctx, bbpressure.CheckInterval)
		now := m.proxy.now()
		m.apply(m.decide.Update(m.sample(now.Sub(begun)-bbpressure.CheckInterval, now), now))
	}
}

// sample returns what has been used since the last one. Late is by how much its timer was.
func (m *pressureMonitor) sample(late time.Duration, now time.Time) bbpressure.Sample {
	t := &m.proxy.traffic
	in, out, bodies := t.in.Load(), t.out.Load(), t.bodies.Load()
	s := bbpressure.Sample{In: in - m.in, Out: out - m.out, Bodies: bodies - m.bodies, Elapsed: now.Sub(m.last), Late: max(late, 0)}
	m.in, m.out, m.bodies, m.last = in, out, bodies, now
	s.Descriptors, s.Memory = m.usage.parts(now)
	m.proxy.mu.Lock()
	s.Conns = len(m.proxy.conns)
	m.proxy.mu.Unlock()
	s.Domain = bbpressure.DomainOf(m.peers.View())
	return s
}

// apply publishes a state, and logs what has changed.
func (m *pressureMonitor) apply(state bbpressure.State) {
	board := m.proxy.board
	if state.Short == 0 && !state.NotReady {
		board.Pressure.Store(nil)
	} else {
		board.Pressure.Store(bbpressure.NewIntake(state, board.Pressure.Load()))
	}
	board.LinkSaturated.Store(state.Short.Has(bbpressure.LinkIn | bbpressure.LinkOut))
	m.proxy.metrics.pressure.record(state)
	if state.CloseIdle > 0 {
		m.proxy.closeLongestIdle(state.CloseIdle)
	}
	if state.Short == m.short && state.NotReady == m.notReady {
		return
	}
	if narrow := state.Short.Has(bbpressure.LinkIn); narrow != m.short.Has(bbpressure.LinkIn) {
		setWindow(m.listener, narrow)
	}
	crowded := state.Short != 0
	if teller, ok := m.peers.(crowdedTeller); ok && crowded != (m.short != 0) {
		teller.SetCrowded(crowded)
	}
	m.short, m.notReady = state.Short, state.NotReady
	m.proxy.log.WithFields(logrus.Fields{
		"event": "crowded", "crowded": crowded, "short": state.Short.String(), "ready": !state.NotReady, "limit": int64(m.proxy.settings.LinkRate()),
		"give-back": state.GiveBack, "after": state.RetryAfter.Seconds(),
	}).Info("shortage of this instance changed")
}

// setWindow limits how much a client may send over a connection, or the connections of a
// listener, before it is read, or ends that. Connections that are open already keep what they
// were told.
func setWindow(of any, small bool) {
	conn, ok := of.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := conn.SyscallConn()
	if err != nil {
		return
	}
	size := wideBuffer
	if small {
		size = bbpressure.SmallWindow
	}
	_ = raw.Control(func(fd uintptr) {
		// TCP_WINDOW_CLAMP does not limit the first window on all systems. If this fails, the
		// window stays wide, which only costs link.
		_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, size)
	})
}

// closeLongestIdle closes the connections that have waited longest for a request, as at the end
// of the idle timeout, up to n.
func (p *Proxy) closeLongestIdle(n int) {
	type waiting struct {
		conn  *clientConn
		since time.Time
	}
	var idle []waiting
	before := time.Now().Add(-minIdleToClose)
	p.forEachConn(func(c *clientConn) {
		if since, ok := c.waitingSince(); ok && since.Before(before) {
			idle = append(idle, waiting{c, since})
		}
	})
	slices.SortFunc(idle, func(a, b waiting) int { return a.since.Compare(b.since) })
	for _, w := range idle[:min(n, len(idle))] {
		w.conn.closeIfIdle()
		p.metrics.pressure.idleClosed.Inc(1)
	}
}

// heldPart returns how much of the memory for bodies is in use, of the budget that is used most.
func (p *Proxy) heldPart() float64 {
	return max(p.requestMemory.part(), p.responseMemory.part())
}
