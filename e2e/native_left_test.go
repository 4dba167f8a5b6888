package bbe2e

import (
	"fmt"
	"io"
	"net"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// leftCallers is how many callers leave before the instance has read their requests.
const leftCallers = 60

// TestNativeInstanceSendsNothingForCallersThatHaveLeft guards against an instance
// that has fallen behind and sends requests on whose callers have left meanwhile:
// it reads them late, and would count their time from then.
func TestNativeInstanceSendsNothingForCallersThatHaveLeft(t *testing.T) {
	is := is.New(t)
	f := newNativeFleet(t, "uppsala")
	inst := f.instances[0]
	status, _ := f.call(inst, "/book/1")
	is.Equal(status, 200)
	inst.signal(syscall.SIGSTOP)
	for i := range leftCallers {
		c, err := net.Dial("tcp4", inst.callerAddress)
		is.NoErr(err)
		path := []string{"/book/1", "/draft/1"}[i%2]
		_, err = fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: left-%d\r\nCredential: %s\r\nDeadline-Ms: 1000\r\nToken-Usage: %d,%d\r\nContent-Length: 4\r\n\r\nbody",
			path, nativeHost, i, nativeKey, nativePromptTokens, nativeStride)
		is.NoErr(err)
		is.NoErr(c.Close())
	}
	time.Sleep(100 * time.Millisecond)
	inst.signal(syscall.SIGCONT)
	time.Sleep(time.Second)
	sent := 0
	for _, target := range f.targets {
		for _, e := range target.Executions() {
			if len(e.AttemptID) > 5 && e.AttemptID[:5] == "left-" {
				sent++
			}
		}
	}
	t.Logf("%d of %d requests were sent on after their callers had left", sent, leftCallers)
	is.Equal(sent, 0)
	status, _ = f.call(inst, "/book/1")
	is.Equal(status, 200)
}

// TestNativeInstanceAnswersPipelinedRequests guards against requests that are taken
// for those of a caller that has left, as it has sent its last one early.
func TestNativeInstanceAnswersPipelinedRequests(t *testing.T) {
	is := is.New(t)
	f := newNativeFleet(t, "uppsala")
	c, err := net.Dial("tcp4", f.instances[0].callerAddress)
	is.NoErr(err)
	defer func() { _ = c.Close() }()
	for i := range 3 {
		_, err = fmt.Fprintf(c, "POST /book/1 HTTP/1.1\r\nHost: %s\r\nAttempt-Id: piped-%d\r\nCredential: %s\r\nDeadline-Ms: 1000\r\nContent-Length: 4\r\n%s\r\nbody", nativeHost, i, nativeKey, []string{"", "", "Connection: close\r\n"}[i])
		is.NoErr(err)
	}
	text, err := io.ReadAll(c)
	is.NoErr(err)
	for i := range 3 {
		is.True(strings.Contains(string(text), fmt.Sprintf("Attempt-Id: piped-%d\r\n", i)))
	}
}
