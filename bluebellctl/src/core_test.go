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

// desk is an operator's place: a key-value service and the command.
type desk struct {
	t    *testing.T
	addr string
	mem  *bbstore.Mem
	dir  string
}

func newDesk(t *testing.T) *desk {
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
	return &desk{t: t, addr: ln.Addr().String(), mem: mem, dir: t.TempDir()}
}

// run runs the command and returns its exit code and outputs.
func (d *desk) run(args ...string) (int, string, string) {
	var out, errs bytes.Buffer
	code := Main(append([]string{"--store", d.addr, "--timeout", "3s"}, args...), &out, &errs)
	return code, out.String(), strings.ReplaceAll(errs.String(), d.dir+"/", "")
}

func (d *desk) file(name, body string) string {
	p := filepath.Join(d.dir, name)
	if err := os.WriteFile(p, []byte(body), 0o600); err != nil {
		d.t.Fatal(err)
	}
	return p
}

const keyHash = "sha256:0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef"

const firstTicket = `number: 1
note: first
accounts: [{id: a, keys: ["` + keyHash + `"]}]
budgets: [{id: b, account: a, paid: 1000}]
services: [{id: s, kind: plain, price: {call: 3}}]
targets: [{id: t, service: s, address: "127.0.0.1:9", domain: d}]
`

var stamp = regexp.MustCompile(`20\d\d-\d\d-\d\dT[0-9:.]+Z`)

// TestOutputs holds what the commands print, for people and for programs.
func TestOutputs(t *testing.T) {
	d := newDesk(t)
	first := d.file("1.yaml", firstTicket)
	second := d.file("2.yaml", "number: 2\nnote: top-up\nbudgets: [{id: b, account: a, paid: 5000}]\n")
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
		{"no-file", []string{"ticket", "apply", d.dir + "/none.yaml"}, bbcli.ExitUsage},
		{"bad-output", []string{"-o", "xml", "ticket", "list"}, bbcli.ExitUsage},
		{"status-alone", []string{"status"}, bbcli.ExitUsage},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			code, out, errs := d.run(c.args...)
			is.Equal(code, c.code)
			got := "stdout:\n" + out + "stderr:\n" + errs
			goldie.New(t).Assert(t, "output/"+c.name, []byte(stamp.ReplaceAllString(got, "TIME")))
		})
	}
}

// TestLowering: a budget cannot be lowered below what is drawn, the refusal
// names the figure, and a refused ticket leaves no cap behind.
func TestLowering(t *testing.T) {
	is := is.New(t)
	d := newDesk(t)
	code, _, _ := d.run("ticket", "apply", d.file("1.yaml", firstTicket))
	is.Equal(code, bbcli.ExitOK)
	drawAll(t, d.mem, "b", 1000, 600)

	code, _, errs := d.run("ticket", "apply", d.file("2.yaml", "number: 2\nbudgets: [{id: b, account: a, paid: 500}]\n"))
	is.Equal(code, bbcli.ExitFailed)
	is.True(strings.Contains(errs, "600 tokens"))
	code, _, _ = d.run("ticket", "apply", d.file("3.yaml", "number: 7\nbudgets: [{id: b, account: a, paid: 700}]\n"))
	is.Equal(code, bbcli.ExitFailed) // another number
	list, err := bbledger.ListBudgets(context.Background(), d.mem)
	is.NoErr(err)
	is.Equal(list[0].Capped, false)
	is.Equal(list[0].Remaining, list[0].Paid-600)

	code, _, errs = d.run("ticket", "apply", d.file("4.yaml", "number: 2\nbudgets: [{id: b, account: a, paid: 700}]\n"))
	is.Equal(errs, "ticket 2 is accepted\n")
	is.Equal(code, bbcli.ExitOK)
	list, err = bbledger.ListBudgets(context.Background(), d.mem)
	is.NoErr(err)
	is.Equal(int64(list[0].Remaining), int64(100))
}

// TestStoreDown: commands end with a message and exit code 1.
func TestStoreDown(t *testing.T) {
	is := is.New(t)
	var out, errs bytes.Buffer
	code := Main([]string{"--store", "127.0.0.1:1", "--timeout", "2s", "ticket", "list"}, &out, &errs)
	is.Equal(code, bbcli.ExitFailed)
	is.True(strings.Contains(errs.String(), "key-value service unavailable"))
}

// drawAll writes a page as if a holder had drawn from the budget.
func drawAll(t *testing.T, mem *bbstore.Mem, b bbunit.BudgetID, paid, drawn int64) {
	t.Helper()
	v, err := bbledger.EncodePage(&bbwire.Page{Entries: []*bbwire.Entry{{
		Budget: string(b), Paid: paid, Number: 1,
		Holders: []*bbwire.Holder{{Holder: "i1/1/1", Instance: "i1", Domain: "d", Drawn: drawn, Seq: 1}},
	}}})
	if err != nil {
		t.Fatal(err)
	}
	if _, err := mem.CAS(context.Background(), bbledger.PageKey(bbledger.PageOf(b)), v, 0, 0); err != nil {
		t.Fatal(err)
	}
}
