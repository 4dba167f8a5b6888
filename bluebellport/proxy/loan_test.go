package bbproxy

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbplan"
	"bluebellport.example/shared/bbshare"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

const lentAccount bbunit.AccountID = "a"

// loanFleet is an instance whose account is granted whole to others, and these.
type loanFleet struct {
	shares *shareController
	plan   *bbplan.Account
	asked  map[bbunit.InstanceID]int // how often each was asked
}

// newLoanFleet returns a fleet of lenders with what each is granted and has, and what life
// of it answers. One that has less than nothing does not answer.
func newLoanFleet(t *testing.T, granted, has []bbunit.Tokens, life string) *loanFleet {
	is := is.New(t)
	f := &loanFleet{asked: map[bbunit.InstanceID]int{}}
	network := newFakeNetwork()
	row := bbshare.Row{Holders: map[bbunit.HolderID]bbshare.Grant{}}
	paid := bbunit.Tokens(0)
	for i, g := range granted {
		id := bbunit.InstanceID(fmt.Sprintf("lender%d", i))
		row.Holders[bbshare.NewHolderID(id, id, "1")] = bbshare.Grant{Granted: g}
		paid += g
		left := has[i]
		network.newPeer(id, "d").Handle(&bbwire.Envelope{Body: &bbwire.Envelope_Loanask{}}, func(_ bbunit.InstanceID, e *bbwire.Envelope) *bbwire.Envelope {
			f.asked[id]++
			if left < 0 {
				time.Sleep(2 * loanTimeout)
				return nil
			}
			lent := min(bbunit.Tokens(e.GetLoanask().Tokens), left)
			left -= lent
			return &bbwire.Envelope{Body: &bbwire.Envelope_Loantell{Loantell: &bbwire.LoanTell{
				Account: string(lentAccount), Tokens: int64(lent), Held: int64(left), Covered: true, Holder: string(bbshare.NewHolderID(id, id, life)),
			}}}
		})
	}
	mem := &callStore{Mem: bbstore.NewMem()}
	_, err := mem.CAS(t.Context(), sharesPrefix+string(lentAccount), row.Encode(), 0, 0)
	is.NoErr(err)
	f.plan = &bbplan.Account{ID: lentAccount, Paid: paid, Prepaid: true}
	board := &Board{}
	board.Plan.Store(&bbplan.Plan{Version: 1, Accounts: map[bbunit.AccountID]*bbplan.Account{lentAccount: f.plan}})
	f.shares = newShareController(mem, board, quietLog(), time.Now, "asker@asker/1")
	f.shares.loans = newPeerLoans(f.shares, network.newPeer("asker", "d"))
	f.shares.readAll(t.Context())
	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan struct{})
	go func() {
		f.shares.run(ctx)
		close(ended)
	}()
	t.Cleanup(func() {
		cancel()
		<-ended
	})
	return f
}

// reserve tries to reserve tokens for a request, again as a caller would, and returns the
// last refusal.
func (f *loanFleet) reserve(n bbunit.Tokens) *Refusal {
	var refusal *Refusal
	for range 5 {
		if _, refusal = f.shares.reserve(f.plan, n, time.Now().Add(time.Second), nil); refusal == nil {
			return nil
		}
		time.Sleep(loanInterval)
	}
	return refusal
}

// Those that the row takes for the richest have nothing or don't answer.
func TestTokensOfEachHolderAreReached(t *testing.T) {
	is := is.New(t)
	f := newLoanFleet(t, []bbunit.Tokens{90_000, 80_000, 70_000, 60_000, 50_000, 40_000}, []bbunit.Tokens{0, -1, 0, -1, 0, 40_000}, "1")
	is.True(f.reserve(5000) == nil)
	is.True(f.asked["lender0"] <= 2)
}

// Only former lives of instances held what the row has for others.
func TestTokensOfTheDeadAreNotAwaited(t *testing.T) {
	is := is.New(t)
	f := newLoanFleet(t, []bbunit.Tokens{90_000, 80_000}, []bbunit.Tokens{0, 0}, "2")
	refusal := f.reserve(5000)
	is.True(refusal != nil)
	is.Equal(refusal.Status, 402)
}

// callStore is a store whose calls are not counted.
type callStore struct{ *bbstore.Mem }

func (callStore) Calls() map[string]int64 { return nil }

func (callStore) Era() bbstore.Era { return 0 }
