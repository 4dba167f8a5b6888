package bbledger

import (
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbwire"
)

// TestPageRoundTrip: encoding and decoding must preserve a page, also with holders
// that differ only in their witness. A holder name out of range is an error.
func TestPageRoundTrip(t *testing.T) {
	is := is.New(t)
	p := fullPage(5, 3)
	p.Entries[2].Holders[1].Witness = "another/1"
	p.Entries[3].Stuck = []*bbwire.Stuck{{Holder: "h", Grantee: "g", Amount: 7}}
	p.Entries[4].Cap, p.Entries[4].Capnumber, p.Entries[4].Capnonce = 9, 10, "n"
	before := clonePage(p)
	v, err := EncodePage(p)
	is.NoErr(err)
	is.True(proto.Equal(p, before)) // encoding does not modify the page
	got, err := DecodePage(v)
	is.NoErr(err)
	is.True(proto.Equal(got, before))

	bad, err := proto.Marshal(&bbwire.Page{Entries: []*bbwire.Entry{{Budget: "b", Holders: []*bbwire.Holder{{Name: 2}}}}})
	is.NoErr(err)
	_, err = DecodePage(bad)
	is.True(errors.Is(err, ErrMalformedPage))
	_, err = DecodePage([]byte("not a page"))
	is.True(errors.Is(err, ErrMalformedPage))
}
