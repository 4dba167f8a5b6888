package bbe2e

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestManPages compares the committed man pages with the programs' own: each
// flag, command and argument must stand there with its default and help.
func TestManPages(t *testing.T) {
	for _, prog := range []string{"bluebellport", "bluebellctl", "bluebellstand"} {
		t.Run(prog, func(t *testing.T) {
			is := is.New(t)
			page, err := os.ReadFile(filepath.Join("..", "man", prog+".1"))
			is.NoErr(err) // run make man
			out, code := runProgram(t, prog, "--help-man")
			is.Equal(code, 0)
			is.Equal(withoutTitleLine(string(page)), withoutTitleLine(out)) // run make man
		})
	}
}

// withoutTitleLine is a man page without its first line, which names the version.
func withoutTitleLine(page string) string {
	_, rest, _ := strings.Cut(page, "\n")
	return rest
}
