package bbport

import (
	"context"
	"crypto/tls"
	stderrors "errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/juju/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/sourcegraph/conc"
	"github.com/sourcegraph/conc/pool"
	"go.opentelemetry.io/otel"

	"bluebellport.example/shared/bbcli"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbserve"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// Main runs the command that the arguments name, until it ends or a signal
// stops it, and returns the exit code. Both commands run an instance: serve
// with settings from flags and environment, native with those of the platform's
// settings file.
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &Options{}
	app := bbcli.New("bluebellport", "One instance of a fleet of routers for prepaid token budgets.", stdout, stderr)
	serve := app.Command("serve", "Take requests until told to stop.")
	for _, g := range opts.groups() {
		g.flags(serve)
	}
	native := app.Command("native", "Take requests on the platform, as its settings file says, until told to stop.")
	check := func() []string {
		if len(args) > 0 && args[0] == native.FullCommand() {
			return nil // Native checks the settings file when it reads it
		}
		return opts.Check()
	}
	command, code, ok := bbcli.Parse(app, args, stderr, check)
	if !ok {
		return code
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	run := func() error { return Serve(ctx, opts, stderr) }
	if command == native.FullCommand() {
		run = func() error { return Native(ctx, stdout) }
	}
	if err := run(); err != nil {
		fmt.Fprintf(stderr, "bluebellport: %s\n", err)
		return bbcli.ExitFailed
	}
	return bbcli.ExitOK
}

// Serve runs an instance until ctx ends, and then stops it without interrupting
// a request. Components share snapshots on the Board, and use each other
// through the interfaces in deps.go.
//
// The configuration and the live fleet come from outside. All components read
// them from the Board:
//
//	key-value service --change tickets--> Follower --State--> Board
//	list of instances --members---------> Peers -----View---> Board
//	other instances <--gossip, envelopes, streams--> Peers (the Bus)
//
// A request takes this way, from top to bottom:
//
//	caller
//	  |
//	Frontend -- client-chosen id --> forwarder --> home instance of the id
//	  |
//	  | no client-chosen id, home is this instance, or home does not answer
//	  |
//	runner
//	  |-- admit -------> Router          rate limits, queue, poisoned requests
//	  |-- reserve -----> BudgetManager <--> key-value service, other instances
//	  |-- claim, open -> Recorder <-------> key-value service, other instances
//	  |-- pick, retry -> Router
//	  |-- attempt -----> engineClient, plainClient <--> target
//	  |                    '-- Answer --> callers of all copies of the request
//	  |-- commit ------> BudgetManager
//	  '-- bill --------> Recorder <-------> key-value service, other instances
//
// Operators use another address. There, admin serves health, metrics and
// status, and passes orders to OrderManager, which stores them and sends them to the
// target.
func Serve(ctx context.Context, opts *Options, logs io.Writer) error {
	log, err := newLogger(opts, logs)
	if err != nil {
		return err
	}
	stopTracing, err := startTracing(opts)
	if err != nil {
		return err
	}
	defer stopTracing()
	deps := newDeps(opts, log)
	store, closeStore := bbstore.NewClient(opts.Self.StoreAddress, bbstore.ClientOptions{})
	defer closeStore()
	deps.Store = store

	// Other instances, the live fleet and the configuration.
	peers, closePeers, err := NewPeers(deps)
	if err != nil {
		return err
	}
	defer closePeers()
	deps.Bus = peers
	_, closeFollower := NewFollower(deps, peers)
	defer closeFollower()

	// What the steps of a request use.
	budgets, closeBudgets := NewBudgetManager(deps)
	defer closeBudgets()
	recorder, closeRecorder := NewRecorder(deps)
	defer closeRecorder()
	router, closeRouter := NewRouter(deps)
	defer closeRouter()
	peers.AddGossiper(router)

	// The path of a request, from its caller to a target.
	runner := newRunner(deps, router, budgets, recorder)
	defer runner.engineClient.conns.startSweep(deps.Board)()
	frontend := NewFrontend(deps, runner)
	frontend.forwarder = newForwarder(frontend, peers)
	frontend.runner.fetchFromOwner = frontend.forwarder.fetchAnswer

	// The operators' interface.
	adminServer := newAdmin(deps, frontend, map[string]func() any{
		"money":   func() any { return budgetStatusOrError(budgets.Status()) },
		"records": func() any { return recorder.Status() },
	})
	orders, closeOrders := NewOrderManager(deps)
	defer closeOrders()
	adminServer.sendOrder = orders.Order

	return serveUntilStopped(ctx, deps, frontend, adminServer, peers.Leave, func(ctx context.Context) error {
		return drainAll(ctx, budgets.Drain, recorder.Drain)
	})
}

// newDeps returns the dependencies that all components share, without Store and
// Bus.
func newDeps(opts *Options, log logrus.FieldLogger) Deps {
	self := bbmember.Member{ID: opts.Self.ID(), Inc: newIncarnation(), Domain: bbunit.DomainID(opts.Self.Domain), LinkMbps: opts.Self.LinkMbps}
	return Deps{
		Board:   NewBoard(self),
		Log:     log,
		Metrics: metrics.NewRegistry(),
		Opts:    opts,
		Now:     time.Now,
	}
}

// newRunner returns a runner for the requests of this instance. The owner of
// their claims is this incarnation of the instance.
func newRunner(deps Deps, router *Router, budgets BudgetReserver, journal Journal) *runner {
	self := deps.Board.View.Load().Self
	owner := fmt.Sprintf("%s/%x", self.ID, uint64(self.Inc))
	conns := &targetConns{log: deps.Log}
	var tasks conc.WaitGroup
	return &runner{
		deps:         deps,
		router:       router,
		budgets:      budgets,
		journal:      journal,
		engineClient: &engineClient{conns: conns, owner: owner, silenceTimeout: deps.Opts.Frontend.SilenceTimeout, runInBackground: tasks.Go},
		plainClient:  &plainClient{conns: conns, owner: owner, silenceTimeout: deps.Opts.Frontend.SilenceTimeout, lateWindow: deps.Opts.Frontend.LateAnswerTimeout},
		owner:        owner,
		tracer:       otel.Tracer("bluebellport"),
	}
}

// serveUntilStopped listens on the addresses for callers and operators, and
// serves until ctx ends or a listener fails. Then it announces that the
// instance leaves, and drains it for at most DrainTimeout: the frontend still
// accepts requests for LingerTime, then refuses new ones and lets the open ones
// end; after that, drain returns budget shares and submits outstanding records.
func serveUntilStopped(ctx context.Context, deps Deps, frontend *Frontend, adminServer *admin, announceLeave func(), drain func(context.Context) error) error {
	callerListener, err := listenForCallers(&deps.Opts.Frontend)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", deps.Opts.Frontend.AdminAddress)
	if err != nil {
		_ = callerListener.Close()
		return errors.Annotate(err, "--admin")
	}
	var wg conc.WaitGroup
	failed := make(chan error, 2)
	wg.Go(func() { failed <- frontend.app.Listener(callerListener) })
	wg.Go(func() { failed <- adminServer.app.Listener(adminListener) })
	deps.Log.WithFields(logrus.Fields{"event": "serving", "listen": callerListener.Addr().String(), "admin": adminListener.Addr().String()}).Info("serving")
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	deps.Board.Leaving.Store(true)
	announceLeave()
	deps.Log.WithField("event", "leaving").Info("leaving")
	drainCtx, cancel := context.WithTimeout(context.Background(), deps.Opts.Frontend.DrainTimeout)
	defer cancel()
	frontend.drain(drainCtx)
	if drainErr := drain(drainCtx); drainErr != nil {
		deps.Log.WithField("event", "drain").WithError(drainErr).Error("not all was handed back")
		err = stderrors.Join(err, drainErr)
	}
	_ = bbserve.Stop(frontend.app, callerListener, time.Second)
	_ = bbserve.Stop(adminServer.app, adminListener, time.Second)
	wg.Wait()
	deps.Log.WithField("event", "stopped").Info("stopped")
	return errors.Trace(err)
}

// listenForCallers listens on the address for callers, with TLS if the settings
// name a certificate.
func listenForCallers(opts *FrontendOptions) (net.Listener, error) {
	ln, err := net.Listen("tcp", opts.CallerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "--listen")
	}
	if opts.Cert == "" {
		return ln, nil
	}
	cert, err := tls.LoadX509KeyPair(opts.Cert, opts.Key)
	if err != nil {
		_ = ln.Close()
		return nil, errors.Annotate(err, "--tls-cert, --tls-key")
	}
	return tls.NewListener(ln, &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS12}), nil
}

// drainAll runs the drain functions concurrently and joins their errors.
func drainAll(ctx context.Context, drains ...func(context.Context) error) error {
	p := pool.New().WithErrors()
	for _, d := range drains {
		p.Go(func() error { return d(ctx) })
	}
	return p.Wait()
}

// budgetStatusOrError returns the status of a BudgetManager, or its error, as a
// value for JSON.
func budgetStatusOrError(s BudgetManagerStatus, err error) any {
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return s
}
