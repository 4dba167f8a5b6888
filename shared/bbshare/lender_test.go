package bbshare

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// newLentShare returns an allocator that knows a row with these grants, and the account's
// share.
func newLentShare(t *testing.T, rev bbstore.Revision, grants map[bbunit.HolderID]Grant) (*Allocator, *AccountShare) {
	a := NewAllocator("x@x/1", "", DefaultPolicy())
	a.SetPaid("a", 1000)
	is.New(t).Equal(len(a.ApplyRows([]bbstore.Entry{{Key: "a", Value: Row{Holders: grants}.Encode(), Rev: rev}})), 0)
	return a, a.Account("a")
}

// The row is older than the lenders' own words.
func TestLenderWithoutTokensComesLast(t *testing.T) {
	is := is.New(t)
	a, s := newLentShare(t, 1, map[bbunit.HolderID]Grant{"p@p/1": {Granted: 90}, "q@q/1": {Granted: 80}, "r@r/1": {Granted: 70, Spent: 30}})
	is.Equal(s.Lenders(a.Holder), []Lender{{"p", 90}, {"q", 80}, {"r", 40}})
	s.RecordLender("p", "p@p/1", 0)
	s.RecordLender("q", "q@q/1", 10)
	is.Equal(s.Lenders(a.Holder), []Lender{{"r", 40}, {"q", 10}})
	is.Equal(s.UnspentByOthers(a.Holder), bbunit.Tokens(210)) // requests there may give it back

	a.ApplyRows([]bbstore.Entry{{Key: "a", Value: Row{Holders: map[bbunit.HolderID]Grant{"p@p/1": {Granted: 95}, "q@q/1": {Granted: 80}}}.Encode(), Rev: 2}})
	is.Equal(s.Lenders(a.Holder), []Lender{{"p", 95}, {"q", 10}}) // p was granted more since
	for range lenderWordTicks {
		a.Tick(time.Unix(1, 0))
	}
	is.Equal(s.Lenders(a.Holder), []Lender{{"p", 95}, {"q", 80}})
}

// The new life is not taken for the former one either.
func TestFormerLifeOfALenderHasNothing(t *testing.T) {
	is := is.New(t)
	a, s := newLentShare(t, 1, map[bbunit.HolderID]Grant{"p@p/1": {Granted: 90}, "q@q/1": {Granted: 80}})
	s.RecordLender("q", "", 80) // of the build before
	is.Equal(s.UnspentByOthers(a.Holder), bbunit.Tokens(170))
	s.RecordLender("p", "p@p/2", 0)
	is.Equal(s.UnspentByOthers(a.Holder), bbunit.Tokens(80))
	is.True(!s.Covers(950, a.Holder)) // of 1000, 830 are free
	is.True(s.Covers(900, a.Holder))

	a.ApplyRows([]bbstore.Entry{{Key: "a", Value: Row{Closed: 90, Holders: map[bbunit.HolderID]Grant{"p@p/2": {Granted: 60}, "q@q/1": {Granted: 80}}}.Encode(), Rev: 2}})
	a.Tick(time.Unix(1, 0))
	is.Equal(s.UnspentByOthers(a.Holder), bbunit.Tokens(140))
	is.Equal(s.Lenders(a.Holder), []Lender{{"q", 80}, {"p", 60}})
}
