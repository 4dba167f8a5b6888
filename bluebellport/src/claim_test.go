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
			f := newRecorderFleet(t, testRecordOptions(), 3, 2)
			got := tt.run(f)
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
				is.Equal(f.waitForRecord("r", bbwire.Record_BILL).Amount, int64(5))
			}
		})
	}
}

type claimFault struct {
	name string
	run  func(f *recorderFleet) []error
	want []error
}

var claimFaults = []claimFault{
	{"retry at the same instance", func(f *recorderFleet) []error {
		return []error{f.instances["a1"].request("r", 5), f.instances["a1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"retry at another instance", func(f *recorderFleet) []error {
		return []error{f.instances["a1"].request("r", 5), f.instances["a2"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"retry in another failure domain", func(f *recorderFleet) []error {
		return []error{f.instances["a1"].request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"answer lost", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{LoseNextAnswers: 1})
		return []error{f.instances["a1"].request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"write lost", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{DropNextWrites: 1})
		return []error{f.instances["a1"].request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"write lands after it was read back", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{ApplyDelay: 100 * time.Millisecond})
		time.AfterFunc(50*time.Millisecond, func() { f.store.SetFaults(bbstore.Faults{}) })
		return []error{f.instances["a1"].request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"service down, then the caller comes again", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{Down: true})
		first := f.instances["a1"].request("r", 5)
		f.store.SetFaults(bbstore.Faults{})
		return []error{first, f.instances["b1"].request("r", 5), f.instances["a1"].request("r", 5)}
	}, []error{ErrClaimNotWritten, nil, ErrAlreadyClaimed}},
	{"given up, then the write lands, then the caller comes again", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{ApplyDelay: 2500 * time.Millisecond})
		first := f.instances["a1"].request("r", 5)
		time.Sleep(time.Second)
		f.store.SetFaults(bbstore.Faults{})
		return []error{first, f.instances["b1"].request("r", 5), f.instances["a2"].request("r", 5)}
	}, []error{ErrClaimNotWritten, nil, ErrAlreadyClaimed}},
	{"home silent", func(f *recorderFleet) []error {
		home := f.homeOf("r", "a")
		home.bus.setDisconnected(true)
		return []error{f.otherInDomain(home).request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"verdict of the home lost", func(f *recorderFleet) []error {
		n := f.otherInDomain(f.homeOf("r", "a"))
		n.bus.dropIf(func(e *bbwire.Envelope) bool { return e.GetBatchtell() != nil })
		return []error{n.request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"home paused, resumes and writes a claim given up", pausedHomeWritesAbandonedClaim, []error{ErrClaimNotWritten, nil, ErrAlreadyClaimed}},
	{"given-up claim stands, its withdrawal does not get through", abandonedClaimNotWithdrawn, []error{nil, ErrAlreadyClaimed}},
	{"owner killed between claim and send", func(f *recorderFleet) []error {
		_, err := f.instances["a1"].Claim(context.Background(), f.instances["a1"].newRecord("r"))
		f.kill("a1")
		return []error{err, f.instances["a2"].request("r", 5), f.instances["b1"].request("r", 5)}[1:]
	}, []error{ErrAlreadyClaimed, ErrAlreadyClaimed}},
	{"withdrawn before sending", func(f *recorderFleet) []error {
		r := f.instances["a1"].newRecord("r")
		if _, err := f.instances["a1"].Claim(context.Background(), r); err != nil {
			return []error{err}
		}
		f.instances["a1"].Withdraw(r)
		return []error{f.instances["b1"].request("r", 5), f.instances["a1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"other body", func(f *recorderFleet) []error {
		first := f.instances["a1"].request("r", 5)
		r := f.instances["b1"].newRecord("r")
		r.Print = 8
		_, err := f.instances["b1"].Claim(context.Background(), r)
		return []error{first, err}
	}, []error{nil, ErrRequestIDReused}},
	{"queue full", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{Down: true})
		n := f.instances["a1"]
		for i := range n.opts.MaxUnacknowledgedBills {
			n.Bill(n.newRecord(fmt.Sprint("other", i)))
		}
		return []error{n.request("r", 5)}
	}, []error{ErrClaimNotWritten}},
}

// pausedHomeWritesAbandonedClaim pauses the home while it holds a claim in a write.
func pausedHomeWritesAbandonedClaim(f *recorderFleet) []error {
	home := f.homeOf("r", "a")
	inst := f.otherInDomain(home)
	home.store.block()
	release := home.bus.block()
	release()
	first := inst.claimWithin(300*time.Millisecond, "r")
	home.store.unblock()
	return []error{first, f.instances["b1"].request("r", 5), inst.request("r", 5)}
}

// abandonedClaimNotWithdrawn leaves a dead claim in the leaf, while its owner can be asked
// but cannot write.
func abandonedClaimNotWithdrawn(f *recorderFleet) []error {
	inst := f.homeOf("r", "a")
	rec := inst.newRecord("r")
	if _, err := inst.Claim(context.Background(), rec); err != nil {
		return []error{err}
	}
	inst.store.kill()
	inst.Withdraw(rec)
	return []error{f.instances["b1"].request("r", 5), f.instances["b2"].request("r", 5)}
}

func TestConcurrentClaims(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 2, 2, 2)
	f.store.SetFaults(bbstore.Faults{LoseEveryNthAnswer: 3})
	var wg sync.WaitGroup
	for _, id := range f.order {
		for i := range 40 {
			wg.Add(1)
			go func() {
				defer wg.Done()
				err := f.instances[id].request(fmt.Sprint("r", i), 1)
				if err != nil && !errors.Is(err, ErrAlreadyClaimed) {
					t.Error(id, i, err)
				}
			}()
		}
	}
	wg.Wait()
	for i := range 40 {
		id := fmt.Sprint("r", i)
		is.Equal(f.ran[id], 1)
		f.waitForRecord(id, bbwire.Record_BILL)
	}
}

func TestClaimRefusesExpiredAndInvalidIDs(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 1)
	inst := f.instances["a1"]
	expired, err := uuid.NewV7()
	is.NoErr(err)
	ms := time.Now().Add(-2 * time.Hour).UnixMilli()
	for i := range 6 {
		expired[i] = byte(ms >> (40 - 8*i))
	}
	is.True(errors.Is(inst.request(expired.String(), 1), ErrRequestIDExpired))
	is.True(inst.request("", 1) != nil)
	is.Equal(len(f.storedRecords()), 0)
}

// requireNoRecord waits until the request has no record and checks that none comes.
func (f *recorderFleet) requireNoRecord(id string) {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); len(f.storedRecords()[id]) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("%s stands: %v", id, f.storedRecords()[id])
		}
	}
	time.Sleep(200 * time.Millisecond)
	if stored := f.storedRecords()[id]; len(stored) > 0 {
		f.t.Fatalf("%s came to stand: %v", id, stored)
	}
}

// claimWithin gives a claim up after d.
func (inst *recorderInstance) claimWithin(d time.Duration, id string) error {
	ctx, cancel := context.WithTimeout(context.Background(), d)
	defer cancel()
	_, err := inst.Claim(ctx, inst.newRecord(id))
	return err
}

func TestAbandonedClaimIsWithdrawn(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 1, 1)
	inst := f.instances["a1"]
	inst.store.block()
	is.True(errors.Is(inst.claimWithin(100*time.Millisecond, "r"), ErrClaimNotWritten))
	inst.store.unblock() // the write under way lands
	is.NoErr(inst.Drain(context.Background()))
	f.requireNoRecord("r")
	f.kill("a1") // no one is left to ask
	is.NoErr(f.instances["b1"].request("r", 5))
}

// TestAbandonedClaimWrittenByAPausedHomeIsWithdrawn has the home get the claim
// after its owner gave it up and withdrew it past the home.
func TestAbandonedClaimWrittenByAPausedHomeIsWithdrawn(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 2)
	home := f.homeOf("r", "a")
	inst := f.otherInDomain(home)
	release := home.bus.block()
	home.bus.dropIf(func(e *bbwire.Envelope) bool {
		records := e.GetBatch().GetRecords()
		return len(records) > 0 && records[0].Kind == bbwire.Record_WITHDRAWN
	})
	is.True(errors.Is(inst.claimWithin(100*time.Millisecond, "r"), ErrClaimNotWritten))
	is.NoErr(inst.Drain(context.Background())) // withdrawn past the home
	home.bus.dropIf(func(e *bbwire.Envelope) bool {
		records := e.GetBatch().GetRecords()
		return len(records) > 0 && records[0].Kind == bbwire.Record_WITHDRAWN && home.metrics.writes.Count() == 0
	})
	release()
	for deadline := time.Now().Add(5 * time.Second); home.metrics.writes.Count() == 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.True(home.metrics.writes.Count() > 0)
	f.requireNoRecord("r")
	is.NoErr(inst.Drain(context.Background()))
	is.Equal(inst.Status().Unacknowledged, int64(0)) // no verdict counted twice
}

func TestHomeDropsExpiredClaims(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.ClaimTimeout = 100 * time.Millisecond
	f := newRecorderFleet(t, o, 2)
	home := f.homeOf("r", "a")
	queue := home.queues[bbjournal.PartitionOf("acc", "r")]
	queue.busy.Store(true) // as if paused
	rec := home.newRecord("r")
	rec.Owner = "gone#1/1"
	home.handleBatch("gone", &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: &bbwire.Batch{Records: []*bbwire.Record{rec}}}})
	time.Sleep(200 * time.Millisecond)
	queue.busy.Store(false)
	time.Sleep(100 * time.Millisecond)
	is.Equal(len(f.storedRecords()), 0)
}

func TestClaimsAreRefusedAtOnceWhileTheQueueIsFull(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.MaxUnacknowledgedBills = 10
	f := newRecorderFleet(t, o, 1)
	f.store.SetFaults(bbstore.Faults{Down: true})
	inst := f.instances["a1"]
	for i := range 10 {
		inst.bill(fmt.Sprint("other", i), 1)
	}
	start := time.Now()
	is.True(errors.Is(inst.request("r", 5), ErrClaimNotWritten))
	is.True(time.Since(start) < o.ClaimTimeout/4)
	f.store.SetFaults(bbstore.Faults{})
	is.NoErr(inst.Drain(context.Background()))
	is.NoErr(inst.request("r", 5))
}

// TestClaimsDoNotWaitForTheBillWriteRate has bills of the same partition use up
// the rate of writes.
func TestClaimsDoNotWaitForTheBillWriteRate(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.BillWriteRate = 0.01
	f := newRecorderFleet(t, o, 1)
	inst := f.instances["a1"]
	for i := range 100 {
		inst.bill(fmt.Sprint("other", i), 1)
	}
	time.Sleep(50 * time.Millisecond)
	is.True(inst.Status().Unacknowledged > 0)
	for i := range 20 {
		start := time.Now()
		is.NoErr(inst.request(fmt.Sprint("r", i), 5))
		is.True(time.Since(start) < o.ClaimTimeout/2)
	}
}

func TestClaimsExceedTheWriteRateAfterTheMaximumWait(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.ClaimWriteRate = 0.001
	f := newRecorderFleet(t, o, 1)
	for i := range 3 {
		is.NoErr(f.instances["a1"].request(fmt.Sprint("r", i), 5))
	}
}

func TestHomeBoundsQueuedRemoteRecords(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.MaxUnacknowledgedBills = 10
	f := newRecorderFleet(t, o, 1)
	inst := f.instances["a1"]
	for _, queue := range inst.queues {
		queue.busy.Store(true) // as if paused
	}
	for i := range 5 {
		batch := &bbwire.Batch{Id: uint64(i)}
		for k := range 4 {
			rec := inst.newRecord(fmt.Sprint(i, "-", k))
			rec.Kind, rec.Owner = bbwire.Record_BILL, "x#1/1"
			rec.Made = time.Now().UnixMilli()
			batch.Records = append(batch.Records, rec)
		}
		inst.handleBatch("x", &bbwire.Envelope{Body: &bbwire.Envelope_Batch{Batch: batch}})
	}
	is.True(inst.remoteQueued.Load() <= int64(o.MaxUnacknowledgedBills))
	for _, queue := range inst.queues {
		queue.busy.Store(false)
	}
	for deadline := time.Now().Add(5 * time.Second); inst.remoteQueued.Load() > 0 && time.Now().Before(deadline); {
		time.Sleep(time.Millisecond)
	}
	is.Equal(inst.remoteQueued.Load(), int64(0))
	is.Equal(len(f.storedRecords()), 8)
}
