package bbproxy

import (
	"net/http"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"bluebellport.example/bluebellport/carry"
	"bluebellport.example/bluebellport/leave"
	"bluebellport.example/bluebellport/limit"
	"bluebellport.example/bluebellport/spread"
	"bluebellport.example/bluebellport/version"
	"bluebellport.example/platform"
	"bluebellport.example/platform/stand"
)

// The metrics that the proxy registers are those that docs/METRICS.md
// documents.
func TestProxyMetricsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	c := newProxyMetrics(metrics.NewRegistry())
	c.recordRefusal(http.StatusNotFound)
	c.recordFailure(resultBroken)
	limits := bblimit.New(bblimit.Config{Network: noPeers{}, Now: time.Now, Metrics: c.registry})
	newSpeedKeeper(noPeers{}, &Board{}, time.Now, nil, c.registry)
	newHintReader(limits, nil, c.registry)
	newColdTargets(&bbplatform.Settings{}, limits, nil, time.Now, nil, c.registry)
	newNoticeReader(bbleave.New(bbleave.Config{Network: noPeers{}, Now: time.Now, Metrics: c.registry}), nil, c.registry)
	newEvacuations(&Board{}, nil, c.registry)
	(&peerLoans{}).register(c.registry)
	c.registerCalls(func() map[string]int64 { return nil })
	bbversion.New(bbversion.Config{Network: noPeers{}, Now: time.Now, Metrics: c.registry})
	c.registerPlan(&Board{}, time.Now, (&follower{now: time.Now}).unconfirmed)
	none := func() int64 { return 0 }
	c.registerStorePath(none, none, none)
	bbspread.New(bbspread.Config{Network: noPeers{}, Now: time.Now, Metrics: c.registry})
	newTargetWays(dialTCP, noPeers{}, &Board{}, &trafficMeter{}, time.Now, nil, c.registry)
	bbcarry.NewServer(bbcarry.ServerConfig{Metrics: c.registry})
	registered := map[string]bool{}
	c.registry.Each(func(name string, _ any) {
		name = strings.Replace(name, "refused.404", "refused.STATUS", 1)
		registered[strings.Replace(name, "attempts."+resultBroken.String(), "attempts.KIND", 1)] = true
	})
	documented := map[string]bool{}
	for _, m := range regexp.MustCompile("(?m)^\\| `((?:door|limit)\\.[^`]+)`").FindAllStringSubmatch(string(page), -1) {
		documented[m[1]] = true
	}
	is.Equal(documented, registered)
}

// The metrics page counts the responses that clients got and the instance's own
// part of their latency.
func TestMetricsPage(t *testing.T) {
	is := is.New(t)
	h := newHarness(t, 1000)
	h.startTarget(bbplatformstand.TargetOptions{ID: "t1", Service: "llm", Engine: true, EventCount: 5})
	h.start()
	is.Equal(h.call("POST", "/once/1", "prompt", bbplatform.HeaderTokenUsage, "100,200").status, 200)
	is.Equal(h.call("POST", "/nowhere/1", "prompt").status, 404)
	page := h.metricsPage()
	for _, line := range []string{"bluebellport_door_served_total 1", "bluebellport_door_refused_404_total 1", "bluebellport_door_own_us_count 1", "bluebellport_door_first_us_count 1"} {
		is.True(strings.Contains(page, line+"\n")) // the page has the line
	}
}
