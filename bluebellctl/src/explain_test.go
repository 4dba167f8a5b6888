package bbctl

import (
	"bytes"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/sebdah/goldie/v2"

	"bluebellport.example/shared/bbcli"
)

const (
	logOne = "testdata/explain-one.log"
	logTwo = "testdata/explain-two.log"
)

// TestExplain checks that the timeline of a request covers all instances, shows
// the state that each of them had at the time, and does not depend on the order
// of the log files.
func TestExplain(t *testing.T) {
	f := newCLIFixture(t)
	for _, request := range []string{"r1", "r2", "r3", "r4", "r5", "r7", "r8"} {
		t.Run(request, func(t *testing.T) {
			is := is.New(t)
			code, stdout, stderr := f.run("explain", request, logTwo, logOne)
			is.Equal(code, bbcli.ExitOK)
			is.Equal(stderr, "22 lines read, 2 of them not of an instance\n")
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "explain-"+request, []byte(stdout))
			_, swapped, _ := f.run("explain", request, logOne, logTwo)
			is.Equal(swapped, stdout)
		})
	}
}

// TestExplainStop checks that a request that was refused or ended in a planned stop
// is told with what decided it.
func TestExplainStop(t *testing.T) {
	f := newCLIFixture(t)
	for _, request := range []string{"s1", "s2", "s3"} {
		t.Run(request, func(t *testing.T) {
			code, stdout, _ := f.run("explain", request, "testdata/explain-stop.log")
			is.New(t).Equal(code, bbcli.ExitOK)
			goldie.New(t, goldie.WithFixtureDir("testdata")).Assert(t, "explain-"+request, []byte(stdout))
		})
	}
}

// TestExplainNamesSearchedFiles checks that an error names the files that were
// searched without result, or the file that cannot be read.
func TestExplainNamesSearchedFiles(t *testing.T) {
	is := is.New(t)
	f := newCLIFixture(t)
	code, _, stderr := f.run("explain", "r9", logOne, logTwo)
	is.Equal(code, bbcli.ExitUsage)
	is.True(strings.Contains(stderr, `no line of "r9" in `+logOne+", "+logTwo+" (22 lines read, 2 of them not of an instance)"))
	code, _, stderr = f.run("explain", "r1", "testdata/none.log")
	is.Equal(code, bbcli.ExitUsage)
	is.True(strings.Contains(stderr, "none.log"))
}

// TestExplainStandardInput checks that standard input is read if no files are
// given, and that the state of an instance from before its restart is not shown
// for a request after it.
func TestExplainStandardInput(t *testing.T) {
	is := is.New(t)
	firstRun, err := os.ReadFile(logOne)
	is.NoErr(err)
	restart := `{"event":"start","instance":"edge-a-1","msg":"serving","time":"2026-12-04T01:01:00Z"}
{"after":0.5,"instance":"edge-a-1","msg":"refused","reason":"nothing is in force here yet","request":"r6","status":503,"time":"2026-12-04T01:01:01Z"}
`
	var stdout, stderr bytes.Buffer
	e := &env{opts: &Options{Output: formatJSON}, stdin: strings.NewReader(string(firstRun) + restart), stdout: &stdout, stderr: &stderr}
	is.NoErr(explain(e, "r6", nil))
	is.True(strings.Contains(stdout.String(), "nothing is in force here yet"))
	is.True(!strings.Contains(stdout.String(), "plan in force"))
}
