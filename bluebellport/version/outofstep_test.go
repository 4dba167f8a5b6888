package bbversion

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"
)

// TestInstanceOutOfStepTakesNoStreamUpAtAnotherVersion guards against streams that go
// on at a wrong version at an instance that missed a roll-out: it was cut off or stood
// still, and believes that nothing has changed.
func TestInstanceOutOfStepTakesNoStreamUpAtAnotherVersion(t *testing.T) {
	t.Parallel()
	const instances = 6
	for _, c := range []struct {
		name        string
		out         []int // instances that are out of step
		reachesCore bool  // they reach the store, and not the others
		frozen      bool  // they stand still, and go on as the streams are taken up
	}{
		{"cut off from all", []int{1}, false, false},
		{"two cut off from all", []int{1, 4}, false, false},
		{"all but one cut off from all", []int{1, 2, 3, 4, 5}, false, false},
		{"cut off from the others only", []int{1}, true, false},
		{"all but one cut off from the others only", []int{1, 2, 3, 4, 5}, true, false},
		{"frozen", []int{1}, false, true},
		{"all but one frozen", []int{1, 2, 3, 4, 5}, false, true},
	} {
		for _, outFor := range []time.Duration{1500 * time.Millisecond, 3 * time.Second, 6 * time.Second, 12 * time.Second} {
			t.Run(fmt.Sprint(c.name, ", ", outFor), func(t *testing.T) {
				t.Parallel()
				one := map[string]int{"v1": 10}
				targets := append([]targetsAt{{0, one}}, rollOut(5100*time.Millisecond, 50*time.Millisecond, "v1", "v1.1", one, 9)...)
				s := newSimulation(instances, 0.01, 1, targets)
				defer s.calls.Unlock()
				s.Run(5 * time.Second)
				out := map[int]bool{}
				for _, i := range c.out {
					out[i] = true
					node := s.byID[nodeID(i)]
					node.reachesCore, node.frozen = c.reachesCore, c.frozen
					s.SetCut(node.Node, true)
				}
				var begun []*simStream
				for end := s.Now().Add(outFor); s.Now().Before(end); s.Run(10 * time.Millisecond) {
					for i := range instances {
						key := NewStreamKey(simService, "a", fmt.Sprint(i, s.Now()))
						node := s.byID[nodeID(i)]
						if version, known := node.keeper.Version(simService, key); !out[i] && known && s.targetsBefore(0)[version] > 0 {
							node.keeper.Begin(simService, key, version)
							begun = append(begun, &simStream{key: key, version: version})
						}
					}
				}
				mixed, found := 0, 0
				for _, i := range c.out {
					node := s.byID[nodeID(i)]
					if c.frozen {
						node.frozen = false
						s.SetCut(node.Node, false)
					}
					for _, stream := range begun {
						s.calls.Unlock()
						version, known := node.keeper.Find(context.Background(), simService, stream.key)
						s.calls.Lock()
						switch {
						case known && version != stream.version && s.targetsBefore(0)[version] > 0:
							mixed++
						case known:
							found++
						}
					}
					s.calls.Unlock()
					version, known := node.keeper.OnlyVersion(context.Background(), simService)
					s.calls.Lock()
					if known && slices.ContainsFunc(begun, func(stream *simStream) bool { return stream.version != version }) {
						t.Errorf("%s believes that only %s has begun streams", nodeID(i), version)
					}
				}
				t.Logf("%d begun, %d found, %d mixed", len(begun), found, mixed)
				if mixed > 0 || len(begun) == 0 {
					t.Errorf("%d of %d streams go on at a wrong version", mixed, len(begun))
				}
			})
		}
	}
}
