package bbproxy

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/bluebellport/limit"
	"bluebellport.example/shared/bbplan"
)

// observedLimits records what was observed, a line for each statement.
type observedLimits []string

func (o *observedLimits) Observe(_ bbplan.TargetRun, s bblimit.Statement) {
	*o = append(*o, fmt.Sprint(s.Limit, s.Ended))
}

// TestTargetFieldsAreReadOrReported guards against fields of the contract that
// no instance reads without saying so.
func TestTargetFieldsAreReadOrReported(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	log := logrus.New()
	log.SetOutput(&out)
	var limits observedLimits
	h := newHintReader(&limits, log, metrics.NewRegistry())
	own := []Field{{"Attempt-Id", "a"}, {"Server-Signature", "s"}}
	for _, c := range []struct {
		status int
		fields Fields
		want   string // empty: nothing is observed
	}{
		{200, append(Fields{{"Server-Limit", "3.1"}}, own...), "3.1 false"},
		{503, Fields{{"Not-Executed", "1"}, {"server-limit", "0"}}, "0 false"},
		{200, append(Fields{{"Content-Length", "3"}}, own...), "0 true"},
		{421, Fields{{"Server-Limit", "3.1"}}, ""},
		{503, Fields{{"Not-Executed", "1"}}, ""},
		{200, Fields{{"Attempt-Id", "a"}}, ""},
		{200, append(Fields{{"Server-Limit", "-1"}}, own...), ""},
		{200, append(Fields{{"Server-Limit", "1e3"}}, own...), ""},
		{200, append(Fields{{"Server-Limit", ""}}, own...), ""},
		{200, append(Fields{{"Server-Limit", "2"}, {"Server-Limit", "3"}}, own...), ""},
	} {
		limits = nil
		h.record(&Target{}, &Response{Status: c.status, Fields: c.fields}, "a", time.Now(), time.Now())
		is.Equal(strings.Join(limits, ","), c.want) // status and fields
	}
	is.Equal(h.malformed.Count(), int64(4))
	for range 2 {
		h.record(&Target{}, &Response{Status: 200, Fields: Fields{{"Server-Mood", "x"}}}, "a", time.Now(), time.Now())
	}
	is.Equal(strings.Count(out.String(), "field=server-mood"), 1)
	is.Equal(h.unknown.Count(), int64(2))
}
