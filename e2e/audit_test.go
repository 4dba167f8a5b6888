package bbe2e

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	bbstand "bluebellport.example/bluebellstand/src"
	"bluebellport.example/shared/bbjournal"
	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbwire"
)

// settleTimeout is how long bills may take to be written after the last answer.
const settleTimeout = 15 * time.Second

// requestKey names a request.
type requestKey struct {
	account string
	id      string
}

// runOf is one run of a request as a stand-in recorded it.
type runOf struct {
	at    int64 // when it came, in microseconds since the epoch
	write bool
}

// audit compares what callers were told, what the stand-ins ran and what was
// billed.
type audit struct {
	customers []customer
	results   []bbstand.LoadResult
	runs      map[string][]runOf
	bills     map[requestKey][]*bbwire.Record
	// others are records that are no bills.
	others map[requestKey]*bbwire.Record
	// suspects describes what the verdict counts as wrong.
	suspects []string
}

// verdict is one row of the table of faults.
type verdict struct {
	requests, done, refused, lost int
	cut, wrong                    int
	overspend                     int64
	falseRefusals                 int
	billedTwice, notBilled        int
	listed                        int // answered, and among the records of unknown end
	ranTwice, wronglyNotRun       int
	billed, settled, stuck        int64
	stuckLater                    int64 // ten seconds after stuck, where it was looked at
}

const verdictHead = "| fault | requests | done | refused | lost | cut | wrong | overspend | false refusals | billed twice | not billed | listed | ran twice | wrongly told not-run | billed | settled | stuck | stuck 10 s later |"

func (v verdict) row(name string) string {
	later := "-"
	if v.stuckLater >= 0 {
		later = fmt.Sprint(v.stuckLater)
	}
	return fmt.Sprintf("| %s | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %d | %s |", name,
		v.requests, v.done, v.refused, v.lost, v.cut, v.wrong, v.overspend, v.falseRefusals,
		v.billedTwice, v.notBilled, v.listed, v.ranTwice, v.wronglyNotRun, v.billed, v.settled, v.stuck, later)
}

// faulty returns the columns that must be zero and are not.
func (v verdict) faulty() string {
	var bad []string
	for _, c := range []struct {
		name string
		n    int64
	}{
		{"wrong answers", int64(v.wrong)},
		{"overspend", v.overspend},
		{"billed twice", int64(v.billedTwice)},
		{"not billed", int64(v.notBilled)},
		{"ran twice", int64(v.ranTwice)},
		{"wrongly told not-run", int64(v.wronglyNotRun)},
	} {
		if c.n != 0 {
			bad = append(bad, fmt.Sprintf("%s: %d", c.name, c.n))
		}
	}
	return strings.Join(bad, ", ")
}

// newAudit waits until every answered request is billed, or no longer than
// settleTimeout, and reads all records.
func newAudit(f *fleet, results []bbstand.LoadResult) *audit {
	a := &audit{customers: f.customers, results: results, runs: map[string][]runOf{}}
	for end := time.Now().Add(settleTimeout); ; time.Sleep(500 * time.Millisecond) {
		a.readBills(f)
		if listed, missing := a.unbilled(); listed+missing == 0 || time.Now().After(end) {
			break
		}
	}
	for _, x := range f.targets {
		if x.ended() {
			a.readLog(f.t, x)
		} else {
			a.readRuns(f.t, x)
		}
	}
	return a
}

func (a *audit) readRuns(t *testing.T, x *target) {
	if x.service == engineService {
		var ran []bbstand.EngineExecution
		get(t, x.address, "/admin/ran", &ran)
		for _, r := range ran {
			a.runs[r.Name] = append(a.runs[r.Name], runOf{at: r.AcceptedAt})
		}
		return
	}
	var ran []bbstand.PlainExecution
	get(t, x.address, "/admin/ran", &ran)
	for _, r := range ran {
		a.runs[r.Request] = append(a.runs[r.Request], runOf{at: r.AcceptedAt, write: r.WriteNumber > 0})
	}
}

// readLog reads what a target that has ended logged of the requests it took.
func (a *audit) readLog(t *testing.T, x *target) {
	t.Helper()
	for line := range strings.Lines(read(t, x.log)) {
		var l struct {
			Msg string                  `json:"msg"`
			Ran bbstand.EngineExecution `json:"ran"`
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Msg == bbstand.LogAccepted {
			a.runs[l.Ran.Name] = append(a.runs[l.Ran.Name], runOf{at: l.Ran.AcceptedAt})
		}
	}
}

func (a *audit) readBills(f *fleet) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a.bills = map[requestKey][]*bbwire.Record{}
	a.others = map[requestKey]*bbwire.Record{}
	list, _, err := f.client.List(ctx, bbjournal.Prefix)
	if err != nil {
		return
	}
	for _, e := range list {
		var l bbwire.Leaf
		if err := proto.Unmarshal(e.Value, &l); err != nil {
			f.t.Fatalf("%s: %s", e.Key, err)
		}
		for _, r := range l.Records {
			k := requestKey{r.Account, r.Request}
			if r.Kind == bbwire.Record_BILL {
				a.bills[k] = append(a.bills[k], r)
			} else {
				a.others[k] = r
			}
		}
	}
}

func (a *audit) key(r *bbstand.LoadResult) requestKey {
	return requestKey{string(a.customers[r.KeyIndex].account), r.ID}
}

// unbilled counts the answered requests without a bill: those that stand in the
// records with an unknown end, where operators are shown them, and the others.
func (a *audit) unbilled() (listed, missing int) {
	for i := range a.results {
		r := &a.results[i]
		if r.Outcome != "done" || len(a.bills[a.key(r)]) > 0 {
			continue
		}
		if a.isListed(a.key(r)) {
			listed++
		} else {
			missing++
		}
	}
	return listed, missing
}

func (a *audit) isListed(k requestKey) bool {
	r := a.others[k]
	return r != nil && (r.Kind == bbwire.Record_UNKNOWN || r.Kind == bbwire.Record_CLAIM)
}

// verdict sums the audit up.
func (a *audit) verdict() verdict {
	v := verdict{requests: len(a.results), stuckLater: -1}
	v.listed, v.notBilled = a.unbilled()
	for i := range a.results {
		a.judge(&a.results[i], &v)
	}
	for _, l := range a.bills {
		if len(l) > 1 {
			v.billedTwice++
		}
		for _, r := range l {
			v.billed += r.Amount
		}
	}
	a.judgeBudgets(&v)
	a.suspectUnbilled()
	return v
}

// suspectUnbilled describes the answered requests that have no bill.
func (a *audit) suspectUnbilled() {
	for i := range a.results {
		if r := &a.results[i]; r.Outcome == "done" && len(a.bills[a.key(r)]) == 0 {
			a.suspects = append(a.suspects, fmt.Sprintf("%s (%s) is not billed; due at %d, answered after %s, ran %v, record: %s; %s",
				r.ID, r.Kind, r.Start, r.Total, a.runs[r.ID], a.others[a.key(r)], strings.Join(r.AttemptErrors, "; ")))
		}
	}
}

// judge counts one result.
func (a *audit) judge(r *bbstand.LoadResult, v *verdict) {
	switch {
	case r.Truncated:
		v.cut++
	case r.Outcome == "lost":
		v.lost++
	case r.Outcome == "done":
		v.done++
	default:
		v.refused++
	}
	if r.Wrong {
		v.wrong++
	}
	writes := 0
	for _, run := range a.runs[r.ID] {
		if run.write {
			writes++
		}
	}
	if writes > 1 {
		v.ranTwice++
		a.suspects = append(a.suspects, fmt.Sprintf("%s ran %v: %s", r.ID, a.runs[r.ID], strings.Join(r.AttemptErrors, "; ")))
	}
	for _, told := range r.NotRunAt {
		if a.ranBefore(r.ID, told) {
			v.wronglyNotRun++
			a.suspects = append(a.suspects, fmt.Sprintf("%s (%s) ran %v and was told not-run at %v: %s", r.ID, r.Kind, a.runs[r.ID], r.NotRunAt, strings.Join(r.AttemptErrors, "; ")))
			break
		}
	}
}

func (a *audit) ranBefore(id string, at int64) bool {
	for _, run := range a.runs[id] {
		if run.at <= at {
			return true
		}
	}
	return false
}

// cost returns what a request costs by what its caller got.
func cost(r *bbstand.LoadResult) int64 {
	if r.Kind == bbstand.LoadRead || r.Kind == bbstand.LoadWrite {
		return callPrice
	}
	return int64(r.Tokens)
}

// judgeBudgets compares each customer's paid tokens with what was answered and
// with what was billed, and looks for refusals while there was money.
func (a *audit) judgeBudgets(v *verdict) {
	for k, c := range a.customers {
		v.overspend += max(0, max(a.answered(k), a.billed(c))-int64(c.paid))
		for i := range a.results {
			if r := &a.results[i]; r.KeyIndex == k && r.Status == 402 && int64(c.paid)-a.costBefore(k, r.Start+r.Total.Milliseconds()) >= mostCost(r) {
				v.falseRefusals++
			}
		}
	}
}

// answered returns what the customer's answered requests cost.
func (a *audit) answered(key int) int64 {
	return a.costBefore(key, math.MaxInt64)
}

// costBefore returns what the customer's answered requests that were due up to
// a time cost; one that was sent twice counts once.
func (a *audit) costBefore(key int, until int64) int64 {
	var n int64
	seen := map[string]bool{}
	for i := range a.results {
		if r := &a.results[i]; r.KeyIndex == key && r.Outcome == "done" && r.Start <= until && !seen[r.ID] {
			seen[r.ID] = true
			n += cost(r)
		}
	}
	return n
}

// billed returns what the customer was billed.
func (a *audit) billed(c customer) int64 {
	var n int64
	for k, l := range a.bills {
		for _, r := range l {
			if k.account == string(c.account) {
				n += r.Amount
			}
		}
	}
	return n
}

// readBudgets reads what the pages of budgets say.
func (a *audit) readBudgets(f *fleet) (settled, stuck int64) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	list, err := bbledger.ListBudgets(ctx, f.client)
	if err != nil {
		f.t.Errorf("budgets: %s", err)
	}
	for _, b := range list {
		f.t.Logf("%s: paid %d, drawn %d, spent %d, stuck %d, rest %d", b.Budget, b.Paid, b.Drawn, b.Spent, b.Stuck, b.Remaining)
		for _, c := range f.customers {
			if c.budget == b.Budget {
				f.t.Logf("%s: billed %d", b.Budget, a.billed(c))
			}
		}
		settled += int64(b.Spent)
		stuck += int64(b.Stuck)
	}
	return settled, stuck
}

// mostCost is the most that a request of the kind could have cost.
func mostCost(r *bbstand.LoadResult) int64 {
	if r.Kind == bbstand.LoadRead || r.Kind == bbstand.LoadWrite {
		return callPrice
	}
	return 120
}

// TestRunsOfKilledEngine checks that the audit knows what an engine that was
// killed had taken.
func TestRunsOfKilledEngine(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t}
	x := f.startTarget("engine", engineService, "uppsala")
	o := f.load(0, time.Minute)
	o.Count, o.PlainShare, o.Instances, o.Keys = 3, 0, []string{x.address}, []string{"key"}
	results := generate(o)
	live, dead := &audit{runs: map[string][]runOf{}}, &audit{runs: map[string][]runOf{}}
	live.readRuns(t, x)
	x.kill()
	dead.readLog(t, x)
	is.Equal(len(dead.runs), len(results))
	is.Equal(dead.runs, live.runs)
}

// TestAudit shows that each column finds its fault.
func TestAudit(t *testing.T) {
	done := func(id string, kind bbstand.LoadKind, tokens int) bbstand.LoadResult {
		return bbstand.LoadResult{ID: id, Kind: kind, Status: 200, Outcome: "done", Tokens: tokens, Start: 100}
	}
	bill := func(amounts ...int64) []*bbwire.Record {
		var out []*bbwire.Record
		for _, n := range amounts {
			out = append(out, &bbwire.Record{Amount: n})
		}
		return out
	}
	refused := bbstand.LoadResult{ID: "a", Status: 402, Outcome: "not-run", Start: 100, NotRunAt: []int64{200}}
	kept := func(k bbwire.Record_Kind) *bbwire.Record { return &bbwire.Record{Kind: k} }
	cases := []struct {
		name   string
		result bbstand.LoadResult
		runs   []runOf
		bills  []*bbwire.Record
		other  *bbwire.Record
		want   verdict
	}{
		{"sound", done("a", bbstand.LoadWrite, 0), []runOf{{150, true}}, bill(10), nil, verdict{done: 1}},
		{"wrong answer", bbstand.LoadResult{ID: "a", Outcome: "done", Tokens: 5, Wrong: true}, nil, bill(5), nil, verdict{done: 1, wrong: 1}},
		{"cut", bbstand.LoadResult{ID: "a", Outcome: "lost", Truncated: true}, nil, nil, nil, verdict{cut: 1}},
		{"answered above paid", done("a", bbstand.LoadWhole, 1005), nil, bill(5), nil, verdict{done: 1, overspend: 5}},
		{"billed above paid", done("a", bbstand.LoadWhole, 5), nil, bill(1007), nil, verdict{done: 1, overspend: 7}},
		{"billed twice", done("a", bbstand.LoadWhole, 5), nil, bill(5, 5), nil, verdict{done: 1, billedTwice: 1}},
		{"not billed", done("a", bbstand.LoadWhole, 5), nil, nil, nil, verdict{done: 1, notBilled: 1}},
		{"not billed and listed as unknown", done("a", bbstand.LoadWrite, 0), nil, nil, kept(bbwire.Record_UNKNOWN), verdict{done: 1, listed: 1}},
		{"not billed and listed as claimed", done("a", bbstand.LoadWrite, 0), nil, nil, kept(bbwire.Record_CLAIM), verdict{done: 1, listed: 1}},
		{"not billed and only reserved", done("a", bbstand.LoadWrite, 0), nil, nil, kept(bbwire.Record_OPEN), verdict{done: 1, notBilled: 1}},
		{"billed and once claimed", done("a", bbstand.LoadWrite, 0), nil, bill(10), kept(bbwire.Record_CLAIM), verdict{done: 1}},
		{"ran twice", done("a", bbstand.LoadWrite, 0), []runOf{{150, true}, {160, true}}, bill(10), nil, verdict{done: 1, ranTwice: 1}},
		{"read twice", done("a", bbstand.LoadRead, 0), []runOf{{150, false}, {160, false}}, bill(10), nil, verdict{done: 1}},
		{"refused with money left", refused, nil, nil, nil, verdict{refused: 1, falseRefusals: 1}},
		{"told not-run after it ran", refused, []runOf{{199, false}}, nil, nil, verdict{refused: 1, falseRefusals: 1, wronglyNotRun: 1}},
		{"told not-run as it ran", refused, []runOf{{200, false}}, nil, nil, verdict{refused: 1, falseRefusals: 1, wronglyNotRun: 1}},
		{"told not-run between two copies", refused, []runOf{{300, false}, {199, false}}, nil, nil, verdict{refused: 1, falseRefusals: 1, wronglyNotRun: 1}},
		{"told not-run before it ran", refused, []runOf{{201, false}}, nil, nil, verdict{refused: 1, falseRefusals: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &audit{
				customers: []customer{{account: "x", paid: 1000}},
				results:   []bbstand.LoadResult{c.result},
				runs:      map[string][]runOf{"a": c.runs},
				bills:     map[requestKey][]*bbwire.Record{},
				others:    map[requestKey]*bbwire.Record{{"x", "a"}: c.other},
			}
			if c.bills != nil {
				a.bills[requestKey{"x", "a"}] = c.bills
			}
			got := a.verdict()
			got.requests, got.billed, got.stuckLater = 0, 0, 0
			if got != c.want {
				t.Errorf("%+v, not %+v", got, c.want)
			}
		})
	}
}
