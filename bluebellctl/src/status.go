package bbctl

import (
	"context"
	"encoding/json"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbhead"
	"bluebellport.example/shared/bbunit"
)

// adminClient sends requests to instances.
var adminClient = &fasthttp.Client{Dial: bbhead.Dial}

// instanceStatus is the status of the instance at one admin address. Error is
// set if no status could be read from it.
type instanceStatus struct {
	bbunit.Status
	Admin string `json:"admin"`
	Error string `json:"error,omitempty"`
}

// statusCommands declares the command that shows the status of instances.
func statusCommands(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("status", "Show what each instance has in force.")
	commands[cmd.FullCommand()] = showStatus
}

// showStatus prints the status of the instance at each --admin address. It
// fails after printing if one of them did not answer.
func showStatus(_ context.Context, e *env) error {
	if len(e.opts.Admins) == 0 {
		return errors.WithType(errors.New("status needs --admin"), errUsage)
	}
	statuses := make([]instanceStatus, len(e.opts.Admins))
	var rows [][]any
	failed := false
	for i, admin := range e.opts.Admins {
		statuses[i] = fetchStatus(admin, e.opts.Timeout)
		s := &statuses[i]
		state := "ready"
		switch {
		case s.Error != "":
			state, failed = s.Error, true
		case s.Draining:
			state = "draining"
		case !s.Ready:
			state = "not ready"
		}
		rows = append(rows, []any{admin, s.Instance, s.Domain, s.Number, state, s.Open, len(s.Members), s.Version})
	}
	if err := e.render(statuses, []string{"ADMIN", "INSTANCE", "DOMAIN", "TICKET", "STATE", "OPEN", "SEES", "VERSION"}, rows); err != nil {
		return err
	}
	if failed {
		return errors.New("at least one instance did not answer with its status")
	}
	return nil
}

// fetchStatus gets the status of one instance. A failure is reported in the
// Error field of the result.
func fetchStatus(admin string, timeout time.Duration) instanceStatus {
	s := instanceStatus{Admin: admin}
	code, body, err := adminClient.GetTimeout(nil, "http://"+admin+"/status", timeout)
	switch {
	case err != nil:
		s.Error = err.Error()
	case code != fasthttp.StatusOK:
		s.Error = fasthttp.StatusMessage(code)
	default:
		if err := json.Unmarshal(body, &s); err != nil {
			s.Error = err.Error()
		}
	}
	return s
}
