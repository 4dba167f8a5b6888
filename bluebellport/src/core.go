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
	stopTrace, err := startTracing(opts)
	if err != nil {
		return err
	}
	defer stopTrace()
	p := newDeps(opts, log)
	store, closeStore := bbstore.NewClient(opts.Self.StoreAddress, bbstore.ClientOptions{})
	defer closeStore()
	p.Store = store

	peers, closePeers, err := NewPeers(p)
	if err != nil {
		return err
	}
	defer closePeers()
	p.Bus = peers
	_, closeFollower := NewFollower(p, peers)
	defer closeFollower()
	treasury, closeTreasury := NewBudgetManager(p)
	defer closeTreasury()
	recorder, closeRecorder := NewRecorder(p)
	defer closeRecorder()
	router, closeRouter := NewRouter(p)
	defer closeRouter()
	peers.AddGossiper(router)

	runner := newRunner(p, router, treasury, recorder)
	defer runner.engineClient.conns.startSweep(p.Board)()
	f := NewFrontend(p, runner)
	f.forwarder = newForwarder(f, peers)
	f.runner.fetchFromOwner = f.forwarder.fetchAnswer
	a := newAdmin(p, f, map[string]func() any{
		"money":   func() any { return treasuryStatusOrError(treasury.Status()) },
		"records": func() any { return recorder.Status() },
	})
	orders, closeOrders := NewOrders(p)
	defer closeOrders()
	a.sendOrder = orders.Order
	return serveUntilStopped(ctx, p, f, a, peers.Leave, func(ctx context.Context) error {
		return drainAll(ctx, treasury.Drain, recorder.Drain)
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

func newRunner(p Deps, router *Router, m BudgetReserver, l Journal) *runner {
	self := p.Board.View.Load().Self
	owner := fmt.Sprintf("%s/%x", self.ID, uint64(self.Inc))
	up := &targetConns{}
	var tasks conc.WaitGroup
	return &runner{
		deps:         p,
		router:       router,
		budgets:      m,
		journal:      l,
		engineClient: &engineClient{conns: up, owner: owner, silenceTimeout: p.Opts.Front.SilenceTimeout, runInBackground: tasks.Go},
		plainClient:  &plainClient{conns: up, owner: owner, silenceTimeout: p.Opts.Front.SilenceTimeout, lateWindow: p.Opts.Front.LateAnswerTimeout},
		owner:        owner,
		tracer:       otel.Tracer("bluebellport"),
	}
}

// serveUntilStopped opens both addresses, serves until ctx ends, and stops: it goes on
// taking requests while the balancer learns that the instance leaves, then
// refuses new ones, ends the open ones whole, and hands back what it holds.
func serveUntilStopped(ctx context.Context, p Deps, f *Frontend, a *admin, leave func(), drain func(context.Context) error) error {
	callers, err := listenForCallers(&p.Opts.Front)
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", p.Opts.Front.AdminAddress)
	if err != nil {
		_ = callers.Close()
		return errors.Annotate(err, "--admin")
	}
	var wg conc.WaitGroup
	failed := make(chan error, 2)
	wg.Go(func() { failed <- f.app.Listener(callers) })
	wg.Go(func() { failed <- a.app.Listener(operators) })
	p.Log.WithFields(logrus.Fields{"event": "serving", "listen": callers.Addr().String(), "admin": operators.Addr().String()}).Info("serving")
	select {
	case err = <-failed:
	case <-ctx.Done():
	}
	p.Board.Leaving.Store(true)
	leave()
	p.Log.WithField("event", "leaving").Info("leaving")
	end, cancel := context.WithTimeout(context.Background(), p.Opts.Front.DrainTimeout)
	defer cancel()
	f.drain(end)
	if left := drain(end); left != nil {
		p.Log.WithField("event", "drain").WithError(left).Error("not all was handed back")
		err = stderrors.Join(err, left)
	}
	_ = bbserve.Stop(f.app, callers, time.Second)
	_ = bbserve.Stop(a.app, operators, time.Second)
	wg.Wait()
	p.Log.WithField("event", "stopped").Info("stopped")
	return errors.Trace(err)
}

// listenForCallers opens the callers' address, with TLS where the settings name a
// certificate.
func listenForCallers(o *FrontOptions) (net.Listener, error) {
	ln, err := net.Listen("tcp", o.CallerAddress)
	if err != nil {
		return nil, errors.Annotate(err, "--listen")
	}
	if o.Cert == "" {
		return ln, nil
	}
	cert, err := tls.LoadX509KeyPair(o.Cert, o.Key)
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

// treasuryStatusOrError is a treasury's status, or why there is none.
func treasuryStatusOrError(s BudgetManagerStatus, err error) any {
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return s
}
