package bbcli

import (
	"bytes"
	"fmt"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/matryer/is"
)

func newApp(out *bytes.Buffer) (*kingpin.Application, func() []string) {
	app := New("prog", "A program.", out, out)
	run := app.Command("run", "Run.")
	var d time.Duration
	var n int
	run.Flag("wait", "Wait.").Envar("BBCLI_TEST_WAIT").Default("1s").DurationVar(&d)
	run.Flag("count", "Count.").Default("1").IntVar(&n)
	return app, func() []string {
		var messages []string
		if d <= 0 {
			messages = append(messages, fmt.Sprintf("--wait: must be above 0, is %s", d))
		}
		if n <= 0 {
			messages = append(messages, fmt.Sprintf("--count: must be above 0, is %d", n))
		}
		return messages
	}
}

func TestParse(t *testing.T) {
	for name, c := range map[string]struct {
		args []string
		env  string
		want string
		code int
		ok   bool
	}{
		"valid":                          {[]string{"run", "--wait", "2s"}, "", "", ExitOK, true},
		"two-invalid-values":             {[]string{"run", "--wait", "soon", "--count", "many"}, "", "prog: --wait: \"soon\": invalid duration \"soon\"\nprog: --count: \"many\": strconv.ParseFloat: parsing \"many\": invalid syntax\n", ExitUsage, false},
		"invalid-value-and-failed-check": {[]string{"run", "--wait", "soon", "--count=-1"}, "", "prog: --wait: \"soon\": invalid duration \"soon\"\nprog: --count: must be above 0, is -1\n", ExitUsage, false},
		"invalid-environment-variable":   {[]string{"run"}, "never", "prog: --wait: \"never\": invalid duration \"never\"\n", ExitUsage, false},
		"unknown-flag":                   {[]string{"run", "--colour"}, "", "prog: unknown long flag '--colour'\n", ExitUsage, false},
		"no-arguments":                   {nil, "", "", ExitUsage, false},
		"help":                           {[]string{"run", "--help"}, "", "", ExitOK, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			if c.env != "" {
				t.Setenv("BBCLI_TEST_WAIT", c.env)
			}
			var out, errs bytes.Buffer
			app, check := newApp(&out)
			cmd, code, ok := Parse(app, c.args, &errs, check)
			is.Equal(errs.String(), c.want)
			is.Equal(code, c.code)
			is.Equal(ok, c.ok)
			is.Equal(cmd == "run", c.ok)
		})
	}
}
