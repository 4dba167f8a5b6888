package bbport

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

func TestBackupFollowsTheSelectedPeers(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 5)
	inst := f.instances["a1"]
	rec := inst.newRecord("r")
	inst.Open(rec)
	f.waitForCopies("a1", 1)
	selected := inst.backup.selectPeers()
	is.Equal(len(selected), backupPeers)
	f.publishView(selected[0].ID) // not in the view any more, but still reachable
	time.Sleep(100 * time.Millisecond)
	f.waitForCopies("a1", 1)
	is.Equal(f.instances[selected[0].ID].Status().BackupCopies, int64(0))
	inst.Withdraw(rec)
	f.waitForCopies("a1", 0)
	is.Equal(inst.Status().Open, int64(0))
}

func TestBackupIsSentInFullAfterALostMessage(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 3)
	inst := f.instances["a1"]
	lost := make(chan bbunit.InstanceID, 2)
	for _, m := range inst.backup.selectPeers() {
		bus := f.instances[m.ID].bus
		bus.dropIf(func(e *bbwire.Envelope) bool {
			if e.GetShadow() == nil || len(lost) == cap(lost) {
				return false
			}
			lost <- m.ID
			return true
		})
	}
	inst.Open(inst.newRecord("r1"))
	for len(lost) < cap(lost) {
		time.Sleep(time.Millisecond)
	}
	inst.Open(inst.newRecord("r2"))
	f.waitForCopies("a1", 2)
	is.Equal(inst.Status().Open, int64(2))
}

func TestBackupRefusesInvalidRecords(t *testing.T) {
	is := is.New(t)
	f := newRecorderFleet(t, testRecordOptions(), 1)
	inst := f.instances["a1"]
	m := &bbwire.Shadow{Seq: 1, Whole: true, Records: []*bbwire.Record{
		{Account: "a", Request: "r"},                         // no owner
		{Account: "a", Request: "r", Owner: "o", Amount: -1}, // negative
		{Account: "a", Request: "ok", Owner: "x#1/1", Amount: 1},
	}}
	inst.backup.handleShadow("x", &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: m}})
	is.Equal(inst.Status().BackupCopies, int64(1))
	reply := inst.backup.handleShadow("x", &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: &bbwire.Shadow{Seq: 3}}})
	is.True(reply.GetShadowtell().Gap)
}
