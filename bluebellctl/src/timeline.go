package bbctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes is the longest log line that is read, in bytes.
const maxLineBytes = 4 << 20

// logLine is one log line of an instance.
type logLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Msg      string    `json:"msg"`
	Event    string    `json:"event,omitempty"`
	Request  string    `json:"request,omitempty"`
	// Fields are all that the line says, those above included.
	Fields map[string]any `json:"fields"`
}

// parseLine reads a line; a collector may have put its own words before the
// object. It tells whether the line is one of an instance.
func parseLine(raw []byte) (logLine, bool) {
	var l logLine
	at := bytes.IndexByte(raw, '{')
	if at < 0 || json.Unmarshal(raw[at:], &l.Fields) != nil {
		return l, false
	}
	word := func(name string) string {
		s, _ := l.Fields[name].(string)
		return s
	}
	l.Instance, l.Msg, l.Event, l.Request = word("instance"), word("msg"), word("event"), word("request")
	when, err := time.Parse(time.RFC3339Nano, word("time"))
	l.Time = when
	return l, err == nil && l.Instance != "" && l.Msg != ""
}

// number returns a field that holds a number, 0 when it does not.
func (l *logLine) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

func (l *logLine) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// stateKey is what a line changes in the beliefs of its instance, empty for none.
// The newest line of a topic holds.
func (l *logLine) stateKey() string {
	switch l.Event {
	case "store-lost", "store-back", "watch-handed":
		return "store"
	case "start", "leaving", "stop", "cut":
		return "life"
	case "plan", "crowded", "reload":
		return l.Event
	case "target", "target-gone":
		return "target " + l.text("target")
	}
	return ""
}

// step is one line of a request, and what its instance believed then.
type step struct {
	Line          logLine   `json:"line"`
	InstanceState []logLine `json:"beliefs"`
}

// timeline is what logs tell of one request.
type timeline struct {
	Request string `json:"request"`
	Steps   []step `json:"steps"`
	// LinesRead counts the lines, Foreign those among them that no instance wrote.
	LinesRead    int `json:"read"`
	LinesSkipped int `json:"foreign"`

	instanceStates map[string]map[string]logLine // by instance and topic
}

// newTimeline returns the empty story of a request.
func newTimeline(request string) *timeline {
	return &timeline{Request: request, instanceStates: map[string]map[string]logLine{}}
}

// readLog takes log lines. The lines of one instance come in the order in which it
// wrote them; those of several may be mixed or come one instance after the other.
func (s *timeline) readLog(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, maxLineBytes)
	for lines.Scan() {
		s.LinesRead++
		l, ours := parseLine(lines.Bytes())
		if !ours {
			s.LinesSkipped++
			continue
		}
		s.add(l)
	}
	return errors.Trace(lines.Err())
}

func (s *timeline) add(l logLine) {
	b := s.instanceStates[l.Instance]
	if b == nil {
		b = map[string]logLine{}
		s.instanceStates[l.Instance] = b
	}
	if l.Event == "start" {
		clear(b) // a new life knows nothing of the one before
	}
	if t := l.stateKey(); t != "" {
		b[t] = l
	}
	if l.Request == s.Request {
		s.Steps = append(s.Steps, step{Line: l, InstanceState: relevantState(b, l)})
	}
}

// relevantState returns the beliefs that matter to a line, oldest first.
func relevantState(b map[string]logLine, l logLine) []logLine {
	var out []logLine
	for _, t := range []string{"life", "plan", "store", "crowded", "reload", "target " + l.text("target")} {
		if belief, ok := b[t]; ok {
			out = append(out, belief)
		}
	}
	slices.SortStableFunc(out, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	return out
}

// sortSteps sorts the steps once all lines are read.
func (s *timeline) sortSteps() {
	slices.SortStableFunc(s.Steps, func(a, b step) int {
		return cmp.Or(a.Line.Time.Compare(b.Line.Time), cmp.Compare(a.Line.Instance, b.Line.Instance))
	})
}

// findStateLine returns the newest line of an event in force at the step.
func (s *step) findStateLine(event string) (logLine, bool) {
	for _, b := range s.InstanceState {
		if b.Event == event {
			return b, true
		}
	}
	return logLine{}, false
}
