package bbhead

import (
	"bufio"
	"strings"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"
	"github.com/valyala/fasthttp"
)

// TestHeadThatGoesOnAsAnotherIsFound guards against two heads that are read as one, and
// against a sound head that is taken for such.
func TestHeadThatGoesOnAsAnotherIsFound(t *testing.T) {
	for head, joined := range map[string]bool{
		"HTTP/1.1 200 OK\r\nServer: a\r\n\r\n":                                false,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxy\r\n\r\n":                      false,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1\r\nAge: 200\r\n\r\n":                false,
		"HTTP/1.1 200 OK\r\nUpgrade: HTTP/1.1 2000\r\n\r\n":                   false,
		"HTTP/1.1 200 OHTTP/1.1 503 Busy\r\n\r\n":                             true,
		"HTTP/1.1 200 OK\r\nServer: aHTTP/1.1 503 Busy\r\n\r\n":               true,
		"HTTP/1.1 200 OK\r\nServer: HTTP/1.0 503\r\n\r\n":                     true,
		"HTTP/1.1 200 OK\r\nVia: HTTP/1.1 proxyHTTP/1.1 503 Busy\r\n\r\n":     true,
		"HTTP/1.1 200 OK\r\nContent-Type: teHTTP/1.1 503 Busy\r\n\r\n":        true,
		"HTTP/1.1 200 OK\r\nSet-Cookie: a=bHTTP/1.1 503 Busy\r\nB: c\r\n\r\n": true,
	} {
		is := is.New(t)
		var h fasthttp.ResponseHeader
		is.NoErr(h.Read(bufio.NewReader(strings.NewReader(head))))
		is.Equal(errors.Is(Check(&h), ErrJoined), joined) // head
	}
}
