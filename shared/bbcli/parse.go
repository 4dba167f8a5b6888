// Package bbcli parses the command lines of the programs and names every bad
// setting at once.
package bbcli

import (
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"bluebellport.example/shared/bbunit"
)

// Exit codes of the programs.
const (
	ExitOK     = 0
	ExitFailed = 1
	ExitUsage  = 2
)

// exit stops kingpin where it would end the process.
type exit int

// New returns an application of that name with version, help, shell completion
// and man page.
func New(name, help string, stdout, stderr io.Writer) *kingpin.Application {
	app := kingpin.New(name, help)
	app.Version(bbunit.Version)
	app.UsageWriter(stdout).ErrorWriter(stderr)
	app.Terminate(func(code int) { panic(exit(code)) })
	return app
}

// Parse parses the arguments. It returns the command chosen, or false with the
// exit code when there is nothing to run: help was asked for, or the input is
// bad and each fault has been printed. Check returns a line for each bad value
// among all settings, beginning with its flag.
func Parse(app *kingpin.Application, args []string, stderr io.Writer, check func() []string) (command string, code int, ok bool) {
	defer func() {
		if r := recover(); r != nil {
			e, is := r.(exit)
			if !is {
				panic(r)
			}
			command, code, ok = "", int(e), false
		}
	}()
	if len(args) == 0 {
		app.Usage(nil)
		return "", ExitUsage, false
	}
	command, err := app.Parse(args)
	bad := faults(app, args, err)
	bad = merge(bad, check())
	if len(bad) == 0 {
		return command, ExitOK, true
	}
	for _, line := range bad {
		fmt.Fprintf(stderr, "%s: %s\n", app.Name, line)
	}
	return "", ExitUsage, false
}

// merge adds the checked faults of flags that no parse fault names already.
func merge(bad, checked []string) []string {
	named := map[string]bool{}
	for _, line := range bad {
		flag, _, found := strings.Cut(line, ":")
		named[flag] = true
		if !found || !strings.HasPrefix(flag, "--") {
			return bad // the line was not understood; its settings mean nothing
		}
	}
	for _, line := range checked {
		if flag, _, _ := strings.Cut(line, ":"); !named[flag] {
			bad = append(bad, line)
		}
	}
	return bad
}

// faults finds every flag whose value cannot be read, after kingpin stopped at
// the first.
func faults(app *kingpin.Application, args []string, err error) []string {
	if err == nil {
		return nil
	}
	ctx, perr := app.ParseContext(args)
	if perr != nil || ctx.SelectedCommand == nil {
		return []string{err.Error()}
	}
	given := map[string][]string{}
	for _, e := range ctx.Elements {
		if f, ok := e.Clause.(*kingpin.FlagClause); ok && e.Value != nil {
			name := f.Model().Name
			given[name] = append(given[name], *e.Value)
		}
	}
	var bad []string
	for _, f := range append(app.Model().Flags, ctx.SelectedCommand.Model().Flags...) {
		for _, v := range values(f, given[f.Name]) {
			if err := f.Value.Set(v); err != nil {
				bad = append(bad, fmt.Sprintf("--%s: %q: %s", f.Name, v, strings.TrimPrefix(err.Error(), "time: ")))
			}
		}
	}
	if len(bad) == 0 {
		return []string{err.Error()}
	}
	return bad
}

// values is where a flag's value comes from: the command line, the environment
// or its default.
func values(f *kingpin.FlagModel, given []string) []string {
	if len(given) > 0 {
		return given
	}
	if v, ok := os.LookupEnv(f.Envar); ok && f.Envar != "" {
		return []string{v}
	}
	return f.Default
}
