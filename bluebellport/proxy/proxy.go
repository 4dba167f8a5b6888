package bbproxy

import (
	"bufio"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/panics"

	"bluebellport.example/bluebellport/crash"
	"bluebellport.example/bluebellport/leave"
	"bluebellport.example/bluebellport/limit"
	"bluebellport.example/bluebellport/stop"
	"bluebellport.example/bluebellport/version"
	"bluebellport.example/platform"
	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbunit"
)

// Proxy reads clients' requests, forwards each to a target of its service and
// returns the response. Its controllers publish what they know on the Board,
// where requests read it:
//
//	platform's store --> follower --> [ Board: plan, targets ] --------> exchange
//	       ^                                                               |
//	       +------ shareController: compare-and-swap <----- reserve -------+
//	                                                                       |
//	client --> clientConn --> admit --> reserve --> choose --> attempt --> target
//	   ^                                                          |
//	   +------------- response, stream or refusal <---------------+
type Proxy struct {
	settings bbplatform.Settings
	domain   bbunit.DomainID
	board    *Board
	log      logrus.FieldLogger
	shares   *shareController
	ways     *targetWays
	prefills *prefillNotifier
	speeds   *speedKeeper
	hints    *hintReader
	unnamed  unnamedRefusals
	notices  *noticeReader

	limits       bblimit.Limits
	cold         *coldTargets // nil without a bound in the settings
	leaving      *bbleave.Keeper
	versions     *bbversion.Keeper
	crashes      *bbcrash.Tracker
	crashWatch   *crashWatch
	moneyless    moneyless
	retryBudgets sync.Map // bbunit.ServiceID -> *bbroute.RetryBudget

	// requestMemory and responseMemory bound the bodies that are held.
	requestMemory, responseMemory *memoryBudget

	traffic   trafficMeter
	metrics   *proxyMetrics
	startedAt time.Time
	closing   atomic.Bool // set once idle client connections are to be closed
	// versionsKnown is set once this instance can begin streams of all services.
	versionsKnown atomic.Bool
	stop          bbstop.Stop
	pulse         bbstop.Pulse
	stopLines     lineBudget
	durations     sync.Map   // bbplan.RouteID -> *bbstop.Durations
	mu            sync.Mutex // guards conns
	conns         map[*clientConn]bool
	openConns     sync.WaitGroup
}

// Serve runs a proxy until ctx ends, then drains it: requests in flight have
// until the end of the grace period. It registers its metrics in registry.
func Serve(ctx context.Context, settings bbplatform.Settings, peers PeerNetwork, registry metrics.Registry, log logrus.FieldLogger) error {
	return serve(ctx, settings, peers, registry, log, dialTCP)
}

// serve is Serve with a dialer for this instance's own path to targets.
func serve(ctx context.Context, settings bbplatform.Settings, peers PeerNetwork, registry metrics.Registry, log logrus.FieldLogger, dial targetDialer) error {
	p := &Proxy{settings: settings, domain: settings.Domain, board: &Board{}, log: log, metrics: newProxyMetrics(registry), startedAt: time.Now(), conns: map[*clientConn]bool{}}
	p.requestMemory = newMemoryBudget(settings.MemoryMB, requestMemoryDivisor)
	p.responseMemory = newMemoryBudget(settings.MemoryMB, responseMemoryDivisor)
	p.board.Instances.Store(defaultInstances)
	p.ways = newTargetWays(dial, peers, p.board, &p.traffic, p.now, log, registry)
	clientListener, err := net.Listen("tcp4", settings.FrontendAddress)
	if err != nil {
		return errors.Annotate(err, "listen for clients")
	}
	readyListener, err := net.Listen("tcp4", settings.ReadinessAddress)
	if err != nil {
		_ = clientListener.Close()
		return errors.Annotate(err, "listen for readiness checks")
	}
	store, closeStore := bbplatform.NewStore(settings.StoreAddress, settings.LinkRate())
	defer closeStore()
	p.metrics.registerCalls(store.Calls)
	p.shares = newShareController(store, p.board, log, p.now, bbshare.NewHolderID(settings.Instance, bbunit.InstanceID(settings.PeerAddress), newIncarnation()))

	background, stopBackground := context.WithCancel(context.Background())
	var wg conc.WaitGroup
	p.startControllers(background, &wg, store, peers)
	wg.Go(func() { p.acceptConns(clientListener) })
	wg.Go(func() { p.serveReady(readyListener) })
	wg.Go(func() { newPressureMonitor(p, peers, clientListener).run(background) })
	log.WithFields(logrus.Fields{"event": "start", "listen": settings.FrontendAddress, "domain": settings.Domain}).Info("serving")

	<-ctx.Done()
	noticedAt := p.now()
	times := bbstop.NewTimes(p.pulse.OrderedAt(noticedAt, settings.GracePeriod), settings.GracePeriod)
	times.NoticedAt(noticedAt)
	p.drain(clientListener, times)
	p.shares.handOver(times.SharesUntil(p.now()))
	stopBackground()
	_ = readyListener.Close()
	_ = clientListener.Close()
	p.exit(times, wg.Wait)
	return nil
}

// startControllers starts the goroutines that follow the store, exchange
// messages with peers and write shares. They end with ctx.
func (p *Proxy) startControllers(ctx context.Context, wg *conc.WaitGroup, store *bbplatform.Store, peers PeerNetwork) {
	f := newFollower(store, p.board, p.log, p.now, p.ways)
	f.invalidEntries = p.metrics.invalidEntries
	f.evacuations = newEvacuations(p.board, p.log, p.metrics.registry)
	observeStore(store, f.path)
	p.metrics.registerStorePath(f.path.LostWaits, f.looksBeside.Load, f.overtaken.Load)
	p.shares.loans = newPeerLoans(p.shares, peers)
	p.shares.loans.register(p.metrics.registry)
	p.prefills = newPrefillNotifier(peers, p.board, p.now)
	p.speeds = newSpeedKeeper(peers, p.board, p.now, p.log, p.metrics.registry)
	p.crashes = bbcrash.New(bbcrash.Config{
		Threshold: crashThreshold, Network: peers, Store: store, StoreKey: refusedKey, Era: store.Era, Now: p.now, Log: p.log, Metrics: p.metrics.registry,
	})
	instances := func() int { return int(p.board.Instances.Load()) }
	p.limits = bblimit.Limits{Keeper: bblimit.New(bblimit.Config{Network: peers, Now: p.now, Listed: instances, Log: p.log, Metrics: p.metrics.registry})}
	p.cold = newColdTargets(&p.settings, p.limits, instances, p.now, p.log, p.metrics.registry)
	f.cold, p.board.onReturned = p.cold, p.cold.returned
	p.hints = newHintReader(p.limits, p.log, p.metrics.registry)
	p.leaving = bbleave.New(bbleave.Config{Network: peers, Now: p.now, IsListed: p.board.hasTarget, Log: p.log, Metrics: p.metrics.registry})
	p.notices = newNoticeReader(p.leaving, p.log, p.metrics.registry)
	p.crashWatch = newCrashWatch(p.board, p.now, p.log, p.crashes.RecordCrash)
	p.crashWatch.look = p.lookAt
	p.crashWatch.answered = func(o bbcrash.Observation) { p.crashes.RecordAnswer(o.Fingerprint, o.Parts, o.SentAt) }
	f.onTargetEnded, f.onTargetLeaving = p.crashWatch.targetEnded, p.leaving.HearEntry
	f.onTargetStarted = func(target bbplan.Target) { p.hints.targetStarted(target, p.now()) }
	spreader := newSpreader(ctx, f, peers, p.settings.LinkRate(), p.metrics.registry)
	p.metrics.registerPlan(p.board, p.now, f.unconfirmed)
	r := newRelay(peers, f, spreader) // takes messages from here on
	p.versions = bbversion.New(bbversion.Config{
		Network: peers, Store: store, StoreKey: splitKey, LogPrefix: streamLogPrefix, Now: p.now, Slots: p.slotsByVersion, IsWatcher: r.isWatcher, Log: p.log, Metrics: p.metrics.registry,
	})
	registry := newInstanceRegistry(store, peers, p.board, p.log, p.settings, r.isWatcher)
	registry.path = f.path
	p.serveCarried(peers, p.metrics.registry)
	wg.Go(func() { f.followPlan(ctx) })
	wg.Go(func() { f.lookBeside(ctx) })
	wg.Go(func() { f.followTargets(ctx) })
	wg.Go(func() { r.run(ctx) })
	wg.Go(func() { spreader.Run(ctx) })
	wg.Go(func() { p.ways.run(ctx) })
	wg.Go(func() { p.beat(ctx) })
	wg.Go(func() { p.crashes.Run(ctx) })
	wg.Go(func() { p.limits.Run(ctx) })
	wg.Go(func() { p.cold.run(ctx) })
	wg.Go(func() { p.speeds.run(ctx) })
	wg.Go(func() { p.leaving.Run(ctx) })
	wg.Go(func() { p.versions.Run(ctx) })
	wg.Go(func() { registry.keepRegistered(ctx) })
	wg.Go(func() { registry.watchInstances(ctx) })
	wg.Go(func() {
		p.shares.readAll(ctx)
		p.shares.run(ctx)
	})
}

// now returns the time of a monotonic clock: a change of the system time does
// not affect it.
func (p *Proxy) now() time.Time { return p.startedAt.Add(time.Since(p.startedAt)) }

// acceptConns accepts and serves client connections until the listener is
// closed.
func (p *Proxy) acceptConns(ln net.Listener) {
	p.openConns.Add(1) // so that drain waits for a connection that is just accepted
	defer p.openConns.Done()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.log.WithError(err).Warn("accept failed; trying again")
			time.Sleep(minStoreBackoff)
			continue
		}
		counted := p.traffic.count(conn)
		client := &clientConn{Conn: counted, socket: conn, br: bufio.NewReaderSize(counted, bufferSize), proxy: p}
		p.mu.Lock()
		p.conns[client] = true
		p.mu.Unlock()
		p.openConns.Add(1)
		go func() {
			defer p.openConns.Done()
			if panicked := panics.Try(client.serve); panicked != nil {
				_ = client.Close()
				p.log.WithField("event", "panic").Error(panicked.String())
			}
			p.mu.Lock()
			delete(p.conns, client)
			p.mu.Unlock()
		}()
	}
}
