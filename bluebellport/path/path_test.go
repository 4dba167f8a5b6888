package bbpath

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// at returns a time of a test's clock, in milliseconds.
func at(ms int) time.Time { return time.Unix(1e9, 0).Add(time.Duration(ms) * time.Millisecond) }

// TestWaitIsEndedOnlyIfItMayBeLost guards against a wait that goes on for an answer that
// was lost, and against one that is ended though its service has none yet.
func TestWaitIsEndedOnlyIfItMayBeLost(t *testing.T) {
	type call struct {
		began, ended int
		answered     bool
	}
	tests := []struct {
		name           string
		before, during []call // the wait begins between the two
		arriving       bool
		lost, broken   bool
	}{
		{name: "no other call"},
		{name: "calls are answered", before: []call{{0, 10, true}}, during: []call{{20, 30, true}, {40, 50, true}}},
		{name: "a call gets no answer", before: []call{{0, 10, true}}, during: []call{{20, 1020, false}}, lost: true, broken: true},
		{name: "a call gets none, a later one does", before: []call{{0, 10, true}}, during: []call{{300, 310, true}, {20, 1020, false}}, lost: true},
		{name: "a call from before the path worked again gets none", before: []call{{0, 10, false}, {500, 510, true}}, during: []call{{400, 1400, false}}},
		{name: "its answer is arriving", before: []call{{0, 10, true}}, during: []call{{20, 1020, false}}, arriving: true, broken: true},
		{name: "a call is given up soon", before: []call{{0, 10, true}}, during: []call{{20, 40, false}}},
		{name: "nothing has been answered yet", during: []call{{20, 1020, false}}, lost: true, broken: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			is := is.New(t)
			p := &Path{}
			record := func(calls []call) {
				for _, c := range calls {
					if c.answered {
						p.Answered(at(c.began))
					} else {
						p.Unanswered(at(c.began), at(c.ended))
					}
				}
			}
			record(test.before)
			ended := 0
			w := p.BeginWait(func() { ended++ }, func() bool { return test.arriving })
			record(test.during)
			record(test.during)
			is.Equal(ended == 1, test.lost)
			is.Equal(p.LostWaits(), int64(ended))
			is.Equal(p.IsBroken(), test.broken)
			p.EndWait(w)
			p.Unanswered(at(5000), at(6000))
			is.Equal(ended == 1, test.lost) // never after its end
		})
	}
}

// TestBreakIsToldOnce guards against connections that are closed again and again while a
// path is broken.
func TestBreakIsToldOnce(t *testing.T) {
	is := is.New(t)
	p, breaks := &Path{}, 0
	p.OnBreak(func() { breaks++ })
	p.Answered(at(0))
	for ms := 100; ms < 1000; ms += 100 {
		p.Unanswered(at(ms), at(ms+500))
	}
	is.Equal(breaks, 1)
	p.Answered(at(2000))
	p.Unanswered(at(900), at(2500)) // from before the path worked again
	is.Equal(breaks, 1)
	p.Unanswered(at(3000), at(3500))
	is.Equal(breaks, 2)
}
