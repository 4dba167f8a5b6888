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
// the calls of the key-value service per 1,000 requests.
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
					perDomain := make([]int, c.domains)
					for i := range perDomain {
						perDomain[i] = c.instances
					}
					f := newRecorderFleet(b, o, perDomain...)
					n := int(span.Seconds() * float64(c.rate))
					start := time.Now()
					f.runLoad(n, span, claims)
					took := time.Since(start)
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

// runLoad spreads n requests evenly over the span and the instances, and waits
// until all are billed.
func (f *recorderFleet) runLoad(n int, span time.Duration, claims bool) {
	start := time.Now()
	var wg sync.WaitGroup
	for i := range n {
		time.Sleep(time.Until(start.Add(span * time.Duration(i) / time.Duration(n))))
		inst := f.instances[f.order[i%len(f.order)]]
		wg.Add(1)
		go func() {
			defer wg.Done()
			rec := inst.newRecord(fmt.Sprint("r", i))
			if claims {
				if _, err := inst.Claim(context.Background(), rec); err != nil {
					f.t.Error(err)
					return
				}
			}
			inst.Open(rec)
			rec.Amount = 5
			inst.Bill(rec)
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
	inst := f.instances["a1"]
	rec := &bbwire.Record{Account: "acc", Request: "r", Owner: "a1#1/1", Amount: 5}
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			inst.Bill(rec)
		}
	})
	inst.store.kill()
}

func BenchmarkClaim(b *testing.B) {
	for _, forwarded := range []bool{false, true} {
		b.Run(fmt.Sprintf("forwarded=%t", forwarded), func(b *testing.B) {
			o := testRecordOptions()
			o.ClaimPeriod = 50 * time.Millisecond
			f := newRecorderFleet(b, o, 2)
			i := 0
			for b.Loop() {
				i++
				id := fmt.Sprint("r", i)
				inst := f.homeOf(id, "a")
				if forwarded {
					inst = f.otherInDomain(inst)
				}
				if _, err := inst.Claim(context.Background(), inst.newRecord(id)); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
