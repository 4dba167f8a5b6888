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

// TestClaimFaults sends copies of one request under faults. Each row returns
// what every copy was told. The request must have run as often as copies were
// told that it did, and at most once.
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
	{"store's reply lost", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{LoseNextAnswers: 1})
		return []error{f.instances["a1"].request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"write lost", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{DropNextWrites: 1})
		return []error{f.instances["a1"].request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"write applied after it was read back", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{ApplyDelay: 100 * time.Millisecond})
		time.AfterFunc(50*time.Millisecond, func() { f.store.SetFaults(bbstore.Faults{}) })
		return []error{f.instances["a1"].request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"store down, then the caller retries", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{Down: true})
		first := f.instances["a1"].request("r", 5)
		f.store.SetFaults(bbstore.Faults{})
		return []error{first, f.instances["b1"].request("r", 5), f.instances["a1"].request("r", 5)}
	}, []error{ErrClaimNotWritten, nil, ErrAlreadyClaimed}},
	{"claim abandoned, then its write is applied, then the caller retries", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{ApplyDelay: 2500 * time.Millisecond})
		first := f.instances["a1"].request("r", 5)
		time.Sleep(time.Second)
		f.store.SetFaults(bbstore.Faults{})
		return []error{first, f.instances["b1"].request("r", 5), f.instances["a2"].request("r", 5)}
	}, []error{ErrClaimNotWritten, nil, ErrAlreadyClaimed}},
	{"home unreachable", func(f *recorderFleet) []error {
		home := f.homeOf("r", "a")
		home.bus.setDisconnected(true)
		return []error{f.otherInDomain(home).request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"home's verdict lost", func(f *recorderFleet) []error {
		inst := f.otherInDomain(f.homeOf("r", "a"))
		inst.bus.dropIf(func(e *bbwire.Envelope) bool { return e.GetBatchtell() != nil })
		return []error{inst.request("r", 5), f.instances["b1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"home paused, then writes an abandoned claim", pausedHomeWritesAbandonedClaim, []error{ErrClaimNotWritten, nil, ErrAlreadyClaimed}},
	{"abandoned claim stored, its withdrawal fails", abandonedClaimNotWithdrawn, []error{nil, ErrAlreadyClaimed}},
	{"owner killed between claim and sending", func(f *recorderFleet) []error {
		_, err := f.instances["a1"].Claim(context.Background(), f.instances["a1"].newRecord("r"))
		f.kill("a1")
		return []error{err, f.instances["a2"].request("r", 5), f.instances["b1"].request("r", 5)}[1:]
	}, []error{ErrAlreadyClaimed, ErrAlreadyClaimed}},
	{"withdrawn before sending", func(f *recorderFleet) []error {
		rec := f.instances["a1"].newRecord("r")
		if _, err := f.instances["a1"].Claim(context.Background(), rec); err != nil {
			return []error{err}
		}
		f.instances["a1"].Withdraw(rec)
		return []error{f.instances["b1"].request("r", 5), f.instances["a1"].request("r", 5)}
	}, []error{nil, ErrAlreadyClaimed}},
	{"other body", func(f *recorderFleet) []error {
		first := f.instances["a1"].request("r", 5)
		rec := f.instances["b1"].newRecord("r")
		rec.Print = 8
		_, err := f.instances["b1"].Claim(context.Background(), rec)
		return []error{first, err}
	}, []error{nil, ErrRequestIDReused}},
	{"queue full", func(f *recorderFleet) []error {
		f.store.SetFaults(bbstore.Faults{Down: true})
		inst := f.instances["a1"]
		for i := range inst.opts.MaxUnacknowledgedBills {
			inst.Bill(inst.newRecord(fmt.Sprint("other", i)))
		}
		return []error{inst.request("r", 5)}
	}, []error{ErrClaimNotWritten}},
}

// pausedHomeWritesAbandonedClaim pauses the home in the write of a claim, and
// resumes it after the claim was abandoned.
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

// abandonedClaimNotWithdrawn leaves an abandoned claim in its leaf. Its owner
// can be asked but cannot write.
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

// requireNoRecord waits until no record of the request is stored and checks
// that none is stored soon after.
func (f *recorderFleet) requireNoRecord(id string) {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); len(f.storedRecords()[id]) > 0; time.Sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			f.t.Fatalf("request %q: still stored: %v", id, f.storedRecords()[id])
		}
	}
	time.Sleep(200 * time.Millisecond)
	if stored := f.storedRecords()[id]; len(stored) > 0 {
		f.t.Fatalf("request %q: stored again: %v", id, stored)
	}
}

// claimWithin claims the request and abandons the claim after d.
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
	inst.store.unblock() // lets the write under way through
	is.NoErr(inst.Drain(context.Background()))
	f.requireNoRecord("r")
	f.kill("a1") // the owner cannot be asked any more
	is.NoErr(f.instances["b1"].request("r", 5))
}

// TestAbandonedClaimWrittenByAPausedHomeIsWithdrawn has the home receive a
// claim only after its owner has abandoned it and has written the withdrawal
// itself.
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
	is.NoErr(inst.Drain(context.Background())) // the withdrawal bypasses the home
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
	is.Equal(inst.Status().Unacknowledged, int64(0)) // no verdict is counted twice
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
// the write rate of bills.
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
