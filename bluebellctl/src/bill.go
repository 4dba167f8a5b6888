package bbctl

import (
	"context"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// billCommands declares the commands that read request records.
func billCommands(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("bill", "Show bills, claims and unknown outcomes within their retention.")
	var account, request string
	var unknown, totals bool
	list := cmd.Command("list", "List records, oldest first.")
	list.Flag("account", "Only those of this client account.").StringVar(&account)
	list.Flag("unknown", "Only requests whose end was not seen.").BoolVar(&unknown)
	list.Flag("totals", "One line a client account.").BoolVar(&totals)
	commands[list.FullCommand()] = func(ctx context.Context, e *env) error {
		return listBills(ctx, e, bbjournal.Filter{Account: bbunit.AccountID(account), Unknown: unknown}, totals)
	}
	show := cmd.Command("show", "Show the record of one request.")
	show.Arg("request", "Request id, as the caller's Idempotency-Key names it.").Required().StringVar(&request)
	show.Flag("account", "Client account of the request; without it all records are read.").StringVar(&account)
	commands[show.FullCommand()] = func(ctx context.Context, e *env) error {
		return showBill(ctx, e, bbjournal.Filter{Account: bbunit.AccountID(account), Request: bbunit.RequestID(request)})
	}
}

// recordRow is the printed form of a request record.
type recordRow struct {
	Kind    string           `json:"kind"`
	Made    time.Time        `json:"made"`
	Account bbunit.AccountID `json:"account"`
	Request bbunit.RequestID `json:"request"`
	Service bbunit.ServiceID `json:"service"`
	Target  bbunit.TargetID  `json:"target"`
	Budget  bbunit.BudgetID  `json:"budget"`
	Tokens  bbunit.Tokens    `json:"tokens"`
	Owner   string           `json:"owner"`
}

func newRecordRow(r *bbwire.Record) recordRow {
	return recordRow{
		Kind: strings.ToLower(r.Kind.String()), Made: time.UnixMilli(r.Made).UTC(),
		Account: bbunit.AccountID(r.Account), Request: bbunit.RequestID(r.Request),
		Service: bbunit.ServiceID(r.Service), Target: bbunit.TargetID(r.Target),
		Budget: bbunit.BudgetID(r.Budget), Tokens: bbunit.Tokens(r.Amount), Owner: r.Owner,
	}
}

func listBills(ctx context.Context, e *env, f bbjournal.Filter, totals bool) error {
	records, err := bbjournal.ListRecords(ctx, e.store, f)
	if err != nil {
		return errors.Trace(err)
	}
	if totals {
		sums := bbjournal.Totals(records)
		var rows [][]any
		for _, t := range sums {
			rows = append(rows, []any{t.Account, t.Bills, t.Amount, t.Claims, t.Unknown, t.Held})
		}
		return e.render(sums, []string{"ACCOUNT", "BILLS", "TOKENS", "CLAIMS", "UNKNOWN", "HELD"}, rows)
	}
	return e.renderRecords(records)
}

func showBill(ctx context.Context, e *env, f bbjournal.Filter) error {
	records, err := bbjournal.ListRecords(ctx, e.store, f)
	if err != nil {
		return errors.Trace(err)
	}
	if len(records) == 0 {
		return errors.WithType(errors.Errorf("request: no record: %q", f.Request), errUsage)
	}
	return e.renderRecords(records)
}

func (e *env) renderRecords(records []*bbwire.Record) error {
	rows := make([]recordRow, 0, len(records))
	var tableRows [][]any
	for _, r := range records {
		row := newRecordRow(r)
		rows = append(rows, row)
		tableRows = append(tableRows, []any{row.Made.Format(time.RFC3339), row.Kind, row.Account, row.Request, row.Service, row.Target, row.Budget, row.Tokens})
	}
	return e.render(rows, []string{"MADE", "KIND", "ACCOUNT", "REQUEST", "SERVICE", "TARGET", "BUDGET", "TOKENS"}, tableRows)
}
