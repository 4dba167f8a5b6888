package bbport

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

func TestShadowMovesWithThePeers(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 5)
	n := f.nodes["a1"]
	r := n.rec("r")
	n.Open(r)
	f.keptElsewhere("a1", 1)
	was := n.shadow.chosen()
	is.Equal(len(was), shadowPeers)
	f.spread(was[0].ID) // leaves the view but hears us
	time.Sleep(100 * time.Millisecond)
	f.keptElsewhere("a1", 1)
	is.Equal(f.nodes[was[0].ID].Status().Shadowed, int64(0))
	n.Withdraw(r)
	f.keptElsewhere("a1", 0)
	is.Equal(n.Status().Open, int64(0))
}

func TestShadowIsSentWholeAfterALoss(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 3)
	n := f.nodes["a1"]
	lost := make(chan bbunit.InstanceID, 2)
	for _, m := range n.shadow.chosen() {
		bus := f.nodes[m.ID].bus
		bus.lose(func(e *bbwire.Envelope) bool {
			if e.GetShadow() == nil || len(lost) == cap(lost) {
				return false
			}
			lost <- m.ID
			return true
		})
	}
	n.Open(n.rec("r1"))
	for len(lost) < cap(lost) {
		time.Sleep(time.Millisecond)
	}
	n.Open(n.rec("r2"))
	f.keptElsewhere("a1", 2)
	is.Equal(n.Status().Open, int64(2))
}

func TestShadowRefusesBadRecords(t *testing.T) {
	is := is.New(t)
	f := newRecordFleet(t, testRecordOptions(), 1)
	n := f.nodes["a1"]
	m := &bbwire.Shadow{Seq: 1, Whole: true, Records: []*bbwire.Record{
		{Account: "a", Request: "r"},                         // no owner
		{Account: "a", Request: "r", Owner: "o", Amount: -1}, // negative
		{Account: "a", Request: "ok", Owner: "x#1/1", Amount: 1},
	}}
	n.shadow.take("x", &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: m}})
	is.Equal(n.Status().Shadowed, int64(1))
	tell := n.shadow.take("x", &bbwire.Envelope{Body: &bbwire.Envelope_Shadow{Shadow: &bbwire.Shadow{Seq: 3}}})
	is.True(tell.GetShadowtell().Gap)
}
