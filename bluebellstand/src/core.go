// Package bbstand implements stand-ins for the services that a fleet of
// instances depends on (the key-value service, the list of instances, a model
// engine and a plain service) and a load generator that checks every answer.
package bbstand

import (
	"context"
	"fmt"
	"io"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbcli"
)

// command is a subcommand with its settings.
type command interface {
	// flags declares the command's flags and environment variables.
	flags(cmd *kingpin.CmdClause)
	// check returns one line for each invalid setting, with the flag and the
	// value.
	check() []string
	// run executes the command until it is complete or ctx is done.
	run(ctx context.Context, s streams) error
}

// streams holds the outputs of a command.
type streams struct {
	out io.Writer
	log *logrus.Logger
}

// Main runs the program with the arguments and returns its exit code.
//
//	arguments -> options -> check -> stand-ins -> listeners -> ready ... SIGTERM -> stop
func Main(args []string, stdout, stderr io.Writer) int {
	app := bbcli.New("bluebellstand", "Stand-ins for the platform and the targets, and a load generator.", stdout, stderr)
	commands := newCommands(app)
	checkSelected := func() []string {
		if c := commands[selectedCommand(app, args)]; c != nil {
			return c.check()
		}
		return nil
	}
	name, code, ok := bbcli.Parse(app, args, stderr, checkSelected)
	if !ok {
		return code
	}
	c := commands[name]
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	if err := c.run(ctx, streams{out: stdout, log: newLog(stderr)}); err != nil {
		fmt.Fprintln(stderr, "bluebellstand:", err)
		return bbcli.ExitFailed
	}
	return bbcli.ExitOK
}

// selectedCommand returns the name of the command that the arguments select, or
// "" if they cannot be parsed.
func selectedCommand(app *kingpin.Application, args []string) string {
	ctx, err := app.ParseContext(args)
	if err != nil || ctx.SelectedCommand == nil {
		return ""
	}
	return ctx.SelectedCommand.FullCommand()
}

func newCommands(app *kingpin.Application) map[string]command {
	commands := map[string]command{}
	add := func(name, help string, c command) {
		c.flags(app.Command(name, help))
		commands[name] = c
	}
	add("store", "Serve the key-value service.", &StoreOptions{})
	add("list", "Serve the list of instances.", &ListOptions{})
	add("platform", "Serve the key-value service and the list of instances.", &PlatformOptions{})
	add("engine", "Serve a model engine.", &EngineOptions{})
	add("plain", "Serve a plain service.", &PlainOptions{})
	add("native", "Serve the store and the targets that \"bluebellport native\" runs against.", &NativeOptions{})
	add("native-call", "Send requests to an instance that runs \"bluebellport native\".", &NativeCallOptions{})
	add("load", "Send requests to instances and check every answer.", &LoadOptions{})
	add("ask", "Send one request to an instance and print the answer.", &AskOptions{})
	add("get", "Get a path, and try until it is there.", &GetOptions{})
	add("post", "Post JSON to a path, as to the admin part of a stand-in.", &PostOptions{})
	return commands
}

func newLog(w io.Writer) *logrus.Logger {
	log := logrus.New()
	log.SetOutput(w)
	log.SetFormatter(&logrus.JSONFormatter{})
	return log
}
