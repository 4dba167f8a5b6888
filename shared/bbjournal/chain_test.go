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

// cell is one key of the service in a test.
type cell struct {
	value []byte
	rev   bbstore.Revision
}

// service is the key-value service with the writes that are still under way.
type service struct {
	cells  map[string]cell
	rev    bbstore.Revision
	flying []Write
}

func newService() *service { return &service{cells: map[string]cell{}} }

func (s *service) cas(w Write) (bbstore.Revision, bool) {
	if s.cells[w.Key].rev != w.Prev {
		return 0, false
	}
	s.rev++
	if w.Value == nil {
		delete(s.cells, w.Key)
	} else {
		s.cells[w.Key] = cell{w.Value, s.rev}
	}
	return s.rev, true
}

func (s *service) list() []bbstore.Entry {
	var out []bbstore.Entry
	for k, c := range s.cells {
		out = append(out, bbstore.Entry{Key: k, Value: c.value, Rev: c.rev})
	}
	return out
}

// committer is one instance that commits for the partition.
type committer struct {
	book    *ChainCache
	queue   []*entry
	plan    *Plan
	planned []*entry
	step    int
}

type entry struct {
	rec  *bbwire.Record
	done func(v *bbwire.Verdict)
}

func newCommitter() *committer {
	return &committer{book: &ChainCache{Partition: 1, Retention: time.Hour, Seed: 5}}
}

// fate is what becomes of a write.
type fate int

const (
	fateAnswered fate = iota
	fateLost          // takes effect, the answer is lost
	fateDropped       // takes no effect, the answer is lost
	fateLate          // may take effect later, the answer is lost
)

// advance does the next single call of the committer, so that others may act
// between any two.
func (c *committer) advance(s *service, now time.Time, how fate) error {
	if c.plan == nil {
		c.book.Begin(now)
		c.replan(now)
	}
	p := c.plan
	switch {
	case p.NeedsListing:
		if err := c.book.Load(s.list()); err != nil {
			return err
		}
		c.replan(now)
	case c.step < len(p.Reads):
		n := p.Reads[c.step]
		cell := s.cells[c.book.Key(n)]
		if err := c.book.OnLeafRead(n, bbstore.Entry{Value: cell.value, Rev: cell.rev}); err != nil {
			return err
		}
		if c.step++; c.step == len(p.Reads) {
			c.replan(now)
		}
	case c.step < len(p.Writes):
		c.write(s, now, p.Writes[c.step], how)
	default:
		c.finish()
	}
	return nil
}

func (c *committer) write(s *service, now time.Time, w Write, how fate) {
	switch how {
	case fateDropped:
		c.book.OnWriteFailed(w, true)
	case fateLate:
		s.flying = append(s.flying, w)
		c.book.OnWriteFailed(w, true)
	default:
		rev, ok := s.cas(w)
		if how == fateLost || !ok {
			c.book.OnWriteFailed(w, how == fateLost)
			break
		}
		c.book.OnWritten(w, rev)
		c.step++
		return
	}
	c.replan(now)
}

func (c *committer) replan(now time.Time) {
	c.planned = append([]*entry{}, c.queue...)
	var records []*bbwire.Record
	for _, e := range c.planned {
		records = append(records, e.rec)
	}
	c.plan, c.step = c.book.Plan(records, now), 0
}

func (c *committer) finish() {
	c.queue = c.queue[len(c.planned):]
	verdicts, planned := c.plan.Verdicts, c.planned
	c.plan = nil
	for i, e := range planned {
		if verdicts[i].Kind == bbwire.Verdict_RETRY {
			c.queue = append(c.queue, e)
			continue
		}
		e.done(verdicts[i])
	}
}

func (c *committer) idle() bool { return len(c.queue) == 0 && c.plan == nil }

// try is one attempt at a request.
type try struct {
	rec   *bbwire.Record
	state string // pending, granted, dead, sent
}

// machine plays attempts at a few requests against several committers.
type machine struct {
	t       *rapid.T
	s       *service
	cs      []*committer
	now     time.Time
	tries   map[string]*try
	order   []string
	ran     map[string]int
	taken   map[string]map[string]bool // request to owners whose bill was taken
	pending int
}

func (m *machine) any(label string) *committer {
	return m.cs[rapid.IntRange(0, len(m.cs)-1).Draw(m.t, label)]
}

func (m *machine) pick(state string) *try {
	var of []*try
	for _, o := range m.order {
		if m.tries[o].state == state {
			of = append(of, m.tries[o])
		}
	}
	if len(of) == 0 {
		m.t.Skip("none " + state)
	}
	return of[rapid.IntRange(0, len(of)-1).Draw(m.t, state)]
}

func (m *machine) newTry(request string) *try {
	o := fmt.Sprintf("i#1/%d", len(m.order))
	t := &try{state: "pending", rec: &bbwire.Record{
		Kind: bbwire.Record_CLAIM, Account: "a", Request: request, Owner: o, Made: m.now.UnixMilli(),
	}}
	m.tries[o] = t
	m.order = append(m.order, o)
	return t
}

func (m *machine) withdraw(c *committer, of *bbwire.Record) {
	r := Copy(of)
	r.Kind = bbwire.Record_WITHDRAWN
	c.queue = append(c.queue, &entry{r, func(*bbwire.Verdict) {}})
}

func (m *machine) submit(c *committer, t *try) {
	c.queue = append(c.queue, &entry{t.rec, func(v *bbwire.Verdict) { m.told(c, t, v) }})
}

// told is the owner's rule: see Recorder.
func (m *machine) told(c *committer, t *try, v *bbwire.Verdict) {
	if t.state == "dead" && v.Kind == bbwire.Verdict_TAKEN {
		m.withdraw(c, t.rec)
	}
	if t.state != "pending" {
		return
	}
	if v.Kind == bbwire.Verdict_TAKEN {
		t.state = "granted"
		return
	}
	if o := m.tries[v.Record.GetOwner()]; v.Record.GetKind() == bbwire.Record_CLAIM && o.state == "dead" {
		m.withdraw(c, v.Record)
		m.submit(c, t)
		return
	}
	t.state = "dead"
	m.withdraw(c, t.rec)
}

func (m *machine) bill(t *try) {
	r := Copy(t.rec)
	r.Kind, r.Amount = bbwire.Record_BILL, 5
	for _, c := range []*committer{m.any("bill"), m.any("copy")} {
		m.pending++
		c.queue = append(c.queue, &entry{r, func(v *bbwire.Verdict) {
			m.pending--
			if v.Kind != bbwire.Verdict_TAKEN {
				return
			}
			if m.taken[r.Request] == nil {
				m.taken[r.Request] = map[string]bool{}
			}
			m.taken[r.Request][r.Owner] = true
		}})
	}
}

func (m *machine) unknown(t *try) {
	r := Copy(t.rec)
	r.Kind = bbwire.Record_UNKNOWN
	c := m.any("unknown")
	c.queue = append(c.queue, &entry{r, func(*bbwire.Verdict) {}})
}

func (m *machine) check() {
	live := map[string]int{}
	for _, t := range m.tries {
		if t.state == "granted" || t.state == "sent" {
			live[t.rec.Request]++
		}
	}
	for id, n := range live {
		if n > 1 && id[0] == 'c' {
			m.t.Fatalf("%s: %d attempts granted", id, n)
		}
	}
	for id, n := range m.ran {
		if n > 1 {
			m.t.Fatalf("%s ran %d times", id, n)
		}
	}
	for id, owners := range m.taken {
		if len(owners) > 1 {
			m.t.Fatalf("%s billed by %v", id, owners)
		}
	}
}

// settle lets every write land and every queue empty.
func (m *machine) settle() {
	for _, w := range m.s.flying {
		m.s.cas(w)
	}
	m.s.flying = nil
	for range 10000 {
		busy := false
		for _, c := range m.cs {
			if !c.idle() {
				busy = true
				if err := c.advance(m.s, m.now, fateAnswered); err != nil {
					m.t.Fatal(err)
				}
			}
		}
		if !busy {
			return
		}
	}
	m.t.Fatal("queues do not empty")
}

// standing returns the records in the chain by request.
func (m *machine) standing() map[string][]*bbwire.Record {
	leaves, err := decodeLeaves(m.s.list())
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

func (m *machine) checkEnd() {
	if m.pending != 0 {
		m.t.Fatalf("%d bills without a verdict", m.pending)
	}
	for id, rs := range m.standing() {
		if len(rs) > 1 {
			m.t.Fatalf("%s stands %d times: %v", id, len(rs), rs)
		}
		if owners := m.taken[id]; len(owners) > 0 && (rs[0].Kind != bbwire.Record_BILL || !owners[rs[0].Owner]) {
			m.t.Fatalf("%s: taken from %v, stands %v", id, owners, rs[0])
		}
	}
	for _, id := range []string{"c0", "c1"} {
		m.checkFree(id)
	}
}

// checkFree has the caller come once more with a request that never ran.
func (m *machine) checkFree(id string) {
	for _, t := range m.tries {
		if t.rec.Request == id && (t.state == "sent" || t.state == "granted") {
			return
		}
	}
	t := m.newTry(id)
	m.submit(m.cs[0], t)
	m.settle()
	if t.state != "granted" {
		m.t.Fatalf("%s never ran and is refused: %v", id, m.standing()[id])
	}
}

// TestBookKeepsOnce checks that no fault of the service and no pause between
// any two calls makes a claim granted twice, a request billed twice, a bill
// lost, or a request refused for ever that never ran.
func TestBookKeepsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			t: t, s: newService(), now: time.Unix(1e9, 0), tries: map[string]*try{},
			ran: map[string]int{}, taken: map[string]map[string]bool{},
			cs: []*committer{newCommitter(), newCommitter(), newCommitter()},
		}
		request := rapid.SampledFrom([]string{"c0", "c1"})
		advance := func(t *rapid.T) {
			c := m.any("committer")
			if c.idle() {
				t.Skip("idle")
			}
			how := fate(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "fate"))
			if err := c.advance(m.s, m.now, how); err != nil {
				t.Fatal(err)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"":         func(*rapid.T) { m.check() },
			"advance":  advance,
			"advance2": advance,
			"advance3": advance,
			"advance4": advance,
			"land": func(t *rapid.T) {
				if len(m.s.flying) == 0 {
					t.Skip("none under way")
				}
				i := rapid.IntRange(0, len(m.s.flying)-1).Draw(t, "write")
				m.s.cas(m.s.flying[i])
				m.s.flying = append(m.s.flying[:i], m.s.flying[i+1:]...)
			},
			"claim":  func(t *rapid.T) { m.submit(m.any("at"), m.newTry(request.Draw(t, "request"))) },
			"resend": func(*rapid.T) { m.submit(m.any("at"), m.pick("pending")) },
			"giveup": func(*rapid.T) {
				t := m.pick("pending")
				t.state = "dead"
				m.withdraw(m.any("at"), t.rec)
			},
			"withdraw": func(*rapid.T) {
				t := m.pick("granted")
				t.state = "dead"
				m.withdraw(m.any("at"), t.rec)
			},
			"send": func(*rapid.T) {
				t := m.pick("granted")
				t.state = "sent"
				m.ran[t.rec.Request]++
			},
			"bill":    func(*rapid.T) { m.bill(m.pick("sent")) },
			"unknown": func(*rapid.T) { m.unknown(m.pick("sent")) },
			"read": func(*rapid.T) {
				try := m.newTry("i0") // idempotent: not claimed
				try.state = "sent"
				m.bill(try)
			},
			"time": func(*rapid.T) { m.now = m.now.Add(time.Minute) },
		})
		m.settle()
		m.check()
		m.checkEnd()
	})
}

// run commits records at once and returns their verdicts.
func run(c *committer, s *service, now time.Time, records ...*bbwire.Record) []bbwire.Verdict_Kind {
	var out []bbwire.Verdict_Kind
	for _, r := range records {
		c.queue = append(c.queue, &entry{r, func(v *bbwire.Verdict) { out = append(out, v.Kind) }})
	}
	for !c.idle() {
		if err := c.advance(s, now, fateAnswered); err != nil {
			panic(err)
		}
	}
	return out
}

func claimOf(id, owner string, now time.Time) *bbwire.Record {
	return &bbwire.Record{Account: "a", Request: id, Owner: owner, Made: now.UnixMilli()}
}

func TestBookSealsFullLeaves(t *testing.T) {
	is := is.New(t)
	s, c, now := newService(), newCommitter(), time.Unix(1e9, 0)
	for i := range 30 {
		var rs []*bbwire.Record
		for k := range 100 {
			r := claimOf(fmt.Sprintf("r%d-%d", i, k), "i#1/1", now)
			r.Service = fmt.Sprintf("%0100d", 0)
			rs = append(rs, r)
		}
		for _, v := range run(c, s, now, rs...) {
			is.Equal(v, bbwire.Verdict_TAKEN)
		}
	}
	is.True(len(s.cells) >= 3)
	for _, cell := range s.cells {
		is.True(len(cell.value) < 2*leafFull)
	}
	for _, other := range []*committer{c, newCommitter()} {
		is.Equal(run(other, s, now, claimOf("r0-0", "i#1/2", now))[0], bbwire.Verdict_CONFLICT)
		is.Equal(run(other, s, now, claimOf("r29-99", "i#1/2", now))[0], bbwire.Verdict_CONFLICT)
	}
	bill := claimOf("r0-0", "i#1/1", now)
	bill.Kind, bill.Amount = bbwire.Record_BILL, 3
	is.Equal(run(newCommitter(), s, now, bill)[0], bbwire.Verdict_TAKEN)
	is.Equal(run(c, s, now, claimOf("r0-0", "i#1/2", now))[0], bbwire.Verdict_CONFLICT)
}

func TestBookRefusesMoreThanALeafHolds(t *testing.T) {
	is := is.New(t)
	s, c, now := newService(), newCommitter(), time.Unix(1e9, 0)
	c.book.Begin(now)
	is.NoErr(c.book.Load(nil))
	var rs []*bbwire.Record
	for k := range 6000 {
		r := claimOf(fmt.Sprint("r", k), "i#1/1", now)
		r.Service = fmt.Sprintf("%0100d", 0)
		rs = append(rs, r)
	}
	p := c.book.Plan(rs, now)
	is.True(len(p.Writes[0].Value) <= leafMost)
	is.Equal(p.Verdicts[0].Kind, bbwire.Verdict_TAKEN)
	is.Equal(p.Verdicts[5999].Kind, bbwire.Verdict_RETRY)
	is.Equal(len(run(c, s, now, rs...)), 6000) // the rest comes again
}

func TestBookForgetsAfterTheRetention(t *testing.T) {
	is := is.New(t)
	s, c, now := newService(), newCommitter(), time.Unix(1e9, 0)
	is.Equal(run(c, s, now, claimOf("r", "i#1/1", now))[0], bbwire.Verdict_TAKEN)
	now = now.Add(10 * time.Minute)
	run(c, s, now, claimOf("next", "i#1/2", now)) // seals the old leaf
	now = now.Add(55 * time.Minute)
	c.book.Begin(now)
	is.Equal(len(c.book.Expired(now, 9)), 0)
	is.Equal(run(c, s, now, claimOf("r", "i#1/3", now))[0], bbwire.Verdict_CONFLICT)
	now = now.Add(20 * time.Minute)
	ws := c.book.Expired(now, 9)
	is.Equal(len(ws), 1)
	rev, ok := s.cas(ws[0])
	is.True(ok)
	c.book.OnWritten(ws[0], rev)
	is.Equal(run(c, s, now, claimOf("r", "i#1/4", now))[0], bbwire.Verdict_TAKEN)

	id := uuid.Must(uuid.NewV7()).String()
	made, ok := RequestIDTime(id)
	is.True(ok)
	is.Equal(run(c, s, made.Add(2*time.Hour), claimOf(id, "i#1/5", now))[0], bbwire.Verdict_LATE)
	bill := claimOf("b", "i#1/6", now)
	bill.Kind = bbwire.Record_BILL
	is.Equal(run(c, s, now.Add(2*time.Hour), bill)[0], bbwire.Verdict_LATE)
}

// TestBookSeesWhatOthersDid has one committer change what another has cached, in
// the head and in a sealed leaf.
func TestBookSeesWhatOthersDid(t *testing.T) {
	for _, sealed := range []bool{false, true} {
		is := is.New(t)
		s, a, b, now := newService(), newCommitter(), newCommitter(), time.Unix(1e9, 0)
		first, second := claimOf("r", "i#1/1", now), claimOf("r", "i#1/2", now)
		run(a, s, now, claimOf("other", "i#1/9", now))
		is.Equal(run(b, s, now, first)[0], bbwire.Verdict_TAKEN)
		if sealed {
			now = now.Add(10 * time.Minute)
			run(b, s, now, claimOf("seal", "i#1/8", now))
		}
		is.Equal(run(a, s, now, second)[0], bbwire.Verdict_CONFLICT)
		is.Equal(run(b, s, now, withdrawalOf(first))[0], bbwire.Verdict_TAKEN)
		is.Equal(run(a, s, now, second)[0], bbwire.Verdict_TAKEN)
		is.Equal(run(b, s, now, withdrawalOf(second))[0], bbwire.Verdict_TAKEN)
		is.Equal(run(a, s, now, first)[0], bbwire.Verdict_TAKEN)
	}
}

// TestWithdrawalOutlivesALateWrite gives up a claim whose write is under way: it
// must not land once the withdrawal is through.
func TestWithdrawalOutlivesALateWrite(t *testing.T) {
	is := is.New(t)
	s, c, now := newService(), newCommitter(), time.Unix(1e9, 0)
	claim := claimOf("r", "i#1/1", now)
	c.queue = []*entry{{claim, func(*bbwire.Verdict) {}}}
	for len(s.flying) == 0 {
		is.NoErr(c.advance(s, now, fateLate))
	}
	c.queue, c.plan = nil, nil // dropped
	run(c, s, now, withdrawalOf(claim))
	_, landed := s.cas(s.flying[0])
	is.True(!landed)
	is.Equal(run(newCommitter(), s, now, claimOf("r", "i#1/2", now))[0], bbwire.Verdict_TAKEN)
}

func withdrawalOf(r *bbwire.Record) *bbwire.Record {
	w := Copy(r)
	w.Kind = bbwire.Record_WITHDRAWN
	return w
}

// TestBookIgnoresALateCreation lands the creation of a leaf whose number was
// used, sealed and deleted meanwhile.
func TestBookIgnoresALateCreation(t *testing.T) {
	is := is.New(t)
	s, c, now := newService(), newCommitter(), time.Unix(1e9, 0)
	late := newCommitter()
	late.book.Begin(now)
	is.NoErr(late.book.Load(nil))
	w := late.book.Plan([]*bbwire.Record{claimOf("ghost", "i#1/9", now)}, now).Writes[0]
	run(c, s, now, claimOf("r", "i#1/1", now))
	now = now.Add(10 * time.Minute)
	run(c, s, now, claimOf("r2", "i#1/2", now))
	run(c, s, now, claimOf("r3", "i#1/3", now))
	delete(s.cells, w.Key)
	_, ok := s.cas(w)
	is.True(ok)
	is.Equal(run(newCommitter(), s, now, claimOf("ghost", "i#1/4", now))[0], bbwire.Verdict_TAKEN)
	is.Equal(run(newCommitter(), s, now, claimOf("r3", "i#1/5", now))[0], bbwire.Verdict_CONFLICT)
}

// TestBookListsAnewAfterALongRest has a committer rest, with sweeps, while the
// leaf that it would create comes and goes.
func TestBookListsAnewAfterALongRest(t *testing.T) {
	is := is.New(t)
	s, c, now := newService(), newCommitter(), time.Unix(1e9, 0)
	run(c, s, now, claimOf("r1", "i#1/1", now))
	now = now.Add(10 * time.Minute)
	run(c, s, now, claimOf("r2", "i#1/2", now)) // seals 1, 2 would be next
	other := newCommitter()
	for i := range 20 {
		now = now.Add(10 * time.Minute)
		run(other, s, now, claimOf(fmt.Sprint("o", i), "i#1/3", now))
		for _, w := range other.book.Expired(now, 9) {
			rev, ok := s.cas(w)
			is.True(ok)
			other.book.OnWritten(w, rev)
		}
		c.book.Begin(now) // a sweep
	}
	_, kept := s.cells[c.book.Key(2)]
	is.True(!kept)
	is.Equal(run(c, s, now, claimOf("o19", "i#1/4", now))[0], bbwire.Verdict_CONFLICT)
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
	book := &ChainCache{Partition: 1, Retention: time.Hour}
	v := &bbwire.Leaf{Made: now.UnixMilli()}
	for i := range 500 {
		v.Records = append(v.Records, claimOf(fmt.Sprint("r", i), "i#1/1", now))
	}
	value, _ := proto.Marshal(v)
	book.Begin(now)
	_ = book.Load([]bbstore.Entry{{Key: book.Key(1), Value: value, Rev: 1}})
	rs := []*bbwire.Record{claimOf("new", "i#1/2", now)}
	for b.Loop() {
		book.Plan(rs, now)
	}
}
