package bbshare

import (
	"flag"
	"fmt"
	"maps"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// eraSeeds is how many seeds each simulation of eras has.
var eraSeeds = flag.Uint64("era-seeds", 50, "seeds of each simulation of a store that goes back")

const (
	// eraStep is the time between two steps of an eraRun.
	eraStep = 100 * time.Millisecond
	// maxEraDelay is how long an instance that does not write may take to learn
	// that the store went back: it renews its entry in the list of instances.
	maxEraDelay = 2500 * time.Millisecond
	// minEraGap is the time between two times at which the store goes back.
	minEraGap = 15 * time.Second
)

// eraRun is a simulation whose store goes back to copies of itself.
type eraRun struct {
	*simulation
	r       *rand.Rand
	era     bbstore.Era
	copies  []map[string]bbstore.Entry // one a step
	knownAt []time.Time                // when each instance learns of the era at the latest
	stable  int                        // steps until instances may be killed again
}

// goBack replaces the rows by the copy of some steps before.
func (e *eraRun) goBack(steps int) {
	e.era++
	e.store.rows = map[string]bbstore.Entry{}
	for key, row := range e.copies[max(len(e.copies)-1-steps, 0)] {
		row.Rev = bbstore.NewRevision(e.era, row.Rev.Counter())
		e.store.rows[key] = row
	}
	e.store.rev = bbstore.NewRevision(e.era, max(e.store.rev.Counter()-int64(steps), 1))
	for i := range e.knownAt {
		e.knownAt[i] = e.now.Add(time.Duration(e.r.Int64N(int64(maxEraDelay))))
	}
}

// step lets each instance send requests and write.
func (e *eraRun) step(n int) {
	e.now = e.now.Add(eraStep)
	for i, in := range e.instances {
		if !e.now.Before(e.knownAt[i]) {
			in.allocator.SetEra(e.era)
		}
		if (n+i)%10 == 0 {
			in.allocator.Tick(e.now)
		}
		balance := in.allocator.Account(account).Balance
		for range e.r.IntN(4) {
			tokens := bbunit.Tokens(1 + e.r.IntN(40))
			if balance.Reserve(tokens) {
				in.inFlight = append(in.inFlight, tokens)
				continue
			}
			defer balance.Await(tokens)() // it waits for this step's write
		}
		for len(in.inFlight) > 0 && e.r.IntN(3) > 0 {
			used := bbunit.Tokens(e.r.IntN(int(in.inFlight[0]) + 1))
			balance.Commit(in.inFlight[0], used)
			e.spent += used
			in.inFlight = in.inFlight[1:]
		}
		e.writeOnce(i)
	}
	e.copies = append(e.copies, maps.Clone(e.store.rows))
}

// writeOnce carries out an instance's next write; one in ten has a lost answer or
// takes no effect. Its answer tells the era.
func (e *eraRun) writeOnce(i int) {
	a := e.instances[i].allocator
	w := a.NextWrite(len(e.instances), e.r.IntN(3) == 0)
	if w == nil {
		return
	}
	outcome := e.r.IntN(30)
	if outcome == 0 || outcome > 3 {
		a.SetEra(e.era)
	}
	e.write(i, w, outcome)
}

// inFlightTokens returns the tokens of all requests in flight.
func (e *eraRun) inFlightTokens() (sum bbunit.Tokens) {
	for _, in := range e.instances {
		for _, n := range in.inFlight {
			sum += n
		}
	}
	return sum
}

// runEra returns a run in which the store goes back some times and,
// apart from the seconds around that, instances are killed.
func runEra(t *testing.T, seed uint64, times int, kills bool) *eraRun {
	r := rand.New(rand.NewPCG(seed, uint64(times)))
	n := 2 + r.IntN(7)
	e := &eraRun{simulation: newSimulation(n, bbunit.Tokens(n*(500+r.IntN(2000*times)))), r: r, knownAt: make([]time.Time, n)}
	steps := int((15*time.Second + time.Duration(times)*minEraGap) / eraStep)
	backAt := map[int]int{} // step -> lost steps
	for i := range times {
		backAt[50+i*int(minEraGap/eraStep)+r.IntN(20)] = 10 + r.IntN(41)
	}
	for s := range steps {
		if lost := backAt[s]; lost > 0 {
			e.goBack(lost)
			e.stable = int(minEraGap / eraStep / 2)
		}
		for ahead := range 51 { // the seconds that will be lost
			if backAt[s+ahead] > 0 {
				e.stable = max(e.stable, 1)
			}
		}
		if e.stable--; kills && e.stable < 0 && r.IntN(40) == 0 {
			i := r.IntN(n)
			for _, tokens := range e.instances[i].inFlight {
				e.spent += tokens
			}
			e.start(i)
			e.instances[i].allocator.SetEra(e.era)
		}
		e.step(s)
		if e.spent+e.inFlightTokens() > e.paid {
			t.Fatalf("seed %d, step %d, %d instances: %d of %d paid are spent", seed, s, n, e.spent+e.inFlightTokens(), e.paid)
		}
	}
	return e
}

// TestStoreThatGoesBackOverspendsAccounts guards against grants that are given out
// again after the store came back from an older copy.
func TestStoreThatGoesBackOverspendsAccounts(t *testing.T) {
	for _, times := range []int{1, 3} {
		for _, kills := range []bool{false, true} {
			t.Run(fmt.Sprintf("%d times, kills %t", times, kills), func(t *testing.T) {
				for seed := range *eraSeeds {
					runEra(t, seed, times, kills)
				}
			})
		}
	}
}

// TestStoreThatGoesBackStrandsMoney guards against money that nobody can spend
// after the store went back: instances that live on spend nearly all.
func TestStoreThatGoesBackStrandsMoney(t *testing.T) {
	for seed := range *eraSeeds / 2 {
		e := runEra(t, seed, 1, false)
		is.New(t).True(e.spent >= e.paid*9/10)
	}
}

// newBackSimulation returns a simulation of two instances, the first of which has
// one token before the copy and wants 600 after it, and a function that makes the
// store go back to the copy. The second has one token before the copy too if it is
// not new.
func newBackSimulation(is *is.I, secondIsNew bool) (e *eraRun, goBack func()) {
	e = &eraRun{simulation: newSimulation(2, 1000), r: rand.New(rand.NewPCG(1, 1))}
	is.True(e.reserve(0, 1))
	if !secondIsNew {
		is.True(e.reserve(1, 1))
	}
	e.copies = append(e.copies, maps.Clone(e.store.rows))
	is.True(e.reserve(0, 600))
	return e, func() { e.goBack(0) }
}

// TestHolderDrawsBeforeOthersWroteTheirGrants guards against an instance that
// draws while the rows still lack grants.
func TestHolderDrawsBeforeOthersWroteTheirGrants(t *testing.T) {
	for _, isNew := range []bool{true, false} {
		is := is.New(t)
		e, goBack := newBackSimulation(is, isNew)
		goBack()
		second := e.instances[1].allocator
		for seconds := range 4 {
			is.True(!e.reserve(1, 390)) // the row of the copy has more left
			second.Tick(e.now.Add(time.Duration(seconds) * time.Second))
		}
		first := e.instances[0].allocator
		first.SetEra(e.era)
		for range 3 { // conflicts, then the grant
			e.write(0, first.NextWrite(2, true), 0)
		}
		for seconds := 4; seconds < 10; seconds++ {
			second.Tick(e.now.Add(time.Duration(seconds) * time.Second))
		}
		is.True(!e.reserve(1, 1000-601+1))
		is.True(e.reserve(1, 50))
	}
}

// TestGrantOfAKilledHolderIsForgotten guards against a grant that only others
// remember: its holder was killed before the store went back.
func TestGrantOfAKilledHolderIsForgotten(t *testing.T) {
	is := is.New(t)
	e, goBack := newBackSimulation(is, true)
	is.True(e.reserve(1, 1)) // sees the first one's grant
	granted := e.instances[1].allocator.Account(account).row.TotalGranted()
	goBack()
	second := e.instances[1].allocator
	second.SetEra(e.era)
	for range 2 {
		e.write(1, second.NextWrite(2, true), 0)
	}
	row, err := ParseRow(e.store.rows["m/"+string(account)].Value)
	is.NoErr(err)
	is.Equal(row.TotalGranted(), granted)
}
