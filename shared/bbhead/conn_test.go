package bbhead

import (
	"io"
	"net"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// textConn is a connection from which a text is read in parts of some bytes.
type textConn struct {
	net.Conn
	text *strings.Reader
	part int
}

func (c *textConn) Read(b []byte) (int, error)  { return c.text.Read(b[:min(len(b), c.part)]) }
func (c *textConn) Write(b []byte) (int, error) { return len(b), nil }

// TestResponseThatGoesOnAsAnotherIsFound guards against two responses that are read as one,
// and against a sound one that is taken for such.
func TestResponseThatGoesOnAsAnotherIsFound(t *testing.T) {
	const ok, busy, length = "HTTP/1.1 200 OK\r\n", "HTTP/1.1 503 Busy\r\nA: b\r\n\r\n", "Content-Length: 5\r\n"
	for text, joined := range map[string]bool{
		ok + "Server: a\r\n\r\n":                                          false,
		ok + "Via: HTTP/1.1 proxy\r\n\r\n":                                false,
		ok + "Via: HTTP/1.1\r\nAge: 200\r\n\r\n":                          false,
		ok + "Upgrade: HTTP/1.1 2000\r\n\r\n":                             false,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + "\r\n":       false,
		"\r\n" + ok + length + "\r\nHTTP/":                                false,
		ok + length + "\r\nwhole" + busy:                                  false,
		ok + "Transfer-Encoding: chunked\r\n\r\n5\r\nHTTP/\r\n" + ok:      false,
		"HTTP/1.1 200 O" + busy:                                           true,
		ok + "Server: a" + busy:                                           true,
		ok + "Content-Type: te" + ok + "Content-Type: text\r\n\r\n":       true,
		ok + "Via: HTTP/1.1 proxyHTTP/1.0 503\r\n\r\n":                    true,
		"HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n" + ok + "A: " + busy: true,
		ok + length + "\r\n" + busy:                                       true,
		ok + length + "\r\nwhol" + busy:                                   true,
	} {
		for _, part := range []int{16 << 10, 64} { // a head and what follows come together
			is := is.New(t)
			c := &Conn{Conn: &textConn{text: strings.NewReader(text), part: part}}
			_, _ = c.Write([]byte("GET"))
			_, err := io.ReadAll(c)
			is.Equal(errors.Is(err, ErrJoined), joined) // text
		}
	}
}

// TestMalformedHeadIsFound guards against a status that is none of HTTP, or a line that is no field,
// that the HTTP library takes for sound, and against a sound head that is taken for broken.
func TestMalformedHeadIsFound(t *testing.T) {
	for text, broken := range map[string]bool{
		"HTTP/1.1 200 OK\r\n\r\n":                                              false,
		"HTTP/1.1 599 Fine\r\nA: b\r\n\r\n":                                    false,
		"HTTP/1.1 101 Switching\r\nA: b\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":        false, // no other head follows
		"HTTP/1.1  204 two blanks\r\n\r\n":                                     false,
		"HTTP/1.1 200\nA: b\n\r\nHTTP/1.1 000 OK\r\n\r\n":                      false, // a body
		"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\nHTTP/1.1 000 OK\r\n\r\n":         true,
		"HTTP/1.1 103 Hints\nLink: a\n\nHTTP/1.1 000 OK\r\n\r\n":               true,
		"HTTP/1.1 000 OK\r\n\r\n":                                              true,
		"HTTP/1.1 000 OK\n\r\n":                                                true,
		"HTTP/1.1 000 OK\nA: b\n\nC: d\r\n\r\n":                                true,
		"\r\n\nHTTP/1.1 099 OK\r\nA: b\r\n\r\n":                                true,
		"HTTP/1.1 600\r\nA: b\r\n\r\n":                                         true,
		"HTTP/1.1 20 OK\r\n\r\n":                                               true,
		"HTTP/1.1 +20 OK\r\n\r\n":                                              true,
		"HTTP/1.1\r\n\r\n":                                                     true,
		"HTTP/1.1 200 OK\r\nA!#$%&'*+-.^_`|~9:b\r\nC:\r\n\r\nno field\r\n\r\n": false,
		"HTTP/1.1 200 OK\r\nA : b\r\n\r\n":                                     true,
		"HTTP/1.1 200 OK\nA b: c\n\r\n":                                        true,
		"HTTP/1.1 200 OK\r\nA: b\r\n c\r\n\r\n":                                true,
		"HTTP/1.1 200 OK\r\n A: b\r\n\r\n":                                     true,
		"HTTP/1.1 200 OK\r\nA\x01: b\r\n\r\n":                                  true,
		"HTTP/1.1 103 Hints\r\nA b: c\r\n\r\nHTTP/1.1 200 OK\r\n\r\n":          true,
		"\r\r\n\r\n": true,
	} {
		for _, part := range []int{16 << 10, 7, 1} {
			is := is.New(t)
			c := &Conn{Conn: &textConn{text: strings.NewReader(text), part: part}}
			_, _ = c.Write([]byte("GET"))
			_, err := io.ReadAll(c)
			is.Equal(errors.Is(err, ErrMalformed), broken) // text
		}
	}
}

// repeatedConn is a connection that answers each request with the same bytes.
type repeatedConn struct {
	net.Conn
	answer []byte
	left   int
}

func (c *repeatedConn) Write(b []byte) (int, error) {
	c.left = len(c.answer)
	return len(b), nil
}

func (c *repeatedConn) Read(b []byte) (int, error) {
	n := copy(b, c.answer[len(c.answer)-c.left:])
	c.left -= n
	return n, nil
}

// BenchmarkConn measures what an answer costs on top of the reads.
func BenchmarkConn(b *testing.B) {
	head := "HTTP/1.1 200 OK\r\nServer: desk\r\nDate: Sun, 06 Dec 2026 12:00:00 GMT\r\nContent-Type: application/json\r\nX-Request-Id: i1-7-1\r\n"
	for name, answer := range map[string]string{
		"small":  head + "Content-Length: 64\r\n\r\n" + strings.Repeat("x", 64),
		"large":  head + "Content-Length: 200000\r\n\r\n" + strings.Repeat("x", 200_000),
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("400\r\n"+strings.Repeat("x", 1024)+"\r\n", 200) + "0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			c := &Conn{Conn: &repeatedConn{answer: []byte(answer)}}
			request, buf := []byte("GET / HTTP/1.1\r\n\r\n"), make([]byte, 4096)
			b.SetBytes(int64(len(answer)))
			b.ReportAllocs()
			for b.Loop() {
				_, _ = c.Write(request)
				for read := 0; read < len(answer); {
					n, err := c.Read(buf)
					if err != nil {
						b.Fatal(err)
					}
					read += n
				}
			}
		})
	}
}
