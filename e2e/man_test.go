package bbe2e

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestManPages checks that the committed man pages equal the output of
// --help-man, so that each flag, command and argument is documented with its
// default and help.
func TestManPages(t *testing.T) {
	for _, prog := range []string{"bluebellport", "bluebellctl", "bluebellstand"} {
		t.Run(prog, func(t *testing.T) {
			is := is.New(t)
			page, err := os.ReadFile(filepath.Join("..", "man", prog+".1"))
			is.NoErr(err) // to create the page: make man
			out, code := runProgram(t, prog, "--help-man")
			is.Equal(code, 0)
			is.Equal(withoutTitleLine(string(page)), withoutTitleLine(out)) // to update the page: make man
		})
	}
}

// withoutTitleLine returns a man page without its first line, which has the
// version.
func withoutTitleLine(page string) string {
	_, rest, _ := strings.Cut(page, "\n")
	return rest
}
