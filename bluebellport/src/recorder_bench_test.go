package bbport

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"bluebellport.example/shared/bbwire"
)

// BenchmarkRecordWrites sends requests at a steady rate for a while and reports
// how many calls of the key-value service 1,000 of them took.
func BenchmarkRecordWrites(b *testing.B) {
	const span = 3 * time.Second
	for _, c := range []struct{ domains, instances, rate int }{
		{2, 1, 500},
		{2, 2, 500},
		{2, 4, 500},
		{2, 8, 500},
		{1, 4, 500},
		{4, 4, 500},
		{2, 4, 100},
		{2, 4, 2500},
	} {
		for _, claims := range []bool{false, true} {
			name := fmt.Sprintf("domains=%d/instances=%d/rate=%d/claims=%t", c.domains, c.instances, c.rate, claims)
			b.Run(name, func(b *testing.B) {
				for b.Loop() {
					o := testRecordOptions()
					o.ClaimPeriod, o.BillPeriod = 50*time.Millisecond, 200*time.Millisecond
					o.ClaimWriteRate, o.BillWriteRate = 20, 10
					o.TakeoverDelay, o.MaxUnacknowledgedBills = time.Minute, 1<<20
					per := make([]int, c.domains)
					for i := range per {
						per[i] = c.instances
					}
					f := newRecorderFleet(b, o, per...)
					n := int(span.Seconds() * float64(c.rate))
					begun := time.Now()
					f.runLoad(n, span, claims)
					took := time.Since(begun)
					counts := f.store.Counts()
					b.ReportMetric(float64(counts.Writes)*1000/float64(n), "writes/1000req")
					b.ReportMetric(float64(counts.Reads)*1000/float64(n), "reads/1000req")
					b.ReportMetric(float64(counts.Writes)/took.Seconds(), "writes/s")
					for _, id := range f.order {
						f.instances[id].stop()
					}
				}
			})
		}
	}
}

// runLoad spreads n requests evenly over the span and the instances and waits until
// all are billed.
func (f *recorderFleet) runLoad(n int, span time.Duration, claims bool) {
	begun := time.Now()
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(begun.Add(span * time.Duration(i) / time.Duration(n))))
		node := f.instances[f.order[i%len(f.order)]]
		wg.Add(1)
		go func() {
			defer wg.Done()
			r := node.newRecord(fmt.Sprint("r", i))
			if claims {
				if _, err := node.Claim(context.Background(), r); err != nil {
					f.t.Error(err)
					return
				}
			}
			node.Open(r)
			r.Amount = 5
			node.Bill(r)
		}()
	}
	wg.Wait()
	for _, id := range f.order {
		if err := f.instances[id].Drain(context.Background()); err != nil {
			f.t.Error(err)
		}
	}
}

func BenchmarkBillQueued(b *testing.B) {
	o := testRecordOptions()
	o.BillPeriod, o.MaxUnacknowledgedBills = time.Hour, 1<<30
	f := newRecorderFleet(b, o, 1)
	n := f.instances["a1"]
	r := &bbwire.Record{Account: "acc", Request: "r", Owner: "a1#1/1", Amount: 5}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			n.Bill(r)
		}
	})
	n.store.kill()
}

func BenchmarkClaim(b *testing.B) {
	for _, away := range []bool{false, true} {
		b.Run(fmt.Sprintf("forwarded=%t", away), func(b *testing.B) {
			o := testRecordOptions()
			o.ClaimPeriod = 50 * time.Millisecond
			f := newRecorderFleet(b, o, 2)
			i := 0
			for b.Loop() {
				i++
				id := fmt.Sprint("r", i)
				n := f.homeOf(id, "a")
				if away {
					n = f.otherInDomain(n)
				}
				if _, err := n.Claim(context.Background(), n.newRecord(id)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
