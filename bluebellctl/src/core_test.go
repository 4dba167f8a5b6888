package bbctl

import (
	"bytes"
	"context"
	"net"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"
	"github.com/valyala/fasthttp"

	"bluebellport.example/shared/bbcli"
	"bluebellport.example/shared/bbledger"
	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// cliFixture runs the command against an in-memory key-value service.
type cliFixture struct {
	t         *testing.T
	storeAddr string
	store     *bbstore.Mem
	dir       string
}

func newCLIFixture(t *testing.T) *cliFixture {
	t.Helper()
	mem := bbstore.NewMem()
	srv, stop := bbstore.NewServer(mem, 0)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &fasthttp.Server{Handler: srv.Handle}
	go func() { _ = s.Serve(ln) }()
	t.Cleanup(func() {
		stop()
		_ = s.Shutdown()
	})
	return &cliFixture{t: t, storeAddr: ln.Addr().String(), store: mem, dir: t.TempDir()}
}

// run runs the command and returns its exit code, stdout and stderr. Paths in
// stderr are shortened to file names, as the directory differs in every run.
func (f *cliFixture) run(args ...string) (int, string, string) {
	var stdout, stderr bytes.Buffer
	code := Main(append([]string{"--store", f.storeAddr, "--timeout", "3s"}, args...), &stdout, &stderr)
	return code, stdout.String(), strings.ReplaceAll(stderr.String(), f.dir+"/", "")
}

// writeFile writes a file to the fixture's directory and returns its path.
func (f *cliFixture) writeFile(name, body string) string {
	path := filepath.Join(f.dir, name)
	if err := os.WriteFile(path, []byte(body), 0o600); err != nil {
		f.t.Fatal(err)
	}
	return path
}

const keyHash = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const firstTicket = `number: 1
note: first
accounts: [{id: a, keys: ["` + keyHash + `"]}]
budgets: [{id: b, account: a, paid: 1000}]
services: [{id: s, kind: plain, price: {call: 3}}]
targets: [{id: t, service: s, address: "127.0.0.1:9", domain: d}]
`

var timestampPattern = regexp.MustCompile(`20\d\d-\d\d-\d\dT[0-9:.]+Z`)

// TestCommandOutput compares the output of the commands, as tables and as JSON,
// with golden files.
func TestCommandOutput(t *testing.T) {
	f := newCLIFixture(t)
	first := f.writeFile("1.yaml", firstTicket)
	second := f.writeFile("2.yaml", "number: 2\nnote: top-up\nbudgets: [{id: b, account: a, paid: 5000}]\n")
	for _, c := range []struct {
		name string
		args []string
		code int
	}{
		{"check", []string{"ticket", "check", first}, bbcli.ExitOK},
		{"check-second", []string{"ticket", "check", second}, bbcli.ExitFailed},
		{"diff-first", []string{"ticket", "diff", first}, bbcli.ExitOK},
		{"apply", []string{"ticket", "apply", first}, bbcli.ExitOK},
		{"apply-again", []string{"ticket", "apply", first}, bbcli.ExitFailed},
		{"diff", []string{"ticket", "diff", second}, bbcli.ExitOK},
		{"diff-json", []string{"--output", "json", "ticket", "diff", second}, bbcli.ExitOK},
		{"apply-second", []string{"ticket", "apply", second}, bbcli.ExitOK},
		{"list", []string{"ticket", "list"}, bbcli.ExitOK},
		{"show", []string{"ticket", "show"}, bbcli.ExitOK},
		{"show-2", []string{"-o", "json", "ticket", "show", "2"}, bbcli.ExitOK},
		{"show-9", []string{"ticket", "show", "9"}, bbcli.ExitUsage},
		{"budgets", []string{"budget", "show"}, bbcli.ExitOK},
		{"budgets-json", []string{"-o", "json", "budget", "show"}, bbcli.ExitOK},
		{"budget-unknown", []string{"budget", "show", "none"}, bbcli.ExitUsage},
		{"release-unknown", []string{"budget", "release", "b", "nobody"}, bbcli.ExitUsage},
		{"no-file", []string{"ticket", "apply", f.dir + "/none.yaml"}, bbcli.ExitUsage},
		{"bad-output", []string{"-o", "xml", "ticket", "list"}, bbcli.ExitUsage},
		{"status-alone", []string{"status"}, bbcli.ExitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := f.run(c.args...)
			is.Equal(code, c.code)
			got := "stdout:\n" + stdout + "stderr:\n" + stderr
			goldie.New(t).Assert(t, "output/"+c.name, []byte(timestampPattern.ReplaceAllString(got, "TIME")))
		})
	}
}

// TestLowerBudget checks that a budget cannot be lowered below the amount
// drawn, that the refusal names this amount, and that a refused ticket leaves
// no cap on the budget.
func TestLowerBudget(t *testing.T) {
	is := is.New(t)
	f := newCLIFixture(t)
	code, _, _ := f.run("ticket", "apply", f.writeFile("1.yaml", firstTicket))
	is.Equal(code, bbcli.ExitOK)
	writeDrawnPage(t, f.store, "b", 1000, 600)

	code, _, stderr := f.run("ticket", "apply", f.writeFile("2.yaml", "number: 2\nbudgets: [{id: b, account: a, paid: 500}]\n"))
	is.Equal(code, bbcli.ExitFailed)
	is.True(strings.Contains(stderr, "600 tokens"))
	code, _, _ = f.run("ticket", "apply", f.writeFile("3.yaml", "number: 7\nbudgets: [{id: b, account: a, paid: 700}]\n"))
	is.Equal(code, bbcli.ExitFailed) // number 7 is not the next ticket number
	list, err := bbledger.ListBudgets(context.Background(), f.store)
	is.NoErr(err)
	is.Equal(list[0].Capped, false)
	is.Equal(list[0].Remaining, list[0].Paid-600)

	code, _, stderr = f.run("ticket", "apply", f.writeFile("4.yaml", "number: 2\nbudgets: [{id: b, account: a, paid: 700}]\n"))
	is.Equal(stderr, "ticket 2 is accepted\n")
	is.Equal(code, bbcli.ExitOK)
	list, err = bbledger.ListBudgets(context.Background(), f.store)
	is.NoErr(err)
	is.Equal(int64(list[0].Remaining), int64(100))
}

// TestStoreDown checks that a command fails with a message and exit code 1 if
// the key-value service cannot be reached.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	var stdout, stderr bytes.Buffer
	code := Main([]string{"--store", "127.0.0.1:1", "--timeout", "2s", "ticket", "list"}, &stdout, &stderr)
	is.Equal(code, bbcli.ExitFailed)
	is.True(strings.Contains(stderr.String(), "key-value service unavailable"))
}

// writeDrawnPage stores a budget page on which one holder has drawn from the
// budget.
func writeDrawnPage(t *testing.T, store *bbstore.Mem, b bbunit.BudgetID, paid, drawn int64) {
	t.Helper()
	page, err := bbledger.EncodePage(&bbwire.Page{Entries: []*bbwire.Entry{{
		Budget: string(b), Paid: paid, Number: 1,
		Holders: []*bbwire.Holder{{Holder: "i1/1/1", Instance: "i1", Domain: "d", Drawn: drawn, Seq: 1}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := store.CAS(context.Background(), bbledger.PageKey(bbledger.PageOf(b)), page, 0, 0); err != nil {
		t.Fatal(err)
	}
}
