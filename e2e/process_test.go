package bbe2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"bluebellport.example/shared/bbserve"
)

const (
	readyTimeout = 15 * time.Second
	stopTimeout  = 30 * time.Second
)

// process is one started program; its output goes to the file logPath.
type process struct {
	t       *testing.T
	name    string
	cmd     *exec.Cmd
	logPath string
	done    chan struct{}
	// killed reports that the test killed the process, so that no exit code is
	// expected.
	killed bool
}

// startProcess starts a program. It is killed at the end of the test if it is
// still running then.
func startProcess(t *testing.T, name, prog string, args ...string) *process {
	t.Helper()
	return startProcessWith(t, nil, name, prog, args...)
}

// startProcessWith is startProcess with additional environment variables.
func startProcessWith(t *testing.T, env []string, name, prog string, args ...string) *process {
	t.Helper()
	p := &process{t: t, name: name, cmd: exec.Command(programPath(prog), args...), done: make(chan struct{})}
	p.cmd.Env = append(os.Environ(), env...)
	p.logPath = filepath.Join(t.TempDir(), "log")
	f, err := os.Create(p.logPath)
	if err != nil {
		t.Fatal(err)
	}
	p.cmd.Stdout, p.cmd.Stderr = f, f
	if err := p.cmd.Start(); err != nil {
		t.Fatal(err)
	}
	go func() {
		_ = p.cmd.Wait()
		_ = f.Close()
		close(p.done)
	}()
	t.Cleanup(p.kill)
	return p
}

// signal sends a signal to the process.
func (p *process) signal(s syscall.Signal) { _ = p.cmd.Process.Signal(s) }

// kill sends SIGKILL, so that the process cannot clean up, and waits for its
// end.
func (p *process) kill() {
	p.killed = true
	p.signal(syscall.SIGKILL)
	<-p.done
}

// hasExited reports whether the process has ended.
func (p *process) hasExited() bool {
	select {
	case <-p.done:
		return true
	default:
		return false
	}
}

// stop sends SIGTERM and checks that the process exits with 0 within
// stopTimeout.
func (p *process) stop() {
	p.t.Helper()
	p.signal(syscall.SIGTERM)
	select {
	case <-p.done:
	case <-time.After(stopTimeout):
		p.t.Errorf("%s did not stop within %s\n%s", p.name, stopTimeout, p.logTail())
		p.kill()
		return
	}
	if code := p.cmd.ProcessState.ExitCode(); code != 0 {
		p.t.Errorf("%s exited with %d\n%s", p.name, code, p.logTail())
	}
}

// logTail returns the last 20 lines of the log.
func (p *process) logTail() string {
	b, _ := os.ReadFile(p.logPath)
	lines := strings.Split(string(b), "\n")
	return strings.Join(lines[max(0, len(lines)-20):], "\n")
}

// linesOf returns the lines of the log that name a request.
func (p *process) linesOf(attemptID string) string {
	b, _ := os.ReadFile(p.logPath)
	out := ""
	for line := range strings.SplitSeq(string(b), "\n") {
		if strings.Contains(line, fmt.Sprintf("%q", attemptID)) {
			out += "\n" + line
		}
	}
	return out
}

// runProgram runs a program until it exits, and returns its output and exit
// code.
func runProgram(t *testing.T, prog string, args ...string) (string, int) {
	t.Helper()
	c := exec.Command(programPath(prog), args...)
	out, err := c.CombinedOutput()
	if c.ProcessState == nil {
		t.Fatal(err)
	}
	return string(out), c.ProcessState.ExitCode()
}

// freeAddress returns a loopback address that nothing listens on and that was
// not returned before.
func freeAddress(t *testing.T) string {
	t.Helper()
	address, err := bbserve.FreeAddress()
	if err != nil {
		t.Fatal(err)
	}
	return address
}

// waitUntilOK waits until GET path returns 200, at most readyTimeout.
func waitUntilOK(t *testing.T, address, path string) {
	t.Helper()
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		r, err := http.Get("http://" + address + path)
		if err != nil {
			continue
		}
		_ = r.Body.Close()
		if r.StatusCode == http.StatusOK {
			return
		}
	}
	t.Fatalf("http://%s%s was not ready within %s", address, path, readyTimeout)
}

// getJSON decodes the JSON answer to GET path into out.
func getJSON(t *testing.T, address, path string, out any) {
	t.Helper()
	r, err := http.Get("http://" + address + path)
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	if err := json.NewDecoder(r.Body).Decode(out); err != nil {
		t.Fatalf("http://%s%s: %s", address, path, err)
	}
}

// postJSON sends in as JSON with POST path, which must return 200.
func postJSON(t *testing.T, address, path string, in any) {
	t.Helper()
	b, err := json.Marshal(in)
	if err != nil {
		t.Fatal(err)
	}
	r, err := http.Post("http://"+address+path, "application/json", bytes.NewReader(b))
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Body.Close() }()
	if r.StatusCode != http.StatusOK {
		text, _ := io.ReadAll(r.Body)
		t.Fatal(fmt.Sprintf("http://%s%s: %d %s", address, path, r.StatusCode, text))
	}
}
