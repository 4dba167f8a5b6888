package bbshare

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// TestCloseOfManyAccountsTakesSeveralWrites guards against a stop that returns nothing
// of many accounts, because one write has more rows than the store takes.
func TestCloseOfManyAccountsTakesSeveralWrites(t *testing.T) {
	is := is.New(t)
	store := fakeStore{rows: map[string]bbstore.Entry{}}
	const accounts = 100
	a := NewAllocator(NewHolderID("i0", "i0", "1"), "m/", DefaultPolicy())
	for i := range accounts {
		id := bbunit.AccountID(fmt.Sprint(i))
		a.SetPaid(id, 1000)
		defer a.Account(id).Balance.Await(10)()
	}
	a.Tick(time.Unix(1000, 0))
	for range 16 {
		if w := a.NextWrite(1, true); w != nil {
			rev, current, err := store.apply(w)
			is.Equal(len(a.FinishWrite(w, rev, current, err)), 0)
		}
	}
	is.Equal(len(store.rows), accounts)
	writes := 0
	for w := a.Close(); w != nil; w = a.Close() {
		is.True(len(w.Rows) <= DefaultPolicy().MaxRowsPerWrite)
		rev, current, err := store.apply(w)
		is.Equal(len(a.FinishWrite(w, rev, current, err)), 0)
		writes++
	}
	is.Equal(writes, 4)
	for _, e := range store.rows {
		row, err := ParseRow(e.Value)
		is.NoErr(err)
		is.Equal(row.TotalGranted(), bbunit.Tokens(0))
	}
}

// TestCloseIsTriedAgainAfterALostAnswer guards against borrowed tokens that count as
// spent because the write that gave them back was lost once.
func TestCloseIsTriedAgainAfterALostAnswer(t *testing.T) {
	for _, outcome := range []int{1, 3} { // the write took effect, or never does
		is := is.New(t)
		s := newSimulation(2, 1000)
		is.True(s.reserve(0, 1))
		borrower := s.instances[1].allocator
		lent := s.instances[0].allocator.Account(account).LendUpTo(100)
		is.True(lent > 0)
		borrower.Account(account).AddLoan(lent)
		is.Equal(len(borrower.ApplyRows([]bbstore.Entry{s.store.rows["m/"+string(account)]})), 0)
		s.write(1, borrower.Close(), outcome)
		for range 3 {
			s.write(1, borrower.Close(), 0)
		}
		is.True(borrower.Close() == nil)
		row, err := ParseRow(s.store.rows["m/"+string(account)].Value)
		is.NoErr(err)
		is.Equal(row.Closed, -lent)
	}
}
