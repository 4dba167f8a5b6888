package bbport

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
)

// TestMetricsDocumented builds every component with the same registry. The
// metrics registered there and those named in docs/METRICS.md must be the same.
func TestMetricsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	deps := newTestFrontend(t).deps // has the metrics of the router and the frontend
	deps.Bus = startPeersWithRegistry(t, deps)
	_, stopBudgets := NewBudgetManager(deps)
	t.Cleanup(stopBudgets)
	_, stopRecorder := NewRecorder(deps)
	t.Cleanup(stopRecorder)
	newOrders(deps, nil)
	deps.Metrics.Each(func(name string, _ any) {
		if !strings.Contains(string(page), "| `"+name+"` |") {
			t.Errorf("docs/METRICS.md does not name %s", name)
		}
	})
	for _, line := range strings.Split(string(page), "\n") {
		if name, ok := strings.CutPrefix(line, "| `"); ok {
			name, _, _ = strings.Cut(name, "`")
			if strings.HasPrefix(name, "door.") || strings.HasPrefix(name, "limit.") {
				continue // checked by TestProxyMetricsDocumented
			}
			if deps.Metrics.Get(name) == nil {
				t.Errorf("docs/METRICS.md names %s, which no component registers", name)
			}
		}
	}
}

// startPeersWithRegistry starts peers and a follower with the metrics registry
// of registryOwner.
func startPeersWithRegistry(t *testing.T, registryOwner Deps) *Peers {
	t.Helper()
	l := newFakeList(t)
	deps := testDeps("m1", "d", l.srv.Listener.Addr().String(), bbstore.NewMem())
	deps.Metrics = registryOwner.Metrics
	return startInstanceWith(t, deps).peers
}
