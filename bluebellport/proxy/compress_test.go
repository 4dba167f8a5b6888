package bbproxy

import (
	"bytes"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestPack(t *testing.T) {
	is := is.New(t)
	plan := bytes.Repeat([]byte(`{"name":"r","host":"h"},`), 4000)
	packed, err := pack(plan)
	is.NoErr(err)
	is.True(len(packed) < len(plan)/10)
	again, err := unpack(packed)
	is.NoErr(err)
	is.True(bytes.Equal(plan, again))
	for _, bad := range [][]byte{nil, []byte("plain"), packed[:len(packed)/2]} {
		_, err := unpack(bad)
		is.True(errors.Is(err, ErrMalformed))
	}
	huge, err := pack(make([]byte, maxPlan+1))
	is.NoErr(err)
	_, err = unpack(huge)
	is.True(errors.Is(err, ErrMalformed))
}
