package bbjournal

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbwire"
)

func TestRead(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	mem := bbstore.NewMem()
	leaves := map[Partition]*bbwire.Leaf{}
	for _, r := range []*bbwire.Record{
		{Kind: bbwire.Record_BILL, Account: "a", Request: "1", Amount: 5, Made: 3},
		{Kind: bbwire.Record_BILL, Account: "a", Request: "2", Amount: 7, Made: 1},
		{Kind: bbwire.Record_UNKNOWN, Account: "b", Request: "1", Amount: 9, Made: 2},
		{Kind: bbwire.Record_CLAIM, Account: "b", Request: "3", Amount: 9, Made: 4},
	} {
		p := PartitionOf(r.Account, r.Request)
		if leaves[p] == nil {
			leaves[p] = &bbwire.Leaf{}
		}
		leaves[p].Records = append(leaves[p].Records, r)
	}
	for p, l := range leaves {
		v, err := proto.Marshal(l)
		is.NoErr(err)
		_, err = mem.CAS(ctx, p.leafKey(1), v, 0, 0)
		is.NoErr(err)
	}
	all, err := Read(ctx, mem, Filter{})
	is.NoErr(err)
	is.Equal(len(all), 4)
	is.Equal(all[0].Request, "2") // the oldest first
	is.Equal(Totals(all), []Total{{Account: "a", Bills: 2, Tokens: 12}, {Account: "b", Claims: 1, Unknown: 1, Doubtful: 9}})
	one, err := Read(ctx, mem, Filter{Account: "a", Request: "1"})
	is.NoErr(err)
	is.Equal(len(one), 1)
	doubt, err := Read(ctx, mem, Filter{Unknown: true})
	is.NoErr(err)
	is.Equal(len(doubt), 2)
	mem.SetFaults(bbstore.Faults{Down: true})
	_, err = Read(ctx, mem, Filter{})
	is.True(err != nil)
}
