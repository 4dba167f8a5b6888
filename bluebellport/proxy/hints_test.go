package bbproxy

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
)

// TestChangedLimitsAndUnknownFieldsAreLoggedOnce guards against fields of the
// contract that no instance reads without saying so.
func TestChangedLimitsAndUnknownFieldsAreLoggedOnce(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	h := newHintLog(log, metrics.NewRegistry())
	target := &Target{}
	signed := Field{"Server-Signature", "s"}
	for _, answer := range []Fields{
		{signed, {"Content-Length", "3"}},
		{signed, {"Server-Limit", "3.1"}},
		{signed, {"server-limit", "3.1"}},
		{signed, {"Server-Limit", "-1"}},
		{signed, {"Server-Limit", "2"}},
		{signed, {"Server-Mood", "x"}},
		{signed, {"Server-Mood", "x"}},
	} {
		h.record(target, &Response{Status: 200, Fields: answer})
	}
	is.Equal(strings.Count(out.String(), "target names a limit"), 2)
	is.Equal(strings.Count(out.String(), "target names no limit any more"), 1)
	is.Equal(strings.Count(out.String(), "field=server-mood"), 1)
	is.Equal(h.malformed.Count(), int64(1))
	is.Equal(h.unknown.Count(), int64(2))
}
