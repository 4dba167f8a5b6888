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

// exitCode stops kingpin where it would end the process.
type exitCode int

// New returns an application of that name with version, help, shell completion
// and man page.
func New(name, help string, stdout, stderr io.Writer) *kingpin.Application {
	app := kingpin.New(name, help)
	app.Version(bbunit.Version)
	app.UsageWriter(stdout).ErrorWriter(stderr)
	app.Terminate(func(code int) { panic(exitCode(code)) })
	return app
}

// Parse parses the arguments. It returns the command chosen, or false with the
// exit code when there is nothing to run: help was asked for, or the input is
// bad and each fault has been printed. Check returns a line for each bad value
// among all settings, beginning with its flag.
func Parse(app *kingpin.Application, args []string, stderr io.Writer, check func() []string) (command string, code int, ok bool) {
	defer func() {
		if r := recover(); r != nil {
			exited, isExit := r.(exitCode)
			if !isExit {
				panic(r)
			}
			command, code, ok = "", int(exited), false
		}
	}()
	if len(args) == 0 {
		app.Usage(nil)
		return "", ExitUsage, false
	}
	command, err := app.Parse(args)
	messages := flagErrors(app, args, err)
	messages = mergeErrors(messages, check())
	if len(messages) == 0 {
		return command, ExitOK, true
	}
	for _, line := range messages {
		fmt.Fprintf(stderr, "%s: %s\n", app.Name, line)
	}
	return "", ExitUsage, false
}

// mergeErrors adds the checked faults of flags that no parse fault names already.
func mergeErrors(parseErrors, checkErrors []string) []string {
	reported := map[string]bool{}
	for _, line := range parseErrors {
		flag, _, found := strings.Cut(line, ":")
		reported[flag] = true
		if !found || !strings.HasPrefix(flag, "--") {
			return parseErrors // the line was not understood; its settings mean nothing
		}
	}
	for _, line := range checkErrors {
		if flag, _, _ := strings.Cut(line, ":"); !reported[flag] {
			parseErrors = append(parseErrors, line)
		}
	}
	return parseErrors
}

// flagErrors finds every flag whose value cannot be read, after kingpin stopped at
// the first.
func flagErrors(app *kingpin.Application, args []string, err error) []string {
	if err == nil {
		return nil
	}
	ctx, contextErr := app.ParseContext(args)
	if contextErr != nil || ctx.SelectedCommand == nil {
		return []string{err.Error()}
	}
	given := map[string][]string{}
	for _, element := range ctx.Elements {
		if f, ok := element.Clause.(*kingpin.FlagClause); ok && element.Value != nil {
			name := f.Model().Name
			given[name] = append(given[name], *element.Value)
		}
	}
	var messages []string
	for _, f := range append(app.Model().Flags, ctx.SelectedCommand.Model().Flags...) {
		for _, v := range flagValues(f, given[f.Name]) {
			if err := f.Value.Set(v); err != nil {
				messages = append(messages, fmt.Sprintf("--%s: %q: %s", f.Name, v, strings.TrimPrefix(err.Error(), "time: ")))
			}
		}
	}
	if len(messages) == 0 {
		return []string{err.Error()}
	}
	return messages
}

// flagValues is where a flag's value comes from: the command line, the environment
// or its default.
func flagValues(f *kingpin.FlagModel, given []string) []string {
	if len(given) > 0 {
		return given
	}
	if v, ok := os.LookupEnv(f.Envar); ok && f.Envar != "" {
		return []string{v}
	}
	return f.Default
}
