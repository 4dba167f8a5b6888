package bbclock

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestWait(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	is.True(Wait(ctx, time.Millisecond))
	cancel()
	is.True(!Wait(ctx, time.Hour))
}

func TestRepeat(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithCancel(t.Context())
	calls := 0
	Repeat(ctx, time.Millisecond, time.Hour, func() bool {
		if calls++; calls == 3 {
			cancel() // else the next call would follow in an hour
		}
		return calls < 3
	})
	is.Equal(calls, 3)
	Repeat(ctx, time.Millisecond, time.Millisecond, func() bool { calls++; return true })
	is.Equal(calls, 3)
}
