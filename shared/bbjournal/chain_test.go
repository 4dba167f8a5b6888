package bbjournal

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// commitAll commits records in one batch, without faults, and returns their
// verdicts.
func commitAll(c *committer, store *fakeStore, now time.Time, records ...*bbwire.Record) []bbwire.Verdict_Kind {
	var out []bbwire.Verdict_Kind
	for _, r := range records {
		c.queue = append(c.queue, &queuedRecord{r, func(v *bbwire.Verdict) { out = append(out, v.Kind) }})
	}
	for !c.idle() {
		if err := c.advance(store, now, outcomeAnswered); err != nil {
			panic(err)
		}
	}
	return out
}

func newClaim(id, owner string, now time.Time) *bbwire.Record {
	return &bbwire.Record{Account: "a", Request: id, Owner: owner, Made: now.UnixMilli()}
}

func TestChainSealsFullLeaves(t *testing.T) {
	is := is.New(t)
	store, c, now := newFakeStore(), newCommitter(), time.Unix(1e9, 0)
	for i := range 30 {
		var rs []*bbwire.Record
		for k := range 100 {
			r := newClaim(fmt.Sprintf("r%d-%d", i, k), "i#1/1", now)
			r.Service = fmt.Sprintf("%0100d", 0)
			rs = append(rs, r)
		}
		for _, v := range commitAll(c, store, now, rs...) {
			is.Equal(v, bbwire.Verdict_TAKEN)
		}
	}
	is.True(len(store.values) >= 3)
	for _, stored := range store.values {
		is.True(len(stored.value) < 2*sealLeafBytes)
	}
	for _, other := range []*committer{c, newCommitter()} {
		is.Equal(commitAll(other, store, now, newClaim("r0-0", "i#1/2", now))[0], bbwire.Verdict_CONFLICT)
		is.Equal(commitAll(other, store, now, newClaim("r29-99", "i#1/2", now))[0], bbwire.Verdict_CONFLICT)
	}
	bill := newClaim("r0-0", "i#1/1", now)
	bill.Kind, bill.Amount = bbwire.Record_BILL, 3
	is.Equal(commitAll(newCommitter(), store, now, bill)[0], bbwire.Verdict_TAKEN)
	is.Equal(commitAll(c, store, now, newClaim("r0-0", "i#1/2", now))[0], bbwire.Verdict_CONFLICT)
}

func TestChainDefersRecordsBeyondMaxLeaf(t *testing.T) {
	is := is.New(t)
	store, c, now := newFakeStore(), newCommitter(), time.Unix(1e9, 0)
	c.chain.Begin(now)
	is.NoErr(c.chain.Load(nil))
	var rs []*bbwire.Record
	for k := range 6000 {
		r := newClaim(fmt.Sprint("r", k), "i#1/1", now)
		r.Service = fmt.Sprintf("%0100d", 0)
		rs = append(rs, r)
	}
	p := c.chain.Plan(rs, now)
	is.True(len(p.Writes[0].Value) <= maxLeafBytes)
	is.Equal(p.Verdicts[0].Kind, bbwire.Verdict_TAKEN)
	is.Equal(p.Verdicts[5999].Kind, bbwire.Verdict_RETRY)
	is.Equal(len(commitAll(c, store, now, rs...)), 6000) // records with RETRY are committed again
}

func TestChainExpiresAfterRetention(t *testing.T) {
	is := is.New(t)
	store, c, now := newFakeStore(), newCommitter(), time.Unix(1e9, 0)
	is.Equal(commitAll(c, store, now, newClaim("r", "i#1/1", now))[0], bbwire.Verdict_TAKEN)
	now = now.Add(10 * time.Minute)
	commitAll(c, store, now, newClaim("next", "i#1/2", now)) // seals the old leaf
	now = now.Add(55 * time.Minute)
	c.chain.Begin(now)
	is.Equal(len(c.chain.Expired(now, 9)), 0)
	is.Equal(commitAll(c, store, now, newClaim("r", "i#1/3", now))[0], bbwire.Verdict_CONFLICT)
	now = now.Add(20 * time.Minute)
	ws := c.chain.Expired(now, 9)
	is.Equal(len(ws), 1)
	rev, ok := store.cas(ws[0])
	is.True(ok)
	c.chain.OnWritten(ws[0], rev)
	is.Equal(commitAll(c, store, now, newClaim("r", "i#1/4", now))[0], bbwire.Verdict_TAKEN)

	id := uuid.Must(uuid.NewV7()).String()
	made, ok := RequestIDTime(id)
	is.True(ok)
	is.Equal(commitAll(c, store, made.Add(2*time.Hour), newClaim(id, "i#1/5", now))[0], bbwire.Verdict_LATE)
	bill := newClaim("b", "i#1/6", now)
	bill.Kind = bbwire.Record_BILL
	is.Equal(commitAll(c, store, now.Add(2*time.Hour), bill)[0], bbwire.Verdict_LATE)
}

// TestChainSeesConcurrentChanges checks that a committer notices changes by
// another committer to records that it has cached, in the head and in a sealed
// leaf.
func TestChainSeesConcurrentChanges(t *testing.T) {
	for _, sealed := range []bool{false, true} {
		is := is.New(t)
		store, a, b, now := newFakeStore(), newCommitter(), newCommitter(), time.Unix(1e9, 0)
		first, second := newClaim("r", "i#1/1", now), newClaim("r", "i#1/2", now)
		commitAll(a, store, now, newClaim("other", "i#1/9", now))
		is.Equal(commitAll(b, store, now, first)[0], bbwire.Verdict_TAKEN)
		if sealed {
			now = now.Add(10 * time.Minute)
			commitAll(b, store, now, newClaim("seal", "i#1/8", now))
		}
		is.Equal(commitAll(a, store, now, second)[0], bbwire.Verdict_CONFLICT)
		is.Equal(commitAll(b, store, now, newWithdrawal(first))[0], bbwire.Verdict_TAKEN)
		is.Equal(commitAll(a, store, now, second)[0], bbwire.Verdict_TAKEN)
		is.Equal(commitAll(b, store, now, newWithdrawal(second))[0], bbwire.Verdict_TAKEN)
		is.Equal(commitAll(a, store, now, first)[0], bbwire.Verdict_TAKEN)
	}
}

// TestWithdrawalBlocksDelayedClaim withdraws a claim whose write is delayed.
// The write must not take effect after the withdrawal.
func TestWithdrawalBlocksDelayedClaim(t *testing.T) {
	is := is.New(t)
	store, c, now := newFakeStore(), newCommitter(), time.Unix(1e9, 0)
	claim := newClaim("r", "i#1/1", now)
	c.queue = []*queuedRecord{{claim, func(*bbwire.Verdict) {}}}
	for len(store.inFlight) == 0 {
		is.NoErr(c.advance(store, now, outcomeDelayed))
	}
	c.queue, c.plan = nil, nil // the claim is given up
	commitAll(c, store, now, newWithdrawal(claim))
	_, applied := store.cas(store.inFlight[0])
	is.True(!applied)
	is.Equal(commitAll(newCommitter(), store, now, newClaim("r", "i#1/2", now))[0], bbwire.Verdict_TAKEN)
}

func newWithdrawal(r *bbwire.Record) *bbwire.Record {
	w := Copy(r)
	w.Kind = bbwire.Record_WITHDRAWN
	return w
}

// TestChainIgnoresDelayedCreation delays the write that creates a leaf until
// the leaf has been created by another committer, sealed and deleted.
func TestChainIgnoresDelayedCreation(t *testing.T) {
	is := is.New(t)
	store, c, now := newFakeStore(), newCommitter(), time.Unix(1e9, 0)
	delayed := newCommitter()
	delayed.chain.Begin(now)
	is.NoErr(delayed.chain.Load(nil))
	w := delayed.chain.Plan([]*bbwire.Record{newClaim("delayed", "i#1/9", now)}, now).Writes[0]
	commitAll(c, store, now, newClaim("r", "i#1/1", now))
	now = now.Add(10 * time.Minute)
	commitAll(c, store, now, newClaim("r2", "i#1/2", now))
	commitAll(c, store, now, newClaim("r3", "i#1/3", now))
	delete(store.values, w.Key)
	_, ok := store.cas(w)
	is.True(ok)
	is.Equal(commitAll(newCommitter(), store, now, newClaim("delayed", "i#1/4", now))[0], bbwire.Verdict_TAKEN)
	is.Equal(commitAll(newCommitter(), store, now, newClaim("r3", "i#1/5", now))[0], bbwire.Verdict_CONFLICT)
}

// TestChainRelistsAfterIdleTime keeps a committer idle, except for sweeps,
// while another one creates, seals and deletes the leaf that the first would
// create next.
func TestChainRelistsAfterIdleTime(t *testing.T) {
	is := is.New(t)
	store, c, now := newFakeStore(), newCommitter(), time.Unix(1e9, 0)
	commitAll(c, store, now, newClaim("r1", "i#1/1", now))
	now = now.Add(10 * time.Minute)
	commitAll(c, store, now, newClaim("r2", "i#1/2", now)) // seals leaf 1; leaf 2 would be next
	other := newCommitter()
	for i := range 20 {
		now = now.Add(10 * time.Minute)
		commitAll(other, store, now, newClaim(fmt.Sprint("o", i), "i#1/3", now))
		for _, w := range other.chain.Expired(now, 9) {
			rev, ok := store.cas(w)
			is.True(ok)
			other.chain.OnWritten(w, rev)
		}
		c.chain.Begin(now) // a sweep begins a commit too
	}
	_, kept := store.values[c.chain.Key(2)]
	is.True(!kept)
	is.Equal(commitAll(c, store, now, newClaim("o19", "i#1/4", now))[0], bbwire.Verdict_CONFLICT)
}

func TestRecordCheck(t *testing.T) {
	is := is.New(t)
	ok := &bbwire.Record{Account: "a", Request: "r"}
	is.NoErr(Check(ok))
	long := fmt.Sprintf("%0300d", 0)
	for _, r := range []*bbwire.Record{
		{Request: "r"},
		{Account: "a"},
		{Account: "a", Request: "r", Amount: -1},
		{Account: "a", Request: long},
		{Account: "a", Request: "\xff"},
	} {
		is.True(errors.Is(Check(r), ErrInvalidRecord))
	}
}

func TestOwnerRoundTrip(t *testing.T) {
	is := is.New(t)
	o := Owner{Instance: "up#1/a", Inc: 77, Seq: 9}
	got, err := ParseOwner(o.String())
	is.NoErr(err)
	is.Equal(got, o)
	for _, bad := range []string{"", "x", "#1/2", "a#1", "a#/1", "a#1/", "a/1#2"} {
		_, err := ParseOwner(bad)
		is.True(errors.Is(err, ErrInvalidRecord))
	}
}

func BenchmarkPlan(b *testing.B) {
	now := time.Unix(1e9, 0)
	chain := &ChainCache{Partition: 1, Retention: time.Hour}
	v := &bbwire.Leaf{Made: now.UnixMilli()}
	for i := range 500 {
		v.Records = append(v.Records, newClaim(fmt.Sprint("r", i), "i#1/1", now))
	}
	value, _ := proto.Marshal(v)
	chain.Begin(now)
	_ = chain.Load([]bbstore.Entry{{Key: chain.Key(1), Value: value, Rev: 1}})
	rs := []*bbwire.Record{newClaim("new", "i#1/2", now)}
	for b.Loop() {
		chain.Plan(rs, now)
	}
}
