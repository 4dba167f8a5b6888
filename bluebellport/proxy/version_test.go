package bbproxy

import (
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	bbplatformstand "bluebellport.example/platform/stand"
)

const (
	// versionStreams is how many streams are begun.
	versionStreams = 40
	// maxMixedStreams is how many streams may hold events of two software versions.
	maxMixedStreams = 2
	// versionEvents is how many events a stream has.
	versionEvents = 12
)

// versionPlay is a service with two targets each of two software versions.
type versionPlay struct {
	*harness
	targets  map[string]*bbplatformstand.Target
	versions map[string]string // by target
	// takenUp counts the streams that were taken up, wentOn and mixed those that went
	// on and those with events of two versions.
	takenUp, wentOn, mixed int
}

func newVersionPlay(t *testing.T) *versionPlay {
	p := &versionPlay{harness: newHarness(t, 1000000), targets: map[string]*bbplatformstand.Target{}, versions: map[string]string{"a1": "v1", "a2": "v1", "b1": "v1.1", "b2": "v1.1"}}
	for id, version := range p.versions {
		p.targets[id] = p.startTarget(bbplatformstand.TargetOptions{ID: id, Service: "llm", Engine: true, EventCount: versionEvents, Pause: 2 * time.Millisecond, Version: version})
	}
	p.start()
	return p
}

// restart ends the only instance and starts it again: what it remembered is lost.
func (p *versionPlay) restart() {
	p.t.Helper()
	p.stop()
	is.New(p.t).NoErr(<-p.serveErr)
	p.serveErr <- nil // for the clean-up
	p.start()
}

// versionsOf returns the versions of the targets that ran one of some attempts.
func (p *versionPlay) versionsOf(attempts ...string) []string {
	var versions []string
	for id, target := range p.targets {
		for _, e := range target.Executions() {
			if slices.Contains(attempts, e.AttemptID) && !slices.Contains(versions, p.versions[id]) {
				versions = append(versions, p.versions[id])
			}
		}
	}
	return versions
}

// beginStream sends a request with a stream for an answer, reads some of its events
// and leaves. It returns the attempt's id and the last event read.
func (p *versionPlay) beginStream(number, events int) (attempt string, last int) {
	is := is.New(p.t)
	attempt = fmt.Sprintf("begun-%d", number)
	r, err := http.NewRequest("POST", "http://"+p.settings.FrontendAddress+"/draft/1", strings.NewReader("prompt"))
	is.NoErr(err)
	r.Host = testHost
	r.Header.Set(bbplatform.HeaderAttemptID, attempt)
	r.Header.Set(bbplatform.HeaderAPIKey, testKey)
	r.Header.Set(bbplatform.HeaderTokenUsage, "100,120")
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	resp, err := transport.RoundTrip(r)
	is.NoErr(err)
	defer func() { _ = resp.Body.Close() }()
	var text strings.Builder
	for strings.Count(text.String(), eventEnd) < events {
		buf := make([]byte, 256)
		n, err := resp.Body.Read(buf)
		text.Write(buf[:n])
		if err == io.EOF {
			break
		}
		is.NoErr(err)
	}
	ids := strings.Fields(eventIDs(text.String()[:strings.LastIndex(text.String(), eventEnd)+len(eventEnd)]))
	last, err = strconv.Atoi(ids[len(ids)-1])
	is.NoErr(err)
	return attempt, last
}

// follow takes a stream up and counts what became of it.
func (p *versionPlay) follow(attempt string, last int) {
	p.takenUp++
	if r := p.takeUp(last, bbplatform.HeaderResumes, attempt); r.err == nil && r.status == http.StatusOK {
		p.wentOn++
	}
	if len(p.versionsOf(attempt, fmt.Sprintf("attempt-%d", p.calls))) > 1 {
		p.mixed++
	}
}

// checkTakenUp checks that nearly all streams went on, and at the version that began
// them.
func (p *versionPlay) checkTakenUp() {
	is := is.New(p.t)
	p.t.Logf("%d streams taken up, %d went on, %d with events of two versions", p.takenUp, p.wentOn, p.mixed)
	is.Equal(p.takenUp, versionStreams)
	is.True(p.mixed <= maxMixedStreams)
	is.True(10*p.wentOn >= 9*p.takenUp)
}

// TestStreamGoesOnOnlyAtTheVersionThatBeganIt guards against streams whose events two
// software versions have written, and against streams that could go on and do not.
func TestStreamGoesOnOnlyAtTheVersionThatBeganIt(t *testing.T) {
	t.Run("in one answer", func(t *testing.T) {
		is := is.New(t)
		p := newVersionPlay(t)
		for _, target := range p.targets {
			target.SetFault(bbplatformstand.FaultBegunTruncated, -1)
		}
		mixed, wentOn := 0, 0
		for range versionStreams {
			r := p.call("POST", "/draft/1", "prompt", bbplatform.HeaderTokenUsage, "100,120")
			if r.err == nil && r.status == http.StatusOK {
				wentOn++
			}
			if len(p.versionsOf(fmt.Sprintf("attempt-%d", p.calls))) > 1 {
				mixed++
			}
		}
		t.Logf("%d streams broken, %d went on, %d with events of two versions", versionStreams, wentOn, mixed)
		is.True(mixed <= maxMixedStreams)
		is.True(10*wentOn >= 9*versionStreams)
	})
	t.Run("over the client's tries", func(t *testing.T) {
		p := newVersionPlay(t)
		for i := range versionStreams {
			p.follow(p.beginStream(i, 3))
		}
		p.checkTakenUp()
	})
	t.Run("over the client's tries, all instances killed between them", func(t *testing.T) {
		p := newVersionPlay(t)
		var attempts []string
		var last []int
		for i := range versionStreams {
			attempt, event := p.beginStream(i, 3)
			attempts, last = append(attempts, attempt), append(last, event)
		}
		p.restart()
		for i, attempt := range attempts {
			p.follow(attempt, last[i])
		}
		p.checkTakenUp()
	})
}

// takeUp takes a stream up after an event, with more header fields in turn.
func (p *versionPlay) takeUp(last int, fields ...string) clientResult {
	return p.call("POST", "/draft/1", "prompt", append([]string{bbplatform.HeaderTokenUsage, "100,120", bbplatform.HeaderLastEventID, strconv.Itoa(last)}, fields...)...)
}

// TestTakeUpThatNothingTellsIsRefused guards against streams that go on although
// it is not known who began them, and against answers that leave the client unsure.
func TestTakeUpThatNothingTellsIsRefused(t *testing.T) {
	is := is.New(t)
	p := newVersionPlay(t)
	own := func() string { return fmt.Sprintf("attempt-%d", p.calls+1) }
	is.Equal(p.takeUp(3, bbplatform.HeaderResumes, own()).status, http.StatusBadRequest)
	is.Equal(p.takeUp(3, bbplatform.HeaderResumes, strings.Repeat("x", maxAttemptIDBytes+1)).status, http.StatusBadRequest)
	is.Equal(p.sendRaw("POST /draft/1 HTTP/1.1\r\nHost: "+testHost+"\r\nAttempt-Id: two\r\nCredential: "+testKey+"\r\nToken-Usage: 100,120\r\nLast-Event-Id: 3\r\nResumes: a\r\nResumes: b\r\nContent-Length: 0\r\n\r\n"), "HTTP/1.1 400 Bad Request")
	unnamed := p.takeUp(3)
	is.Equal(unnamed.status, http.StatusServiceUnavailable)
	is.Equal(unnamed.outcome, "not-run")
	is.Equal(p.takeUp(0, bbplatform.HeaderResumes, "a").status, http.StatusOK) // the client has no event yet
	ran := 0
	for _, target := range p.targets {
		ran += len(target.Executions())
	}
	is.Equal(ran, 1)
}

// TestStreamEndsWithItsVersion guards against streams that go on although no target
// of their version serves any more, and against clients that are held for that.
func TestStreamEndsWithItsVersion(t *testing.T) {
	is := is.New(t)
	p := newVersionPlay(t)
	begun, last := p.beginStream(0, 3)
	version := p.versionsOf(begun)[0]
	for id, target := range p.targets {
		if p.versions[id] == version {
			is.NoErr(target.Register(t.Context(), p.mem, "draining"))
		}
	}
	p.eventually("it is known that the version leaves", func() bool {
		return strings.Count(p.logs.String(), `"leaving":true`) == 2
	})
	asked := time.Now()
	r := p.takeUp(last, bbplatform.HeaderResumes, begun)
	is.True(time.Since(asked) < 200*time.Millisecond)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.outcome, "not-run")
	is.Equal(r.header.Get("Retry-After"), "") // coming back can't help
	p.eventually("streams begin at the other version", func() bool {
		return p.call("POST", "/draft/1", "prompt", bbplatform.HeaderTokenUsage, "100,120").status == http.StatusOK
	})
}

// TestTakeUpOfATakeUpStaysAtItsVersion guards against streams that change their
// version as they are taken up more than once.
func TestTakeUpOfATakeUpStaysAtItsVersion(t *testing.T) {
	is := is.New(t)
	p := newVersionPlay(t)
	for i := range 10 {
		begun, last := p.beginStream(i, 2)
		attempts := []string{begun}
		for range 3 {
			r := p.takeUp(last, bbplatform.HeaderResumes, begun)
			is.Equal(r.status, http.StatusOK)
			attempts = append(attempts, fmt.Sprintf("attempt-%d", p.calls))
			last++
		}
		is.Equal(len(p.versionsOf(attempts...)), 1)
	}
}

// TestTargetsWithoutVersionTakeNothingUp guards against streams that go on where the
// software version is not known, and against targets that are not used for that.
func TestTargetsWithoutVersionTakeNothingUp(t *testing.T) {
	is := is.New(t)
	p := &versionPlay{harness: newHarness(t, 1000000), targets: map[string]*bbplatformstand.Target{}, versions: map[string]string{"a1": "", "a2": ""}}
	for id := range p.versions {
		p.targets[id] = p.startTarget(bbplatformstand.TargetOptions{ID: id, Service: "llm", Engine: true, EventCount: versionEvents, Pause: 2 * time.Millisecond, Versionless: true})
	}
	p.start()
	begun, last := p.beginStream(0, 3)
	r := p.takeUp(last, bbplatform.HeaderResumes, begun)
	is.Equal(r.status, http.StatusServiceUnavailable)
	is.Equal(r.outcome, "not-run")
	for _, target := range p.targets {
		target.SetFault(bbplatformstand.FaultBegunTruncated, -1)
	}
	r = p.call("POST", "/draft/1", "prompt", bbplatform.HeaderTokenUsage, "100,120")
	is.True(r.err != nil) // broken off, and not joined
	is.Equal(len(p.targets["a1"].Executions())+len(p.targets["a2"].Executions()), 2)
}
