package bbledger

import (
	"context"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Sentinel errors of the calls for operators, tested with errors.Is.
const (
	// ErrBelowCharged means that a budget cannot be lowered to an amount because
	// more is already drawn, settled or stuck.
	ErrBelowCharged = errors.ConstError("budget below what is drawn")
	// ErrNoHolder means that the budget's entry has no such holder.
	ErrNoHolder = errors.ConstError("holder not found")
	// ErrCapped means that another pending ticket has capped the budget.
	ErrCapped = errors.ConstError("budget capped by another ticket")
	// ErrBusy means that another writer changed the page during every attempt.
	ErrBusy = errors.ConstError("budget page changed during every attempt")
)

// maxEditAttempts is how often a call for operators tries to write a page.
const maxEditAttempts = 20

// BudgetStatus is the state of one budget as recorded on its page, in tokens.
type BudgetStatus struct {
	Budget       bbunit.BudgetID     `json:"budget"`
	Paid         bbunit.Tokens       `json:"paid"`
	TicketNumber bbunit.TicketNumber `json:"number"`
	Capped       bool                `json:"capped,omitempty"`
	Cap          bbunit.Tokens       `json:"cap,omitempty"`
	Settled      bbunit.Tokens       `json:"settled"`
	Drawn        bbunit.Tokens       `json:"drawn"`
	Spent        bbunit.Tokens       `json:"spent"` // settled, or reported as spent by holders and stuck grantees
	Stuck        bbunit.Tokens       `json:"stuck"`
	Remaining    bbunit.Tokens       `json:"rest"`
	Holders      []HolderStatus      `json:"holders,omitempty"`
	StuckGrants  []StuckStatus       `json:"stucks,omitempty"`
}

// HolderStatus is one holder's draw on a budget.
type HolderStatus struct {
	Holder  bbunit.HolderID `json:"holder"`
	Domain  bbunit.DomainID `json:"domain"`
	Drawn   bbunit.Tokens   `json:"drawn"`
	Spent   bbunit.Tokens   `json:"spent"` // as last written
	Witness string          `json:"witness"`
}

// StuckStatus is an amount that a grantee has not accounted for, and the reason why
// it stays charged to the budget.
type StuckStatus struct {
	Holder  bbunit.HolderID `json:"holder"`
	Grantee string          `json:"grantee"`
	Amount  bbunit.Tokens   `json:"amount"`
	Reason  string          `json:"why"`
}

// StatusOf returns the status of an entry's budget.
func StatusOf(e *bbwire.Entry) BudgetStatus {
	s := BudgetStatus{
		Budget: bbunit.BudgetID(e.Budget), Paid: bbunit.Tokens(e.Paid), TicketNumber: bbunit.TicketNumber(e.Number),
		Settled: bbunit.Tokens(e.Settled), Spent: bbunit.Tokens(e.Settled), Remaining: Remaining(e),
	}
	if e.Capnumber > e.Number {
		s.Capped, s.Cap = true, bbunit.Tokens(e.Cap)
	}
	for _, h := range e.Holders {
		s.Drawn += bbunit.Tokens(h.Drawn)
		s.Spent += bbunit.Tokens(h.Spent)
		s.Holders = append(s.Holders, HolderStatus{
			Holder: bbunit.HolderID(h.Holder), Domain: bbunit.DomainID(h.Domain),
			Drawn: bbunit.Tokens(h.Drawn), Spent: bbunit.Tokens(h.Spent), Witness: h.Witness,
		})
	}
	for _, x := range e.Stuck {
		s.Spent += bbunit.Tokens(x.Spent)
		if x.Amount == 0 {
			continue
		}
		s.Stuck += bbunit.Tokens(x.Amount)
		s.StuckGrants = append(s.StuckGrants, StuckStatus{
			Holder: bbunit.HolderID(x.Holder), Grantee: x.Grantee, Amount: bbunit.Tokens(x.Amount),
			Reason: "granted to " + x.Grantee + ", which has not given its final account",
		})
	}
	return s
}

// ListBudgets reads the budgets of all pages. It blocks on the store.
func ListBudgets(ctx context.Context, store bbstore.Store) ([]BudgetStatus, error) {
	list, _, err := store.List(ctx, PagePrefix)
	if err != nil {
		return nil, errors.Annotate(err, "list budget pages")
	}
	var out []BudgetStatus
	for _, x := range list {
		p, err := DecodePage(x.Value)
		if err != nil {
			return nil, errors.Annotate(err, x.Key)
		}
		for _, e := range p.Entries {
			out = append(out, StatusOf(e))
		}
	}
	return out, nil
}

// Cap limits a budget to paid until the ticket of that number is in force, so that
// the ticket can lower the budget without overspending it. It returns
// ErrBelowCharged when more than paid is charged, and ErrCapped when a ticket of
// that number or a later one, with another nonce, has capped the budget. A repeat
// with the same nonce changes nothing. It blocks on the store.
func Cap(ctx context.Context, store bbstore.Store, b bbunit.BudgetID, paid bbunit.Tokens, number bbunit.TicketNumber, nonce string) error {
	if err := CheckAmount(paid); err != nil {
		return err
	}
	return editEntry(ctx, store, b, func(e *bbwire.Entry) error {
		if e.Capnumber >= uint64(number) && e.Capnonce != nonce && e.Capnumber > e.Number {
			return errors.Annotatef(ErrCapped, "budget %s, ticket %d, nonce %s", b, e.Capnumber, e.Capnonce)
		}
		if t := Charged(e); t > paid {
			return errors.Annotatef(ErrBelowCharged, "budget %s: %d tokens are drawn, settled or stuck, cannot be capped at %d", b, t, paid)
		}
		if e.Capnumber > e.Number {
			paid = min(paid, bbunit.Tokens(e.Cap)) // the earlier ticket may have been accepted and need its cap
		}
		e.Cap, e.Capnumber, e.Capnonce = int64(paid), uint64(number), nonce
		return nil
	})
}

// Uncap removes the cap if it has that number and nonce. It blocks on the store.
func Uncap(ctx context.Context, store bbstore.Store, b bbunit.BudgetID, number bbunit.TicketNumber, nonce string) error {
	return editEntry(ctx, store, b, func(e *bbwire.Entry) error {
		if e.Capnumber == uint64(number) && e.Capnonce == nonce {
			e.Cap, e.Capnumber, e.Capnonce = 0, 0, ""
		}
		return nil
	})
}

// Release gives the amounts that are stuck under a holder back to the budget; when
// there are none, it removes the holder and gives back what the holder has drawn
// beyond its reported spending. It is for an operator who knows that the instances
// concerned are gone for good: no other call frees tokens that may still be spent.
// It returns the tokens given back, or ErrNoHolder. It blocks on the store.
func Release(ctx context.Context, store bbstore.Store, b bbunit.BudgetID, h bbunit.HolderID) (bbunit.Tokens, error) {
	var released bbunit.Tokens
	var attempted, hadStuck bool
	err := editEntry(ctx, store, b, func(e *bbwire.Entry) error {
		hasStuck := len(granteesStuckUnder(e, h)) > 0
		if !attempted {
			attempted, hadStuck = true, hasStuck
		} else if hadStuck && !hasStuck || !hadStuck && findHolder(e, h) == nil {
			return nil // an earlier attempt of this call took effect
		}
		n, err := ReleaseEntry(e, h)
		released = n
		return err
	})
	if err != nil {
		return 0, err
	}
	return released, nil
}

// granteesStuckUnder lists the grantees whose amounts are stuck under a holder.
func granteesStuckUnder(e *bbwire.Entry, h bbunit.HolderID) []Peer {
	var out []Peer
	for _, key := range stuckKeys(e) {
		if key.holder == h && findStuck(e, h, key.grantee).Amount > 0 {
			out = append(out, key.grantee)
		}
	}
	return out
}

// ReleaseEntry applies Release to an entry in memory.
func ReleaseEntry(e *bbwire.Entry, h bbunit.HolderID) (bbunit.Tokens, error) {
	before := Charged(e)
	grantees, draw := granteesStuckUnder(e, h), findHolder(e, h)
	switch {
	case len(grantees) > 0:
		for _, g := range grantees {
			e.Settled += dropStuck(e, h, g)
		}
	case draw != nil:
		e.Settled += draw.Spent
		dropHolder(e, h)
	default:
		return 0, errors.Annotatef(ErrNoHolder, "budget %s, holder %s", e.Budget, h)
	}
	return before - Charged(e), nil
}

// editEntry applies fn to one entry by compare-and-swap, with up to maxEditAttempts.
// After a write of unknown outcome it reads the page and applies fn again, so fn
// must be idempotent.
func editEntry(ctx context.Context, store bbstore.Store, b bbunit.BudgetID, fn func(*bbwire.Entry) error) error {
	key := PageKey(PageOf(b))
	for range maxEditAttempts {
		x, err := store.Get(ctx, key)
		if err != nil {
			return errors.Annotate(err, key)
		}
		p, err := DecodePage(x.Value)
		if err != nil {
			return errors.Annotate(err, key)
		}
		before := clonePage(p)
		if err := fn(ensureEntry(p, b)); err != nil {
			return err
		}
		if proto.Equal(before, p) {
			return nil
		}
		value, err := EncodePage(p)
		if err != nil {
			return errors.Trace(err)
		}
		_, err = store.CAS(ctx, key, value, x.Rev, 0)
		if err == nil {
			return nil
		}
		if !errors.Is(err, bbstore.ErrConflict) && !errors.Is(err, bbstore.ErrUnknown) {
			return errors.Annotate(err, key)
		}
	}
	return errors.Annotatef(ErrBusy, "%s", key)
}
