package bbproxy

import (
	"testing"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbplan"
)

// TestDurationsOfRemovedRoutesAreForgotten guards against memory that grows with
// each plan.
func TestDurationsOfRemovedRoutesAreForgotten(t *testing.T) {
	is := is.New(t)
	p := &Proxy{board: &Board{}}
	p.board.Plan.Store(bbplan.New(bbplan.Plan{}, []*bbplan.Route{{ID: "kept", Prefix: "/a/"}, {ID: "new", Prefix: "/b/"}}, nil))
	p.durations.Store(bbplan.RouteID("removed"), nil)
	kept := p.durationsOf("kept")
	p.durationsOf("new")
	is.True(p.durationsOf("kept") == kept)
	_, found := p.durations.Load(bbplan.RouteID("removed"))
	is.True(!found)
}

func BenchmarkCheckOutsideAStop(b *testing.B) {
	x := &exchange{proxy: &Proxy{board: &Board{}}}
	b.ReportAllocs()
	for b.Loop() {
		if x.checkStop() != nil {
			b.Fatal("refused")
		}
	}
}

func BenchmarkDurationsOf(b *testing.B) {
	p := &Proxy{board: &Board{}}
	p.durationsOf("a")
	b.ReportAllocs()
	for b.Loop() {
		p.durationsOf("a")
	}
}
