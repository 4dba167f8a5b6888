// Package bbctl implements the operators' command. It applies change tickets,
// sends orders to targets, and shows tickets, budgets, bills, the status of
// instances and what their logs say about a request.
package bbctl

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbcli"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
)

// errUsage marks errors in the operator's input. They set the exit code
// bbcli.ExitUsage.
const errUsage = errors.ConstError("bad input")

// command runs one subcommand with the arguments that were parsed for it.
type command func(ctx context.Context, e *env) error

// env holds the settings, the store client and the streams of a command.
type env struct {
	opts   *Options
	store  bbstore.Store
	stdin  io.Reader
	stdout io.Writer
	stderr io.Writer // progress messages for a human reader
}

// Main runs the program with the arguments and returns its exit code:
//
//	arguments -> options, command -> store and instances -> table or JSON
func Main(args []string, stdout, stderr io.Writer) int {
	opts := &Options{}
	app := bbcli.New("bluebellctl", "Steer and watch a fleet of bluebellport instances.", stdout, stderr)
	opts.flags(app)
	commands := map[string]command{}
	ticketCommands(app, commands)
	budgetCommands(app, commands)
	billCommands(app, commands)
	statusCommands(app, commands)
	orderCommands(app, commands)
	explainCommands(app, commands)
	name, code, ok := bbcli.Parse(app, args, stderr, opts.Check)
	if !ok {
		return code
	}
	store, closeStore := bbstore.NewClient(opts.Store, bbstore.ClientOptions{})
	defer closeStore()
	ctx, cancel := context.WithTimeout(context.Background(), opts.Timeout)
	defer cancel()
	return reportError(commands[name](ctx, &env{opts: opts, store: store, stdin: os.Stdin, stdout: stdout, stderr: stderr}), stderr)
}

// reportError prints err, if it is not nil, and returns the exit code for it.
func reportError(err error, stderr io.Writer) int {
	if err == nil {
		return bbcli.ExitOK
	}
	fmt.Fprintf(stderr, "bluebellctl: %s\n", err)
	if errors.Is(err, errUsage) || errors.Is(err, bbticket.ErrInvalid) {
		return bbcli.ExitUsage
	}
	return bbcli.ExitFailed
}
