package bbstand

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbstore"
)

// NativeOptions configures the native command, which serves what `bluebellport
// native` runs against: the platform's store with a plan in it, and targets.
type NativeOptions struct {
	Store   string
	Plan    string
	Targets []string
	Events  int
	Pause   time.Duration
}

func (o *NativeOptions) flags(cmd *kingpin.CmdClause) {
	cmd.Flag("store", "Address of the store.").Envar("BLUEBELLSTAND_NATIVE_STORE").Default("127.0.0.1:2380").StringVar(&o.Store)
	cmd.Flag("plan", "File with the plan that the store holds, in the platform's JSON.").Envar("BLUEBELLSTAND_NATIVE_PLAN").StringVar(&o.Plan)
	cmd.Flag("target", "A target as ID=SERVICE@DOMAIN, or ID=SERVICE@DOMAIN:engine; may be repeated.").StringsVar(&o.Targets)
	cmd.Flag("events", "Events of an engine's stream.").Default("10").IntVar(&o.Events)
	cmd.Flag("pause", "Time before each answer and event.").Default("5ms").DurationVar(&o.Pause)
}

func (o *NativeOptions) check() []string {
	var bad []string
	if _, err := netip.ParseAddrPort(o.Store); err != nil {
		bad = append(bad, fmt.Sprintf("--store: not an IP address and port: %q", o.Store))
	}
	if _, err := os.Stat(o.Plan); err != nil {
		bad = append(bad, fmt.Sprintf("--plan: %q: not a file that can be read", o.Plan))
	}
	for _, t := range o.Targets {
		if _, err := o.parseTarget(t); err != nil {
			bad = append(bad, fmt.Sprintf("--target: %s", err))
		}
	}
	if o.Events < 1 {
		bad = append(bad, fmt.Sprintf("--events: must be 1 or more, is %d", o.Events))
	}
	if o.Pause < 0 {
		bad = append(bad, fmt.Sprintf("--pause: must not be below 0, is %s", o.Pause))
	}
	return bad
}

// parseTarget parses the value of a --target flag.
func (o *NativeOptions) parseTarget(spec string) (bbplatformstand.TargetOptions, error) {
	id, rest, hasService := strings.Cut(spec, "=")
	service, domain, hasDomain := strings.Cut(rest, "@")
	domain, kind, _ := strings.Cut(domain, ":")
	if !hasService || !hasDomain || id == "" || service == "" || domain == "" || kind != "" && kind != "engine" {
		return bbplatformstand.TargetOptions{}, errors.Errorf("not ID=SERVICE@DOMAIN: %q", spec)
	}
	return bbplatformstand.TargetOptions{
		ID: id, Service: service, Domain: domain, Engine: kind == "engine", EventCount: o.Events, Pause: o.Pause,
	}, nil
}

// run serves until ctx is done, and then logs the number of executions of each
// target.
func (o *NativeOptions) run(ctx context.Context, s streams) error {
	plan, err := os.ReadFile(o.Plan)
	if err != nil {
		return err
	}
	mem := bbstore.NewMem()
	if _, err := mem.CAS(ctx, bbplatform.KeyPlan, plan, 0, 0); err != nil {
		return err
	}
	store, stop := bbplatformstand.NewStore(mem)
	defer stop()
	l, err := listen(o.Store)
	if err != nil {
		return errors.Annotate(err, "--store")
	}
	defer func() { _ = l.Close() }()
	go func() { _ = (&fasthttp.Server{Handler: store.Handle}).Serve(l) }()
	for _, spec := range o.Targets {
		opts, err := o.parseTarget(spec)
		if err != nil {
			return err
		}
		target, stopTarget, err := bbplatformstand.NewTarget(opts)
		if err != nil {
			return err
		}
		defer stopTarget()
		if err := target.Register(ctx, mem, "ready"); err != nil {
			return err
		}
		defer func() {
			s.log.WithFields(logrus.Fields{"target": opts.ID, "runs": len(target.Executions())}).Info("ran")
		}()
	}
	s.log.WithField("address", l.Addr().String()).Info("ready")
	<-ctx.Done()
	return nil
}
