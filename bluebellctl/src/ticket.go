package bbctl

import (
	"context"
	"fmt"
	"io"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/goccy/go-yaml"
	"github.com/google/uuid"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// ticketCommands declares the commands that check, apply and show change
// tickets.
func ticketCommands(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("ticket", "Check, apply and read change tickets.")
	var file string
	var number uint64
	check := cmd.Command("check", "Tell whether a ticket could be applied now; nothing is written.")
	check.Arg("file", "Ticket in YAML; - reads standard input.").Required().StringVar(&file)
	commands[check.FullCommand()] = func(ctx context.Context, e *env) error { return checkTicket(ctx, e, file) }
	apply := cmd.Command("apply", "Put a ticket in force.")
	apply.Arg("file", "Ticket in YAML; - reads standard input.").Required().StringVar(&file)
	commands[apply.FullCommand()] = func(ctx context.Context, e *env) error { return applyTicket(ctx, e, file) }
	list := cmd.Command("list", "List the tickets that the log still holds.")
	commands[list.FullCommand()] = listTickets
	show := cmd.Command("show", "Print a ticket of the log, or all that is in force.")
	show.Arg("number", "Number of the ticket; none prints what is in force.").Uint64Var(&number)
	commands[show.FullCommand()] = func(ctx context.Context, e *env) error {
		return showTicket(ctx, e, bbunit.TicketNumber(number))
	}
	diff := cmd.Command("diff", "Show how a ticket's objects differ from what is in force.")
	diff.Arg("file", "Ticket in YAML; - reads standard input.").Required().StringVar(&file)
	commands[diff.FullCommand()] = func(ctx context.Context, e *env) error { return diffTicket(ctx, e, file) }
}

// readTicket reads and parses the ticket in the file, or on standard input for
// "-".
func readTicket(file string) (bbticket.Ticket, error) {
	var src []byte
	var err error
	if file == "-" {
		src, err = io.ReadAll(os.Stdin)
	} else {
		src, err = os.ReadFile(file)
	}
	if err != nil {
		return bbticket.Ticket{}, errors.WithType(err, errUsage)
	}
	t, err := bbticket.Parse(src)
	return t, errors.Annotatef(err, "%s", file)
}

func checkTicket(ctx context.Context, e *env, file string) error {
	t, err := readTicket(file)
	if err != nil {
		return err
	}
	_, err = loadBaseState(ctx, e, t)
	if errors.Is(err, bbticket.ErrInvalid) {
		return errors.Annotatef(err, "%s", file)
	}
	if err != nil {
		return err
	}
	fmt.Fprintf(e.stderr, "ticket %d can be applied\n", t.Number)
	return nil
}

// loadBaseState returns the state in force and checks that the ticket can be
// applied to it. A ticket without the next number is a *bbticket.NumberError.
func loadBaseState(ctx context.Context, e *env, t bbticket.Ticket) (*bbticket.State, error) {
	s, err := bbticket.NewLog(e.store).Load(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	if t.Number != s.Number+1 {
		return nil, &bbticket.NumberError{Requested: t.Number, LastAccepted: s.Number}
	}
	return s, s.Check(t)
}

func applyTicket(ctx context.Context, e *env, file string) error {
	t, err := readTicket(file)
	if err != nil {
		return err
	}
	nonce := uuid.NewString()
	if err := acceptTicket(ctx, e, t, nonce); err != nil {
		return errors.Annotatef(err, "%s", file)
	}
	fmt.Fprintf(e.stderr, "ticket %d is accepted\n", t.Number)
	return nil
}

// acceptTicket appends the ticket to the log. Budgets that the ticket lowers
// are capped first. If more is already drawn, the ticket is refused with an
// error that names the amount. The caps are removed only after an error which
// means that the ticket is not in the log. After any other error it may have
// been accepted, so they stay.
func acceptTicket(ctx context.Context, e *env, t bbticket.Ticket, nonce string) error {
	s, err := loadBaseState(ctx, e, t)
	if err != nil {
		return err
	}
	undo, err := capBudgets(ctx, e, s, t, nonce)
	if err != nil {
		return err
	}
	err = bbticket.NewLog(e.store).Accept(ctx, t, nonce, time.Now().UTC())
	if errors.Is(err, bbticket.ErrNumberTaken) || errors.Is(err, bbticket.ErrInvalid) {
		undo()
	}
	return err
}

// ticketRow is one row of the list of tickets.
type ticketRow struct {
	Number  bbunit.TicketNumber `json:"number"`
	At      time.Time           `json:"at"`
	Objects int                 `json:"objects"`
	Note    string              `json:"note"`
}

func listTickets(ctx context.Context, e *env) error {
	head, _, err := bbticket.NewLog(e.store).Head(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	rows := []ticketRow{}
	var tableRows [][]any
	for _, accepted := range head.Tail {
		t := accepted.Ticket
		r := ticketRow{t.Number, accepted.At, len(t.Accounts) + len(t.Budgets) + len(t.Services) + len(t.Targets), t.Note}
		rows = append(rows, r)
		tableRows = append(tableRows, []any{r.Number, r.At.Format(time.RFC3339), r.Objects, r.Note})
	}
	return e.render(rows, []string{"NUMBER", "AT", "OBJECTS", "NOTE"}, tableRows)
}

// showTicket prints ticket n, or all that is in force if n is 0.
func showTicket(ctx context.Context, e *env, n bbunit.TicketNumber) error {
	log := bbticket.NewLog(e.store)
	if n == 0 {
		s, err := log.Load(ctx)
		if err != nil {
			return errors.Trace(err)
		}
		return e.printTicket(s.Ticket())
	}
	head, _, err := log.Head(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	for _, accepted := range head.Tail {
		if accepted.Ticket.Number == n {
			return e.printTicket(accepted.Ticket)
		}
	}
	if n <= head.SnapshotNumber {
		return errors.WithType(errors.Errorf("ticket %d: no longer in the log, which starts at %d", n, head.SnapshotNumber+1), errUsage)
	}
	return errors.WithType(errors.Errorf("ticket %d: not in the log, which ends at %d", n, head.Number), errUsage)
}

// printTicket prints a ticket as YAML, or as JSON if --output says so.
func (e *env) printTicket(t bbticket.Ticket) error {
	if e.opts.Output == formatJSON {
		return e.render(t, nil, nil)
	}
	b, err := yaml.Marshal(t)
	if err != nil {
		return errors.Trace(err)
	}
	_, err = e.stdout.Write(b)
	return errors.Trace(err)
}

func diffTicket(ctx context.Context, e *env, file string) error {
	t, err := readTicket(file)
	if err != nil {
		return err
	}
	s, err := bbticket.NewLog(e.store).Load(ctx)
	if err != nil {
		return errors.Trace(err)
	}
	rows := s.Diff(t)
	var tableRows [][]any
	for _, r := range rows {
		tableRows = append(tableRows, []any{r.Action, r.Object, r.Field, r.Old, r.New})
	}
	return e.render(rows, []string{"CHANGE", "OBJECT", "FIELD", "IN FORCE", "TICKET"}, tableRows)
}
