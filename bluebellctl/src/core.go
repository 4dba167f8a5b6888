// Package bbctl is the operators' command: it puts change tickets in force and
// shows what is in force, drawn, spent and billed.
package bbctl

import (
	"context"
	"fmt"
	"io"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// Exit codes of the program.
const (
	exitOK     = 0
	exitFailed = 1
	exitUsage  = 2
)

// errUsage marks input that the operator has to mend.
const errUsage = errors.ConstError("bad input")

// command is one parsed command, ready to run.
type command func(ctx context.Context, e *env) error

// env is what commands work with.
type env struct {
	opts  *Options
	store bbstore.Store
	out   io.Writer
	info  io.Writer // progress, for people
}

// Main runs the program with the arguments and returns its exit code:
//
//	arguments -> options, command -> store and instances -> table or JSON
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &Options{}
	code := -1
	app := kingpin.New("bluebellctl", "Steer and watch a fleet of bluebellport instances.")
	app.Version(bbunit.Version)
	app.UsageWriter(stdout).ErrorWriter(stderr)
	app.Terminate(func(c int) { code = c })
	opts.flags(app)
	commands := map[string]command{}
	ticketCommands(app, commands)
	budgetCommands(app, commands)
	statusCommands(app, commands)
	name, err := app.Parse(args)
	if code >= 0 {
		return code
	}
	if err != nil {
		fmt.Fprintf(stderr, "bluebellctl: %s\n", err)
		return exitUsage
	}
	if bad := opts.Check(); len(bad) > 0 {
		for _, line := range bad {
			fmt.Fprintf(stderr, "bluebellctl: %s\n", line)
		}
		return exitUsage
	}
	store, closeStore := bbstore.NewClient(opts.Store, bbstore.ClientOptions{})
	defer closeStore()
	ctx, cancel := context.WithTimeout(context.Background(), opts.Timeout)
	defer cancel()
	return report(commands[name](ctx, &env{opts: opts, store: store, out: stdout, info: stderr}), stderr)
}

// report prints the error and returns the exit code for it.
func report(err error, stderr io.Writer) int {
	if err == nil {
		return exitOK
	}
	fmt.Fprintf(stderr, "bluebellctl: %s\n", err)
	if errors.Is(err, errUsage) || errors.Is(err, bbticket.ErrInvalid) {
		return exitUsage
	}
	return exitFailed
}
