package bbport

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbunit"
)

type dedupClock struct{ nanos atomic.Int64 }

func (c *dedupClock) now() time.Time { return time.Unix(0, c.nanos.Load()) }

func (c *dedupClock) advance(d time.Duration) { c.nanos.Add(int64(d)) }

func newTestDeduplicator(most, total int64) (*Deduplicator, *dedupClock) {
	c := &dedupClock{}
	o := &RecordOptions{AnswerTTL: time.Minute, CallerlessTimeout: 20 * time.Millisecond, MaxAnswerBytes: most, MaxTotalAnswerBytes: total}
	return NewDeduplicator(o, c.now), c
}

// readAll reads an answer from its start to its end.
func readAll(a *Answer) (string, error) {
	var sb strings.Builder
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	for n := 0; ; {
		parts, done, err := a.Read(ctx, n)
		if err != nil {
			return sb.String(), err
		}
		for _, p := range parts {
			sb.Write(p)
		}
		if n += len(parts); done {
			return sb.String(), nil
		}
	}
}

// TestDeduplicatorGivesEveryCopyTheWholeAnswer has copies join before, within and after
// the run, with a buffer smaller than the answer for the readers in between.
func TestDeduplicatorGivesEveryCopyTheWholeAnswer(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	lead, leads, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(leads)
	var want strings.Builder
	var wg sync.WaitGroup
	got := make([]string, 20)
	for i := range 100 {
		if i%5 == 0 {
			a, leads, err := d.Join("acc", "r", 1)
			is.NoErr(err)
			is.True(!leads)
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[i/5], _ = readAll(a)
				a.Leave()
			}()
		}
		part := fmt.Sprint(i, ";")
		want.WriteString(part)
		is.NoErr(lead.Write(context.Background(), []byte(part)))
	}
	lead.Finish(bbunit.OutcomeDone)
	wg.Wait()
	for _, s := range got {
		is.Equal(s, want.String())
	}
	a, leads, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(!leads)
	s, err := readAll(a)
	is.NoErr(err)
	is.Equal(s, want.String())
	is.Equal(a.Outcome(), bbunit.OutcomeDone)
}

func TestDeduplicatorSeparatesRequests(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	_, leads, err := d.Join("acc", "r", 1)
	is.True(leads)
	is.NoErr(err)
	_, _, err = d.Join("acc", "r", 2)
	is.True(errors.Is(err, ErrRequestIDReused))
	_, leads, err = d.Join("other", "r", 2)
	is.NoErr(err)
	is.True(leads)
}

func TestDeduplicatorRunsAgainUnlessTheAnswerIsComplete(t *testing.T) {
	for _, tt := range []struct {
		end   bbunit.Outcome
		leads bool
	}{
		{bbunit.OutcomeDone, false},
		{bbunit.OutcomeNotRun, true},
		{bbunit.OutcomeUnknown, true},
		{bbunit.OutcomeFailed, true},
	} {
		is := is.New(t)
		d, _ := newTestDeduplicator(1<<20, 1<<26)
		a, _, _ := d.Join("acc", "r", 1)
		follower, _, _ := d.Join("acc", "r", 1)
		a.Finish(tt.end)
		_, leads, err := d.Join("acc", "r", 1)
		is.NoErr(err)
		is.Equal(leads, tt.leads)
		_, done, err := follower.Read(context.Background(), 0)
		is.NoErr(err)
		is.True(done)
		is.Equal(follower.Outcome(), tt.end)
	}
}

func TestDeduplicatorEvictsByTimeAndBytes(t *testing.T) {
	is := is.New(t)
	d, c := newTestDeduplicator(100, 100)
	answer := func(id bbunit.RequestID, size int) {
		a, leads, err := d.Join("acc", id, 1)
		is.NoErr(err)
		is.True(leads)
		is.NoErr(a.Write(context.Background(), make([]byte, size)))
		a.Finish(bbunit.OutcomeDone)
		a.Leave()
	}
	for i := range 1000 {
		answer(bbunit.RequestID(fmt.Sprint(i)), 60)
	}
	is.True(d.Len() <= dedupShards) // one answer of 60 bytes in a shard of 100
	answer("r", 10)
	c.advance(2 * time.Minute)
	answer("r", 10)
}

func TestDeduplicatorLeaderContinuesForFollowers(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	lead, _, _ := d.Join("acc", "r", 1)
	follower, _, _ := d.Join("acc", "r", 1)
	lead.Leave()
	time.Sleep(60 * time.Millisecond)
	is.NoErr(lead.Context().Err())
	is.NoErr(lead.Write(context.Background(), []byte("x")))
	follower.Leave()
	<-lead.Context().Done()
	is.True(errors.Is(context.Cause(lead.Context()), ErrCallersLeft))
	again, leads, _ := d.Join("acc", "r", 1)
	is.True(leads)
	lead.Finish(bbunit.OutcomeFailed)
	second, leads, _ := d.Join("acc", "r", 1)
	is.True(!leads)
	is.NoErr(again.Write(context.Background(), []byte("y")))
	again.Finish(bbunit.OutcomeDone)
	s, err := readAll(second)
	is.NoErr(err)
	is.Equal(s, "y")
}

func TestDeduplicatorGraceLetsACallerComeBack(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	lead, _, _ := d.Join("acc", "r", 1)
	lead.Leave()
	back, leads, _ := d.Join("acc", "r", 1)
	is.True(!leads)
	time.Sleep(60 * time.Millisecond)
	is.NoErr(lead.Context().Err())
	lead.Finish(bbunit.OutcomeDone)
	_, done, err := back.Read(context.Background(), 0)
	is.NoErr(err)
	is.True(done)
}

// TestDeduplicatorBufferIsBounded has a slow reader hold back a leader whose answer is
// larger than the buffer, without losing a byte.
func TestDeduplicatorBufferIsBounded(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(100, 100)
	lead, _, _ := d.Join("acc", "r", 1)
	follower, _, _ := d.Join("acc", "r", 1)
	go func() {
		for range 100 {
			_ = lead.Write(context.Background(), []byte("0123456789"))
		}
		lead.Finish(bbunit.OutcomeDone)
	}()
	go func() { _, _ = readAll(lead) }()
	time.Sleep(20 * time.Millisecond)
	lead.shared.mu.Lock()
	is.True(lead.shared.bytes <= 110)
	lead.shared.mu.Unlock()
	s, err := readAll(follower)
	is.NoErr(err)
	is.Equal(len(s), 1000)
	_, leads, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(leads) // not whole any more, so not kept
}

// TestDeduplicatorElectsANewLeaderOnceTheStartIsDiscarded has a copy come when the start of a long
// answer is freed, and the first leader end after it.
func TestDeduplicatorElectsANewLeaderOnceTheStartIsDiscarded(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(100, 100)
	lead, _, _ := d.Join("acc", "r", 1)
	lead.Leave()
	for range 20 {
		is.NoErr(lead.Write(context.Background(), []byte("0123456789")))
	}
	again, leads, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(leads)
	lead.Finish(bbunit.OutcomeDone)
	is.NoErr(again.Write(context.Background(), []byte("x")))
	again.Finish(bbunit.OutcomeDone)
	is.Equal(d.Len(), 1)
	kept := 0
	for i := range d.shards {
		kept += d.shards[i].kept.Len()
	}
	is.Equal(kept, 1)
}

func TestRequestHomeIsInTheDomain(t *testing.T) {
	is := is.New(t)
	v := &bbmember.View{Members: []bbmember.Member{{ID: "a1", Domain: "a"}, {ID: "b1", Domain: "b"}}}
	m, ok := RequestHome(v, "acc", "r", "b")
	is.True(ok)
	is.Equal(m.ID, bbunit.InstanceID("b1"))
	_, ok = RequestHome(v, "acc", "r", "c")
	is.True(!ok)
}

func BenchmarkDeduplicatorJoin(b *testing.B) {
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	b.ReportAllocs()
	var n atomic.Int64
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			a, _, _ := d.Join("acc", bbunit.RequestID(fmt.Sprint(n.Add(1))), 1)
			a.Finish(bbunit.OutcomeNotRun)
		}
	})
}
