package bbproxy

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbplace"
	"bluebellport.example/shared/bbplan"
)

// heardLeavings records the runs that were heard to leave.
type heardLeavings []bbplan.TargetRun

func (h *heardLeavings) HearAnswer(run bbplan.TargetRun) { *h = append(*h, run) }

// TestOnlyTheTargetsOwnAnswerSaysThatItLeaves guards against targets that are
// given up on the word of another request's answer, of another server or of bytes
// that were changed on the way.
func TestOnlyTheTargetsOwnAnswerSaysThatItLeaves(t *testing.T) {
	is := is.New(t)
	var heard heardLeavings
	notices := newNoticeReader(&heard, nil, metrics.NewRegistry())
	target := &Target{Target: bbplace.Target{Target: bbplan.Target{ID: "t1", StartedAtMillis: 7}, State: &bbplace.TargetState{}}}
	signature, own := Field{"Server-Signature", "s"}, Field{"Attempt-Id", "a"}
	for _, c := range []struct {
		name        string
		status      int
		fields      Fields
		firstOnConn bool
		want        int
	}{
		{"own answer", 200, Fields{own, signature, {"Server-Leaving", "1"}}, false, 1},
		{"own failure", 500, Fields{own, signature, {"server-leaving", "1"}}, false, 1},
		{"own refusal", 503, Fields{own, {"Not-Executed", "1"}, {"Server-Leaving", "1"}}, false, 1},
		{"refusal without an id, first on its connection", 503, Fields{{"Not-Executed", "1"}, {"Server-Leaving", "1"}}, true, 1},
		{"refusal without an id, may be another's", 503, Fields{{"Not-Executed", "1"}, {"Server-Leaving", "1"}}, false, 0},
		{"another's answer", 200, Fields{{"Attempt-Id", "b"}, signature, {"Server-Leaving", "1"}}, true, 0},
		{"another server at the address", 421, Fields{own, signature, {"Server-Leaving", "1"}}, true, 0},
		{"unsigned", 200, Fields{own, {"Server-Leaving", "1"}}, true, 0},
		{"closes the connection", 200, Fields{own, signature, {"Connection", "close"}}, false, 0},
		{"does not leave", 200, Fields{own, signature, {"Server-Leaving", "0"}}, false, 0},
		{"no defined value", 200, Fields{own, signature, {"Server-Leaving", "yes"}}, false, 0},
		{"no value", 200, Fields{own, signature, {"Server-Leaving", ""}}, false, 0},
		{"two values", 200, Fields{own, signature, {"Server-Leaving", "1"}, {"Server-Leaving", "0"}}, false, 0},
	} {
		heard = nil
		resp := &Response{Status: c.status, Fields: c.fields}
		notices.record(target, resp, originOf(c.fields, "a", c.firstOnConn), time.Now())
		if len(heard) != c.want {
			t.Errorf("%s: heard %v, want %d", c.name, heard, c.want)
		}
	}
	is.Equal(notices.malformed.Count(), int64(3))
}

// TestOnlyARefusalWithATimeBeginsAPause guards against targets that are kept from
// requests on a word that they have not said, or for ever.
func TestOnlyARefusalWithATimeBeginsAPause(t *testing.T) {
	is := is.New(t)
	log := logrus.New()
	log.SetOutput(io.Discard)
	notices := newNoticeReader(&heardLeavings{}, log, metrics.NewRegistry())
	now := time.Unix(1e9, 0)
	refusal := func(values ...string) *Response {
		resp := &Response{Status: 503, Fields: Fields{{"Not-Executed", "1"}}}
		for _, v := range values {
			resp.Fields = append(resp.Fields, Field{"Retry-After", v})
		}
		return resp
	}
	for _, c := range []struct {
		resp *Response
		want time.Duration
	}{
		{refusal("3"), 3 * time.Second},
		{refusal("0.25"), 250 * time.Millisecond},
		{refusal("0"), 0},
		{refusal("99999999999999999999"), maxTargetPause},
		{refusal(), 0},
		{refusal("-1"), 0},
		{refusal("1e3"), 0},
		{refusal(""), 0},
		{refusal("Fri, 04 Dec 2026 10:00:00 GMT"), 0},
		{refusal("1", "2"), 0},
		{&Response{Status: 200, Fields: Fields{{"Server-Signature", "s"}, {"Retry-After", "3"}}}, 0},
		{&Response{Status: 429, Fields: Fields{{"Not-Executed", "1"}, {"Retry-After", "3"}}}, 0},
	} {
		target := &Target{Target: bbplace.Target{State: &bbplace.TargetState{}}}
		notices.record(target, c.resp, originOnlyRequest, now)
		is.Equal(target.State.PauseLeft(now), c.want) // status and fields
	}
	is.Equal(notices.pauses.Count(), int64(3))
	is.Equal(notices.malformed.Count(), int64(5))
}
