// Package bbstand holds small stand-ins for what surrounds the fleet: the
// key-value service, the list of instances, a model engine and a plain service;
// and a load generator that checks every answer.
package bbstand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"strings"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbunit"
)

// Exit codes.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// command is one subcommand with its settings.
type command interface {
	// flags declares the command's flags and environment variables.
	flags(cmd *kingpin.CmdClause)
	// check returns one line for each bad value, naming flag and value.
	check() []string
	// run works until it is done or ctx ends.
	run(ctx context.Context, io streams) error
}

// streams are where a command writes to.
type streams struct {
	out io.Writer
	log *logrus.Logger
}

// Main runs the program with the arguments and returns its exit code.
//
//	arguments -> options -> check -> parts -> listeners -> ready ... SIGTERM -> stop
func Main(args []string, stdout, stderr io.Writer) int {
	app := kingpin.New("bluebellstand", "Stand-ins for the platform and the targets, and a load generator.")
	app.UsageWriter(stdout).ErrorWriter(stderr).Version(bbunit.Version)
	terminated := -1
	app.Terminate(func(code int) {
		if terminated < 0 {
			terminated = code
		}
	})
	commands := newCommands(app)
	if len(args) == 0 {
		fmt.Fprintln(stderr, "bluebellstand: no command given, try --help")
		return exitUsage
	}
	name, err := app.Parse(args)
	if terminated >= 0 {
		return terminated
	}
	if err != nil {
		fmt.Fprintln(stderr, "bluebellstand:", err)
		return exitUsage
	}
	c := commands[name]
	if bad := c.check(); len(bad) > 0 {
		fmt.Fprintln(stderr, "bluebellstand:", strings.Join(bad, "\nbluebellstand: "))
		return exitUsage
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := c.run(ctx, streams{out: stdout, log: newLog(stderr)}); err != nil {
		fmt.Fprintln(stderr, "bluebellstand:", err)
		return exitFailed
	}
	return exitOK
}

func newCommands(app *kingpin.Application) map[string]command {
	out := map[string]command{}
	add := func(name, help string, c command) {
		c.flags(app.Command(name, help))
		out[name] = c
	}
	add("store", "Serve the key-value service.", &StoreOptions{})
	add("list", "Serve the list of instances.", &ListOptions{})
	add("platform", "Serve the key-value service and the list of instances.", &PlatformOptions{})
	add("engine", "Serve a model engine.", &EngineOptions{})
	add("plain", "Serve a plain service.", &PlainOptions{})
	return out
}

func newLog(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{})
	return log
}
