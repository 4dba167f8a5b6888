package bbproxy

import (
	"context"
	"net"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/reach"
)

// targetDialer opens a connection to a target over this instance's own path.
type targetDialer func(ctx context.Context, address string) (net.Conn, error)

// dialTCP opens a TCP connection.
func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount}}
	return d.DialContext(ctx, "tcp4", address)
}

// Errors of ways that were not tried.
const (
	// errNoCarrier means that there is no peer that could carry a connection.
	errNoCarrier = errors.ConstError("no peer can carry the connection")
	// errStrained means that peers were not asked, as this instance's own link or processor
	// is used up, or others are being asked.
	errStrained = errors.ConstError("peers are not asked now")
)

// targetWays connects to targets: over this instance's own path, or through a peer where
// that is lost.
type targetWays struct {
	dialOwn  targetDialer
	peers    PeerNetwork
	board    *Board
	meter    *trafficMeter
	now      func() time.Time
	log      logrus.FieldLogger
	tracker  bbreach.Tracker
	carriers bbreach.Carriers
	pulse    bbreach.Pulse
	// comparing holds a token for each question to peers while the own path is not known
	// to be lost.
	comparing chan struct{}
	// asked counts the connections that peers were asked for, carried those that they
	// carried, looks the connections that were opened to look at a path.
	asked, carried, looks metrics.Counter
}

// newTargetWays returns the ways to the targets that a board has.
func newTargetWays(dialOwn targetDialer, peers PeerNetwork, board *Board, meter *trafficMeter, now func() time.Time, log logrus.FieldLogger, registry metrics.Registry) *targetWays {
	w := &targetWays{
		dialOwn: dialOwn, peers: peers, board: board, meter: meter, now: now, log: log, comparing: make(chan struct{}, maxComparing),
		asked: metrics.GetOrRegisterCounter("door.carry.asked", registry), carried: metrics.GetOrRegisterCounter("door.carry.used", registry), looks: metrics.GetOrRegisterCounter("door.reach.looks", registry),
	}
	metrics.NewRegisteredFunctionalGauge("door.reach.lost", registry, func() int64 { return int64(w.tracker.Lost()) })
	metrics.NewRegisteredFunctionalGauge("door.reach.cut", registry, func() int64 {
		if w.tracker.IsCut() {
			return 1
		}
		return 0
	})
	return w
}

// usesPeer reports whether new connections to an address go through a peer.
func (w *targetWays) usesPeer(address string) bool { return w.tracker.UsesPeer(address) }

// heard records that something came from an address over the own path.
func (w *targetWays) heard(address string) { w.tracker.Heard(address, w.now()) }

// sent records that a request was sent over the own path, which may go without an answer
// for patience.
func (w *targetWays) sent(address string, patience time.Duration) {
	w.tracker.Sent(address, patience, w.now())
}

// connect opens a connection to an address, and reports whether a peer carries it. It
// blocks until ctx ends, for connectTimeout at most.
func (w *targetWays) connect(ctx context.Context, address string) (conn net.Conn, carried bool, err error) {
	limit := defaultCarryTime
	if deadline, ok := ctx.Deadline(); ok {
		limit = time.Until(deadline) + carryMargin
	}
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	if w.usesPeer(address) {
		conn, err = w.askPeers(ctx, address, limit)
		return conn, true, err
	}
	own := make(chan dialed, 1)
	go func() { own <- w.dial(address) }()
	head := time.NewTimer(carryDelay)
	defer head.Stop()
	select {
	case d := <-own:
		return w.afterOwn(ctx, address, d, limit)
	case <-head.C:
		return w.race(ctx, address, own, limit)
	case <-ctx.Done():
		go w.settle(address, own)
		return nil, false, ctx.Err()
	}
}

// dialed is the result of opening a connection.
type dialed struct {
	conn net.Conn
	err  error
}

// dial opens a connection over the own path, however soon its request ends: what it shows
// of the path counts.
func (w *targetWays) dial(address string) dialed {
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	conn, err := w.dialOwn(ctx, address)
	if err != nil {
		return dialed{err: err}
	}
	return dialed{conn: w.meter.count(conn)}
}

// afterOwn returns the connection of an own dial that has ended soon. If it failed, it asks
// peers: a path can be refused, too.
func (w *targetWays) afterOwn(ctx context.Context, address string, d dialed, limit time.Duration) (net.Conn, bool, error) {
	if d.err == nil {
		w.looked(address, true, false)
		return d.conn, false, nil
	}
	conn, err := w.tryPeers(ctx, address, limit)
	w.compared(address, d.err, err)
	if err != nil {
		return nil, false, d.err
	}
	return conn, true, nil
}

// race asks peers while an own dial is under way, and returns the first connection.
func (w *targetWays) race(ctx context.Context, address string, own <-chan dialed, limit time.Duration) (net.Conn, bool, error) {
	peer := make(chan dialed, 1)
	go func() {
		conn, err := w.tryPeers(ctx, address, limit)
		peer <- dialed{conn, err}
	}()
	select {
	case d := <-own:
		if d.err == nil {
			w.looked(address, true, false)
			go closeDialed(peer)
			return d.conn, false, nil
		}
		other := <-peer
		w.compared(address, d.err, other.err)
		if other.err != nil {
			return nil, false, d.err
		}
		return other.conn, true, nil
	case d := <-peer:
		if d.err == nil {
			go func() {
				o := <-own
				if o.err == nil {
					w.looked(address, true, false)
				} else {
					w.compared(address, o.err, nil)
				}
				closeConn(o.conn)
			}()
			return d.conn, true, nil
		}
		return w.awaitOwn(ctx, address, own, d.err)
	case <-ctx.Done():
		go closeDialed(peer)
		go w.settle(address, own)
		return nil, false, ctx.Err()
	}
}

// awaitOwn returns the connection of an own dial after peers have failed, for a reason.
func (w *targetWays) awaitOwn(ctx context.Context, address string, own <-chan dialed, peerErr error) (net.Conn, bool, error) {
	select {
	case d := <-own:
		if d.err == nil {
			w.looked(address, true, false)
		} else {
			w.compared(address, d.err, peerErr)
		}
		return d.conn, false, d.err
	case <-ctx.Done():
		go w.settle(address, own)
		return nil, false, ctx.Err()
	}
}

// settle takes note of an own dial that its request does not wait for any more.
func (w *targetWays) settle(address string, own <-chan dialed) {
	if d := <-own; d.err == nil {
		w.looked(address, true, false)
		closeConn(d.conn)
	}
}

func closeDialed(c <-chan dialed) { closeConn((<-c).conn) }

// closeConn closes a connection that may be nil.
func closeConn(conn net.Conn) {
	if conn != nil {
		_ = conn.Close()
	}
}
