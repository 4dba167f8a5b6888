package bbspread

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// noPeers is the network of an instance that is told and tells nobody.
type noPeers struct{}

func (noPeers) Send(bbunit.InstanceID, *bbwire.Envelope) error { return nil }
func (noPeers) Handle(*bbwire.Envelope, func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {
}
func (noPeers) View() *bbmember.View { return &bbmember.View{} }

// TestPlanCutAtAnyByteIsNotPutInForce guards against pieces of a plan from a peer that end too
// early, or go on with those of another plan, and that are put in force.
func TestPlanCutAtAnyByteIsNotPutInForce(t *testing.T) {
	is := is.New(t)
	text, other := routes(12), routes(15)
	packed, err := pack(text, nil)
	is.NoErr(err)
	otherPacked, err := pack(other, nil)
	is.NoErr(err)
	it := newItem(7, Digest{}, digestOf(text), packed, time.Now())
	tell := func(size, offset int, piece []byte) *bbwire.Envelope {
		return &bbwire.Envelope{Body: &bbwire.Envelope_Spread{Spread: &bbwire.Spread{
			Kind: bbwire.Spread_TELL, Revision: 7, Digest: it.digest.encode(), Packed: it.id.encode(), Size: uint32(size), Offset: uint32(offset), Piece: piece,
		}}}
	}
	put := func(tells ...*bbwire.Envelope) (texts []string) {
		log := logrus.New()
		log.SetOutput(io.Discard)
		s := New(Config{
			Network: noPeers{}, Now: time.Now, Log: log, Metrics: metrics.NewRegistry(),
			Apply: func(v Version) { texts = append(texts, string(v.Text)) }, Seen: func() bbstore.Revision { return 1 }, Read: func() {},
		})
		var late []func()
		s.cfg.Go = func(fn func()) { late = append(late, fn) }
		for _, e := range tells {
			s.receive("peer", e)
			for ; len(late) > 0; late = late[1:] {
				late[0]()
			}
		}
		return texts
	}
	is.Equal(put(tell(len(packed), 0, packed)), []string{string(text)})
	for cut := 1; cut < len(packed); cut++ {
		is.Equal(put(tell(len(packed), 0, packed[:cut]), tell(len(packed), cut, packed[cut:])), []string{string(text)})
		is.Equal(len(put(tell(len(packed), 0, packed[:cut]))), 0)                                                        // its end is missing
		is.Equal(len(put(tell(cut, 0, packed[:cut]))), 0)                                                                // it is told to be its end
		is.Equal(len(put(tell(len(otherPacked), 0, packed[:cut]), tell(len(otherPacked), cut, otherPacked[cut:]))), 0)   // it goes on as another one
		is.Equal(len(put(tell(len(packed), 0, packed[:cut]), tell(len(packed), cut, make([]byte, len(packed)-cut)))), 0) // or as nothing
	}
}
