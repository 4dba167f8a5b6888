package bbstore

import (
	"bufio"
	"context"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/juju/errors"
	"github.com/matryer/is"
)

// TestAnswerOfTheServiceCutAtAnyByteIsAnError guards against an answer that breaks off at any
// byte, or goes on as another one, and that is taken for an absent key, an empty list or a write.
func TestAnswerOfTheServiceCutAtAnyByteIsAnError(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nServer: etcd\r\nContent-Length: %d\r\n\r\n%s"
	for name, c := range map[string]struct {
		body, want string
		call       func(ctx context.Context, c *Client) (any, error)
		failure    error
	}{
		"get": {`{"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"5"}]}`, "5", func(ctx context.Context, c *Client) (any, error) {
			e, err := c.Get(ctx, "a")
			return e.Rev, err
		}, ErrDown},
		"list": {`{"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"5"}]}`, "1 9", func(ctx context.Context, c *Client) (any, error) {
			entries, rev, err := c.List(ctx, "a")
			return fmt.Sprint(len(entries), rev), err
		}, ErrDown},
		"swap": {`{"header":{"revision":"9"},"succeeded":true}`, "9", func(ctx context.Context, c *Client) (any, error) {
			return c.CAS(ctx, "a", []byte("b"), 5, 0)
		}, ErrUnknown},
		"grant": {`{"ID":"7","TTL":"5"}`, "7", func(ctx context.Context, c *Client) (any, error) {
			return c.Grant(ctx, 5*time.Second)
		}, ErrUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			whole := fmt.Sprintf(head, len(c.body), c.body)
			for cut := range len(whole) + 1 {
				for _, more := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"} {
					if cut == 0 && more != "" {
						continue
					}
					got, err := callCut(t, whole[:cut]+more, c.call)
					switch isWhole := err == nil && fmt.Sprint(got) == c.want; {
					case cut == len(whole) && !isWhole, cut < len(whole) && !errors.Is(err, c.failure):
						t.Errorf("%q, then %q: %v, %v", whole[max(cut-20, 0):cut], more, got, err)
					}
				}
			}
		})
	}
}

// callCut makes a call to a service that answers each request with a text and closes.
func callCut(t *testing.T, text string, call func(ctx context.Context, c *Client) (any, error)) (any, error) {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.New(t).NoErr(err)
	defer func() { _ = ln.Close() }()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
				_, _ = conn.Write([]byte(text))
			}
			_ = conn.Close()
		}
	}()
	client, closeClient := NewClient(ln.Addr().String(), ClientOptions{Timeout: time.Second})
	defer closeClient()
	return call(t.Context(), client)
}
