package bbledger

import (
	"fmt"
	"testing"
	"time"

	"bluebellport.example/shared/bbmember"
	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// fullPage returns a page with that many budgets, each drawn by that many holders.
func fullPage(budgets, holders int) *bbwire.Page {
	p := &bbwire.Page{}
	for i := range budgets {
		e := &bbwire.Entry{Budget: fmt.Sprintf("budget-%06d", i), Paid: 1 << 40, Number: 40000, Settled: 1 << 30}
		for h := range holders {
			e.Holders = append(e.Holders, &bbwire.Holder{
				Holder: fmt.Sprintf("holder-%04d/0123456789abcdef/7-17", h*40), Instance: fmt.Sprintf("holder-%04d", h*40),
				Domain: fmt.Sprintf("domain-%02d", h), Drawn: 1 << 30, Spent: 1 << 29, Seq: 4000, Witness: fmt.Sprintf("instance-%04d/0123456789abcdef", h*40+1),
			})
		}
		p.Entries = append(p.Entries, e)
	}
	return p
}

// BenchmarkCapacityPage measures the size of a page and the time to decode, copy and
// encode it, by the number of failure domains that draw from each budget.
func BenchmarkCapacityPage(b *testing.B) {
	for _, holders := range []int{1, 4, 8, 16, 35} {
		b.Run(fmt.Sprintf("budgets=391/holders=%d", holders), func(b *testing.B) {
			v, err := EncodePage(fullPage(391, holders))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for range b.N {
				p, err := DecodePage(v)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := EncodePage(clonePage(p)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(v))/1024, "KB/page")
		})
	}
}

// fullAllocator returns an allocator that draws from every budget of a full page and
// has granted slices of each to that many instances.
func fullAllocator(b *testing.B, budgets, holders, grantees int) (*Allocator, time.Time) {
	now := time.Unix(1000, 0)
	view := &bbmember.View{}
	for i := range 1500 {
		view.Members = append(view.Members, bbmember.Member{ID: bbunit.InstanceID(fmt.Sprintf("instance-%04d", i)), Inc: 0x123456789abcdef, Domain: bbunit.DomainID(fmt.Sprintf("domain-%02d", i%35))})
	}
	self, _ := view.Home(PageHomeKey(7), "domain-00")
	view.Self = self
	n := uint64(0)
	al := NewAllocator(7, self, Policy{DrawHorizon: 10 * time.Second, UnwitnessedHorizon: 10 * time.Second, GrantHorizon: time.Second}, func() uint64 { n++; return n })
	al.Step(now, Tick{View: view, State: &bbticket.State{Number: 1}})
	al.Step(now, Refresh{})
	p := fullPage(budgets, holders)
	for _, e := range p.Entries {
		e.Holders[0].Holder = string(al.Holder())
		e.Number = 1
		al.allocation(bbunit.BudgetID(e.Budget))
	}
	al.maybeOnPage = true
	al.Step(now, Loaded{Page: p, Rev: 5})
	if !al.onPage || al.callInFlight {
		b.Fatal("the allocator is not on its page")
	}
	for _, a := range al.allocations {
		for g := range grantees {
			a.grant(Peer{ID: bbunit.InstanceID(fmt.Sprintf("instance-%04d", g*35)), Inc: 1}).granted = 1000
		}
	}
	return al, now
}

// BenchmarkCapacityTick measures an allocator's Tick when there is nothing to do, by
// the size of its page and the number of grantees.
func BenchmarkCapacityTick(b *testing.B) {
	for _, c := range []struct{ holders, grantees int }{{1, 2}, {8, 8}, {35, 43}} {
		b.Run(fmt.Sprintf("budgets=391/holders=%d/grantees=%d", c.holders, c.grantees), func(b *testing.B) {
			al, now := fullAllocator(b, 391, c.holders, c.grantees)
			b.ReportAllocs()
			b.ResetTimer()
			for range b.N {
				now = now.Add(TickInterval)
				for _, a := range al.allocations {
					a.surplusSince = now // keeps surplus from being returned
				}
				if out := al.Step(now, Tick{}); len(out) > 0 && b.N > 1 {
					al.callInFlight, al.backoff = false, 0
				}
			}
		})
	}
}
