package bbe2e

import (
	"context"
	"encoding/json"
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

// billTimeout is how long newAudit waits for the bills of answered requests.
const billTimeout = 15 * time.Second

// requestKey identifies a request: ids are unique within a client account.
type requestKey struct {
	account string
	id      string
}

// execution is one run of a request, as recorded by the stand-in that ran it.
type execution struct {
	arrivedAt int64 // microseconds since the Unix epoch
	isWrite   bool
}

// audit compares what callers were told, what the stand-ins ran and what was
// billed. executions is indexed by request id.
type audit struct {
	accounts   []clientAccount
	results    []bbstand.LoadResult
	executions map[string][]execution
	bills      map[requestKey][]*bbwire.Record
	// otherRecords holds the records other than bills.
	otherRecords map[requestKey]*bbwire.Record
	// findings describes each violation that the summary counts.
	findings []string
}

// newAudit waits until every answered request is billed, at most billTimeout,
// and reads all records and executions.
func newAudit(f *fleet, results []bbstand.LoadResult) *audit {
	a := &audit{accounts: f.accounts, results: results, executions: map[string][]execution{}}
	for end := time.Now().Add(billTimeout); ; time.Sleep(500 * time.Millisecond) {
		a.readRecords(f)
		if listed, missing := a.unbilled(); listed+missing == 0 || time.Now().After(end) {
			break
		}
	}
	for _, target := range f.targets {
		if target.hasExited() {
			a.readExecutionLog(f.t, target)
		} else {
			a.readExecutions(f.t, target)
		}
	}
	return a
}

// readExecutions reads from a running target which requests it has run.
func (a *audit) readExecutions(t *testing.T, target *target) {
	if target.service == engineService {
		var ran []bbstand.EngineExecution
		getJSON(t, target.address, "/admin/ran", &ran)
		for _, r := range ran {
			a.executions[r.Name] = append(a.executions[r.Name], execution{arrivedAt: r.AcceptedAt})
		}
		return
	}
	var ran []bbstand.PlainExecution
	getJSON(t, target.address, "/admin/ran", &ran)
	for _, r := range ran {
		a.executions[r.Request] = append(a.executions[r.Request], execution{arrivedAt: r.ReceivedAt, isWrite: r.WriteNumber > 0})
	}
}

// readExecutionLog reads from the log of a target that has exited which
// requests it had accepted.
func (a *audit) readExecutionLog(t *testing.T, target *target) {
	t.Helper()
	for line := range strings.Lines(readFile(t, target.logPath)) {
		var l struct {
			Msg string                  `json:"msg"`
			Ran bbstand.EngineExecution `json:"ran"`
		}
		if json.Unmarshal([]byte(line), &l) == nil && l.Msg == bbstand.LogAccepted {
			a.executions[l.Ran.Name] = append(a.executions[l.Ran.Name], execution{arrivedAt: l.Ran.AcceptedAt})
		}
	}
}

// readRecords reads all records from the store, and leaves them empty when the
// store cannot be read.
func (a *audit) readRecords(f *fleet) {
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	a.bills = map[requestKey][]*bbwire.Record{}
	a.otherRecords = map[requestKey]*bbwire.Record{}
	list, _, err := f.storeClient.List(ctx, bbjournal.Prefix)
	if err != nil {
		return
	}
	for _, e := range list {
		var l bbwire.Leaf
		if err := proto.Unmarshal(e.Value, &l); err != nil {
			f.t.Fatalf("%s: %s", e.Key, err)
		}
		for _, r := range l.Records {
			key := requestKey{r.Account, r.Request}
			if r.Kind == bbwire.Record_BILL {
				a.bills[key] = append(a.bills[key], r)
			} else {
				a.otherRecords[key] = r
			}
		}
	}
}

func (a *audit) key(result *bbstand.LoadResult) requestKey {
	return requestKey{string(a.accounts[result.KeyIndex].id), result.ID}
}

// unbilled counts the answered requests without a bill: listed are those for
// which isListedUnknown is true, which operators can list; missing are the
// others.
func (a *audit) unbilled() (listed, missing int) {
	for i := range a.results {
		r := &a.results[i]
		if r.Outcome != "done" || len(a.bills[a.key(r)]) > 0 {
			continue
		}
		if a.isListedUnknown(a.key(r)) {
			listed++
		} else {
			missing++
		}
	}
	return listed, missing
}

// isListedUnknown reports whether the request is recorded with an unknown
// outcome or an open claim.
func (a *audit) isListedUnknown(key requestKey) bool {
	r := a.otherRecords[key]
	return r != nil && (r.Kind == bbwire.Record_UNKNOWN || r.Kind == bbwire.Record_CLAIM)
}

// ranBy reports whether a run of the request arrived at a target at or before
// the given time, in microseconds since the Unix epoch.
func (a *audit) ranBy(id string, until int64) bool {
	for _, run := range a.executions[id] {
		if run.arrivedAt <= until {
			return true
		}
	}
	return false
}

// cost returns the tokens that a request costs, computed from the answer.
func cost(result *bbstand.LoadResult) int64 {
	if result.Kind == bbstand.LoadRead || result.Kind == bbstand.LoadWrite {
		return callPrice
	}
	return int64(result.Tokens)
}

// answeredCost returns the cost of all answered requests of the account with
// the given index.
func (a *audit) answeredCost(accountIndex int) int64 {
	return a.answeredCostUntil(accountIndex, math.MaxInt64)
}

// answeredCostUntil returns the cost of the answered requests that were
// scheduled at or before until, in milliseconds since the Unix epoch. A request
// that was sent twice counts once.
func (a *audit) answeredCostUntil(accountIndex int, until int64) int64 {
	var n int64
	seen := map[string]bool{}
	for i := range a.results {
		if r := &a.results[i]; r.KeyIndex == accountIndex && r.Outcome == "done" && r.Start <= until && !seen[r.ID] {
			seen[r.ID] = true
			n += cost(r)
		}
	}
	return n
}

// billedAmount returns the sum of the account's bills.
func (a *audit) billedAmount(account clientAccount) int64 {
	var n int64
	for key, bills := range a.bills {
		for _, r := range bills {
			if key.account == string(account.id) {
				n += r.Amount
			}
		}
	}
	return n
}

// readBudgets reads the budgets' pages and returns the sums of what is settled
// and what is stuck.
func (a *audit) readBudgets(f *fleet) (settled, stuck int64) {
	f.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	list, err := bbledger.ListBudgets(ctx, f.storeClient)
	if err != nil {
		f.t.Errorf("budgets: %s", err)
	}
	for _, b := range list {
		f.t.Logf("%s: paid %d, drawn %d, spent %d, stuck %d, rest %d", b.Budget, b.Paid, b.Drawn, b.Spent, b.Stuck, b.Remaining)
		for _, account := range f.accounts {
			if account.budget == b.Budget {
				f.t.Logf("%s: billed %d", b.Budget, a.billedAmount(account))
			}
		}
		settled += int64(b.Spent)
		stuck += int64(b.Stuck)
	}
	return settled, stuck
}

// maxCost returns an upper bound on the cost of a request of this kind.
func maxCost(result *bbstand.LoadResult) int64 {
	if result.Kind == bbstand.LoadRead || result.Kind == bbstand.LoadWrite {
		return callPrice
	}
	return 120
}

// TestRunsOfKilledEngine checks that the log of a killed engine lists the same
// executions as the engine did while it ran.
func TestRunsOfKilledEngine(t *testing.T) {
	is := is.New(t)
	f := &fleet{t: t}
	target := f.startTarget("engine", engineService, "uppsala")
	o := f.loadOptions(0, time.Minute)
	o.Count, o.PlainShare, o.Instances, o.Keys = 3, 0, []string{target.address}, []string{"key"}
	results := generateLoad(o)
	live, killed := &audit{executions: map[string][]execution{}}, &audit{executions: map[string][]execution{}}
	live.readExecutions(t, target)
	target.kill()
	killed.readExecutionLog(t, target)
	is.Equal(len(killed.executions), len(results))
	is.Equal(killed.executions, live.executions)
}

// TestAudit checks that each violation is counted in its own column.
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
	record := func(k bbwire.Record_Kind) *bbwire.Record { return &bbwire.Record{Kind: k} }
	cases := []struct {
		name   string
		result bbstand.LoadResult
		runs   []execution
		bills  []*bbwire.Record
		other  *bbwire.Record
		want   auditSummary
	}{
		{"correct", done("a", bbstand.LoadWrite, 0), []execution{{150, true}}, bill(10), nil, auditSummary{done: 1}},
		{"wrong answer", bbstand.LoadResult{ID: "a", Outcome: "done", Tokens: 5, Wrong: true}, nil, bill(5), nil, auditSummary{done: 1, wrong: 1}},
		{"answer cut off", bbstand.LoadResult{ID: "a", Outcome: "lost", Truncated: true}, nil, nil, nil, auditSummary{cut: 1}},
		{"answered above paid", done("a", bbstand.LoadWhole, 1005), nil, bill(5), nil, auditSummary{done: 1, overspend: 5}},
		{"billed above paid", done("a", bbstand.LoadWhole, 5), nil, bill(1007), nil, auditSummary{done: 1, overspend: 7}},
		{"billed twice", done("a", bbstand.LoadWhole, 5), nil, bill(5, 5), nil, auditSummary{done: 1, billedTwice: 1}},
		{"not billed", done("a", bbstand.LoadWhole, 5), nil, nil, nil, auditSummary{done: 1, notBilled: 1}},
		{"not billed and listed as unknown", done("a", bbstand.LoadWrite, 0), nil, nil, record(bbwire.Record_UNKNOWN), auditSummary{done: 1, listedUnknown: 1}},
		{"not billed and listed as claimed", done("a", bbstand.LoadWrite, 0), nil, nil, record(bbwire.Record_CLAIM), auditSummary{done: 1, listedUnknown: 1}},
		{"not billed and recorded as open", done("a", bbstand.LoadWrite, 0), nil, nil, record(bbwire.Record_OPEN), auditSummary{done: 1, notBilled: 1}},
		{"billed, with an older claim", done("a", bbstand.LoadWrite, 0), nil, bill(10), record(bbwire.Record_CLAIM), auditSummary{done: 1}},
		{"ran twice", done("a", bbstand.LoadWrite, 0), []execution{{150, true}, {160, true}}, bill(10), nil, auditSummary{done: 1, ranTwice: 1}},
		{"read twice", done("a", bbstand.LoadRead, 0), []execution{{150, false}, {160, false}}, bill(10), nil, auditSummary{done: 1}},
		{"refused with money left", refused, nil, nil, nil, auditSummary{refused: 1, falseRefusals: 1}},
		{"told not-run after it ran", refused, []execution{{199, false}}, nil, nil, auditSummary{refused: 1, falseRefusals: 1, wronglyNotRun: 1}},
		{"told not-run as it ran", refused, []execution{{200, false}}, nil, nil, auditSummary{refused: 1, falseRefusals: 1, wronglyNotRun: 1}},
		{"told not-run between two runs", refused, []execution{{300, false}, {199, false}}, nil, nil, auditSummary{refused: 1, falseRefusals: 1, wronglyNotRun: 1}},
		{"told not-run before it ran", refused, []execution{{201, false}}, nil, nil, auditSummary{refused: 1, falseRefusals: 1}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			a := &audit{
				accounts:     []clientAccount{{id: "x", prepaid: 1000}},
				results:      []bbstand.LoadResult{c.result},
				executions:   map[string][]execution{"a": c.runs},
				bills:        map[requestKey][]*bbwire.Record{},
				otherRecords: map[requestKey]*bbwire.Record{{"x", "a"}: c.other},
			}
			if c.bills != nil {
				a.bills[requestKey{"x", "a"}] = c.bills
			}
			got := a.summarize()
			got.requests, got.billed, got.stuckLater = 0, 0, 0
			if got != c.want {
				t.Errorf("got %+v, want %+v", got, c.want)
			}
		})
	}
}
