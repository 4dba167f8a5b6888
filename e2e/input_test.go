package bbe2e

import (
	"encoding/json"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestBadSettings checks that a program with invalid arguments exits with 2 and
// names each of them.
func TestBadSettings(t *testing.T) {
	cases := []struct {
		prog string
		args string
		want []string
	}{
		{"bluebellport", "serve", []string{"--instance:", "--domain:", "--store:"}},
		{"bluebellport", "serve --instance a --domain d --store s --listen l --drain soon --max-body 0", []string{"--store:", `"s"`, "--listen:", `"l"`, "--drain:", "soon", "--max-body:"}},
		{"bluebellport", "serve --instance a --domain d --store h:1 --preset x --peer 0.0.0.0:1", []string{"--preset:", `"x"`, "--peer-advertise:"}},
		{"bluebellport", "serve --bogus", []string{"--bogus"}},
		{"bluebellport", "bogus", []string{"bogus"}},
		{"bluebellctl", "--store x --timeout=-1s --output z budget show", []string{"--store:", "--timeout:", "--output:"}},
		{"bluebellctl", "ticket apply", []string{"file"}},
		{"bluebellctl", "ticket apply no-such-file.yaml", []string{"no-such-file.yaml"}},
		{"bluebellctl", "status", []string{"--admin"}},
		{"bluebellstand", "engine --slots 0 --listen x --interval soon", []string{"--slots:", "--listen:", "--interval:"}},
		{"bluebellstand", "load", []string{"--instance:", "--key:", "--service:"}},
	}
	for _, c := range cases {
		t.Run(c.prog+" "+c.args, func(t *testing.T) {
			is := is.New(t)
			out, code := runProgram(t, c.prog, strings.Fields(c.args)...)
			is.Equal(code, 2)
			for _, w := range c.want {
				if !strings.Contains(out, w) {
					t.Errorf("%q is not in the output:\n%s", w, out)
				}
			}
		})
	}
}

// TestBadTickets checks that bluebellctl refuses invalid tickets with an error
// that names the fault, and that instances keep the ticket that they have.
func TestBadTickets(t *testing.T) {
	f := startFleet(t, smallFleetOptions())
	good, err := os.ReadFile(f.writeTicket(f.nextTicket()))
	is.New(t).NoErr(err)
	cases := []struct {
		name, text string
		want       []string
	}{
		{"not YAML", "number: [", nil},
		{"unknown field", "number: 2\nbugets: []\n", []string{"bugets", "2:1"}},
		{"unknown field inside", "number: 2\nbudgets:\n  - {id: b, account: norra, payd: 1}\n", []string{"payd", "3:"}},
		{"old number", strings.Replace(string(good), "number: 2", "number: 1", 1), []string{"1"}},
		{"number too high", strings.Replace(string(good), "number: 2", "number: 9", 1), []string{"9"}},
		{"negative amount", "number: 2\nbudgets:\n  - {id: b, account: norra, paid: -1}\n", []string{"paid", "-1"}},
		{"amount too large", "number: 2\nbudgets:\n  - {id: b, account: norra, paid: 99999999999999999999}\n", []string{"paid"}},
		{"unknown account", "number: 2\nbudgets:\n  - {id: b, account: nobody, paid: 1}\n", []string{"nobody"}},
		{"unknown service", "number: 2\ntargets:\n  - {id: x, service: nothing, address: \"127.0.0.1:1\", domain: d}\n", []string{"nothing"}},
		{"bad address", "number: 2\ntargets:\n  - {id: x, service: closure-desk, address: nowhere, domain: d}\n", []string{"nowhere"}},
		{"bad kind", "number: 2\nservices:\n  - {id: s, kind: magic}\n", []string{"magic"}},
		{"bad key", "number: 2\naccounts:\n  - {id: a, keys: [secret]}\n", []string{"key must be sha256"}},
		{"duplicate budget", "number: 2\nbudgets:\n  - {id: b, account: norra, paid: 1}\n  - {id: b, account: norra, paid: 2}\n", []string{"b"}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			path := filepath.Join(t.TempDir(), "ticket.yaml")
			is := is.New(t)
			is.NoErr(os.WriteFile(path, []byte(c.text), 0o600))
			out, code := runProgram(t, "bluebellctl", "--store", f.storeAddress, "ticket", "apply", path)
			is.True(code == 1 || code == 2)
			for _, w := range c.want {
				if !strings.Contains(out, w) {
					t.Errorf("%q is not in the output:\n%s", w, out)
				}
			}
		})
	}
	for _, inst := range f.instances {
		var s instanceStatus
		getJSON(t, inst.admin, "/status", &s)
		if s.Number != 1 {
			t.Errorf("%s has ticket %d in force after invalid ones, not 1", inst.id, s.Number)
		}
	}
	f.applyTicket(f.nextTicket())
	f.stop()
}

// problemDetails is the part of a refusal's body that the tests read.
type problemDetails struct {
	Status  int    `json:"status"`
	Title   string `json:"title"`
	Detail  string `json:"detail"`
	Outcome string `json:"outcome"`
}

// TestBadRequests checks the status, the outcome and the details of the answers
// to invalid requests, and that the instance serves valid ones afterwards.
func TestBadRequests(t *testing.T) {
	f := startFleet(t, smallFleetOptions())
	const chat = "/v1/chat/completions"
	key := f.accounts[0].key
	ok := `{"model":"permit-assist","messages":[{"role":"user","content":"hello"}]}`
	cases := []struct {
		name, method, path, key, id, body string
		status                            int
		want                              string
	}{
		{"no key", "POST", chat, "", "", ok, 401, ""},
		{"unknown key", "POST", chat, "stolen", "", ok, 401, ""},
		{"not JSON", "POST", chat, key, "", "{", 400, ""},
		{"empty", "POST", chat, key, "", "", 400, ""},
		{"no model", "POST", chat, key, "", `{"messages":[{"role":"user","content":"x"}]}`, 0, "model"},
		{"unknown model", "POST", chat, key, "", `{"model":"other","messages":[{"role":"user","content":"x"}]}`, 404, "other"},
		{"plain service as model", "POST", chat, key, "", `{"model":"closure-desk","messages":[{"role":"user","content":"x"}]}`, 0, ""},
		{"no messages", "POST", chat, key, "", `{"model":"permit-assist"}`, 400, "messages"},
		{"negative max_tokens", "POST", chat, key, "", strings.Replace(ok, "}]}", `}],"max_tokens":-1}`, 1), 400, "max_tokens"},
		{"huge max_tokens", "POST", chat, key, "", strings.Replace(ok, "}]}", `}],"max_tokens":9223372036854775807}`, 1), 400, "max_tokens"},
		{"id too long", "POST", chat, key, strings.Repeat("x", 300), ok, 400, ""},
		{"body too large", "POST", chat, key, "", `{"model":"` + strings.Repeat("x", 3<<19) + `"}`, 413, ""},
		{"unknown service", "GET", "/services/nothing/x", key, "", "", 404, "nothing"},
		{"unknown path", "GET", "/nowhere", key, "", "", 404, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			status, p := sendRequest(t, f.instances[0], c.method, c.path, c.key, c.id, c.body)
			if c.status == 0 && (status < 400 || status > 499) || c.status != 0 && status != c.status {
				t.Errorf("status %d, not %d: %+v", status, c.status, p)
			}
			if p.Outcome != "not-run" {
				t.Errorf("outcome %q: %+v", p.Outcome, p)
			}
			if !strings.Contains(p.Title+p.Detail, c.want) {
				t.Errorf("%q is not in %+v", c.want, p)
			}
		})
	}
	t.Run("id reused with another body", func(t *testing.T) {
		is := is.New(t)
		status, _ := sendRequest(t, f.instances[0], "POST", "/services/closure-desk/x", key, "id-1", "one")
		is.Equal(status, 200)
		for _, inst := range f.instances {
			status, p := sendRequest(t, inst, "POST", "/services/closure-desk/x", key, "id-1", "two")
			is.Equal(status, 409)
			is.Equal(p.Outcome, "not-run")
		}
	})
	t.Run("generated id is returned", func(t *testing.T) {
		is := is.New(t)
		r, err := http.NewRequest("POST", "http://"+f.instances[0].listen+"/services/closure-desk/y", strings.NewReader("x"))
		is.NoErr(err)
		r.Header.Set("Authorization", "Bearer "+key)
		resp, err := http.DefaultClient.Do(r)
		is.NoErr(err)
		is.NoErr(resp.Body.Close())
		is.Equal(resp.StatusCode, 200)
		is.True(resp.Header.Get("Idempotency-Key") != "")
	})
	status, _ := sendRequest(t, f.instances[0], "POST", chat, key, "", ok)
	is.New(t).Equal(status, 200) // the instance still serves
	f.stop()
}

// sendRequest sends a request and returns the status and, for a refusal, the
// problem details.
func sendRequest(t *testing.T, inst *instance, method, path, key, id, body string) (int, problemDetails) {
	t.Helper()
	is := is.New(t)
	r, err := http.NewRequest(method, "http://"+inst.listen+path, strings.NewReader(body))
	is.NoErr(err)
	if key != "" {
		r.Header.Set("Authorization", "Bearer "+key)
	}
	if id != "" {
		r.Header.Set("Idempotency-Key", id)
	}
	resp, err := http.DefaultClient.Do(r)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	b, err := io.ReadAll(resp.Body)
	is.NoErr(err)
	var p problemDetails
	if resp.StatusCode != http.StatusOK {
		if got := resp.Header.Get("Content-Type"); got != "application/problem+json" {
			t.Errorf("content type %q: %s", got, b)
		}
		_ = json.Unmarshal(b, &p)
	}
	return resp.StatusCode, p
}
