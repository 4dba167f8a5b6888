package bbstore

import (
	"context"
	"fmt"
	"testing"

	"github.com/juju/errors"
)

// requireDisbelieved makes calls to a service that answers with a head, and fails the test unless
// all end as with no answer.
func requireDisbelieved(t *testing.T, head string) {
	t.Helper()
	for name, c := range map[string]struct {
		body string
		call func(ctx context.Context, c *Client) (any, error)
		want error
	}{
		"get": {`{"header":{"revision":"9"},"kvs":[{"key":"YQ==","value":"Yg==","mod_revision":"5"}]}`, func(ctx context.Context, c *Client) (any, error) { return c.Get(ctx, "a") }, ErrDown},
		"swap": {`{"header":{"revision":"9"},"succeeded":true}`, func(ctx context.Context, c *Client) (any, error) {
			return c.CAS(ctx, "a", []byte("b"), 5, 0)
		}, ErrUnknown},
		"watch": {`{"result":{"events":[{"kv":{"key":"YQ==","value":"Yg==","mod_revision":"5"}}]}}`, func(ctx context.Context, c *Client) (any, error) {
			return nil, c.Watch(ctx, "a", 0, func(e Event) error { return fmt.Errorf("event of %s", e.Key) })
		}, ErrDown},
	} {
		if got, err := callCut(t, fmt.Sprintf(head, len(c.body))+c.body, c.call); !errors.Is(err, c.want) {
			t.Errorf("%s: %q: taken as %v, %v", name, head, got, err)
		}
	}
}

// TestAnswerWithAStatusOutOfRangeIsAnError guards against an answer whose status is none of HTTP
// and that is believed, or that proves a write not done.
func TestAnswerWithAStatusOutOfRangeIsAnError(t *testing.T) {
	for _, status := range []string{"000", "001", "099", "600", "999"} {
		requireDisbelieved(t, "HTTP/1.1 "+status+" OK\r\nContent-Length: %d\r\n\r\n")
	}
}

// TestAnswerWithABrokenFieldIsAnError guards against an answer that is believed with a line in its
// head that is no field.
func TestAnswerWithABrokenFieldIsAnError(t *testing.T) {
	for _, line := range []string{"Bro ken: a", "Broken : a", "Bro\x01ken: a", "Broken: a\r\n b", "Content-Length : 2"} {
		requireDisbelieved(t, "HTTP/1.1 200 OK\r\n"+line+"\r\nContent-Length: %d\r\n\r\n")
	}
}
