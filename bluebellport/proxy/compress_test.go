package bbproxy

import (
	"bytes"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestCompressPlan(t *testing.T) {
	is := is.New(t)
	plan := bytes.Repeat([]byte(`{"name":"r","host":"h"},`), 4000)
	compressed, err := compressPlan(plan)
	is.NoErr(err)
	is.True(len(compressed) < len(plan)/10)
	again, err := decompressPlan(compressed)
	is.NoErr(err)
	is.True(bytes.Equal(plan, again))
	for _, bad := range [][]byte{nil, []byte("plain"), compressed[:len(compressed)/2]} {
		_, err := decompressPlan(bad)
		is.True(errors.Is(err, ErrMalformed))
	}
	huge, err := compressPlan(make([]byte, maxPlan+1))
	is.NoErr(err)
	_, err = decompressPlan(huge)
	is.True(errors.Is(err, ErrMalformed))
}
