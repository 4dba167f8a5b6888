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
