package bbmember

import (
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

func TestParseList(t *testing.T) {
	const ok = `{"id":"a","domain":"d","address":"10.0.0.1:1","state":"live","since":"2026-01-01T00:00:00Z","rack":"extra"}`
	cases := map[string]struct {
		body      string
		list, bad int
		err       bool
	}{
		"good":            {`[` + ok + `]`, 1, 0, false},
		"empty":           {`[]`, 0, 0, false},
		"number of ms":    {`[{"id":"a","domain":"d","address":"10.0.0.1:1","state":"leaving","since":1700000000000}]`, 1, 0, false},
		"no since":        {`[{"id":"a","domain":"d","address":"10.0.0.1:1","state":"live"}]`, 1, 0, false},
		"null":            {`null`, 0, 0, true},
		"object":          {`{}`, 0, 0, true},
		"cut short":       {`[{"id":`, 0, 0, true},
		"nothing":         {``, 0, 0, true},
		"twice":           {`[` + ok + `,` + ok + `]`, 1, 1, false},
		"unknown state":   {`[{"id":"a","domain":"d","address":"10.0.0.1:1","state":"up"},` + ok + `]`, 1, 1, false},
		"no id":           {`[{"domain":"d","address":"10.0.0.1:1","state":"live"}]`, 0, 1, false},
		"no domain":       {`[{"id":"a","address":"10.0.0.1:1","state":"live"}]`, 0, 1, false},
		"address by name": {`[{"id":"a","domain":"d","address":"host:1","state":"live"}]`, 0, 1, false},
		"bad since":       {`[{"id":"a","domain":"d","address":"10.0.0.1:1","state":"live","since":"soon"}]`, 0, 1, false},
		"not an object":   {`[7,` + ok + `]`, 1, 1, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list, bad, err := ParseList([]byte(c.body))
			is.Equal(len(list), c.list)
			is.Equal(len(bad), c.bad)
			is.Equal(err != nil, c.err)
			if err != nil {
				is.True(errors.Is(err, ErrInvalidList))
			}
		})
	}
}
