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
	start := bytes.IndexByte(raw, '{')
	if start < 0 || json.Unmarshal(raw[start:], &l.Fields) != nil {
		return l, false
	}
	textField := func(name string) string {
		s, _ := l.Fields[name].(string)
		return s
	}
	l.Instance, l.Msg, l.Event, l.Request = textField("instance"), textField("msg"), textField("event"), textField("request")
	parsed, err := time.Parse(time.RFC3339Nano, textField("time"))
	l.Time = parsed
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
func (t *timeline) readLog(r io.Reader) error {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		t.LinesRead++
		l, ok := parseLine(scanner.Bytes())
		if !ok {
			t.LinesSkipped++
			continue
		}
		t.add(l)
	}
	return errors.Trace(scanner.Err())
}

func (tl *timeline) add(l logLine) {
	state := tl.instanceStates[l.Instance]
	if state == nil {
		state = map[string]logLine{}
		tl.instanceStates[l.Instance] = state
	}
	if l.Event == "start" {
		clear(state) // a new life knows nothing of the one before
	}
	if key := l.stateKey(); key != "" {
		state[key] = l
	}
	if l.Request == tl.Request {
		tl.Steps = append(tl.Steps, step{Line: l, InstanceState: relevantState(state, l)})
	}
}

// relevantState returns the beliefs that matter to a line, oldest first.
func relevantState(state map[string]logLine, l logLine) []logLine {
	var lines []logLine
	for _, key := range []string{"life", "plan", "store", "crowded", "reload", "target " + l.text("target")} {
		if line, ok := state[key]; ok {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	return lines
}

// sortSteps sorts the steps once all lines are read.
func (t *timeline) sortSteps() {
	slices.SortStableFunc(t.Steps, func(a, b step) int {
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
