package bbjournal

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

// commitRecord writes a record to its partition in the store.
func commitRecord(t *testing.T, store *bbstore.Mem, r *bbwire.Record, now time.Time) {
	t.Helper()
	chain := &ChainCache{Partition: PartitionOf(r.Account, r.Request), Retention: time.Hour}
	chain.Begin(now)
	entries, _, err := store.List(context.Background(), chain.Partition.Prefix())
	if err == nil {
		err = chain.Load(entries)
	}
	if err != nil {
		t.Fatal(err)
	}
	for _, w := range chain.Plan([]*bbwire.Record{r}, now).Writes {
		if _, err := store.CAS(context.Background(), w.Key, w.Value, w.Prev, 0); err != nil {
			t.Fatal(err)
		}
	}
}

func TestListRecordsAndTotals(t *testing.T) {
	is := is.New(t)
	store, now := bbstore.NewMem(), time.Unix(1e9, 0)
	for i := range 30 {
		kind := bbwire.Record_BILL
		switch i % 10 {
		case 0:
			kind = bbwire.Record_UNKNOWN
		case 1:
			kind = bbwire.Record_CLAIM
		}
		commitRecord(t, store, &bbwire.Record{
			Kind: kind, Account: fmt.Sprint("acc", i%3), Request: fmt.Sprint("r", i),
			Amount: int64(i), Made: now.UnixMilli() + int64(i),
		}, now)
	}
	all, err := ListRecords(context.Background(), store, Filter{})
	is.NoErr(err)
	is.Equal(len(all), 30)
	for i, r := range all {
		is.Equal(r.Request, fmt.Sprint("r", i))
	}
	is.Equal(Totals(all), []Total{
		{Account: "acc0", Bills: 8, Amount: 3 + 6 + 9 + 12 + 15 + 18 + 24 + 27, Unknown: 1, Claims: 1},
		{Account: "acc1", Bills: 8, Amount: 4 + 7 + 13 + 16 + 19 + 22 + 25 + 28, Unknown: 1, Held: 10, Claims: 1},
		{Account: "acc2", Bills: 8, Amount: 2 + 5 + 8 + 14 + 17 + 23 + 26 + 29, Unknown: 1, Held: 20, Claims: 1},
	})
	one, err := ListRecords(context.Background(), store, Filter{Account: "acc1", Request: "r4"})
	is.NoErr(err)
	is.Equal(len(one), 1)
	is.Equal(store.Counts().Reads, int64(30+Partitions+1))
	unknown, err := ListRecords(context.Background(), store, Filter{Unknown: true})
	is.NoErr(err)
	is.Equal(len(unknown), 6)
	store.SetFaults(bbstore.Faults{Down: true})
	_, err = ListRecords(context.Background(), store, Filter{})
	is.True(errors.Is(err, bbstore.ErrDown))
}
