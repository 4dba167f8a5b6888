package bbctl

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"slices"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
)

// explainCommands declares the command that explains a request from log lines.
func explainCommands(app *kingpin.Application, commands map[string]command) {
	var request string
	var files []string
	cmd := app.Command("explain", "Tell from log lines what became of a request, and what the instances believed then.")
	cmd.Arg("request", "Id of the request, as the caller sent it.").Required().StringVar(&request)
	cmd.Arg("log", "Log files of instances, in any order; without any, standard input is read.").StringsVar(&files)
	commands[cmd.FullCommand()] = func(_ context.Context, e *env) error { return explain(e, request, files) }
}

// explain reads the logs, or standard input if there are none, and prints the
// cause of the request's outcome and its timeline.
func explain(e *env, request string, files []string) error {
	t := newTimeline(request)
	if len(files) == 0 {
		if err := t.readLog(e.stdin); err != nil {
			return errors.Annotate(err, "standard input")
		}
	}
	for _, name := range files {
		if err := t.readLogFile(name); err != nil {
			return errors.WithType(err, errUsage)
		}
	}
	t.sortSteps()
	if len(t.Steps) == 0 {
		return errors.WithType(errors.Errorf("request: no line of %q in %s (%d lines read, %d of them not of an instance); of the requests that were served only some are logged",
			request, sourceNames(files), t.LinesRead, t.LinesSkipped), errUsage)
	}
	if e.opts.Output == formatJSON {
		return e.render(t, nil, nil)
	}
	fmt.Fprintf(e.stderr, "%d lines read, %d of them not of an instance\n", t.LinesRead, t.LinesSkipped)
	fmt.Fprintln(e.stdout, "cause:", t.cause())
	return e.render(nil, []string{"TIME", "INSTANCE", "AGE", "LINE", "DETAIL"}, t.rows())
}

func (t *timeline) readLogFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return errors.Annotate(t.readLog(f), name)
}

// sourceNames names what was read, for error messages.
func sourceNames(files []string) string {
	if len(files) == 0 {
		return "standard input"
	}
	return strings.Join(files, ", ")
}

// rows returns the table rows of the timeline. Each step follows the rows for
// the state of its instance at that time. The third column is the age of the
// state at the step.
func (t *timeline) rows() [][]any {
	var rows [][]any
	for i := range t.Steps {
		st := &t.Steps[i]
		for j := range st.InstanceState {
			state := &st.InstanceState[j]
			rows = append(rows, []any{state.Time.Format(time.RFC3339Nano), state.Instance, st.Line.Time.Sub(state.Time), "believed: " + state.Msg, state.detail()})
		}
		rows = append(rows, []any{st.Line.Time.Format(time.RFC3339Nano), st.Line.Instance, "", st.Line.Msg, st.Line.detail()})
	}
	return rows
}

// detail returns the fields that have no column of their own as NAME=JSON,
// sorted by name.
func (l *logLine) detail() string {
	var fields []string
	for name, v := range l.Fields {
		switch name {
		case "time", "instance", "msg", "event", "request", "level":
			continue
		}
		value, err := json.Marshal(v)
		if err != nil {
			continue // cannot happen, as v was decoded from JSON
		}
		fields = append(fields, name+"="+string(value))
	}
	slices.Sort(fields)
	return strings.Join(fields, " ")
}
