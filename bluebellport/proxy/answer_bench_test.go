package bbproxy

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

// answerClient sends requests over one connection and reads the answers, for benchmarks.
type answerClient struct {
	b    *testing.B
	conn net.Conn
	br   *bufio.Reader
	n    int
}

func newAnswerClient(b *testing.B, h *harness) *answerClient {
	conn, err := net.Dial("tcp4", h.settings.FrontendAddress)
	is.New(b).NoErr(err)
	b.Cleanup(func() { _ = conn.Close() })
	return &answerClient{b: b, conn: conn, br: bufio.NewReaderSize(conn, 64<<10)}
}

// send sends a request.
func (c *answerClient) send(path, body string) {
	c.n++
	head := fmt.Sprintf("POST %s HTTP/1.1\r\nHost: %s\r\n%s: bench-%d\r\n%s: %s\r\n%s: 1500\r\n%s: 10,60\r\nContent-Length: %d\r\n\r\n", path, testHost,
		bbplatform.HeaderAttemptID, c.n, bbplatform.HeaderAPIKey, testKey, bbplatform.HeaderDeadline, bbplatform.HeaderTokenUsage, len(body))
	_, err := (&net.Buffers{[]byte(head), []byte(body)}).WriteTo(c.conn)
	is.New(c.b).NoErr(err)
}

// receive reads an answer that has to be a success.
func (c *answerClient) receive() {
	left := maxHead
	line, fields, err := readHead(c.br, &left)
	is.New(c.b).NoErr(err)
	if !strings.HasPrefix(line, "HTTP/1.1 200") {
		c.b.Fatal(line)
	}
	f, err := bodyFraming(fields)
	is.New(c.b).NoErr(err)
	_, err = io.Copy(io.Discard, responseBody(c.br, f, 200, "POST"))
	is.New(c.b).NoErr(err)
}

// BenchmarkAnswer measures a request and its answer through an instance: small and large
// uploads, streams, and answers that end with their connection.
func BenchmarkAnswer(b *testing.B) {
	for _, row := range []struct {
		name, path string
		upload     int
		target     bbplatformstand.TargetOptions
	}{
		{"small", "/book/1", 10, testTarget},
		{"upload of 200 kB", "/book/1", 200_000, testTarget},
		{"stream", "/draft/1", 10, bbplatformstand.TargetOptions{ID: "e1", Service: "llm", Engine: true, EventCount: 6}},
		{"without a length", "/book/1", 10, bbplatformstand.TargetOptions{ID: "t1", Service: "desk", Unframed: true}},
		{"stream without a length", "/draft/1", 10, bbplatformstand.TargetOptions{ID: "e1", Service: "llm", Engine: true, EventCount: 6, Unframed: true}},
		{"without a length, upload of 200 kB", "/book/1", 200_000, bbplatformstand.TargetOptions{ID: "t1", Service: "desk", Unframed: true}},
	} {
		b.Run(row.name, func(b *testing.B) {
			h := newHarness(b, 1e12)
			row.target.DropBodies = true
			h.startTarget(row.target)
			h.start()
			c := newAnswerClient(b, h)
			body := strings.Repeat("b", row.upload)
			b.SetBytes(int64(row.upload))
			b.ReportAllocs()
			for b.Loop() {
				c.send(row.path, body)
				c.receive()
			}
		})
	}
}
