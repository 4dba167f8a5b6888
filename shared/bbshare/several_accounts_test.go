package bbshare

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// severalSeeds is how many seeds the plays of several accounts have.
var severalSeeds = flag.Uint64("several-seeds", 300, "seeds of the plays of several accounts")

// severalSteps is the number of steps of a play.
const severalSteps = 250

// severalRun is a fleet with several accounts, so that one write has several rows.
// Any write may be executed at any later time.
type severalRun struct {
	*rand.Rand
	store     fakeStore
	accounts  []bbunit.AccountID
	paid      bbunit.Tokens // by each account
	spent     map[bbunit.AccountID]bbunit.Tokens
	instances []*severalInstance
	now       time.Time
	parsed    map[bbunit.AccountID]parsedRow
}

// parsedRow is a row of the store at a revision.
type parsedRow struct {
	rev bbstore.Revision
	row Row
}

// severalInstance is an instance with the reservations of its requests in flight.
type severalInstance struct {
	allocator   *Allocator
	inFlight    map[bbunit.AccountID][]bbunit.Tokens
	incarnation int
}

func newSeveralRun(seed uint64) *severalRun {
	s := &severalRun{Rand: rand.New(rand.NewPCG(seed, 0)), store: fakeStore{rows: map[string]bbstore.Entry{}}, spent: map[bbunit.AccountID]bbunit.Tokens{}, now: time.Unix(1000, 0), parsed: map[bbunit.AccountID]parsedRow{}}
	s.paid = bbunit.Tokens(100 + s.IntN(2000))
	for i := range 2 + s.IntN(3) {
		s.accounts = append(s.accounts, bbunit.AccountID(fmt.Sprint("account-", i)))
	}
	for i := range 1 + s.IntN(4) {
		s.instances = append(s.instances, &severalInstance{})
		s.start(i)
	}
	return s
}

// start starts an instance again: what was in flight was run by targets.
func (s *severalRun) start(i int) {
	in := s.instances[i]
	for id, reserved := range in.inFlight {
		for _, n := range reserved {
			s.spent[id] += n
		}
	}
	in.incarnation++
	in.inFlight = map[bbunit.AccountID][]bbunit.Tokens{}
	name := bbunit.InstanceID(fmt.Sprint("i", i))
	in.allocator = NewAllocator(NewHolderID(name, name, fmt.Sprint(in.incarnation)), "m/", DefaultPolicy())
	for _, id := range s.accounts {
		in.allocator.SetPaid(id, s.paid)
	}
}

// write carries out a write: most take effect, some of these without an answer;
// others take effect later or never.
func (s *severalRun) write(a *Allocator, w *RowWrite) {
	if w == nil {
		return
	}
	outcome := s.IntN(8)
	if outcome < 2 {
		s.store.delayed = append(s.store.delayed, w)
	}
	if outcome < 4 {
		if outcome == 3 {
			_, _, _ = s.store.apply(w)
		}
		a.FinishWrite(w, 0, nil, bbstore.ErrUnknown)
		return
	}
	rev, current, err := s.store.apply(w)
	a.FinishWrite(w, rev, current, err)
}

// step does one thing at random.
func (s *severalRun) step() {
	i := s.IntN(len(s.instances))
	in, id := s.instances[i], s.accounts[s.IntN(len(s.accounts))]
	balance := in.allocator.Account(id).Balance
	switch p := s.IntN(100); {
	case p < 35:
		most := int(s.paid) / []int{3, 20, 100}[s.IntN(3)]
		n := bbunit.Tokens(1 + s.IntN(most+1))
		if !balance.Reserve(n) {
			end := balance.Await(n)
			s.write(in.allocator, in.allocator.NextWrite(len(s.instances), true))
			end()
			if !balance.Reserve(n) {
				return
			}
		}
		in.inFlight[id] = append(in.inFlight[id], n)
	case p < 55:
		if reserved := in.inFlight[id]; len(reserved) > 0 {
			used := bbunit.Tokens(s.IntN(int(reserved[0]) + 1))
			balance.Commit(reserved[0], used)
			s.spent[id] += used
			in.inFlight[id] = reserved[1:]
		}
	case p < 60: // no requests for a while: shares are given back
		for range 20 {
			s.now = s.now.Add(time.Second)
			in.allocator.Tick(s.now)
		}
	case p < 82:
		s.now = s.now.Add(time.Duration(s.IntN(3000)) * time.Millisecond)
		in.allocator.Tick(s.now)
		s.write(in.allocator, in.allocator.NextWrite(len(s.instances), true))
	case p < 90:
		if n := len(s.store.delayed); n > 0 { // also of incarnations that have ended
			late := s.IntN(n)
			_, _, _ = s.store.apply(s.store.delayed[late])
			s.store.delayed = append(s.store.delayed[:late], s.store.delayed[late+1:]...)
		}
	case p < 94:
		if to := s.instances[s.IntN(len(s.instances))]; to != in {
			lent := in.allocator.Account(id).LendUpTo(bbunit.Tokens(s.IntN(int(s.paid))))
			if s.IntN(4) > 0 {
				to.allocator.Account(id).AddLoan(lent)
			}
		}
	case p < 96:
		s.stop(i)
	case p < 97:
		s.start(i)
	default:
		in.allocator.SetHome(id, s.IntN(2) == 0, s.IntN(2) == 0)
	}
}

// stop closes an instance in order, with up to three tries, as its requests end, and
// starts it again.
func (s *severalRun) stop(i int) {
	in := s.instances[i]
	in.allocator.Drain()
	for range 1 + s.IntN(3) {
		for id, reserved := range in.inFlight {
			if len(reserved) > 0 && s.IntN(2) == 0 {
				used := bbunit.Tokens(s.IntN(int(reserved[0]) + 1))
				in.allocator.Account(id).Balance.Commit(reserved[0], used)
				s.spent[id] += used
				in.inFlight[id] = reserved[1:]
			}
		}
		s.write(in.allocator, in.allocator.Close())
		if n := len(s.store.delayed); n > 0 && s.IntN(2) == 0 {
			_, _, _ = s.store.apply(s.store.delayed[n-1])
		}
	}
	s.start(i)
}

// overspent returns an account of which more was spent, or is reserved, than was
// paid, and how much.
func (s *severalRun) overspent() (bbunit.AccountID, bbunit.Tokens) {
	for _, id := range s.accounts {
		sum := s.spent[id]
		for _, in := range s.instances {
			for _, n := range in.inFlight[id] {
				sum += n
			}
		}
		if sum > s.paid {
			return id, sum
		}
	}
	return "", 0
}

// unfounded returns a holder that relies on more than the store's row grants to it.
func (s *severalRun) unfounded() string {
	for _, id := range s.accounts {
		entry := s.store.rows["m/"+string(id)]
		if s.parsed[id].rev != entry.Rev {
			row, err := ParseRow(entry.Value)
			if err != nil {
				return err.Error()
			}
			s.parsed[id] = parsedRow{entry.Rev, row}
		}
		for _, in := range s.instances {
			share := in.allocator.Account(id)
			if granted := s.parsed[id].row.Holders[in.allocator.Holder].Granted; !share.fenced && share.granted > granted {
				return fmt.Sprintf("%s relies on %d of %s, the row grants %d", in.allocator.Holder, share.granted, id, granted)
			}
		}
	}
	return ""
}

// TestNoAccountOfSeveralIsOverspent guards against an account that is granted twice:
// a write without an answer, of several rows, is executed seconds later, after its
// holder took another row's conflict for the outcome.
func TestNoAccountOfSeveralIsOverspent(t *testing.T) {
	for seed := range *severalSeeds {
		s := newSeveralRun(seed)
		for step := range severalSteps {
			s.step()
			if text := s.unfounded(); text != "" {
				t.Fatalf("seed %d, step %d: %s", seed, step, text)
			}
			if id, sum := s.overspent(); sum > 0 {
				t.Fatalf("seed %d, step %d, %d instances: %d of %d paid by %s are spent", seed, step, len(s.instances), sum, s.paid, id)
			}
		}
	}
}

// TestReturnedTokensAreNotTakenBack guards against a holder that takes what it gave
// back for its own again, as it sees the row without its unanswered write, which is
// executed then.
func TestReturnedTokensAreNotTakenBack(t *testing.T) {
	is := is.New(t)
	s := newSimulation(1, 1000)
	a := s.instances[0].allocator
	is.True(s.reserve(0, 300))
	balance := a.Account(account).Balance
	balance.Commit(300, 0)
	a.Drain()
	w := a.NextWrite(1, true) // gives back what it has
	is.True(w != nil)
	a.FinishWrite(w, 0, nil, bbstore.ErrUnknown)
	kept := balance.Available()
	a.ApplyRows(s.store.current(w)) // not executed yet
	is.Equal(balance.Available(), kept)
	_, _, err := s.store.apply(w)
	is.NoErr(err)
	a.ApplyRows(s.store.current(w))
	is.Equal(balance.Available(), kept)
}

// TestReturnThatWasNotExecutedIsTakenBack guards against tokens that are lost to
// their account: a write that gave them back was not executed, and never will be.
func TestReturnThatWasNotExecutedIsTakenBack(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2, 1000)
	a := s.instances[0].allocator
	is.True(s.reserve(0, 300))
	balance := a.Account(account).Balance
	balance.Commit(300, 0)
	had := balance.Available()
	a.Drain()
	w := a.NextWrite(2, true)
	a.FinishWrite(w, 0, nil, bbstore.ErrUnknown)
	is.True(s.reserve(1, 10)) // another holder's write: the row has passed the revision
	a.ApplyRows(s.store.current(w))
	is.Equal(balance.Available(), had)
}

// TestShareIsUsableAfterAnUncertainFirstWrite guards against a holder that refuses an
// account until it restarts, as it takes itself for closed: its first write, which
// gave back borrowed tokens, was not executed.
func TestShareIsUsableAfterAnUncertainFirstWrite(t *testing.T) {
	is := is.New(t)
	s := newSimulation(2, 1000)
	is.True(s.reserve(1, 100)) // the lender
	s.instances[1].allocator.Account(account).Balance.Commit(100, 0)
	lent := s.instances[1].allocator.Account(account).LendUpTo(100)
	a := s.instances[0].allocator
	share := a.Account(account)
	a.ApplyRows(s.store.current(&RowWrite{Rows: []bbstore.Entry{{Key: "m/" + string(account)}}}))
	share.AddLoan(lent)
	a.Drain()
	w := a.NextWrite(2, true)
	is.True(w != nil)
	a.FinishWrite(w, 0, nil, bbstore.ErrUnknown) // not executed
	is.True(s.reserve(1, 150))                   // another holder's write passes the revision
	a.ApplyRows(s.store.current(w))
	a.draining = false
	is.True(s.reserve(0, 200))
}
