package bbdoor

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellport.example/platform"
	"bluebellport.example/platform/stand"
)

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
