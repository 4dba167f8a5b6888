package bbproxy

import (
	"strings"

	"github.com/juju/errors"

	"bluebellport.example/platform"
)

// Answer is the head of a target's answer.
type Answer struct {
	Status int
	Reason string
	Fields Fields
	frame  framing
}

// readAnswerHead reads the head of an answer, past those of status 1xx.
func (c *targetConn) readAnswerHead() (*Answer, error) {
	for {
		first, fields, err := readHead(c.br, maxHead)
		if err != nil {
			return nil, broke(err)
		}
		version, rest, _ := strings.Cut(first, " ")
		code, reason, _ := strings.Cut(rest, " ")
		status, err := parseDigits(code, 10)
		if err != nil || len(code) != 3 || version != "HTTP/1.1" && version != "HTTP/1.0" {
			return nil, errors.Annotatef(ErrMalformed, "status line %.60q", first)
		}
		if status >= 100 && status < 200 {
			continue
		}
		f, err := bodyFraming(fields)
		if err != nil {
			return nil, err
		}
		a := &Answer{Status: int(status), Reason: reason, Fields: fields, frame: f}
		c.keep = version == "HTTP/1.1" && !fields.hasToken("Connection", "close")
		c.learn(fields)
		return a, nil
	}
}

// notRun tells that the target says it did not run the request.
func (a *Answer) notRun() bool {
	_, said := a.Fields.Get(bbplatform.HeaderNotRun)
	return said > 0 || a.Status == 421
}

// signed tells that the answer bears the target's signature and is not altered
// on its way.
func (a *Answer) signed() bool {
	_, coded := a.Fields.Get("Content-Encoding")
	return a.Fields.Value(bbplatform.HeaderSignature) != "" && coded == 0
}

// belongs tells whether the answer is that of an attempt.
func (a *Answer) belongs(attempt string) bool {
	id, n := a.Fields.Get(bbplatform.HeaderAttempt)
	return n == 1 && id == attempt
}
