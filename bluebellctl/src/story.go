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

// longestLine is the longest log line that is read, in bytes.
const longestLine = 4 << 20

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

// topic is what a line changes in the beliefs of its instance, empty for none.
// The newest line of a topic holds.
func (l *logLine) topic() string {
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
	Line    logLine   `json:"line"`
	Beliefs []logLine `json:"beliefs"`
}

// story is what logs tell of one request.
type story struct {
	Request string `json:"request"`
	Steps   []step `json:"steps"`
	// Read counts the lines, Foreign those among them that no instance wrote.
	Read    int `json:"read"`
	Foreign int `json:"foreign"`

	beliefs map[string]map[string]logLine // by instance and topic
}

// newStory returns the empty story of a request.
func newStory(request string) *story {
	return &story{Request: request, beliefs: map[string]map[string]logLine{}}
}

// read takes log lines. The lines of one instance come in the order in which it
// wrote them; those of several may be mixed or come one instance after the other.
func (s *story) read(r io.Reader) error {
	lines := bufio.NewScanner(r)
	lines.Buffer(nil, longestLine)
	for lines.Scan() {
		s.Read++
		l, ours := parseLine(lines.Bytes())
		if !ours {
			s.Foreign++
			continue
		}
		s.take(l)
	}
	return errors.Trace(lines.Err())
}

func (s *story) take(l logLine) {
	b := s.beliefs[l.Instance]
	if b == nil {
		b = map[string]logLine{}
		s.beliefs[l.Instance] = b
	}
	if l.Event == "start" {
		clear(b) // a new life knows nothing of the one before
	}
	if t := l.topic(); t != "" {
		b[t] = l
	}
	if l.Request == s.Request {
		s.Steps = append(s.Steps, step{Line: l, Beliefs: inForce(b, l)})
	}
}

// inForce returns the beliefs that matter to a line, oldest first.
func inForce(b map[string]logLine, l logLine) []logLine {
	var out []logLine
	for _, t := range []string{"life", "plan", "store", "crowded", "reload", "target " + l.text("target")} {
		if belief, ok := b[t]; ok {
			out = append(out, belief)
		}
	}
	slices.SortStableFunc(out, func(x, y logLine) int { return x.Time.Compare(y.Time) })
	return out
}

// end sorts the steps once all lines are read.
func (s *story) end() {
	slices.SortStableFunc(s.Steps, func(a, b step) int {
		return cmp.Or(a.Line.Time.Compare(b.Line.Time), cmp.Compare(a.Line.Instance, b.Line.Instance))
	})
}

// believed returns the newest line of an event in force at the step.
func (s *step) believed(event string) (logLine, bool) {
	for _, b := range s.Beliefs {
		if b.Event == event {
			return b, true
		}
	}
	return logLine{}, false
}
