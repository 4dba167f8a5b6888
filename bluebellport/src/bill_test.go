package bbport

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// TestBillFaults bills request "r" under faults. In the end exactly one bill
// must be stored.
func TestBillFaults(t *testing.T) {
	for _, tt := range billFaults {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRecorderFleet(t, testRecordOptions(), 3, 2)
			tt.run(f)
			r := f.waitForRecord("r", bbwire.Record_BILL)
			is.Equal(r.Amount, int64(5))
		})
	}
}

type billFault struct {
	name string
	run  func(f *recorderFleet)
}

var billFaults = []billFault{
	{"no fault", func(f *recorderFleet) { f.instances["a1"].bill("r", 5) }},
	{"billed twice at one instance", func(f *recorderFleet) {
		f.instances["a1"].billAndWait("r", 5)
		f.checkVerdict(f.instances["a1"].billAndWait("r", 6), bbwire.Verdict_REPEATED)
	}},
	{"billed by two failure domains", func(f *recorderFleet) {
		f.instances["a1"].billAndWait("r", 5)
		f.checkVerdict(f.instances["b1"].billAndWait("r", 5), bbwire.Verdict_REPEATED)
	}},
	{"other body", func(f *recorderFleet) {
		f.instances["a1"].billAndWait("r", 5)
		rec := f.instances["b1"].newRecord("r")
		rec.Print, rec.Amount = 8, 9
		f.checkVerdict(f.instances["b1"].billRecordAndWait(rec), bbwire.Verdict_MISMATCH)
	}},
	{"unknown, then the result is known", func(f *recorderFleet) {
		inst := f.instances["a1"]
		rec := inst.newRecord("r")
		rec.Kind = bbwire.Record_UNKNOWN
		f.checkVerdict(inst.billRecordAndWait(rec), bbwire.Verdict_TAKEN)
		rec.Kind, rec.Amount = bbwire.Record_BILL, 5
		f.checkVerdict(inst.billRecordAndWait(rec), bbwire.Verdict_TAKEN)
	}},
	{"store's reply lost", func(f *recorderFleet) {
		f.store.SetFaults(bbstore.Faults{LoseNextAnswers: 1})
		f.checkVerdict(f.instances["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"write lost", func(f *recorderFleet) {
		f.store.SetFaults(bbstore.Faults{DropNextWrites: 1})
		f.checkVerdict(f.instances["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"every write applied late", func(f *recorderFleet) {
		f.store.SetFaults(bbstore.Faults{ApplyDelay: 100 * time.Millisecond})
		time.AfterFunc(400*time.Millisecond, func() { f.store.SetFaults(bbstore.Faults{}) })
		f.checkVerdict(f.instances["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"store down for a while", func(f *recorderFleet) {
		f.store.SetFaults(bbstore.Faults{Down: true})
		time.AfterFunc(400*time.Millisecond, func() { f.store.SetFaults(bbstore.Faults{}) })
		f.checkVerdict(f.instances["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"home's verdict lost", func(f *recorderFleet) {
		inst := f.otherInDomain(f.homeOf("r", "a"))
		inst.bus.dropIf(func(e *bbwire.Envelope) bool { return e.GetBatchtell() != nil })
		f.checkVerdict(inst.billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"home's verdict late", func(f *recorderFleet) {
		inst := f.otherInDomain(f.homeOf("r", "a"))
		release := inst.bus.block()
		time.AfterFunc(900*time.Millisecond, release)
		f.checkVerdict(inst.billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"two homes at once", func(f *recorderFleet) {
		for _, id := range f.order[:3] {
			inst := f.instances[id]
			inst.Board.View.Store(&bbmember.View{Self: inst.self, Members: []bbmember.Member{inst.self}})
			inst.bill("r", 5)
		}
	}},
	{"instance killed before its bill is written", func(f *recorderFleet) {
		inst := f.instances["a1"]
		inst.store.block()
		f.store.SetFaults(bbstore.Faults{Down: true})
		inst.bill("r", 5)
		f.waitForCopies("a1", 1)
		f.kill("a1")
		f.store.SetFaults(bbstore.Faults{})
	}},
	{"instance killed, its caller retries elsewhere", func(f *recorderFleet) {
		inst := f.instances["a1"]
		rec := inst.newRecord("r")
		inst.Open(rec)
		f.waitForCopies("a1", 1)
		f.kill("a1")
		f.instances["b1"].billAndWait("r", 5)
		time.Sleep(300 * time.Millisecond)
	}},
	{"instance missing for a while, then back", func(f *recorderFleet) {
		inst := f.instances["a1"]
		rec := inst.newRecord("r")
		inst.Open(rec)
		f.waitForCopies("a1", 1)
		f.publishView("a1")
		f.waitForRecord("r", bbwire.Record_UNKNOWN)
		f.publishView()
		rec.Amount = 5
		f.checkVerdict(inst.billRecordAndWait(rec), bbwire.Verdict_TAKEN)
	}},
}

func (inst *recorderInstance) bill(id string, amount int64) {
	rec := inst.newRecord(id)
	rec.Amount = amount
	inst.Bill(rec)
}

func (inst *recorderInstance) billAndWait(id string, amount int64) bbwire.Verdict_Kind {
	rec := inst.newRecord(id)
	rec.Amount = amount
	return inst.billRecordAndWait(rec)
}

// billRecordAndWait bills rec and returns the verdict.
func (inst *recorderInstance) billRecordAndWait(rec *bbwire.Record) bbwire.Verdict_Kind {
	inst.fleet.t.Helper()
	verdicts := make(chan bbwire.Verdict_Kind, 1)
	inst.BillThen(rec, func(v *bbwire.Verdict) { verdicts <- v.Kind })
	select {
	case verdict := <-verdicts:
		return verdict
	case <-time.After(10 * time.Second):
		inst.fleet.t.Error("no verdict")
		return bbwire.Verdict_RETRY
	}
}

func (f *recorderFleet) checkVerdict(got, want bbwire.Verdict_Kind) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("verdict %s, want %s", got, want)
	}
}

// waitForCopies waits until each selected peer keeps n records of the instance.
func (f *recorderFleet) waitForCopies(id string, n int64) {
	f.t.Helper()
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(time.Millisecond) {
		sum := int64(0)
		for other, inst := range f.instances {
			if string(other) != id {
				sum += inst.Status().BackupCopies
			}
		}
		if sum == n*backupPeers {
			return
		}
	}
	f.t.Fatal("the selected peers do not keep the expected copies")
}

func TestOpenRequestOfAKilledInstanceBecomesUnknown(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 3)
	inst := f.instances["a1"]
	claimed, sent := inst.newRecord("claimed"), inst.newRecord("sent")
	_, err := inst.Claim(context.Background(), claimed)
	is.NoErr(err)
	claimed.Amount, sent.Amount = 3, 4
	inst.Open(claimed)
	inst.Open(sent)
	ended := inst.newRecord("ended")
	inst.Open(ended)
	inst.Bill(ended)
	f.waitForRecord("ended", bbwire.Record_BILL)
	f.waitForCopies("a1", 2)
	f.kill("a1")
	is.Equal(f.waitForRecord("claimed", bbwire.Record_UNKNOWN).Amount, int64(3))
	is.Equal(f.waitForRecord("sent", bbwire.Record_UNKNOWN).Amount, int64(4))
	f.waitForRecord("ended", bbwire.Record_BILL)
	is.True(errors.Is(f.instances["a2"].request("claimed", 1), ErrAlreadyClaimed))
}

func TestBillsAreKeptThroughALongOutage(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.MaxUnacknowledgedBills = 500
	f := newRecorderFleet(t, o, 2)
	f.store.SetFaults(bbstore.Faults{Down: true})
	inst := f.instances["a1"]
	for i := range 600 {
		is.Equal(inst.Full(), i >= 500)
		inst.bill(fmt.Sprint("r", i), 1)
	}
	is.True(inst.Status().Full)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(errors.Is(inst.Drain(ctx), ErrRecordsPending))
	f.store.SetFaults(bbstore.Faults{})
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(inst.Drain(ctx))
	is.Equal(inst.Status().Unacknowledged, int64(0))
	is.Equal(len(f.storedRecords()), 600)
	is.True(!inst.Full())
}

func TestInvalidBillIsRefused(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 1)
	is.Equal(f.instances["a1"].billAndWait("r", -1), bbwire.Verdict_MISMATCH)
	is.Equal(len(f.storedRecords()), 0)
}

// TestBillsAreCommittedElsewhereWhenTheHomeIsKilled kills the home while it holds a
// batch: the bill must not wait for billVerdictTimeout.
func TestBillsAreCommittedElsewhereWhenTheHomeIsKilled(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 3)
	home := f.homeOf("r", "a")
	inst := f.otherInDomain(home)
	home.store.block()
	inst.bill("r", 5)
	time.Sleep(50 * time.Millisecond)
	start := time.Now()
	f.kill(home.id)
	f.waitForRecord("r", bbwire.Record_BILL)
	is.True(time.Since(start) < billVerdictTimeout/2)
}

func TestClaimOfAKilledInstanceBecomesUnknown(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 3)
	inst := f.instances["a1"]
	rec := inst.newRecord("r")
	rec.Amount = 3
	_, err := inst.Claim(context.Background(), rec)
	is.NoErr(err)
	f.waitForCopies("a1", 1)
	f.kill("a1")
	is.Equal(f.waitForRecord("r", bbwire.Record_UNKNOWN).Amount, int64(3))
}

// TestUnknownAfterABillOfTheSameOwnerIsTaken bills the late answer of an
// attempt before the attempt's UNKNOWN is recorded: the amount is owed and the
// outcome is not counted as unknown.
func TestUnknownAfterABillOfTheSameOwnerIsTaken(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 1)
	inst := f.instances["a1"]
	rec := inst.newRecord("r")
	rec.Amount = 5
	f.checkVerdict(inst.billRecordAndWait(rec), bbwire.Verdict_TAKEN)
	rec.Kind, rec.Amount = bbwire.Record_UNKNOWN, 9
	f.checkVerdict(inst.billRecordAndWait(rec), bbwire.Verdict_TAKEN)
	is.Equal(inst.Status().Unknown, int64(0))
	is.Equal(f.waitForRecord("r", bbwire.Record_BILL).Amount, int64(5))
}

func TestWithdrawOfAnOpenRequestWritesNothing(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 1)
	inst := f.instances["a1"]
	rec := inst.newRecord("r")
	inst.Open(rec)
	inst.Withdraw(rec)
	is.NoErr(inst.Drain(context.Background()))
	time.Sleep(50 * time.Millisecond)
	is.Equal(f.store.Counts().Writes+f.store.Counts().Reads, int64(0))
	is.Equal(inst.Status().Open, int64(0))
}
