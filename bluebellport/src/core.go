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
	log, err := newLog(opts, logs)
	if err != nil {
		return err
	}
	stopTrace, err := startTrace(opts)
	if err != nil {
		return err
	}
	defer stopTrace()
	p := newParts(opts, log)
	store, closeStore := bbstore.NewClient(opts.Self.Store, bbstore.ClientOptions{})
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
	treasury, closeTreasury := NewTreasury(p)
	defer closeTreasury()
	recorder, closeRecorder := NewRecorder(p)
	defer closeRecorder()
	router, closeRouter := NewRouter(p)
	defer closeRouter()
	peers.AddRumor(router)

	runner := newRunner(p, router, treasury, recorder)
	defer runner.engines.up.tend(p.Board)()
	f := NewFront(p, runner)
	f.carrier = newCarrier(f, peers)
	f.runner.elsewhere = f.carrier.fetch
	a := newAdmin(p, f, map[string]func() any{
		"money":   func() any { return treasuryTold(treasury.Status()) },
		"records": func() any { return recorder.Status() },
	})
	orders, closeOrders := NewOrders(p)
	defer closeOrders()
	a.order = orders.Order
	return listen(ctx, p, f, a, peers.Leave, func(ctx context.Context) error {
		return drainAll(ctx, treasury.Drain, recorder.Drain)
	})
}

// newParts returns what all controllers share, without store and bus.
func newParts(opts *Options, log logrus.FieldLogger) Parts {
	self := bbmember.Member{ID: opts.Self.ID(), Inc: newIncarnation(), Domain: bbunit.DomainID(opts.Self.Domain)}
	return Parts{
		Board:   NewBoard(self),
		Log:     log,
		Metrics: metrics.NewRegistry(),
		Opts:    opts,
		Now:     time.Now,
	}
}

func newRunner(p Parts, router *Router, m Money, l Ledger) *runner {
	self := p.Board.View.Load().Self
	owner := fmt.Sprintf("%s/%x", self.ID, uint64(self.Inc))
	up := &upstream{}
	var tasks conc.WaitGroup
	return &runner{
		parts:   p,
		router:  router,
		money:   m,
		ledger:  l,
		engines: &engines{up: up, owner: owner, silence: p.Opts.Front.Silence, tasks: tasks.Go},
		plains:  &plains{up: up, owner: owner, silence: p.Opts.Front.Silence, late: p.Opts.Front.Late},
		owner:   owner,
		tracer:  otel.Tracer("bluebellport"),
	}
}

// listen opens both addresses, serves until ctx ends, and stops: it goes on
// taking requests while the balancer learns that the instance leaves, then
// refuses new ones, ends the open ones whole, and hands back what it holds.
func listen(ctx context.Context, p Parts, f *Front, a *admin, leave func(), drain func(context.Context) error) error {
	callers, err := listenCallers(&p.Opts.Front)
	if err != nil {
		return err
	}
	operators, err := net.Listen("tcp", p.Opts.Front.Admin)
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
	end, cancel := context.WithTimeout(context.Background(), p.Opts.Front.Drain)
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

// listenCallers opens the callers' address, with TLS where the settings name a
// certificate.
func listenCallers(o *FrontOptions) (net.Listener, error) {
	ln, err := net.Listen("tcp", o.Listen)
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

// treasuryTold is a treasury's status, or why there is none.
func treasuryTold(s TreasuryStatus, err error) any {
	if err != nil {
		return map[string]string{"error": err.Error()}
	}
	return s
}
