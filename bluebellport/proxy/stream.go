package bbproxy

import (
	"bytes"
	"io"
	"slices"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// streamState is what a client has received of an event stream. The zero value
// is a stream that has not started.
type streamState struct {
	started      bool
	closesConn   bool // announced by the head of the response
	complete     bool // the whole response was passed on
	eventCount   int
	firstEventAt time.Time     // when the first event came
	lastEventAt  time.Time     // when the latest event came
	longestGap   time.Duration // between two events
	lastID       int64         // id of the last event passed on
	// unnumbered reports that events without an id were passed on. A stream with these
	// can't be resumed.
	unnumbered bool
	// answerID is the highest id that the answer being read has shown, answered whether it
	// has shown any event.
	answerID int64
	answered bool
}

// recordEvent records the time of an event.
func (s *streamState) recordEvent(now time.Time) {
	if s.firstEventAt.IsZero() {
		s.firstEventAt = now
	} else {
		s.longestGap = max(s.longestGap, now.Sub(s.lastEventAt))
	}
	s.lastEventAt = now
}

// resumeID returns the event id after which another target has to resume, empty
// if the stream has not started.
func (s *streamState) resumeID() string {
	if !s.started || s.lastID == 0 {
		return ""
	}
	return strconv.FormatInt(s.lastID, 10)
}

// errEventOrder means that an event's id does not follow that of the previous
// one.
var errEventOrder = errors.WithType(errors.New("event out of order"), ErrMalformed)

// errNoContinuation means that an answer does not go on with the stream that the client
// has, or has no events at all.
var errNoContinuation = errors.WithType(errors.New("answer is not a part of the stream"), ErrMalformed)

// forwardStream passes the events of a stream to the client as they arrive,
// each as a whole. A stream that breaks off can be resumed at another target
// after the last whole event; the client then sees one response with the first
// head. That is written with the first event: until then another answer can take
// the place of this one. An answer that is no stream is passed on whole, unless it
// stands where a stream should go on.
func (x *exchange) forwardStream(conn *targetConn, resp *Response) attemptResult {
	if !x.stream.started {
		x.stream.lastID = parseLastEventID(x.req.LastEventID)
	}
	if !resp.mayBeStream() {
		if x.stream.started || x.stream.lastID > 0 {
			_ = conn.Close()
			return x.connFailure(errNoContinuation)
		}
		return x.deliver(conn, resp)
	}
	x.stream.answerID, x.stream.answered = 0, false
	b := x.bodyOf(conn, resp)
	if !x.stream.started {
		x.stream.closesConn = x.closesConn()
	}
	head := responseHead(resp, -1, x.stream.closesConn)
	err := x.forwardEvents(conn, b, head)
	if err == nil && !x.stream.mayEnd(x.terms.maxEvents) {
		err = errNoContinuation
	}
	if err == nil && !x.stream.started {
		err = x.writeStreamHead(head)
	}
	switch {
	case err == nil:
		x.stream.complete = true
		x.releaseConn(conn)
		writeErr := x.client.write([]byte(lastChunk))
		return attemptResult{kind: resultDone, err: writeErr, keepConn: writeErr == nil && !x.stream.closesConn}
	case errors.Is(err, errClient):
		_ = conn.Close()
		return attemptResult{kind: resultGone, err: err}
	}
	_ = conn.Close()
	return x.connFailure(err)
}

// writeStreamHead writes the head of the response. Its error is an errClient.
func (x *exchange) writeStreamHead(head []byte) error {
	x.stream.started = true
	if err := x.client.write(head); err != nil {
		return errors.WithType(err, errClient)
	}
	return nil
}

// mayEnd reports whether the stream can end with the answer being read: the answer has
// shown the last event that the client has, or the client has the most events there can
// be, if these are known (above 0).
func (s *streamState) mayEnd(maxEvents int64) bool {
	if s.lastID == 0 {
		return s.answered || maxEvents == 0 && !s.started
	}
	return s.answerID >= s.lastID || maxEvents > 0 && s.lastID >= maxEvents
}

// parseLastEventID returns the event after which a client resumes a stream, 0
// if it names none.
func parseLastEventID(text string) int64 {
	n, err := parseDigits(text, 10)
	if err != nil {
		return 0
	}
	return n
}

// errClient marks an error of the client's connection.
const errClient = errors.ConstError("caller's connection")

// forwardEvents passes events to the client, before the first of them the head unless
// the stream has one, and returns nil when the body is complete. It returns
// io.ErrUnexpectedEOF if the last event is not.
func (x *exchange) forwardEvents(conn *targetConn, b *bodyReader, head []byte) error {
	buf := buffer{budget: x.proxy.responseMemory}
	defer buf.free()
	for size := 0; ; {
		if x.route.Repeatable() && x.sentAttempts < x.route.MaxAttempts {
			x.awaitBytes(conn, max(gapTimeoutFactor*x.route.EventGapObjective, minResponseTimeout))
		}
		n, err := buf.readOnce(b, maxEvent)
		if size += n; size > maxResponseBody {
			err = errors.Trace(ErrBodySize)
		}
		if buf.hasNew(n, eventEnd) {
			rest, forwardErr := x.forwardWholeEvents(buf.bytes, head)
			if forwardErr != nil {
				return forwardErr
			}
			buf.keep(rest)
		}
		if err == io.EOF || err == nil && b.complete {
			if len(buf.bytes) > 0 {
				return io.ErrUnexpectedEOF
			}
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// eventEnd ends an event of a stream.
const eventEnd = "\n\n"

// forwardWholeEvents writes the whole events at the start of buf as one chunk
// and returns the rest. It writes the head before the first of them.
func (x *exchange) forwardWholeEvents(buf, head []byte) ([]byte, error) {
	before := x.stream.eventCount
	events, rest, splitErr := x.stream.splitEvents(buf, x.sentAttempts > 1)
	x.recordEvents(x.stream.eventCount - before)
	if len(events) > 0 {
		if !x.stream.started {
			if err := x.writeStreamHead(head); err != nil {
				return nil, err
			}
		}
		chunk := appendChunk(x.chunk[:0], events)
		if cap(chunk) <= freeBuffer {
			x.chunk = chunk
		}
		if err := x.writePart(chunk); err != nil {
			return nil, errors.WithType(err, errClient)
		}
	}
	return rest, splitErr
}

// splitEvents returns the whole events at the start of buf that the client does
// not have yet, and the bytes that follow them. Only a resumed stream may begin
// with events that the client has; any other gap or repetition is
// errEventOrder. With an error it returns the events before the one that is wrong.
func (s *streamState) splitEvents(buf []byte, resumed bool) (events, rest []byte, err error) {
	start, end := 0, 0
	for {
		i := bytes.Index(buf[end:], []byte(eventEnd))
		if i < 0 {
			return buf[start:end], buf[end:], nil
		}
		event := buf[end : end+i+2]
		before := end
		end += len(event)
		switch id := eventID(event); {
		case id == 0 && isComment(event):
		case id == 0 && s.lastID > 0:
			return buf[start:before], nil, errors.Annotatef(errNoContinuation, "event without an id after %d", s.lastID)
		case id == 0:
			s.unnumbered, s.answered = true, true
			s.eventCount++
			s.recordEvent(time.Now())
		case id <= s.lastID && resumed && start == end-len(event):
			start = end
			s.answerID, s.answered = max(s.answerID, id), true
		case id != s.lastID+1:
			return buf[start:before], nil, errors.Annotatef(errEventOrder, "%d after %d", id, s.lastID)
		default:
			s.lastID, s.answerID, s.answered = id, id, true
			s.eventCount++
			s.recordEvent(time.Now())
		}
	}
}

// isComment reports whether an event has nothing but comment lines, which targets may
// send to keep a connection alive.
func isComment(event []byte) bool {
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if len(line) > 0 && line[0] != ':' {
			return false
		}
	}
	return true
}

// appendChunk appends data, framed as one chunk of a chunked body.
func appendChunk(out, data []byte) []byte {
	out = slices.Grow(out, len(data)+16)
	out = strconv.AppendInt(out, int64(len(data)), 16)
	out = append(out, "\r\n"...)
	out = append(out, data...)
	return append(out, "\r\n"...)
}

// eventID returns the id of an event, 0 if it has none.
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
