package bbproxy

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// The difference to a zero time is an age of centuries.
func TestReplyAgeBeforeTheFirstReply(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	c := newShareController(nil, &Board{}, quietLog(), func() time.Time { return now }, "i1@a/1")
	is.Equal(c.replyAge(), int64(-1))
	c.lastReplyAt = now.Add(-2 * time.Second)
	is.Equal(c.replyAge(), int64(2000))
}
