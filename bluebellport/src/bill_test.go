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

// TestBillFaults plays bills of request "r" under faults; exactly one of them
// must stand in the end.
func TestBillFaults(t *testing.T) {
	for _, tt := range billFaults {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newRecordFleet(t, testRecordOptions(), 3, 2)
			tt.play(f)
			r := f.eventually("r", bbwire.Record_BILL)
			is.Equal(r.Amount, int64(5))
		})
	}
}

type billFault struct {
	name string
	play func(f *recordFleet)
}

var billFaults = []billFault{
	{"plain", func(f *recordFleet) { f.nodes["a1"].bill("r", 5) }},
	{"billed twice at one instance", func(f *recordFleet) {
		f.nodes["a1"].billAndWait("r", 5)
		f.expect(f.nodes["a1"].billAndWait("r", 6), bbwire.Verdict_REPEATED)
	}},
	{"billed by two failure domains", func(f *recordFleet) {
		f.nodes["a1"].billAndWait("r", 5)
		f.expect(f.nodes["b1"].billAndWait("r", 5), bbwire.Verdict_REPEATED)
	}},
	{"other body", func(f *recordFleet) {
		f.nodes["a1"].billAndWait("r", 5)
		r := f.nodes["b1"].rec("r")
		r.Print, r.Amount = 8, 9
		f.expect(f.nodes["b1"].wait(r), bbwire.Verdict_MISMATCH)
	}},
	{"unknown, then the result comes", func(f *recordFleet) {
		n := f.nodes["a1"]
		r := n.rec("r")
		r.Kind = bbwire.Record_UNKNOWN
		f.expect(n.wait(r), bbwire.Verdict_TAKEN)
		r.Kind, r.Amount = bbwire.Record_BILL, 5
		f.expect(n.wait(r), bbwire.Verdict_TAKEN)
	}},
	{"answer lost", func(f *recordFleet) {
		f.mem.SetFaults(bbstore.Faults{LoseNext: 1})
		f.expect(f.nodes["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"write lost", func(f *recordFleet) {
		f.mem.SetFaults(bbstore.Faults{DropNext: 1})
		f.expect(f.nodes["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"every write lands late", func(f *recordFleet) {
		f.mem.SetFaults(bbstore.Faults{Late: 100 * time.Millisecond})
		time.AfterFunc(400*time.Millisecond, func() { f.mem.SetFaults(bbstore.Faults{}) })
		f.expect(f.nodes["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"service down for a while", func(f *recordFleet) {
		f.mem.SetFaults(bbstore.Faults{Down: true})
		time.AfterFunc(400*time.Millisecond, func() { f.mem.SetFaults(bbstore.Faults{}) })
		f.expect(f.nodes["a1"].billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"verdict of the home lost", func(f *recordFleet) {
		n := f.awayFrom(f.homeOf("r", "a"))
		n.bus.lose(func(e *bbwire.Envelope) bool { return e.GetBatchtell() != nil })
		f.expect(n.billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"verdict of the home late", func(f *recordFleet) {
		n := f.awayFrom(f.homeOf("r", "a"))
		release := n.bus.hold()
		time.AfterFunc(900*time.Millisecond, release)
		f.expect(n.billAndWait("r", 5), bbwire.Verdict_TAKEN)
	}},
	{"two homes at once", func(f *recordFleet) {
		for _, id := range f.order[:3] {
			n := f.nodes[id]
			n.Board.View.Store(&bbmember.View{Self: n.self, Members: []bbmember.Member{n.self}})
			n.bill("r", 5)
		}
	}},
	{"instance killed before its bill is written", func(f *recordFleet) {
		n := f.nodes["a1"]
		n.store.hold()
		f.mem.SetFaults(bbstore.Faults{Down: true})
		n.bill("r", 5)
		f.keptElsewhere("a1", 1)
		f.kill("a1")
		f.mem.SetFaults(bbstore.Faults{})
	}},
	{"instance killed, its caller comes again elsewhere", func(f *recordFleet) {
		n := f.nodes["a1"]
		r := n.rec("r")
		n.Open(r)
		f.keptElsewhere("a1", 1)
		f.kill("a1")
		f.nodes["b1"].billAndWait("r", 5)
		time.Sleep(300 * time.Millisecond)
	}},
	{"missing for a while, then back", func(f *recordFleet) {
		n := f.nodes["a1"]
		r := n.rec("r")
		n.Open(r)
		f.keptElsewhere("a1", 1)
		f.spread("a1")
		f.eventually("r", bbwire.Record_UNKNOWN)
		f.spread()
		r.Amount = 5
		f.expect(n.wait(r), bbwire.Verdict_TAKEN)
	}},
}

func (n *recordNode) bill(id string, amount int64) {
	r := n.rec(id)
	r.Amount = amount
	n.Bill(r)
}

func (n *recordNode) billAndWait(id string, amount int64) bbwire.Verdict_Kind {
	r := n.rec(id)
	r.Amount = amount
	return n.wait(r)
}

// wait bills r and waits for the verdict.
func (n *recordNode) wait(r *bbwire.Record) bbwire.Verdict_Kind {
	n.f.t.Helper()
	got := make(chan bbwire.Verdict_Kind, 1)
	n.BillThen(r, func(v *bbwire.Verdict) { got <- v.Kind })
	select {
	case k := <-got:
		return k
	case <-time.After(10 * time.Second):
		n.f.t.Error("no verdict")
		return bbwire.Verdict_RETRY
	}
}

func (f *recordFleet) expect(got, want bbwire.Verdict_Kind) {
	f.t.Helper()
	if got != want {
		f.t.Errorf("verdict %s, want %s", got, want)
	}
}

// keptElsewhere waits until both peers keep n records of the instance.
func (f *recordFleet) keptElsewhere(id string, n int64) {
	f.t.Helper()
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		sum := int64(0)
		for other, node := range f.nodes {
			if string(other) != id {
				sum += node.Status().Shadowed
			}
		}
		if sum == n*shadowPeers {
			return
		}
	}
	f.t.Fatal("no copies at the peers")
}

func TestOpenOfDeadInstanceBecomesUnknown(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 3)
	n := f.nodes["a1"]
	claimed, sent := n.rec("claimed"), n.rec("sent")
	_, err := n.Claim(context.Background(), claimed)
	is.NoErr(err)
	claimed.Amount, sent.Amount = 3, 4
	n.Open(claimed)
	n.Open(sent)
	ended := n.rec("ended")
	n.Open(ended)
	n.Bill(ended)
	f.eventually("ended", bbwire.Record_BILL)
	f.keptElsewhere("a1", 2)
	f.kill("a1")
	is.Equal(f.eventually("claimed", bbwire.Record_UNKNOWN).Amount, int64(3))
	is.Equal(f.eventually("sent", bbwire.Record_UNKNOWN).Amount, int64(4))
	f.eventually("ended", bbwire.Record_BILL)
	is.True(errors.Is(f.nodes["a2"].request("claimed", 1), ErrClaimed))
}

func TestBillsWaitThroughALongOutage(t *testing.T) {
	is := is.New(t)
	o := testRecordOptions()
	o.Queue = 500
	f := newRecordFleet(t, o, 2)
	f.mem.SetFaults(bbstore.Faults{Down: true})
	n := f.nodes["a1"]
	for i := range 600 {
		is.Equal(n.Full(), i >= 500)
		n.bill(fmt.Sprint("r", i), 1)
	}
	is.True(n.Status().Full)
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	is.True(errors.Is(n.Drain(ctx), ErrPending))
	f.mem.SetFaults(bbstore.Faults{})
	ctx, cancel = context.WithTimeout(context.Background(), 10*time.Second)
	defer cancel()
	is.NoErr(n.Drain(ctx))
	is.Equal(n.Status().Unacknowledged, int64(0))
	is.Equal(len(f.standing()), 600)
	is.True(!n.Full())
}

func TestBadBillIsRefused(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 1)
	is.Equal(f.nodes["a1"].billAndWait("r", -1), bbwire.Verdict_MISMATCH)
	is.Equal(len(f.standing()), 0)
}

// TestBillsLeaveAHomeThatIsGone has the home die with a batch.
func TestBillsLeaveAHomeThatIsGone(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 3)
	home := f.homeOf("r", "a")
	n := f.awayFrom(home)
	home.store.hold()
	n.bill("r", 5)
	time.Sleep(50 * time.Millisecond)
	begun := time.Now()
	f.kill(home.id)
	f.eventually("r", bbwire.Record_BILL)
	is.True(time.Since(begun) < billWait/2)
}

func TestClaimOfDeadInstanceBecomesUnknown(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 3)
	n := f.nodes["a1"]
	r := n.rec("r")
	r.Amount = 3
	_, err := n.Claim(context.Background(), r)
	is.NoErr(err)
	f.keptElsewhere("a1", 1)
	f.kill("a1")
	is.Equal(f.eventually("r", bbwire.Record_UNKNOWN).Amount, int64(3))
}

// TestUnknownAfterOwnBillIsNotRepeated has the late answer of an attempt billed
// before its UNKNOWN gets through: the amount is owed, and nothing is unknown.
func TestUnknownAfterOwnBillIsNotRepeated(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 1)
	n := f.nodes["a1"]
	r := n.rec("r")
	r.Amount = 5
	f.expect(n.wait(r), bbwire.Verdict_TAKEN)
	r.Kind, r.Amount = bbwire.Record_UNKNOWN, 9
	f.expect(n.wait(r), bbwire.Verdict_TAKEN)
	is.Equal(n.Status().Unknown, int64(0))
	is.Equal(f.eventually("r", bbwire.Record_BILL).Amount, int64(5))
}

func TestWithdrawOfAnOpenRequestWritesNothing(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 1)
	n := f.nodes["a1"]
	r := n.rec("r")
	n.Open(r)
	n.Withdraw(r)
	is.NoErr(n.Drain(context.Background()))
	time.Sleep(50 * time.Millisecond)
	is.Equal(f.mem.Counts().Writes+f.mem.Counts().Reads, int64(0))
	is.Equal(n.Status().Open, int64(0))
}
