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
