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

// explainCommands declares the command that finds a request in logs.
func explainCommands(app *kingpin.Application, commands map[string]command) {
	var request string
	var files []string
	x := app.Command("explain", "Tell from log lines what became of a request, and what the instances believed then.")
	x.Arg("request", "Id of the request, as the caller sent it.").Required().StringVar(&request)
	x.Arg("log", "Log files of instances, in any order; without any, standard input is read.").StringsVar(&files)
	commands[x.FullCommand()] = func(_ context.Context, e *env) error { return explain(e, request, files) }
}

func explain(e *env, request string, files []string) error {
	s := newTimeline(request)
	if len(files) == 0 {
		if err := s.readLog(e.stdin); err != nil {
			return errors.Annotate(err, "standard input")
		}
	}
	for _, name := range files {
		if err := s.readLogFile(name); err != nil {
			return errors.WithType(err, errUsage)
		}
	}
	s.sortSteps()
	if len(s.Steps) == 0 {
		return errors.WithType(errors.Errorf("request: no line of %q in %s (%d lines read, %d of them not of an instance); of the requests that were served only some are logged",
			request, sourceNames(files), s.LinesRead, s.LinesSkipped), errUsage)
	}
	if e.opts.Output == formatJSON {
		return e.render(s, nil, nil)
	}
	fmt.Fprintf(e.stderr, "%d lines read, %d of them not of an instance\n", s.LinesRead, s.LinesSkipped)
	fmt.Fprintln(e.stdout, "cause:", s.cause())
	return e.render(nil, []string{"TIME", "INSTANCE", "AGE", "LINE", "DETAIL"}, s.rows())
}

func (s *timeline) readLogFile(name string) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = f.Close() }()
	return errors.Annotate(s.readLog(f), name)
}

func sourceNames(files []string) string {
	if len(files) == 0 {
		return "standard input"
	}
	return strings.Join(files, ", ")
}

// rows are the steps, each after what its instance believed, with the age of
// that.
func (s *timeline) rows() [][]any {
	var rows [][]any
	for i := range s.Steps {
		st := &s.Steps[i]
		for j := range st.InstanceState {
			b := &st.InstanceState[j]
			rows = append(rows, []any{b.Time.Format(time.RFC3339Nano), b.Instance, st.Line.Time.Sub(b.Time), "believed: " + b.Msg, b.detail()})
		}
		rows = append(rows, []any{st.Line.Time.Format(time.RFC3339Nano), st.Line.Instance, "", st.Line.Msg, st.Line.detail()})
	}
	return rows
}

// detail is what a line says besides its head, by name.
func (l *logLine) detail() string {
	var out []string
	for name, v := range l.Fields {
		switch name {
		case "time", "instance", "msg", "event", "request", "level":
			continue
		}
		value, err := json.Marshal(v)
		if err != nil {
			continue // what was read as JSON can be written as JSON
		}
		out = append(out, name+"="+string(value))
	}
	slices.Sort(out)
	return strings.Join(out, " ")
}
