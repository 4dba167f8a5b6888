package bbjournal

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"
	"pgregory.net/rapid"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// storedValue is the value of one key in fakeStore.
type storedValue struct {
	value []byte
	rev   bbstore.Revision
}

// fakeStore is a key-value store in memory. inFlight holds delayed writes,
// which may still take effect.
type fakeStore struct {
	values   map[string]storedValue
	rev      bbstore.Revision
	inFlight []Write
}

func newFakeStore() *fakeStore { return &fakeStore{values: map[string]storedValue{}} }

func (s *fakeStore) cas(w Write) (bbstore.Revision, bool) {
	if s.values[w.Key].rev != w.Prev {
		return 0, false
	}
	s.rev++
	if w.Value == nil {
		delete(s.values, w.Key)
	} else {
		s.values[w.Key] = storedValue{w.Value, s.rev}
	}
	return s.rev, true
}

func (s *fakeStore) list() []bbstore.Entry {
	var out []bbstore.Entry
	for k, c := range s.values {
		out = append(out, bbstore.Entry{Key: k, Value: c.value, Rev: c.rev})
	}
	return out
}

// committer simulates an instance that commits the records of the partition.
type committer struct {
	chain     *ChainCache
	queue     []*queuedRecord
	plan      *Plan
	planned   []*queuedRecord
	stepIndex int
}

type queuedRecord struct {
	rec  *bbwire.Record
	done func(v *bbwire.Verdict)
}

func newCommitter() *committer {
	return &committer{chain: &ChainCache{Partition: 1, Retention: time.Hour, Seed: 5}}
}

// writeOutcome is the simulated outcome of a write.
type writeOutcome int

const (
	outcomeAnswered   writeOutcome = iota
	outcomeAnswerLost              // takes effect, the answer is lost
	outcomeDropped                 // takes no effect, the answer is lost
	outcomeDelayed                 // may take effect later, the answer is lost
)

// advance makes the next call of the committer to the store, only one, so that
// other committers may act between any two calls.
func (c *committer) advance(store *fakeStore, now time.Time, outcome writeOutcome) error {
	if c.plan == nil {
		c.chain.Begin(now)
		c.replan(now)
	}
	p := c.plan
	switch {
	case p.NeedsListing:
		if err := c.chain.Load(store.list()); err != nil {
			return err
		}
		c.replan(now)
	case c.stepIndex < len(p.Reads):
		n := p.Reads[c.stepIndex]
		stored := store.values[c.chain.Key(n)]
		if err := c.chain.OnLeafRead(n, bbstore.Entry{Value: stored.value, Rev: stored.rev}); err != nil {
			return err
		}
		if c.stepIndex++; c.stepIndex == len(p.Reads) {
			c.replan(now)
		}
	case c.stepIndex < len(p.Writes):
		c.write(store, now, p.Writes[c.stepIndex], outcome)
	default:
		c.finish()
	}
	return nil
}

func (c *committer) write(store *fakeStore, now time.Time, w Write, outcome writeOutcome) {
	switch outcome {
	case outcomeDropped:
		c.chain.OnWriteFailed(w, true)
	case outcomeDelayed:
		store.inFlight = append(store.inFlight, w)
		c.chain.OnWriteFailed(w, true)
	default:
		rev, ok := store.cas(w)
		if outcome == outcomeAnswerLost || !ok {
			c.chain.OnWriteFailed(w, outcome == outcomeAnswerLost)
			break
		}
		c.chain.OnWritten(w, rev)
		c.stepIndex++
		return
	}
	c.replan(now)
}

func (c *committer) replan(now time.Time) {
	c.planned = append([]*queuedRecord{}, c.queue...)
	var records []*bbwire.Record
	for _, q := range c.planned {
		records = append(records, q.rec)
	}
	c.plan, c.stepIndex = c.chain.Plan(records, now), 0
}

func (c *committer) finish() {
	c.queue = c.queue[len(c.planned):]
	verdicts, planned := c.plan.Verdicts, c.planned
	c.plan = nil
	for i, q := range planned {
		if verdicts[i].Kind == bbwire.Verdict_RETRY {
			c.queue = append(c.queue, q)
			continue
		}
		q.done(verdicts[i])
	}
}

func (c *committer) idle() bool { return len(c.queue) == 0 && c.plan == nil }

// attempt is one attempt at a request.
type attempt struct {
	rec   *bbwire.Record
	state string // pending, granted, abandoned or sent
}

// model runs attempts at a few requests against several committers, with random
// faults and interleavings.
type model struct {
	t            *rapid.T
	store        *fakeStore
	committers   []*committer
	now          time.Time
	attempts     map[string]*attempt        // by owner
	owners       []string                   // of all attempts, in order of creation
	runs         map[string]int             // times that each claimed request was sent
	billedBy     map[string]map[string]bool // by request, the owners whose bill was TAKEN
	pendingBills int
}

func (m *model) anyCommitter(label string) *committer {
	return m.committers[rapid.IntRange(0, len(m.committers)-1).Draw(m.t, label)]
}

func (m *model) anyAttempt(state string) *attempt {
	var matching []*attempt
	for _, owner := range m.owners {
		if m.attempts[owner].state == state {
			matching = append(matching, m.attempts[owner])
		}
	}
	if len(matching) == 0 {
		m.t.Skip("none " + state)
	}
	return matching[rapid.IntRange(0, len(matching)-1).Draw(m.t, state)]
}

func (m *model) newAttempt(request string) *attempt {
	owner := fmt.Sprintf("i#1/%d", len(m.owners))
	a := &attempt{state: "pending", rec: &bbwire.Record{
		Kind: bbwire.Record_CLAIM, Account: "a", Request: request, Owner: owner, Made: m.now.UnixMilli(),
	}}
	m.attempts[owner] = a
	m.owners = append(m.owners, owner)
	return a
}

func (m *model) withdraw(c *committer, rec *bbwire.Record) {
	r := Copy(rec)
	r.Kind = bbwire.Record_WITHDRAWN
	c.queue = append(c.queue, &queuedRecord{r, func(*bbwire.Verdict) {}})
}

func (m *model) submit(c *committer, a *attempt) {
	c.queue = append(c.queue, &queuedRecord{a.rec, func(v *bbwire.Verdict) { m.onVerdict(c, a, v) }})
}

// onVerdict does what the owner of a claim does with a verdict, like
// bluebellport's Recorder.
func (m *model) onVerdict(c *committer, a *attempt, v *bbwire.Verdict) {
	if a.state == "abandoned" && v.Kind == bbwire.Verdict_TAKEN {
		m.withdraw(c, a.rec)
	}
	if a.state != "pending" {
		return
	}
	if v.Kind == bbwire.Verdict_TAKEN {
		a.state = "granted"
		return
	}
	if other := m.attempts[v.Record.GetOwner()]; v.Record.GetKind() == bbwire.Record_CLAIM && other.state == "abandoned" {
		m.withdraw(c, v.Record)
		m.submit(c, a)
		return
	}
	a.state = "abandoned"
	m.withdraw(c, a.rec)
}

func (m *model) bill(a *attempt) {
	r := Copy(a.rec)
	r.Kind, r.Amount = bbwire.Record_BILL, 5
	for _, c := range []*committer{m.anyCommitter("bill"), m.anyCommitter("copy")} {
		m.pendingBills++
		c.queue = append(c.queue, &queuedRecord{r, func(v *bbwire.Verdict) {
			m.pendingBills--
			if v.Kind != bbwire.Verdict_TAKEN {
				return
			}
			if m.billedBy[r.Request] == nil {
				m.billedBy[r.Request] = map[string]bool{}
			}
			m.billedBy[r.Request][r.Owner] = true
		}})
	}
}

func (m *model) unknown(a *attempt) {
	r := Copy(a.rec)
	r.Kind = bbwire.Record_UNKNOWN
	c := m.anyCommitter("unknown")
	c.queue = append(c.queue, &queuedRecord{r, func(*bbwire.Verdict) {}})
}

func (m *model) check() {
	granted := map[string]int{}
	for _, a := range m.attempts {
		if a.state == "granted" || a.state == "sent" {
			granted[a.rec.Request]++
		}
	}
	for id, n := range granted {
		if n > 1 && id[0] == 'c' {
			m.t.Fatalf("request %s: %d attempts hold a granted claim, at most 1 may", id, n)
		}
	}
	for id, n := range m.runs {
		if n > 1 {
			m.t.Fatalf("request %s ran %d times", id, n)
		}
	}
	for id, owners := range m.billedBy {
		if len(owners) > 1 {
			m.t.Fatalf("request %s billed by several owners: %v", id, owners)
		}
	}
}

// settle applies all delayed writes and runs the committers until all queues
// are empty.
func (m *model) settle() {
	for _, w := range m.store.inFlight {
		m.store.cas(w)
	}
	m.store.inFlight = nil
	for range 10000 {
		busy := false
		for _, c := range m.committers {
			if !c.idle() {
				busy = true
				if err := c.advance(m.store, m.now, outcomeAnswered); err != nil {
					m.t.Fatal(err)
				}
			}
		}
		if !busy {
			return
		}
	}
	m.t.Fatal("queues are not empty after 10000 rounds")
}

// records returns the stored records by request.
func (m *model) records() map[string][]*bbwire.Record {
	leaves, err := decodeLeaves(m.store.list())
	if err != nil {
		m.t.Fatal(err)
	}
	out := map[string][]*bbwire.Record{}
	for _, l := range leaves {
		for _, r := range l.value.Records {
			out[r.Request] = append(out[r.Request], r)
		}
	}
	return out
}

func (m *model) checkFinal() {
	if m.pendingBills != 0 {
		m.t.Fatalf("%d bills have no verdict", m.pendingBills)
	}
	for id, rs := range m.records() {
		if len(rs) > 1 {
			m.t.Fatalf("request %s has %d records, want 1: %v", id, len(rs), rs)
		}
		if owners := m.billedBy[id]; len(owners) > 0 && (rs[0].Kind != bbwire.Record_BILL || !owners[rs[0].Owner]) {
			m.t.Fatalf("request %s: bill of %v was TAKEN, but the record is %v", id, owners, rs[0])
		}
	}
	for _, id := range []string{"c0", "c1"} {
		m.checkClaimable(id)
	}
}

// checkClaimable checks that a request that never ran can still be claimed.
func (m *model) checkClaimable(id string) {
	for _, a := range m.attempts {
		if a.rec.Request == id && (a.state == "sent" || a.state == "granted") {
			return
		}
	}
	a := m.newAttempt(id)
	m.submit(m.committers[0], a)
	m.settle()
	if a.state != "granted" {
		m.t.Fatalf("request %s never ran, but its claim is refused: %v", id, m.records()[id])
	}
}

// TestChainGrantsAndBillsOnce checks that, whatever the faults of the store and
// the interleaving of calls, no claim is granted twice, no request is billed
// twice, no bill is lost, and no request that never ran is refused for ever.
func TestChainGrantsAndBillsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			t: t, store: newFakeStore(), now: time.Unix(1e9, 0), attempts: map[string]*attempt{},
			runs: map[string]int{}, billedBy: map[string]map[string]bool{},
			committers: []*committer{newCommitter(), newCommitter(), newCommitter()},
		}
		request := rapid.SampledFrom([]string{"c0", "c1"})
		advance := func(t *rapid.T) {
			c := m.anyCommitter("committer")
			if c.idle() {
				t.Skip("idle")
			}
			outcome := writeOutcome(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "outcome"))
			if err := c.advance(m.store, m.now, outcome); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { m.check() },
			"advance":  advance,
			"advance2": advance,
			"advance3": advance,
			"advance4": advance,
			"apply-delayed": func(t *rapid.T) {
				if len(m.store.inFlight) == 0 {
					t.Skip("no delayed writes")
				}
				i := rapid.IntRange(0, len(m.store.inFlight)-1).Draw(t, "write")
				m.store.cas(m.store.inFlight[i])
				m.store.inFlight = append(m.store.inFlight[:i], m.store.inFlight[i+1:]...)
			},
			"claim":  func(t *rapid.T) { m.submit(m.anyCommitter("at"), m.newAttempt(request.Draw(t, "request"))) },
			"resend": func(*rapid.T) { m.submit(m.anyCommitter("at"), m.anyAttempt("pending")) },
			"abandon": func(*rapid.T) {
				a := m.anyAttempt("pending")
				a.state = "abandoned"
				m.withdraw(m.anyCommitter("at"), a.rec)
			},
			"withdraw": func(*rapid.T) {
				a := m.anyAttempt("granted")
				a.state = "abandoned"
				m.withdraw(m.anyCommitter("at"), a.rec)
			},
			"send": func(*rapid.T) {
				a := m.anyAttempt("granted")
				a.state = "sent"
				m.runs[a.rec.Request]++
			},
			"bill":    func(*rapid.T) { m.bill(m.anyAttempt("sent")) },
			"unknown": func(*rapid.T) { m.unknown(m.anyAttempt("sent")) },
			"run-idempotent": func(*rapid.T) {
				a := m.newAttempt("i0") // idempotent requests are not claimed
				a.state = "sent"
				m.bill(a)
			},
			"advance-clock": func(*rapid.T) { m.now = m.now.Add(time.Minute) },
		})
		m.settle()
		m.check()
		m.checkFinal()
	})
}

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
