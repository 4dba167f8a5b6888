package bbproxy

import (
	"io"
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"bluebellport.example/platform"
	"bluebellport.example/platform/stand"
)

// What the door registers and what docs/METRICS.md names must be the same.
func TestDoorMetricsNamed(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	c := newTally(metrics.NewRegistry())
	c.refused(http.StatusNotFound)
	c.failed(endBroken)
	have := map[string]bool{}
	c.reg.Each(func(name string, _ any) {
		name = strings.Replace(name, "refused.404", "refused.STATUS", 1)
		have[strings.Replace(name, "attempts."+endBroken.String(), "attempts.KIND", 1)] = true
	})
	named := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `(door\\.[^`]+)`").FindAllStringSubmatch(string(page), -1) {
		named[m[1]] = true
	}
	is.Equal(named, have)
}

// The page of metrics counts what callers got, and how long the instance's own
// part took.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	b := newBed(t, 1000)
	b.target(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, Events: 5})
	b.start()
	is.Equal(b.call("POST", "/once/1", "prompt", bbplatform.HeaderUsage, "100,200").status, 200)
	is.Equal(b.call("POST", "/nowhere/1", "prompt").status, 404)
	r, err := http.Get("http://" + b.set.Ready + pathMetrics)
	is.NoErr(err)
	defer func() { _ = r.Body.Close() }()
	page, err := io.ReadAll(r.Body)
	is.NoErr(err)
	for _, line := range []string{"bluebellport_door_served_total 1", "bluebellport_door_refused_404_total 1", "bluebellport_door_own_us_count 1", "bluebellport_door_first_us_count 1"} {
		is.True(strings.Contains(string(page), line+"\n")) // the page has the line
	}
}
