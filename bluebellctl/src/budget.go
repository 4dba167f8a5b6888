package bbctl

import (
	"cmp"
	"context"
	"fmt"
	"slices"

	"github.com/alecthomas/kingpin/v2"
	"github.com/juju/errors"

	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
)

// budgetCommands declares the commands that show budgets and release stuck
// amounts.
func budgetCommands(app *kingpin.Application, commands map[string]command) {
	cmd := app.Command("budget", "Show what is paid, drawn, spent and stuck; release what is stuck.")
	var id, holder string
	var withHolders bool
	show := cmd.Command("show", "Show budgets.")
	show.Arg("budget", "Id of the budget; none shows all.").StringVar(&id)
	show.Flag("holders", "Show also who has drawn, and what is stuck and why.").BoolVar(&withHolders)
	commands[show.FullCommand()] = func(ctx context.Context, e *env) error {
		return showBudgets(ctx, e, bbunit.BudgetID(id), withHolders)
	}
	release := cmd.Command("release", "State that a holder's instance and those it granted to are gone for good, and give its money back.")
	release.Arg("budget", "Id of the budget.").Required().StringVar(&id)
	release.Arg("holder", "Id of the holder, as budget show --holders prints it.").Required().StringVar(&holder)
	commands[release.FullCommand()] = func(ctx context.Context, e *env) error {
		return releaseBudget(ctx, e, bbunit.BudgetID(id), bbunit.HolderID(holder))
	}
}

// loadBudgets returns the status of every budget in force, sorted by id. It
// combines the tickets with the budget pages. A filter that is not empty
// selects one budget, and errUsage is returned if that budget does not exist.
func loadBudgets(ctx context.Context, e *env, filter bbunit.BudgetID) ([]bbledger.BudgetStatus, error) {
	state, err := bbticket.NewLog(e.store).Load(ctx)
	if err != nil {
		return nil, errors.Trace(err)
	}
	budgets, err := bbledger.ListBudgets(ctx, e.store)
	if err != nil {
		return nil, errors.Trace(err)
	}
	seen := map[bbunit.BudgetID]bool{}
	for i := range budgets {
		b := &budgets[i]
		seen[b.Budget] = true
		// A page is updated to a new ticket only when a holder next draws from
		// the budget. Until then the paid amount is taken from the ticket.
		if current := state.Budgets.Get(b.Budget); current.Number > b.TicketNumber {
			b.Remaining += current.Object.Paid - b.Paid
			b.Paid, b.TicketNumber = current.Object.Paid, current.Number
		}
	}
	for id, b := range state.Budgets.All() {
		if !seen[id] && !b.Object.Deleted {
			budgets = append(budgets, bbledger.BudgetStatus{Budget: id, Paid: b.Object.Paid, TicketNumber: b.Number, Remaining: b.Object.Paid})
		}
	}
	if filter != "" {
		budgets = slices.DeleteFunc(budgets, func(b bbledger.BudgetStatus) bool { return b.Budget != filter })
		if len(budgets) == 0 {
			return nil, errors.WithType(errors.Errorf("budget: unknown: %q", filter), errUsage)
		}
	}
	slices.SortFunc(budgets, func(a, b bbledger.BudgetStatus) int { return cmp.Compare(a.Budget, b.Budget) })
	return budgets, nil
}

func showBudgets(ctx context.Context, e *env, filter bbunit.BudgetID, withHolders bool) error {
	budgets, err := loadBudgets(ctx, e, filter)
	if err != nil {
		return err
	}
	if withHolders && e.opts.Output == formatTable {
		return e.render(budgets, []string{"BUDGET", "HOLDER", "DOMAIN", "DRAWN", "SPENT", "STUCK", "WITNESS OR REASON"}, holderRows(budgets))
	}
	var rows [][]any
	for _, b := range budgets {
		rows = append(rows, []any{b.Budget, b.Paid, b.Drawn, b.Spent, b.Stuck, b.Remaining, len(b.Holders)})
	}
	return e.render(budgets, []string{"BUDGET", "PAID", "DRAWN", "SPENT", "STUCK", "REST", "HOLDERS"}, rows)
}

// holderRows returns one row for each holder and one for each stuck amount.
func holderRows(budgets []bbledger.BudgetStatus) [][]any {
	var rows [][]any
	for _, b := range budgets {
		for _, h := range b.Holders {
			rows = append(rows, []any{b.Budget, h.Holder, h.Domain, h.Drawn, h.Spent, "", h.Witness})
		}
		for _, stuck := range b.StuckGrants {
			rows = append(rows, []any{b.Budget, stuck.Holder, "", "", "", stuck.Amount, stuck.Reason})
		}
	}
	return rows
}

func releaseBudget(ctx context.Context, e *env, budget bbunit.BudgetID, holder bbunit.HolderID) error {
	tokens, err := bbledger.Release(ctx, e.store, budget, holder)
	if errors.Is(err, bbledger.ErrNoHolder) {
		return errors.WithType(err, errUsage)
	}
	if err != nil {
		return errors.Trace(err)
	}
	fmt.Fprintf(e.stderr, "budget %s: %d tokens given back\n", budget, tokens)
	return nil
}

// capBudgets caps every budget that the ticket lowers below its paid amount in
// s, so that holders cannot draw more than the new paid amount before the ticket
// is in force. The caps carry the nonce, which identifies this attempt to apply
// the ticket. The returned function removes the caps; call it if the ticket is
// refused.
func capBudgets(ctx context.Context, e *env, s *bbticket.State, t bbticket.Ticket, nonce string) (func(), error) {
	var capped []bbunit.BudgetID
	undo := func() {
		for _, id := range capped {
			if err := bbledger.Uncap(context.WithoutCancel(ctx), e.store, id, t.Number, nonce); err != nil {
				fmt.Fprintf(e.stderr, "budget %s: the cap of refused ticket %d stands until a ticket sets the budget: %s\n", id, t.Number, err)
			}
		}
	}
	for _, b := range t.Budgets {
		paid := b.Paid
		if b.Deleted {
			paid = 0
		}
		if paid >= s.Budgets.Get(b.ID).Object.Paid {
			continue
		}
		capped = append(capped, b.ID)
		if err := bbledger.Cap(ctx, e.store, b.ID, paid, t.Number, nonce); err != nil {
			undo()
			return func() {}, errors.Trace(err)
		}
	}
	return undo, nil
}
