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

// Main runs the program with the arguments and returns its exit code.
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
			return nil // the settings file is checked when it is read
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

// Serve runs an instance until ctx ends, and then stops it without cutting a
// request. The parts know only the board and the interfaces in parts.go:
//
//	                 platform: key-value service, list of instances
//	                    |            |              |
//	                Follower       Peers        Treasury, Recorder
//	                    | State      | View         | shares, records
//	                    v            v              v
//	                 [ Board ] <-----+---- Bus ---- peers
//	                    |
//	caller -> Front -> runner: Admit -> Reserve -> Claim/Open -> attempts -> Bill
//	   ^                                                           |
//	   +---------------- Answer <---------- engines, plains <------+--> target
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

	peers, closePeers, err := NewPeers(deps)
	if err != nil {
		return err
	}
	defer closePeers()
	deps.Bus = peers
	_, closeFollower := NewFollower(deps, peers)
	defer closeFollower()
	budgets, closeBudgets := NewBudgetManager(deps)
	defer closeBudgets()
	recorder, closeRecorder := NewRecorder(deps)
	defer closeRecorder()
	router, closeRouter := NewRouter(deps)
	defer closeRouter()
	peers.AddGossiper(router)

	runner := newRunner(deps, router, budgets, recorder)
	defer runner.engineClient.conns.startSweep(deps.Board)()
	frontend := NewFrontend(deps, runner)
	frontend.forwarder = newForwarder(frontend, peers)
	frontend.runner.fetchFromOwner = frontend.forwarder.fetchAnswer
	adminServer := newAdmin(deps, frontend, map[string]func() any{
		"money":   func() any { return budgetStatusOrError(budgets.Status()) },
		"records": func() any { return recorder.Status() },
	})
	orders, closeOrders := NewOrders(deps)
	defer closeOrders()
	adminServer.sendOrder = orders.Order
	return serveUntilStopped(ctx, deps, frontend, adminServer, peers.Leave, func(ctx context.Context) error {
		return drainAll(ctx, budgets.Drain, recorder.Drain)
	})
}

// newDeps returns what all controllers share, without store and bus.
func newDeps(opts *Options, log logrus.FieldLogger) Deps {
	self := bbmember.Member{ID: opts.Self.ID(), Inc: newIncarnation(), Domain: bbunit.DomainID(opts.Self.Domain)}
	return Deps{
		Board:   NewBoard(self),
		Log:     log,
		Metrics: metrics.NewRegistry(),
		Opts:    opts,
		Now:     time.Now,
	}
}

func newRunner(deps Deps, router *Router, budgets BudgetReserver, journal Journal) *runner {
	self := deps.Board.View.Load().Self
	owner := fmt.Sprintf("%s/%x", self.ID, uint64(self.Inc))
	conns := &targetConns{}
	var tasks conc.WaitGroup
	return &runner{
		deps:         deps,
		router:       router,
		budgets:      budgets,
		journal:      journal,
		engineClient: &engineClient{conns: conns, owner: owner, silenceTimeout: deps.Opts.Front.SilenceTimeout, runInBackground: tasks.Go},
		plainClient:  &plainClient{conns: conns, owner: owner, silenceTimeout: deps.Opts.Front.SilenceTimeout, lateWindow: deps.Opts.Front.LateAnswerTimeout},
		owner:        owner,
		tracer:       otel.Tracer("bluebellport"),
	}
}

// serveUntilStopped opens both addresses, serves until ctx ends, and stops: it goes on
// taking requests while the balancer learns that the instance leaves, then
// refuses new ones, ends the open ones whole, and hands back what it holds.
func serveUntilStopped(ctx context.Context, deps Deps, frontend *Frontend, adminServer *admin, announceLeave func(), drain func(context.Context) error) error {
	callerListener, err := listenForCallers(&deps.Opts.Front)
	if err != nil {
		return err
	}
	adminListener, err := net.Listen("tcp", deps.Opts.Front.AdminAddress)
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
	drainCtx, cancel := context.WithTimeout(context.Background(), deps.Opts.Front.DrainTimeout)
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

// listenForCallers opens the callers' address, with TLS where the settings name a
// certificate.
func listenForCallers(opts *FrontOptions) (net.Listener, error) {
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

// drainAll runs the drains at the same time, so that none waits for another.
func drainAll(ctx context.Context, drains ...func(context.Context) error) error {
	p := pool.New().WithErrors()
	for _, d := range drains {
		p.Go(func() error { return d(ctx) })
	}
	return p.Wait()
}

// budgetStatusOrError is a treasury's status, or why there is none.
func budgetStatusOrError(s BudgetManagerStatus, err error) any {
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return s
}
