package bbport

import (
	"bytes"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"bluebellport.example/shared/bbcli"
)

// TestInvalidSettings compares the messages about invalid settings with golden
// files. All invalid settings are reported at once, and the exit code is 2.
func TestInvalidSettings(t *testing.T) {
	valid := []string{"serve", "--instance", "i", "--domain", "d", "--store", "127.0.0.1:1", "--list", "127.0.0.1:2"}
	for name, args := range map[string][]string{
		"nothing":   {"serve"},
		"addresses": {"serve", "--instance", "i", "--domain", "d", "--store", "here", "--listen", "nowhere", "--admin=", "--list", "x"},
		"times":     append(valid, "--drain", "0s", "--timeout=-1s", "--silence", "0s", "--linger", "2m"),
		"units":     append(valid, "--drain", "soon", "--max-body", "big", "--linger=-1s"),
		"level":     append(valid, "--log-level", "loud"),
		"body":      append(valid, "--max-body=-1"),
		"tls":       append(valid, "--tls-cert", "only.pem"),
		"unknown":   append(valid, "--colour", "red"),
		"command":   {"dance"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var out, errs bytes.Buffer
			is.Equal(Main(args, &out, &errs), bbcli.ExitUsage)
			goldie.New(t).Assert(t, "settings/"+name, errs.Bytes())
		})
	}
}

func TestEnvironment(t *testing.T) {
	is := is.New(t)
	t.Setenv("BLUEBELLPORT_STORE", "not-an-address")
	t.Setenv("BLUEBELLPORT_INSTANCE", "i")
	var out, errs bytes.Buffer
	is.Equal(Main([]string{"serve", "--domain", "d"}, &out, &errs), bbcli.ExitUsage)
	is.True(strings.Contains(errs.String(), `--store: not host:port: "not-an-address"`))
	is.True(!strings.Contains(errs.String(), "--instance"))
}

func TestHelpAndVersion(t *testing.T) {
	is := is.New(t)
	for _, args := range [][]string{{"--help"}, {"serve", "--help"}, {"--version"}} {
		var out, errs bytes.Buffer
		is.Equal(Main(args, &out, &errs), bbcli.ExitOK)
	}
}
