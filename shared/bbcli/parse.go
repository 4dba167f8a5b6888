// Package bbcli parses the command lines of the programs. It reports all invalid
// flags at once instead of only the first.
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

// exitCode is the panic value that unwinds kingpin where it would end the process.
type exitCode int

// New returns an application with the flags for version, help, shell completion and
// man page.
func New(name, help string, stdout, stderr io.Writer) *kingpin.Application {
	app := kingpin.New(name, help)
	app.Version(bbunit.Version)
	app.UsageWriter(stdout).ErrorWriter(stderr)
	app.Terminate(func(code int) { panic(exitCode(code)) })
	return app
}

// Parse parses the arguments and returns the selected command. If there is nothing
// to run, it returns false and the exit code: help or version was printed, or the
// arguments are invalid and all errors were printed to stderr. Check returns a
// message for each invalid value of the parsed flags, in the form "--flag: text".
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

// mergeErrors appends the check errors of those flags that have no parse error. It
// drops all check errors if the command line as a whole could not be parsed.
func mergeErrors(parseErrors, checkErrors []string) []string {
	reported := map[string]bool{}
	for _, line := range parseErrors {
		flag, _, found := strings.Cut(line, ":")
		reported[flag] = true
		if !found || !strings.HasPrefix(flag, "--") {
			return parseErrors // the flags may not have been set from the command line
		}
	}
	for _, line := range checkErrors {
		if flag, _, _ := strings.Cut(line, ":"); !reported[flag] {
			parseErrors = append(parseErrors, line)
		}
	}
	return parseErrors
}

// flagErrors returns a message for every flag with an invalid value, whereas err,
// from kingpin, covers only the first. Other errors are returned as they are.
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

// flagValues returns the values of a flag: from the command line, else from the
// environment variable, else the default.
func flagValues(f *kingpin.FlagModel, given []string) []string {
	if len(given) > 0 {
		return given
	}
	if v, ok := os.LookupEnv(f.Envar); ok && f.Envar != "" {
		return []string{v}
	}
	return f.Default
}
