package bbproxy

import (
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// stream is what the caller has of a stream of events. The zero value has
// nothing.
type stream struct {
	begun  bool
	whole  bool
	events int
	first  time.Time     // when the first event came
	at     time.Time     // when the last one came
	gap    time.Duration // the longest pause
	last   int64         // id of the last event passed on
}

// came notes the time of an event.
func (s *stream) came(now time.Time) {
	if s.first.IsZero() {
		s.first = now
	} else {
		s.gap = max(s.gap, now.Sub(s.at))
	}
	s.at = now
}

// lastID is the id after which another target has to go on; empty when the
// stream has not begun.
func (s *stream) lastID() string {
	if !s.begun || s.last == 0 {
		return ""
	}
	return strconv.FormatInt(s.last, 10)
}

// errOrder means that an event is not the one that follows.
var errOrder = errors.New("event out of order")

// passStream passes events on as they come, each whole. A stream that breaks off
// can go on at another target from the last whole event, under the first head.
func (x *exchange) passStream(c *targetConn, a *Answer) ending {
	b := answerBody(c.br, a.frame, a.Status, x.q.Method)
	closing := x.q.Close || x.door.board.closing()
	if !x.stream.begun {
		x.stream.begun = true
		x.stream.last = startOf(x.q.LastEvent)
		if err := x.caller.write(answerHead(a, -1, closing)); err != nil {
			_ = c.Close()
			return ending{kind: endGone, err: err}
		}
	}
	err := x.passEvents(c, b)
	switch {
	case err == nil:
		x.stream.whole = true
		c.park()
		werr := x.caller.write([]byte("0\r\n\r\n"))
		return ending{kind: endDone, err: werr, keep: werr == nil && !closing}
	case errors.Is(err, errCaller):
		_ = c.Close()
		return ending{kind: endGone, err: err}
	}
	_ = c.Close()
	return x.broken(err)
}

// startOf is the event that a caller has when it resumes a stream.
func startOf(last string) int64 {
	n, err := parseDigits(last, 10)
	if err != nil {
		return 0
	}
	return n
}

// errCaller marks an error of the caller's connection.
const errCaller = errors.ConstError("caller's connection")

// passEvents reads events until the body ends whole, and returns nil then.
func (x *exchange) passEvents(c *targetConn, b *body) error {
	buf := make([]byte, 0, bufferSize)
	for {
		if x.route.Repeatable() && x.sends < x.route.MaxAttempts {
			_ = c.SetReadDeadline(earlier(x.end, time.Now().Add(max(patienceGaps*x.route.EventGapObjective, leastPatience))))
		}
		if len(buf) == cap(buf) {
			if len(buf) >= maxEvent {
				return errors.Annotate(ErrMalformed, "event too large")
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := b.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		rest, perr := x.passWhole(buf)
		if perr != nil {
			return perr
		}
		buf = append(buf[:0], rest...)
		if err == io.EOF || err == nil && b.ended {
			if len(buf) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// passWhole writes the whole events at the start of buf as one chunk, and
// returns what is left.
func (x *exchange) passWhole(buf []byte) ([]byte, error) {
	events, rest, err := x.stream.take(buf, x.sends > 1)
	if err != nil {
		return nil, err
	}
	if len(events) > 0 {
		if err := x.caller.write(chunk(events)); err != nil {
			return nil, errors.WithType(err, errCaller)
		}
	}
	return rest, nil
}

// take returns the whole events at the start of buf that the caller has not yet,
// and what is behind them. Only a resumed stream may begin with events that the
// caller has; else an event that does not follow the last one is an error.
func (s *stream) take(buf []byte, resumed bool) (events, rest []byte, err error) {
	start, end := 0, 0
	for {
		i := bytes.Index(buf[end:], []byte("\n\n"))
		if i < 0 {
			return buf[start:end], buf[end:], nil
		}
		event := buf[end : end+i+2]
		end += len(event)
		switch id := eventID(event); {
		case id == 0:
		case id <= s.last && resumed && start == end-len(event):
			start = end
		case id != s.last+1:
			return nil, nil, errors.Annotatef(errOrder, "%d after %d", id, s.last)
		default:
			s.last = id
			s.events++
			s.came(time.Now())
		}
	}
}

// chunk frames bytes for a chunked body.
func chunk(data []byte) []byte {
	out := make([]byte, 0, len(data)+16)
	out = strconv.AppendInt(out, int64(len(data)), 16)
	out = append(out, "\r\n"...)
	out = append(out, data...)
	return append(out, "\r\n"...)
}

// eventID returns the id of an event, 0 when it has none.
func eventID(event []byte) int64 {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		value, ok := bytes.CutPrefix(line, []byte("id:"))
		if !ok {
			continue
		}
		id, err := strconv.ParseInt(string(bytes.TrimSpace(value)), 10, 64)
		if err != nil {
			return 0
		}
		return id
	}
	return 0
}
