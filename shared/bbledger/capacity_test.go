package bbledger

import (
	"fmt"
	"testing"

	"bluebellport.example/shared/bbwire"
)

// fullPage is a page of so many budgets, each drawn by so many holders.
func fullPage(budgets, holders int) *bbwire.Page {
	p := &bbwire.Page{}
	for i := range budgets {
		e := &bbwire.Entry{Budget: fmt.Sprintf("budget-%06d", i), Paid: 1 << 40, Number: 40000, Settled: 1 << 30}
		for h := range holders {
			e.Holders = append(e.Holders, &bbwire.Holder{
				Holder: fmt.Sprintf("instance-%04d/0123456789abcdef/7-17", h*40), Instance: fmt.Sprintf("instance-%04d", h*40),
				Domain: fmt.Sprintf("domain-%02d", h), Drawn: 1 << 30, Spent: 1 << 29, Seq: 4000, Witness: fmt.Sprintf("instance-%04d/0123456789abcdef", h*40+1),
			})
		}
		p.Entries = append(p.Entries, e)
	}
	return p
}

// BenchmarkCapacityPage is the size of a page and the time to read, copy and
// write it, by how many failure domains hold each of its budgets.
func BenchmarkCapacityPage(b *testing.B) {
	for _, holders := range []int{1, 4, 8, 16, 35} {
		b.Run(fmt.Sprintf("budgets=391/holders=%d", holders), func(b *testing.B) {
			v, err := Encode(fullPage(391, holders))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportAllocs()
			for range b.N {
				p, err := Decode(v)
				if err != nil {
					b.Fatal(err)
				}
				if _, err := Encode(clonePage(p)); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(v))/1024, "KB/page")
		})
	}
}
