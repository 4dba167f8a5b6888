package bbproxy

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbserve"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

const (
	callKey  = "key-of-a"
	callHost = "desk.example"
)

// lone is the fleet of an instance without peers.
type lone struct{}

func (lone) Send(bbunit.InstanceID, *bbwire.Envelope) error { return nil }
func (lone) Call(context.Context, bbunit.InstanceID, *bbwire.Envelope) (*bbwire.Envelope, error) {
	return nil, io.EOF
}
func (lone) Handle(*bbwire.Envelope, func(bbunit.InstanceID, *bbwire.Envelope) *bbwire.Envelope) {}
func (lone) View() *bbmember.View                                                                { return &bbmember.View{} }

func (lone) Listed([]bbmember.ListEntry) {}

// bed is a platform's store, targets and one door, all on loopback.
type bed struct {
	t      *testing.T
	mem    *bbstore.Mem
	set    bbplatform.Settings
	stop   context.CancelFunc
	served chan error
	calls  int
	logs   lines
}

// lines are what the door has logged.
type lines struct {
	mu   sync.Mutex
	text strings.Builder
}

func (l *lines) Write(b []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.Write(b)
}

func (l *lines) String() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.text.String()
}

func freeAddress(t *testing.T) string {
	address, err := bbserve.FreeAddress()
	is.New(t).NoErr(err)
	return address
}

// newBed starts a store and a door. The plan has a plain service with a route
// of each kind, an engine service, and one account that has paid for so many
// tokens.
func newBed(t *testing.T, paid int64) *bed {
	is := is.New(t)
	b := &bed{t: t, mem: bbstore.NewMem()}
	store, stopStore := bbplatformstand.NewStore(b.mem)
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	is.NoErr(err)
	srv := &fasthttp.Server{Handler: store.Handle}
	go func() { _ = srv.Serve(ln) }()
	t.Cleanup(func() {
		stopStore()
		_ = ln.Close()
	})
	b.set = bbplatform.Settings{
		Instance: "i1", Domain: "uppsala", Callers: freeAddress(t), Ready: freeAddress(t), Peers: freeAddress(t),
		Store: ln.Addr().String(), Grace: 1400 * time.Millisecond, RetryRatio: 0.2, RetryExtra: 1000, RetryWindow: 10 * time.Second,
	}
	b.plan(1, paid)
	return b
}

// plan declares the state of a version.
func (b *bed) plan(version int, paid int64) {
	b.t.Helper()
	route := func(prefix, kind, service string, more string) string {
		return fmt.Sprintf(`{"name":"r%s","host":%q,"path-prefix":%q,"kind":%q,"service":%q,"timeout-ms":2000,"target-latency-ms":100,"target-gap-ms":100%s}`,
			prefix, callHost, prefix, kind, service, more)
	}
	routes := []string{
		route("/read/", "idempotent", "desk", `,"max-attempts":2`),
		route("/book/", "non_idempotent", "desk", `,"max-attempts":2`),
		route("/draft/", "streaming", "llm", `,"max-attempts":2,"resumable":true`),
		route("/once/", "streaming", "llm", `,"max-attempts":1`),
		route("/open/", "idempotent", "desk", `,"public":true`),
	}
	value := fmt.Sprintf(`{"version":%d,"routes":[%s],"services":[{"name":"desk"},{"name":"llm","engine":{"slots":8,"kv-cache-tokens":100000,"stride":10}}],
		"limits":{"max-header-bytes":8192,"max-body-bytes":300000,"header-timeout-ms":1000,"idle-timeout-ms":5000},
		"tenants":[{"name":"a","api-keys":[%q],"priority":1,"prepaid":%d}]}`, version, strings.Join(routes, ","), callKey, paid)
	old, err := b.mem.Get(context.Background(), bbplatform.KeyPlan)
	is.New(b.t).NoErr(err)
	_, err = b.mem.CAS(context.Background(), bbplatform.KeyPlan, []byte(value), old.Rev, 0)
	is.New(b.t).NoErr(err)
}

// target starts and registers a target.
func (b *bed) target(o bbplatformstand.TargetOptions) *bbplatformstand.Target {
	b.t.Helper()
	if o.Domain == "" {
		o.Domain = "uppsala"
	}
	t, stop, err := bbplatformstand.NewTarget(o)
	is.New(b.t).NoErr(err)
	b.t.Cleanup(stop)
	is.New(b.t).NoErr(t.Register(context.Background(), b.mem, "ready"))
	return t
}

// start runs the door until it says that it is ready.
func (b *bed) start() {
	b.t.Helper()
	log := logrus.New()
	log.SetOutput(&b.logs)
	log.SetFormatter(&logrus.JSONFormatter{})
	var ctx context.Context
	ctx, b.stop = context.WithCancel(context.Background())
	b.served = make(chan error, 1)
	go func() { b.served <- Serve(ctx, b.set, lone{}, metrics.NewRegistry(), log) }()
	b.t.Cleanup(func() {
		b.stop()
		select {
		case <-b.served:
		case <-time.After(10 * time.Second):
			b.t.Error("the door did not stop")
		}
	})
	b.eventually("ready", func() bool {
		select {
		case err := <-b.served:
			b.served <- err
			b.t.Fatalf("the door ended: %v", err)
		default:
		}
		r, err := http.Get("http://" + b.set.Ready + bbplatform.PathReady)
		if err != nil {
			return false
		}
		defer func() { _ = r.Body.Close() }()
		return r.StatusCode == http.StatusOK
	})
}

func (b *bed) eventually(what string, ok func() bool) {
	b.t.Helper()
	await(b.t, what, 5*time.Second, ok)
}

// await fails the test unless ok says so within a time.
func await(t *testing.T, what string, within time.Duration, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		if ok() {
			return
		}
	}
	t.Fatalf("not within %s: %s", within, what)
}

// result is what a caller got.
type result struct {
	status  int
	body    string
	err     error
	header  http.Header
	outcome string
}

// call sends one request and reads its answer.
func (b *bed) call(method, path, body string, fields ...string) result {
	b.t.Helper()
	b.calls++
	r, err := http.NewRequest(method, "http://"+b.set.Callers+path, strings.NewReader(body))
	is.New(b.t).NoErr(err)
	r.Host = callHost
	r.Header.Set(bbplatform.HeaderAttempt, fmt.Sprintf("attempt-%d", b.calls))
	r.Header.Set(bbplatform.HeaderKey, callKey)
	r.Header.Set(bbplatform.HeaderDeadline, "1500")
	for i := 0; i+1 < len(fields); i += 2 {
		r.Header.Set(fields[i], fields[i+1])
	}
	resp, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return result{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	out := result{status: resp.StatusCode, body: string(text), err: err, header: resp.Header}
	if strings.Contains(resp.Header.Get("Content-Type"), "problem") {
		var p problemJSON
		is.New(b.t).NoErr(json.Unmarshal(text, &p))
		out.outcome = p.Outcome
	}
	return out
}

// raw sends bytes and returns the first status line, empty when none came. It
// reads until the connection ends: closing it would give up what is under way.
func (b *bed) raw(text string) string {
	b.t.Helper()
	c, err := net.Dial("tcp4", b.set.Callers)
	is.New(b.t).NoErr(err)
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(3 * time.Second))
	_, err = io.WriteString(c, text)
	is.New(b.t).NoErr(err)
	br := bufio.NewReader(c)
	line, _ := br.ReadString('\n')
	_, _ = io.Copy(io.Discard, br)
	return strings.TrimSpace(line)
}

// States of the store.
var (
	storeDown = bbstore.Faults{Down: true}
	storeUp   = bbstore.Faults{}
)

// testTarget is a plain target.
var testTarget = bbplatformstand.TargetOptions{ID: "t1", Service: "desk"}
