package bbe2e

import (
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"testing"
)

var (
	allFaults      = flag.Bool("faults", false, "run all cases of TestFaults, not only the short ones")
	benchProcesses = flag.Bool("bench-processes", false, "run the benchmarks that start processes")
)

// binDir is the directory that the programs are built into.
var binDir string

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(buildAndRun(m))
}

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "bbe2e")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binDir = dir
	build := exec.Command("go", "build", "-o", dir, "./bluebellport", "./bluebellctl", "./bluebellstand")
	build.Dir = ".."
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "build: %s\n%s", err, out)
		return 1
	}
	return m.Run()
}

// programPath returns the path of a built program.
func programPath(name string) string { return filepath.Join(binDir, name) }
