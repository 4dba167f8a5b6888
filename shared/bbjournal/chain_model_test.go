package bbjournal

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"bluebellport.example/shared/bbwire"
)

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
