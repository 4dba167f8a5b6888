package bbledger

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// operatorStore returns a store with budget b: 100 paid, 30 drawn of which 10 are
// reported spent, 5 stuck, 20 settled.
func operatorStore(t *testing.T) *bbstore.Mem {
	m := bbstore.NewMem()
	p := &bbwire.Page{Entries: []*bbwire.Entry{{
		Budget: "b", Paid: 100, Number: 3, Settled: 20,
		Holders: []*bbwire.Holder{{Holder: "k/1/0-1", Domain: "d", Drawn: 30, Spent: 10}},
		Stuck:   []*bbwire.Stuck{{Holder: "k/1/0-1", Grantee: "g/1", Amount: 5}},
	}}}
	value, err := EncodePage(p)
	if err != nil {
		t.Fatal(err)
	}
	if _, err := m.CAS(context.Background(), PageKey(PageOf("b")), value, 0, 0); err != nil {
		t.Fatal(err)
	}
	return m
}

func budgetB(t *testing.T, m bbstore.Store) BudgetStatus {
	all, err := ListBudgets(context.Background(), m)
	if err != nil {
		t.Fatal(err)
	}
	return all[0]
}

func TestCap(t *testing.T) {
	ctx := context.Background()
	for _, c := range []struct {
		name   string
		paid   bbunit.Tokens
		number bbunit.TicketNumber
		nonce  string
		err    error
	}{
		{"lowers", 60, 4, "n", nil},
		{"to what is charged", 55, 4, "n", nil},
		{"below what is charged", 54, 4, "n", ErrBelowCharged},
		{"negative", -1, 4, "n", ErrAmountRange},
		{"too large", MaxPaid + 1, 4, "n", ErrAmountRange},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := operatorStore(t)
			m.SetFaults(bbstore.Faults{LoseNextAnswers: 1}) // the first answer is lost, so the write is repeated
			err := Cap(ctx, m, "b", c.paid, c.number, c.nonce)
			is.True(errors.Is(err, c.err))
			s := budgetB(t, m)
			is.Equal(s.Capped, c.err == nil)
			if c.err == nil {
				is.Equal(s.Remaining, c.paid-55)
			} else {
				is.Equal(s.Remaining, bbunit.Tokens(45))
			}
		})
	}
}

func TestCapOfRacingTickets(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := operatorStore(t)
	is.NoErr(Cap(ctx, m, "b", 60, 4, "one"))
	is.True(errors.Is(Cap(ctx, m, "b", 70, 4, "two"), ErrCapped))
	is.NoErr(Uncap(ctx, m, "b", 4, "two"))
	is.Equal(budgetB(t, m).Cap, bbunit.Tokens(60)) // another nonce removes nothing
	is.NoErr(Cap(ctx, m, "b", 90, 5, "three"))
	is.Equal(budgetB(t, m).Cap, bbunit.Tokens(60)) // ticket 4 may have been accepted
	is.NoErr(Uncap(ctx, m, "b", 5, "three"))
	is.True(!budgetB(t, m).Capped)
}

func TestRelease(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	m := operatorStore(t)
	_, err := Release(ctx, m, "b", "x")
	is.True(errors.Is(err, ErrNoHolder))
	for _, c := range []struct{ released, settled, remaining bbunit.Tokens }{
		{5, 20, 50},  // the grantee's stuck amount
		{20, 30, 70}, // what the holder has drawn beyond its reported spending
	} {
		m.SetFaults(bbstore.Faults{LoseNextAnswers: 1})
		n, err := Release(ctx, m, "b", "k/1/0-1")
		is.NoErr(err)
		is.Equal(n, c.released)
		s := budgetB(t, m)
		is.Equal(s.Settled, c.settled)
		is.Equal(s.Remaining, c.remaining)
	}
	_, err = Release(ctx, m, "b", "k/1/0-1")
	is.True(errors.Is(err, ErrNoHolder))
}

func TestReleaseKeepsWhatIsKnownToBeSpent(t *testing.T) {
	is := is.New(t)
	e := &bbwire.Entry{Budget: "b", Paid: 100}
	addStuck(e, "k/1/0-1", granteePeer, 5, 12)
	n, err := ReleaseEntry(e, "k/1/0-1")
	is.NoErr(err)
	is.Equal(n, bbunit.Tokens(5))
	is.Equal(e.Settled, int64(12))
}

func TestApplyTicketIgnoresOlderTickets(t *testing.T) {
	for _, c := range []struct {
		name        string
		entry       *bbwire.Entry
		ticket      bbticket.Numbered[bbticket.Budget]
		stateNumber bbunit.TicketNumber
		changed     bool
		limit       bbunit.Tokens
	}{
		{"top-up", &bbwire.Entry{Paid: 100, Number: 3}, numbered(4, 150), 4, true, 150},
		{"older", &bbwire.Entry{Paid: 100, Number: 3}, numbered(2, 150), 4, false, 100},
		{"same", &bbwire.Entry{Paid: 100, Number: 3}, numbered(3, 150), 4, false, 100},
		{"cap holds until its ticket", &bbwire.Entry{Paid: 100, Number: 3, Cap: 60, Capnumber: 5}, numbered(4, 150), 4, true, 60},
		{"cap carried out", &bbwire.Entry{Paid: 100, Number: 3, Cap: 60, Capnumber: 5}, numbered(5, 60), 5, true, 60},
		{"cap of a ticket that was not accepted", &bbwire.Entry{Paid: 100, Number: 3, Cap: 60, Capnumber: 5}, numbered(3, 100), 5, true, 100},
		{"negative amount", &bbwire.Entry{Paid: 100, Number: 3}, numbered(4, -5), 4, true, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			e := c.entry
			e.Budget = "b"
			st := &bbticket.State{Number: c.stateNumber}
			st.Budgets = st.Budgets.Set("b", c.ticket)
			is.Equal(applyTicket(e, st), c.changed)
			is.Equal(EffectiveLimit(e), c.limit)
		})
	}
}

func numbered(n bbunit.TicketNumber, paid bbunit.Tokens) bbticket.Numbered[bbticket.Budget] {
	return bbticket.Numbered[bbticket.Budget]{Number: n, Object: bbticket.Budget{ID: "b", Paid: paid}}
}

func TestDecodePageRejectsMalformedValues(t *testing.T) {
	is := is.New(t)
	_, err := DecodePage([]byte{0xff, 0xff})
	is.True(errors.Is(err, ErrMalformedPage))
	p, err := DecodePage(nil)
	is.NoErr(err)
	is.Equal(len(p.Entries), 0)
}

func TestStuckAmountsKeepSpentApartForAnyGranteeName(t *testing.T) {
	is := is.New(t)
	oddPeer := Peer{"spent:g", 1}
	e := &bbwire.Entry{Budget: "b", Paid: 100}
	addStuck(e, "k/1/0-1", granteePeer, 5, 12)
	addStuck(e, "k/1/0-1", oddPeer, 7, 3)
	is.Equal(Charged(e), bbunit.Tokens(27))
	is.Equal(StatusOf(e).Stuck, bbunit.Tokens(12))
	is.Equal(StatusOf(e).Spent, bbunit.Tokens(15))
	is.Equal(dropStuck(e, "k/1/0-1", granteePeer), int64(12))
	is.Equal(stuckKeys(e), []granteeKey{{"k/1/0-1", oddPeer}}) // the other grantee's amount stays
	is.Equal(Charged(e), bbunit.Tokens(10))
}
