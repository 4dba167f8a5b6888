package bbctl

import (
	"bufio"
	"bytes"
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"
)

// maxLineBytes is the length of the longest log line that can be read.
const maxLineBytes = 4 << 20

// logLine is one line of an instance's log.
type logLine struct {
	Time     time.Time `json:"time"`
	Instance string    `json:"instance"`
	Msg      string    `json:"msg"`
	Event    string    `json:"event,omitempty"`
	Request  string    `json:"request,omitempty"`
	// Fields holds all fields of the line, including those above.
	Fields map[string]any `json:"fields"`
}

// parseLine parses a log line. Text before the JSON object, as log collectors
// add it, is ignored. It returns false if no instance wrote the line.
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

// number returns the value of a numeric field, or 0 if the line has none of
// that name.
func (l *logLine) number(name string) float64 {
	n, _ := l.Fields[name].(float64)
	return n
}

// text returns the value of a string field, or "" if the line has none of that
// name.
func (l *logLine) text(name string) string {
	s, _ := l.Fields[name].(string)
	return s
}

// stateKey returns the part of its instance's state that the line changes, or
// "" if it changes none: "life" is the state of the process, "store" its access
// to the store. A newer line replaces an older one with the same key.
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
	case "crash", "crash-disproved", "crash-verdict":
		return crashKey(l) + " " + l.Event + " " + l.text("target") + l.text("peer")
	}
	return ""
}

// crashKey returns the part of the state keys that is common to all lines about
// crashes of the line's fingerprint, or "" if it names none.
func crashKey(l *logLine) string {
	if fingerprint := l.text("fingerprint"); fingerprint != "" {
		return "crash " + fingerprint
	}
	return ""
}

// step is a log line of the request, with the lines that show the state of the
// instance at that time.
type step struct {
	Line          logLine   `json:"line"`
	InstanceState []logLine `json:"beliefs"`
}

// timeline collects the log lines of one request from all instances.
type timeline struct {
	Request string `json:"request"`
	Steps   []step `json:"steps"`
	// LinesRead counts all lines, LinesSkipped those of them that no instance
	// wrote.
	LinesRead    int `json:"read"`
	LinesSkipped int `json:"foreign"`

	instanceStates map[string]map[string]logLine // by instance and state key
}

// newTimeline returns an empty timeline of the request.
func newTimeline(request string) *timeline {
	return &timeline{Request: request, instanceStates: map[string]map[string]logLine{}}
}

// readLog adds the lines of a log. Lines of the same instance must be in the
// order in which they were written. Lines of different instances may be
// interleaved in any way.
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

func (t *timeline) add(l logLine) {
	state := t.instanceStates[l.Instance]
	if state == nil {
		state = map[string]logLine{}
		t.instanceStates[l.Instance] = state
	}
	if l.Event == "start" {
		clear(state) // a restarted instance has none of its earlier state
	}
	if key := l.stateKey(); key != "" {
		state[key] = l
	}
	if l.Request == t.Request {
		t.Steps = append(t.Steps, step{Line: l, InstanceState: relevantState(state, l)})
	}
}

// relevantState returns the lines of state that can explain l, oldest first.
func relevantState(state map[string]logLine, l logLine) []logLine {
	var lines []logLine
	for _, key := range []string{"life", "plan", "store", "crowded", "reload", "target " + l.text("target")} {
		if line, ok := state[key]; ok {
			lines = append(lines, line)
		}
	}
	for key, line := range state {
		if prefix := crashKey(&l); prefix != "" && strings.HasPrefix(key, prefix+" ") && (line.Request != l.Request || line.Time != l.Time) {
			lines = append(lines, line)
		}
	}
	slices.SortStableFunc(lines, func(x, y logLine) int {
		return cmp.Or(x.Time.Compare(y.Time), cmp.Compare(x.Msg, y.Msg), cmp.Compare(x.detail(), y.detail()))
	})
	return lines
}

// sortSteps sorts the steps by time and instance. It is called once, after all
// logs are read.
func (t *timeline) sortSteps() {
	slices.SortStableFunc(t.Steps, func(a, b step) int {
		return cmp.Or(a.Line.Time.Compare(b.Line.Time), cmp.Compare(a.Line.Instance, b.Line.Instance))
	})
}

// findStateLine returns the state line with the event, if the instance's state
// at the step has one.
func (s *step) findStateLine(event string) (logLine, bool) {
	for _, line := range s.InstanceState {
		if line.Event == event {
			return line, true
		}
	}
	return logLine{}, false
}
