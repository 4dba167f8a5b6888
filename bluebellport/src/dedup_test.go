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

func newTestDeduplicator(maxAnswer, maxTotal int64) (*Deduplicator, *dedupClock) {
	clock := &dedupClock{}
	opts := &RecordOptions{AnswerTTL: time.Minute, CallerlessTimeout: 20 * time.Millisecond, MaxAnswerBytes: maxAnswer, MaxTotalAnswerBytes: maxTotal}
	return NewDeduplicator(opts, clock.now), clock
}

// readAll reads an answer from start to end.
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

// TestDeduplicatorGivesEveryCopyTheWholeAnswer has copies join while the answer
// is written and after it is kept.
func TestDeduplicatorGivesEveryCopyTheWholeAnswer(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	leader, leading, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(leading)
	var want strings.Builder
	var wg sync.WaitGroup
	got := make([]string, 20)
	for i := range 100 {
		if i%5 == 0 {
			a, leading, err := d.Join("acc", "r", 1)
			is.NoErr(err)
			is.True(!leading)
			wg.Add(1)
			go func() {
				defer wg.Done()
				got[i/5], _ = readAll(a)
				a.Leave()
			}()
		}
		part := fmt.Sprint(i, ";")
		want.WriteString(part)
		is.NoErr(leader.Write(context.Background(), []byte(part)))
	}
	leader.Finish(bbunit.OutcomeDone)
	wg.Wait()
	for _, s := range got {
		is.Equal(s, want.String())
	}
	a, leading, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(!leading)
	s, err := readAll(a)
	is.NoErr(err)
	is.Equal(s, want.String())
	is.Equal(a.Outcome(), bbunit.OutcomeDone)
}

func TestDeduplicatorSeparatesRequests(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	_, leading, err := d.Join("acc", "r", 1)
	is.True(leading)
	is.NoErr(err)
	_, _, err = d.Join("acc", "r", 2)
	is.True(errors.Is(err, ErrRequestIDReused))
	_, leading, err = d.Join("other", "r", 2)
	is.NoErr(err)
	is.True(leading)
}

func TestDeduplicatorRunsAgainUnlessTheAnswerIsComplete(t *testing.T) {
	for _, tt := range []struct {
		outcome bbunit.Outcome
		leading bool
	}{
		{bbunit.OutcomeDone, false},
		{bbunit.OutcomeNotRun, true},
		{bbunit.OutcomeUnknown, true},
		{bbunit.OutcomeFailed, true},
	} {
		is := is.New(t)
		d, _ := newTestDeduplicator(1<<20, 1<<26)
		leader, _, _ := d.Join("acc", "r", 1)
		follower, _, _ := d.Join("acc", "r", 1)
		leader.Finish(tt.outcome)
		_, leading, err := d.Join("acc", "r", 1)
		is.NoErr(err)
		is.Equal(leading, tt.leading)
		_, done, err := follower.Read(context.Background(), 0)
		is.NoErr(err)
		is.True(done)
		is.Equal(follower.Outcome(), tt.outcome)
	}
}

func TestDeduplicatorEvictsByTimeAndBytes(t *testing.T) {
	is := is.New(t)
	d, clock := newTestDeduplicator(100, 100)
	answer := func(id bbunit.RequestID, size int) {
		a, leading, err := d.Join("acc", id, 1)
		is.NoErr(err)
		is.True(leading)
		is.NoErr(a.Write(context.Background(), make([]byte, size)))
		a.Finish(bbunit.OutcomeDone)
		a.Leave()
	}
	for i := range 1000 {
		answer(bbunit.RequestID(fmt.Sprint(i)), 60)
	}
	is.True(d.Len() <= dedupShards) // a shard of 100 bytes holds one answer of 60
	answer("r", 10)
	clock.advance(2 * time.Minute)
	answer("r", 10)
}

func TestDeduplicatorLeaderContinuesForFollowers(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	leader, _, _ := d.Join("acc", "r", 1)
	follower, _, _ := d.Join("acc", "r", 1)
	leader.Leave()
	time.Sleep(60 * time.Millisecond)
	is.NoErr(leader.Context().Err())
	is.NoErr(leader.Write(context.Background(), []byte("x")))
	follower.Leave()
	<-leader.Context().Done()
	is.True(errors.Is(context.Cause(leader.Context()), ErrCallersLeft))
	newLeader, leading, _ := d.Join("acc", "r", 1)
	is.True(leading)
	leader.Finish(bbunit.OutcomeFailed)
	newFollower, leading, _ := d.Join("acc", "r", 1)
	is.True(!leading)
	is.NoErr(newLeader.Write(context.Background(), []byte("y")))
	newLeader.Finish(bbunit.OutcomeDone)
	s, err := readAll(newFollower)
	is.NoErr(err)
	is.Equal(s, "y")
}

func TestDeduplicatorGraceLetsACallerComeBack(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(1<<20, 1<<26)
	leader, _, _ := d.Join("acc", "r", 1)
	leader.Leave()
	returned, leading, _ := d.Join("acc", "r", 1)
	is.True(!leading)
	time.Sleep(60 * time.Millisecond)
	is.NoErr(leader.Context().Err())
	leader.Finish(bbunit.OutcomeDone)
	_, done, err := returned.Read(context.Background(), 0)
	is.NoErr(err)
	is.True(done)
}

// TestDeduplicatorBufferIsBounded has a slow reader hold back a leader whose
// answer is larger than the buffer. No byte may be lost.
func TestDeduplicatorBufferIsBounded(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(100, 100)
	leader, _, _ := d.Join("acc", "r", 1)
	follower, _, _ := d.Join("acc", "r", 1)
	go func() {
		for range 100 {
			_ = leader.Write(context.Background(), []byte("0123456789"))
		}
		leader.Finish(bbunit.OutcomeDone)
	}()
	go func() { _, _ = readAll(leader) }()
	time.Sleep(20 * time.Millisecond)
	leader.shared.mu.Lock()
	is.True(leader.shared.bytes <= 110)
	leader.shared.mu.Unlock()
	s, err := readAll(follower)
	is.NoErr(err)
	is.Equal(len(s), 1000)
	_, leading, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(leading) // its start was discarded, so it was not kept
}

// TestDeduplicatorElectsANewLeaderOnceTheStartIsDiscarded has a copy join after
// the start of a long answer was discarded. The first leader then ends, which
// must not remove the second one's answer.
func TestDeduplicatorElectsANewLeaderOnceTheStartIsDiscarded(t *testing.T) {
	is := is.New(t)
	d, _ := newTestDeduplicator(100, 100)
	leader, _, _ := d.Join("acc", "r", 1)
	leader.Leave()
	for range 20 {
		is.NoErr(leader.Write(context.Background(), []byte("0123456789")))
	}
	newLeader, leading, err := d.Join("acc", "r", 1)
	is.NoErr(err)
	is.True(leading)
	leader.Finish(bbunit.OutcomeDone)
	is.NoErr(newLeader.Write(context.Background(), []byte("x")))
	newLeader.Finish(bbunit.OutcomeDone)
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
