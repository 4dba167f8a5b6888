package bbport

import (
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
)

// TestMetricsDocumented builds every part on one registry. What is registered and
// what the page names must be the same.
func TestMetricsDocumented(t *testing.T) {
	is := is.New(t)
	page, err := os.ReadFile("../../docs/METRICS.md")
	is.NoErr(err)
	deps := newTestFrontend(t).deps // with the router and the front
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
			if strings.HasPrefix(name, "door.") {
				continue // TestDoorMetricsNamed holds those
			}
			if deps.Metrics.Get(name) == nil {
				t.Errorf("docs/METRICS.md names %s, which no part registers", name)
			}
		}
	}
}

// startPeersWithRegistry starts peers and a follower that count in the registry of p.
func startPeersWithRegistry(t *testing.T, registryOwner Deps) *Peers {
	t.Helper()
	l := newFakeList(t)
	deps := testDeps("m1", "d", l.srv.Listener.Addr().String(), bbstore.NewMem())
	deps.Metrics = registryOwner.Metrics
	return startInstanceWith(t, deps).peers
}
