package bbport

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sebdah/goldie/v2"
	"github.com/sirupsen/logrus"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbserve"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// fakeBudgets is a BudgetReserver with a single budget.
type fakeBudgets struct {
	mu               sync.Mutex
	available, used  bbunit.Tokens
	openReservations int
}

func (fb *fakeBudgets) Reserve(_ context.Context, budgets []bbunit.BudgetID, amount bbunit.Tokens) (*Reservation, error) {
	fb.mu.Lock()
	defer fb.mu.Unlock()
	if fb.available < amount {
		return nil, ErrBudgetExhausted
	}
	fb.available -= amount
	fb.openReservations++
	return &Reservation{Budget: budgets[0], Holder: "h", Amount: amount, Commit: func(used bbunit.Tokens) {
		fb.mu.Lock()
		defer fb.mu.Unlock()
		fb.available += amount - used
		fb.used += used
		fb.openReservations--
	}, Refund: func(n bbunit.Tokens) { fb.available += n; fb.used -= n }}, nil
}

// fakeJournal keeps records in memory.
type fakeJournal struct {
	mu        sync.Mutex
	claims    map[string]*bbwire.Record
	bills     []*bbwire.Record
	withdrawn int
	claimErr  error
}

func (j *fakeJournal) Claim(_ context.Context, r *bbwire.Record) (*bbwire.Record, error) {
	j.mu.Lock()
	defer j.mu.Unlock()
	if j.claimErr != nil {
		return nil, j.claimErr
	}
	if existing := j.claims[r.Request]; existing != nil {
		return existing, ErrAlreadyClaimed
	}
	j.claims[r.Request] = r
	return nil, nil
}
func (j *fakeJournal) Open(*bbwire.Record) {}
func (j *fakeJournal) Full() bool          { return false }

func (j *fakeJournal) Withdraw(r *bbwire.Record) {
	j.mu.Lock()
	defer j.mu.Unlock()
	delete(j.claims, r.Request)
	j.withdrawn++
}

func (j *fakeJournal) BillThen(r *bbwire.Record, _ func(*bbwire.Verdict)) {
	j.mu.Lock()
	defer j.mu.Unlock()
	j.bills = append(j.bills, r)
}

func (j *fakeJournal) lastBill() *bbwire.Record {
	j.mu.Lock()
	defer j.mu.Unlock()
	if len(j.bills) == 0 {
		return &bbwire.Record{}
	}
	return j.bills[len(j.bills)-1]
}

// testFrontend is a frontend with fake budgets and records, and targets served
// by the test.
type testFrontend struct {
	*Frontend
	url     string
	budgets *fakeBudgets
	journal *fakeJournal
}

const testKey = "test-key"

// newTestFrontend starts a frontend with one target per handler for each of the
// services chat and desk. A nil handler makes a target that refuses connections.
func newTestFrontend(t testing.TB, targets ...http.HandlerFunc) *testFrontend {
	t.Helper()
	ticket := bbticket.Ticket{
		Number: 1,
		Accounts: []bbticket.Account{
			{ID: "norra", Keys: []string{hashAPIKey(testKey)}, Priority: 5},
			{ID: "poor", Keys: []string{hashAPIKey("poor-key")}},
		},
		Budgets: []bbticket.Budget{{ID: "b", Account: "norra", Paid: 100000}},
		Services: []bbticket.Service{
			{ID: "chat", Kind: bbticket.KindEngine, Price: bbticket.Price{Input: 1, Output: 1}, DefaultMaxOutput: 50},
			{ID: "desk", Kind: bbticket.KindPlain, Price: bbticket.Price{Call: 10}},
			{ID: "closed", Kind: bbticket.KindPlain, Accounts: []bbunit.AccountID{"poor"}},
		},
	}
	for i, handler := range targets {
		address := unusedAddress(t)
		if handler != nil {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/load" {
					w.WriteHeader(http.StatusNotFound) // load reports have their own tests
					return
				}
				handler(w, r)
			}))
			t.Cleanup(s.Close)
			address = s.Listener.Addr().String()
		}
		for _, service := range []bbunit.ServiceID{"chat", "desk"} {
			id := bbunit.TargetID(fmt.Sprintf("%s-%d", service, i))
			ticket.Targets = append(ticket.Targets, bbticket.Target{ID: id, Service: service, Address: address, Domain: "d"})
		}
	}
	return startTestFrontend(t, (&bbticket.State{}).Apply(ticket))
}

// startTestFrontend starts a frontend with the given state.
func startTestFrontend(t testing.TB, state *bbticket.State) *testFrontend {
	t.Helper()
	o := &Options{}
	parseOptions(t, o, "--instance", "i1", "--domain", "d", "--store", "127.0.0.1:1", "--silence", "100ms", "--timeout", "3s", "--late", "1s")
	log := logrus.New()
	log.SetOutput(io.Discard)
	deps := Deps{
		Board: NewBoard(bbmember.Member{ID: "i1", Inc: 7, Domain: "d"}), Log: log,
		Metrics: metrics.NewRegistry(), Opts: o, Now: time.Now, Store: bbstore.NewMem(),
	}
	deps.Board.State.Store(state)
	deps.Board.Ready.Store(true)
	router, stop := NewRouter(deps)
	t.Cleanup(stop)
	f := &testFrontend{budgets: &fakeBudgets{available: 100000}, journal: &fakeJournal{claims: map[string]*bbwire.Record{}}}
	f.Frontend = NewFrontend(deps, newRunner(deps, router, f.budgets, f.journal))
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = f.app.Listener(ln) }()
	t.Cleanup(func() { _ = bbserve.Stop(f.app, ln, time.Second) })
	f.url = "http://" + ln.Addr().String()
	return f
}

// unusedAddress returns an address that refuses connections.
func unusedAddress(t testing.TB) string {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ln.Close() }()
	return ln.Addr().String()
}

// do sends a request and returns the response and its body. The header fields
// are pairs of name and value.
func (f *testFrontend) do(t *testing.T, method, path, body string, fields ...string) (*http.Response, string) {
	t.Helper()
	r, err := http.NewRequest(method, f.url+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = resp.Body.Close() }()
	got, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(got)
}

// waitSettled waits until no reservation and no answer is open.
func (f *testFrontend) waitSettled(is *is.I) {
	is.Helper()
	for end := time.Now().Add(3 * time.Second); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		f.budgets.mu.Lock()
		open := f.budgets.openReservations
		f.budgets.mu.Unlock()
		if open == 0 && f.openRequests.Load() == 0 {
			return
		}
	}
	is.Fail() // a reservation or an answer is still open
}

const plainChat = `{"model":"chat","messages":[{"role":"user","content":"hi"}]}`

// TestRefusals compares every refusal with a golden file, and checks that none
// leaves tokens reserved.
func TestRefusals(t *testing.T) {
	f := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTeapot) })
	long := strings.Repeat("k", maxRequestIDBytes+1)
	for name, c := range map[string]struct {
		method, path, body string
		fields             []string
		status             int
	}{
		"key":         {"POST", "/v1/chat/completions", plainChat, []string{"Authorization", "Bearer nobody"}, 401},
		"no-key":      {"POST", "/v1/chat/completions", plainChat, []string{"Authorization", "Basic x"}, 401},
		"budget":      {"POST", "/v1/chat/completions", plainChat, []string{"Authorization", "Bearer poor-key"}, 402},
		"large":       {"POST", "/v1/chat/completions", `{"model":"chat","max_tokens":999999,"messages":[1]}`, nil, 402},
		"forbidden":   {"GET", "/services/closed/x", "", nil, 403},
		"model":       {"POST", "/v1/chat/completions", `{"model":"none","messages":[1]}`, nil, 404},
		"service":     {"GET", "/services/none/x", "", nil, 404},
		"path":        {"GET", "/nothing", "", nil, 404},
		"json":        {"POST", "/v1/chat/completions", `{"model":`, nil, 400},
		"no-messages": {"POST", "/v1/chat/completions", `{"model":"chat"}`, nil, 400},
		"negative":    {"POST", "/v1/chat/completions", `{"model":"chat","max_tokens":-1,"messages":[1]}`, nil, 400},
		"overflow":    {"POST", "/v1/chat/completions", `{"model":"chat","max_tokens":99999999999999999999,"messages":[1]}`, nil, 400},
		"choices":     {"POST", "/v1/chat/completions", `{"model":"chat","n":9,"messages":[1]}`, nil, 400},
		"id-long":     {"GET", "/services/desk/x", "", []string{"Idempotency-Key", long}, 400},
		"id-space":    {"GET", "/services/desk/x", "", []string{"Idempotency-Key", "a b"}, 400},
		"deadline":    {"GET", "/services/desk/x", "", []string{"X-Request-Deadline-Ms", "-5"}, 400},
		"priority":    {"GET", "/services/desk/x", "", []string{"X-Request-Priority", "high"}, 400},
		"body":        {"POST", "/services/desk/x", strings.Repeat("x", 1<<20+1), nil, 413},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			resp, body := f.do(t, c.method, c.path, c.body, c.fields...)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Content-Type"), "application/problem+json")
			got := fmt.Sprintf("%d Retry-After=%q\n%s\n", resp.StatusCode, resp.Header.Get("Retry-After"), removeGeneratedID(body))
			goldie.New(t).Assert(t, "refusal/"+name, []byte(got))
		})
	}
	f.waitSettled(is.New(t))
	is.New(t).Equal(f.budgets.used, bbunit.Tokens(0))
}

// removeGeneratedID removes a request id generated by the instance from problem
// details.
func removeGeneratedID(body string) string {
	return generatedID.ReplaceAllString(body, "")
}

// generatedID matches a request id generated by the instance.
var generatedID = regexp.MustCompile(`,"request":"0[^"]*"`)

// TestPlainRequestsAreForwarded checks that request and response pass between
// caller and plain service unchanged, except for the header fields that the
// instance sets or withholds.
func TestPlainRequestsAreForwarded(t *testing.T) {
	is := is.New(t)
	var gotRequest *http.Request
	var gotBody []byte
	f := newTestFrontend(t, func(w http.ResponseWriter, r *http.Request) {
		gotRequest = r
		gotBody, _ = io.ReadAll(r.Body)
		w.Header().Set("X-Answer", "yes")
		w.Header().Set("Content-Type", "text/weird")
		w.WriteHeader(http.StatusAccepted)
		_, _ = w.Write([]byte("whole"))
	})
	resp, body := f.do(t, "POST", "/services/desk/a%20b/c?x=1&y=%2F", "payload", "X-Mine", "1", "Idempotency-Key", "k1", "Content-Type", "text/odd")
	is.Equal(resp.StatusCode, http.StatusAccepted)
	is.Equal(body, "whole")
	is.Equal(resp.Header.Get("X-Answer"), "yes")
	is.Equal(resp.Header.Get("Content-Type"), "text/weird")
	is.Equal(gotRequest.RequestURI, "/a%20b/c?x=1&y=%2F")
	is.Equal(string(gotBody), "payload")
	is.Equal(gotRequest.Header.Get("X-Mine"), "1")
	is.Equal(gotRequest.Header.Get("Content-Type"), "text/odd")
	is.Equal(gotRequest.Header.Get("Authorization"), "") // the API key is not forwarded
	is.Equal(gotRequest.Header.Get("Idempotency-Key"), "k1")
	f.waitSettled(is)
	is.Equal(f.journal.lastBill().Amount, int64(10))
	is.Equal(f.budgets.used, bbunit.Tokens(10))
}

// TestRepeatedRequestID checks that a copy with the same id and body gets the
// kept answer, and that the same id with another body is refused. Otherwise a
// repeated request would run, and be billed, twice.
func TestRepeatedRequestID(t *testing.T) {
	is := is.New(t)
	runs := 0
	f := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) {
		runs++
		_, _ = fmt.Fprintf(w, "run %d", runs)
	})
	_, first := f.do(t, "POST", "/services/desk/book", "road=4", "Idempotency-Key", "k")
	_, again := f.do(t, "POST", "/services/desk/book", "road=4", "Idempotency-Key", "k")
	is.Equal(first, again)
	is.Equal(runs, 1)
	resp, body := f.do(t, "POST", "/services/desk/book", "road=5", "Idempotency-Key", "k")
	is.Equal(resp.StatusCode, http.StatusConflict)
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	is.Equal(runs, 1)
	f.waitSettled(is)
	is.Equal(len(f.journal.bills), 1) // one bill
}

// TestPlainFaults checks, for each fault of a plain service, the caller's
// response, the number of runs and the record.
func TestPlainFaults(t *testing.T) {
	hang := func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the server notices the closed connection only then
		<-r.Context().Done()
	}
	cut := func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }
	leaving := func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("X-Leaving", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	broken := func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }
	for name, c := range map[string]struct {
		method  string
		fault   http.HandlerFunc
		status  int
		outcome string
		kind    bbwire.Record_Kind
		runs    int // requests that reached targets
	}{
		"get-dead":     {"GET", nil, 200, "", bbwire.Record_BILL, 1},
		"get-cut":      {"GET", cut, 200, "", bbwire.Record_BILL, 2},
		"get-hang":     {"GET", hang, 200, "", bbwire.Record_BILL, 2},
		"get-leaving":  {"GET", leaving, 200, "", bbwire.Record_BILL, 2},
		"get-broken":   {"GET", broken, 200, "", bbwire.Record_BILL, 2},
		"post-dead":    {"POST", nil, 200, "", bbwire.Record_BILL, 1},
		"post-leaving": {"POST", leaving, 200, "", bbwire.Record_BILL, 2},
		"post-cut":     {"POST", cut, 502, "unknown", bbwire.Record_UNKNOWN, 1},
		"post-hang":    {"POST", hang, 504, "unknown", bbwire.Record_UNKNOWN, 1},
		"post-broken":  {"POST", broken, 500, "", bbwire.Record_BILL, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var mu sync.Mutex
			runs, failed := 0, false
			// Only the first request, at whichever target, meets the fault.
			h := func(w http.ResponseWriter, r *http.Request) {
				mu.Lock()
				runs++
				fail := !failed && c.fault != nil
				failed = true
				mu.Unlock()
				if fail {
					c.fault(w, r)
					return
				}
				_, _ = w.Write([]byte("ok"))
			}
			targets := []http.HandlerFunc{h, h}
			if c.fault == nil {
				targets[0] = nil
			}
			f := newTestFrontend(t, targets...)
			resp, body := f.do(t, c.method, "/services/desk/x", "", "X-Request-Deadline-Ms", "700")
			is.Equal(resp.StatusCode, c.status)
			if c.outcome != "" {
				is.True(strings.Contains(body, `"outcome":"`+c.outcome+`"`))
			}
			f.waitSettled(is)
			mu.Lock()
			defer mu.Unlock()
			is.Equal(runs, c.runs)
			is.Equal(f.journal.lastBill().Kind, c.kind)
			is.Equal(len(f.journal.bills), 1)
		})
	}
}

// TestLateAnswer checks that an answer that arrives after the caller was told
// that the outcome is unknown is billed and kept for a copy of the request,
// without a second run.
func TestLateAnswer(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	runs := 0
	f := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) {
		mu.Lock()
		runs++
		mu.Unlock()
		time.Sleep(600 * time.Millisecond)
		_, _ = w.Write([]byte("booked"))
	})
	resp, body := f.do(t, "POST", "/services/desk/x", "", "Idempotency-Key", "k", "X-Request-Deadline-Ms", "200")
	is.Equal(resp.StatusCode, http.StatusGatewayTimeout)
	is.True(strings.Contains(body, `"outcome":"unknown"`))
	is.Equal(f.journal.lastBill().Kind, bbwire.Record_UNKNOWN)
	for end := time.Now().Add(3 * time.Second); f.journal.lastBill().Kind != bbwire.Record_BILL && time.Now().Before(end); {
		time.Sleep(10 * time.Millisecond)
	}
	is.Equal(f.journal.lastBill().Kind, bbwire.Record_BILL)
	resp, body = f.do(t, "POST", "/services/desk/x", "", "Idempotency-Key", "k")
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, "booked")
	mu.Lock()
	defer mu.Unlock()
	is.Equal(runs, 1)
}

// closeConnection closes the connection without a response.
func closeConnection(w http.ResponseWriter) {
	if conn, _, err := w.(http.Hijacker).Hijack(); err == nil {
		_ = conn.Close()
	}
}

// TestClosedConnectionIsNotACrash checks that a request is not taken for poison
// when a service closes its connections without a response but still accepts new
// ones.
func TestClosedConnectionIsNotACrash(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) }, func(w http.ResponseWriter, _ *http.Request) { closeConnection(w) })
	for range 3 {
		resp, body := f.do(t, "GET", "/services/desk/x", "")
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.True(!strings.Contains(body, ErrPoisoned.Error()))
	}
}

// TestClaimIsWithdrawnIfNotRun checks that the claim is withdrawn if no target
// can be reached, so that the caller can retry with the same id.
func TestClaimIsWithdrawnIfNotRun(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, nil)
	resp, body := f.do(t, "POST", "/services/desk/x", "", "Idempotency-Key", "k")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	is.True(resp.Header.Get("Retry-After") != "")
	f.waitSettled(is)
	is.Equal(f.journal.withdrawn, 1)
	is.Equal(len(f.journal.claims), 0)
	is.Equal(f.budgets.used, bbunit.Tokens(0))
}

// TestRequestIsNotSentWithoutItsClaim checks that a request whose claim could
// not be written is not sent to a target.
func TestRequestIsNotSentWithoutItsClaim(t *testing.T) {
	is := is.New(t)
	runs := 0
	f := newTestFrontend(t, func(http.ResponseWriter, *http.Request) { runs++ })
	f.journal.claimErr = ErrClaimNotWritten
	resp, body := f.do(t, "POST", "/services/desk/x", "")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	is.Equal(runs, 0)
	f.waitSettled(is)
}

// TestDrainFinishesOpenRequests checks that a stopping instance finishes its
// open requests and refuses new ones as not run.
func TestDrainFinishesOpenRequests(t *testing.T) {
	is := is.New(t)
	release := make(chan struct{})
	f := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) {
		<-release
		_, _ = w.Write([]byte("whole"))
	})
	f.opts.LingerTime = 0
	var wg sync.WaitGroup
	var got string
	wg.Go(func() { _, got = f.do(t, "GET", "/services/desk/x", "", "X-Request-Deadline-Ms", "2000") })
	for f.Frontend.openRequests.Load() == 0 {
		time.Sleep(time.Millisecond)
	}
	drained := make(chan struct{})
	go func() {
		f.drain(context.Background())
		close(drained)
	}()
	for !f.deps.Board.Draining.Load() {
		time.Sleep(time.Millisecond)
	}
	resp, body := f.do(t, "GET", "/services/desk/x", "")
	is.Equal(resp.StatusCode, http.StatusServiceUnavailable)
	is.True(strings.Contains(body, `"outcome":"not-run"`))
	close(release)
	wg.Wait()
	<-drained
	is.Equal(got, "whole")
}

// parseOptions sets the options from the arguments of the serve command.
func parseOptions(t testing.TB, o *Options, args ...string) {
	t.Helper()
	app := kingpin.New("test", "")
	cmd := app.Command("serve", "")
	for _, g := range o.groups() {
		g.flags(cmd)
	}
	if _, err := app.Parse(append([]string{"serve"}, args...)); err != nil {
		t.Fatal(err)
	}
}

// TestClientsOfRemovedTargetsAreDropped checks that the client of a target is
// dropped once the state no longer contains the target, and not before.
func TestClientsOfRemovedTargetsAreDropped(t *testing.T) {
	is := is.New(t)
	f := newTestFrontend(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write([]byte("ok")) })
	resp, _ := f.do(t, "GET", "/services/desk/x", "")
	is.Equal(resp.StatusCode, 200)
	conns := f.runner.plainClient.conns
	address := f.deps.Board.State.Load().ByService["desk"][0].Address
	_, ok := conns.pooled.Load(address)
	is.True(ok)
	conns.closeUnused(map[string]bool{address: true})
	_, ok = conns.pooled.Load(address)
	is.True(ok)
	conns.closeUnused(nil)
	_, ok = conns.pooled.Load(address)
	is.True(!ok)
}
