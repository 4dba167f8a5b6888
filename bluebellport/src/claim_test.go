package bbport

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"

	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// TestClaimFaults plays copies of one request under faults. Each row returns
// what every copy was told; the request must have run as often as "done" was
// told, and at most once.
func TestClaimFaults(t *testing.T) {
	for _, tt := range claimFaults {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRecordFleet(t, testRecordOptions(), 3, 2)
			got := tt.play(f)
			is.Equal(len(got), len(tt.want))
			done := 0
			for i, err := range got {
				if !errors.Is(err, tt.want[i]) {
					t.Errorf("copy %d: got %v, want %v", i, err, tt.want[i])
				}
				if err == nil {
					done++
				}
			}
			is.True(done <= 1)
			is.Equal(f.ran["r"], done)
			if done == 1 {
				is.Equal(f.eventually("r", bbwire.Record_BILL).Amount, int64(5))
			}
		})
	}
}

type claimFault struct {
	name string
	play func(f *recordFleet) []error
	want []error
}

var claimFaults = []claimFault{
	{"retry at the same instance", func(f *recordFleet) []error {
		return []error{f.nodes["a1"].request("r", 5), f.nodes["a1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"retry at another instance", func(f *recordFleet) []error {
		return []error{f.nodes["a1"].request("r", 5), f.nodes["a2"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"retry in another failure domain", func(f *recordFleet) []error {
		return []error{f.nodes["a1"].request("r", 5), f.nodes["b1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"answer lost", func(f *recordFleet) []error {
		f.mem.SetFaults(bbstore.Faults{LoseNext: 1})
		return []error{f.nodes["a1"].request("r", 5), f.nodes["b1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"write lost", func(f *recordFleet) []error {
		f.mem.SetFaults(bbstore.Faults{DropNext: 1})
		return []error{f.nodes["a1"].request("r", 5), f.nodes["b1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"write lands after it was read back", func(f *recordFleet) []error {
		f.mem.SetFaults(bbstore.Faults{Late: 100 * time.Millisecond})
		time.AfterFunc(50*time.Millisecond, func() { f.mem.SetFaults(bbstore.Faults{}) })
		return []error{f.nodes["a1"].request("r", 5), f.nodes["b1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"service down, then the caller comes again", func(f *recordFleet) []error {
		f.mem.SetFaults(bbstore.Faults{Down: true})
		first := f.nodes["a1"].request("r", 5)
		f.mem.SetFaults(bbstore.Faults{})
		return []error{first, f.nodes["b1"].request("r", 5), f.nodes["a1"].request("r", 5)}
	}, []error{ErrNoClaim, nil, ErrClaimed}},
	{"given up, then the write lands, then the caller comes again", func(f *recordFleet) []error {
		f.mem.SetFaults(bbstore.Faults{Late: 2500 * time.Millisecond})
		first := f.nodes["a1"].request("r", 5)
		time.Sleep(time.Second)
		f.mem.SetFaults(bbstore.Faults{})
		return []error{first, f.nodes["b1"].request("r", 5), f.nodes["a2"].request("r", 5)}
	}, []error{ErrNoClaim, nil, ErrClaimed}},
	{"home silent", func(f *recordFleet) []error {
		home := f.homeOf("r", "a")
		home.bus.cut(true)
		return []error{f.awayFrom(home).request("r", 5), f.nodes["b1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"verdict of the home lost", func(f *recordFleet) []error {
		n := f.awayFrom(f.homeOf("r", "a"))
		n.bus.lose(func(e *bbwire.Envelope) bool { return e.GetBatchtell() != nil })
		return []error{n.request("r", 5), f.nodes["b1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"home paused, resumes and writes a claim given up", claimOfPausedHome, []error{ErrNoClaim, nil, ErrClaimed}},
	{"given-up claim stands, its withdrawal does not get through", claimNotWithdrawn, []error{nil, ErrClaimed}},
	{"owner killed between claim and send", func(f *recordFleet) []error {
		_, err := f.nodes["a1"].Claim(context.Background(), f.nodes["a1"].rec("r"))
		f.kill("a1")
		return []error{err, f.nodes["a2"].request("r", 5), f.nodes["b1"].request("r", 5)}[1:]
	}, []error{ErrClaimed, ErrClaimed}},
	{"withdrawn before sending", func(f *recordFleet) []error {
		r := f.nodes["a1"].rec("r")
		if _, err := f.nodes["a1"].Claim(context.Background(), r); err != nil {
			return []error{err}
		}
		f.nodes["a1"].Withdraw(r)
		return []error{f.nodes["b1"].request("r", 5), f.nodes["a1"].request("r", 5)}
	}, []error{nil, ErrClaimed}},
	{"other body", func(f *recordFleet) []error {
		first := f.nodes["a1"].request("r", 5)
		r := f.nodes["b1"].rec("r")
		r.Print = 8
		_, err := f.nodes["b1"].Claim(context.Background(), r)
		return []error{first, err}
	}, []error{nil, ErrReused}},
	{"queue full", func(f *recordFleet) []error {
		f.mem.SetFaults(bbstore.Faults{Down: true})
		n := f.nodes["a1"]
		for i := range n.opts.Queue {
			n.Bill(n.rec(fmt.Sprint("other", i)))
		}
		return []error{n.request("r", 5)}
	}, []error{ErrNoClaim}},
}

// claimOfPausedHome pauses the home while it holds a claim in a write.
func claimOfPausedHome(f *recordFleet) []error {
	home := f.homeOf("r", "a")
	n := f.awayFrom(home)
	home.store.hold()
	release := home.bus.hold()
	release()
	first := n.claimFor(300*time.Millisecond, "r")
	home.store.release()
	return []error{first, f.nodes["b1"].request("r", 5), n.request("r", 5)}
}

// claimNotWithdrawn leaves a dead claim in the leaf, while its owner can be asked
// but cannot write.
func claimNotWithdrawn(f *recordFleet) []error {
	n := f.homeOf("r", "a")
	r := n.rec("r")
	if _, err := n.Claim(context.Background(), r); err != nil {
		return []error{err}
	}
	n.store.kill()
	n.Withdraw(r)
	return []error{f.nodes["b1"].request("r", 5), f.nodes["b2"].request("r", 5)}
}

func TestClaimRaces(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 2, 2, 2)
	f.mem.SetFaults(bbstore.Faults{LoseEvery: 3})
	var wg sync.WaitGroup
	for _, id := range f.order {
		for i := range 40 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				err := f.nodes[id].request(fmt.Sprint("r", i), 1)
				if err != nil && !errors.Is(err, ErrClaimed) {
					t.Error(id, i, err)
				}
			}()
		}
	}
	wg.Wait()
	for i := range 40 {
		id := fmt.Sprint("r", i)
		is.Equal(f.ran[id], 1)
		f.eventually(id, bbwire.Record_BILL)
	}
}

func TestClaimRefusesOldAndBadIDs(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 1)
	n := f.nodes["a1"]
	old, err := uuid.NewV7()
	is.NoErr(err)
	ms := time.Now().Add(-2 * time.Hour).UnixMilli()
	for i := range 6 {
		old[i] = byte(ms >> (40 - 8*i))
	}
	is.True(errors.Is(n.request(old.String(), 1), ErrStale))
	is.True(n.request("", 1) != nil)
	is.Equal(len(f.standing()), 0)
}

// nothingStands waits until the request has no record and checks that none comes.
func (f *recordFleet) nothingStands(id string) {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); len(f.standing()[id]) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(end) {
			f.t.Fatalf("%s stands: %v", id, f.standing()[id])
		}
	}
	time.Sleep(200 * time.Millisecond)
	if rs := f.standing()[id]; len(rs) > 0 {
		f.t.Fatalf("%s came to stand: %v", id, rs)
	}
}

// claimFor gives a claim up after d.
func (n *recordNode) claimFor(d time.Duration, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, err := n.Claim(ctx, n.rec(id))
	return err
}

func TestGivenUpClaimIsWithdrawn(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 1, 1)
	n := f.nodes["a1"]
	n.store.hold()
	is.True(errors.Is(n.claimFor(100*time.Millisecond, "r"), ErrNoClaim))
	n.store.release() // the write under way lands
	is.NoErr(n.Drain(context.Background()))
	f.nothingStands("r")
	f.kill("a1") // no one is left to ask
	is.NoErr(f.nodes["b1"].request("r", 5))
}

// TestGivenUpClaimWrittenByThePausedHomeIsWithdrawn has the home get the claim
// after its owner gave it up and withdrew it past the home.
func TestGivenUpClaimWrittenByThePausedHomeIsWithdrawn(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 2)
	home := f.homeOf("r", "a")
	n := f.awayFrom(home)
	release := home.bus.hold()
	home.bus.lose(func(e *bbwire.Envelope) bool {
		rs := e.GetBatch().GetRecords()
		return len(rs) > 0 && rs[0].Kind == bbwire.Record_WITHDRAWN
	})
	is.True(errors.Is(n.claimFor(100*time.Millisecond, "r"), ErrNoClaim))
	is.NoErr(n.Drain(context.Background())) // withdrawn past the home
	home.bus.lose(func(e *bbwire.Envelope) bool {
		rs := e.GetBatch().GetRecords()
		return len(rs) > 0 && rs[0].Kind == bbwire.Record_WITHDRAWN && home.count.writes.Count() == 0
	})
	release()
	for end := time.Now().Add(5 * time.Second); home.count.writes.Count() == 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.True(home.count.writes.Count() > 0)
	f.nothingStands("r")
	is.NoErr(n.Drain(context.Background()))
	is.Equal(n.Status().Unacknowledged, int64(0)) // no verdict counted twice
}

func TestHomeDropsAClaimThatWaitedTooLong(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.ClaimTimeout = 100 * time.Millisecond
	f := newRecordFleet(t, o, 2)
	home := f.homeOf("r", "a")
	l := home.lanes[bbjournal.PartitionOf("acc", "r")]
	l.busy.Store(true) // as if paused
	r := home.rec("r")
	r.Owner = "gone#1/1"
	home.takeBatch("gone", &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: &bbwire.Batch{Records: []*bbwire.Record{r}}}})
	time.Sleep(200 * time.Millisecond)
	l.busy.Store(false)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(f.standing()), 0)
}

func TestFullRefusesClaimsAtOnce(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.Queue = 10
	f := newRecordFleet(t, o, 1)
	f.mem.SetFaults(bbstore.Faults{Down: true})
	n := f.nodes["a1"]
	for i := range 10 {
		n.bill(fmt.Sprint("other", i), 1)
	}
	begun := time.Now()
	is.True(errors.Is(n.request("r", 5), ErrNoClaim))
	is.True(time.Since(begun) < o.ClaimTimeout/4)
	f.mem.SetFaults(bbstore.Faults{})
	is.NoErr(n.Drain(context.Background()))
	is.NoErr(n.request("r", 5))
}

// TestClaimsDoNotWaitForThePaceOfBills has bills of the same partition use up
// the rate of writes.
func TestClaimsDoNotWaitForThePaceOfBills(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.BillWrites = 0.01
	f := newRecordFleet(t, o, 1)
	n := f.nodes["a1"]
	for i := range 100 {
		n.bill(fmt.Sprint("other", i), 1)
	}
	time.Sleep(50 * time.Millisecond)
	is.True(n.Status().Unacknowledged > 0)
	for i := range 20 {
		begun := time.Now()
		is.NoErr(n.request(fmt.Sprint("r", i), 5))
		is.True(time.Since(begun) < o.ClaimTimeout/2)
	}
}

func TestClaimsPassTheRateAfterAWhile(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.ClaimWrites = 0.001
	f := newRecordFleet(t, o, 1)
	for i := range 3 {
		is.NoErr(f.nodes["a1"].request(fmt.Sprint("r", i), 5))
	}
}

func TestHomeBoundsTheRecordsOfOthers(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.Queue = 10
	f := newRecordFleet(t, o, 1)
	n := f.nodes["a1"]
	for _, l := range n.lanes {
		l.busy.Store(true) // as if paused
	}
	for i := range 5 {
		b := &bbwire.Batch{Id: uint64(i)}
		for k := range 4 {
			r := n.rec(fmt.Sprint(i, "-", k))
			r.Kind, r.Owner = bbwire.Record_BILL, "x#1/1"
			r.Made = time.Now().UnixMilli()
			b.Records = append(b.Records, r)
		}
		n.takeBatch("x", &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: b}})
	}
	is.True(n.foreign.Load() <= int64(o.Queue))
	for _, l := range n.lanes {
		l.busy.Store(false)
	}
	for end := time.Now().Add(5 * time.Second); n.foreign.Load() > 0 && time.Now().Before(end); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(n.foreign.Load(), int64(0))
	is.Equal(len(f.standing()), 8)
}
