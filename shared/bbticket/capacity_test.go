package bbticket

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"bluebellport.example/shared/bbunit"
)

// fullState returns a state with n budgets, n/10 targets and the accounts and
// services that they belong to.
func fullState(n int) *State {
	t := Ticket{Number: 1}
	for i := range 820 {
		t.Accounts = append(t.Accounts, Account{ID: bbunit.AccountID(fmt.Sprintf("account-%04d", i)), Keys: []string{fmt.Sprintf("sha256:%064x", i)}})
	}
	for i := range n {
		t.Budgets = append(t.Budgets, Budget{ID: bbunit.BudgetID(fmt.Sprintf("budget-%06d", i)), Account: t.Accounts[i%820].ID, Paid: 1 << 40})
	}
	for i := range 4 {
		t.Services = append(t.Services, Service{ID: bbunit.ServiceID(fmt.Sprintf("model-%d", i)), Price: Price{Input: 1, Output: 2}})
	}
	for i := range n / 10 {
		t.Targets = append(t.Targets, Target{ID: bbunit.TargetID(fmt.Sprintf("target-%05d", i)), Service: t.Services[i%4].ID, Address: "10.0.0.1:8000", Domain: bbunit.DomainID(fmt.Sprintf("domain-%02d", i%35)), Slots: 8})
	}
	return (&State{}).Apply(t)
}

// BenchmarkCapacityApply measures the time and memory of applying one ticket,
// with one budget or one target, to states of different sizes.
func BenchmarkCapacityApply(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		s := fullState(n)
		budget := s.Budgets.Get("budget-000007").Object
		target := s.Targets["target-00007"].Object
		b.Run(fmt.Sprintf("budget/budgets=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Apply(Ticket{Number: bbunit.TicketNumber(2 + i), Budgets: []Budget{budget}})
			}
		})
		b.Run(fmt.Sprintf("target/targets=%d", n/10), func(b *testing.B) {
			b.ReportAllocs()
			for i := range b.N {
				s.Apply(Ticket{Number: bbunit.TicketNumber(2 + i), Targets: []Target{target}})
			}
		})
	}
}

// BenchmarkCapacityState measures the size of a state in memory and as the JSON
// that a joining instance receives.
func BenchmarkCapacityState(b *testing.B) {
	for _, n := range []int{1000, 10000, 100000} {
		b.Run(fmt.Sprintf("budgets=%d", n), func(b *testing.B) {
			for range b.N {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.GC() // completes the sweep of the first
				runtime.ReadMemStats(&before)
				s := fullState(n)
				runtime.GC()
				runtime.GC()
				runtime.ReadMemStats(&after)
				v, err := json.Marshal(s)
				if err != nil {
					b.Fatal(err)
				}
				b.ReportMetric(float64(int64(after.HeapAlloc)-int64(before.HeapAlloc))/(1<<20), "MB/state")
				b.ReportMetric(float64(len(v))/(1<<20), "MB/json")
				runtime.KeepAlive(s)
			}
		})
	}
}
