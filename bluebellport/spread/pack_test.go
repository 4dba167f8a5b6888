package bbspread

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// routes returns a text of n entries.
func routes(n int) []byte {
	var b bytes.Buffer
	for i := range n {
		fmt.Fprintf(&b, `{"name":"r-%08x","host":"%x.example"},`, i*2654435761%(1<<32), i*40503%(1<<16))
	}
	return b.Bytes()
}

func TestPack(t *testing.T) {
	is := is.New(t)
	text := bytes.Repeat([]byte(`{"name":"r","host":"h"},`), 4000)
	packed, err := pack(text, nil)
	is.NoErr(err)
	is.True(len(packed) < len(text)/10)
	again, err := unpack(packed, nil)
	is.NoErr(err)
	is.True(bytes.Equal(text, again))
	for _, bad := range [][]byte{nil, []byte("plain"), packed[:len(packed)/2]} {
		_, err := unpack(bad, nil)
		is.True(errors.Is(err, ErrMalformed))
	}
	huge, err := pack(make([]byte, maxValueBytes+1), nil)
	is.NoErr(err)
	_, err = unpack(huge, nil)
	is.True(errors.Is(err, ErrMalformed))
}

// TestDifferenceCostsWhatItChanges guards against a change of one route that costs as
// much as the whole plan.
func TestDifferenceCostsWhatItChanges(t *testing.T) {
	is := is.New(t)
	base := routes(25000)
	middle := len(base) / 2
	for name, text := range map[string][]byte{
		"changed": append(append(bytes.Clone(base[:middle]), "new"...), base[middle+3:]...),
		"added":   append(append(bytes.Clone(base[:middle]), "new route"...), base[middle:]...),
		"dropped": append(bytes.Clone(base[:middle]), base[middle+40:]...),
		"shorter": bytes.Clone(base[:middle]),
	} {
		packed, err := pack(text, base)
		is.NoErr(err)
		t.Logf("%s: %d bytes for %d", name, len(packed), len(text))
		is.True(len(packed) < 4<<10)
		again, err := unpack(packed, base)
		is.NoErr(err)
		is.True(bytes.Equal(text, again))
		_, err = unpack(packed, nil)
		is.True(errors.Is(err, ErrMalformed))
	}
}
