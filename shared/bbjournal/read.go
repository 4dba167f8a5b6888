package bbjournal

import (
	"cmp"
	"context"
	"slices"

	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Filter chooses records. The zero value chooses all.
type Filter struct {
	Account bbunit.AccountID
	Request bbunit.RequestID
	// Unknown leaves only records of requests whose end was not seen.
	Unknown bool
}

func (f Filter) takes(r *bbwire.Record) bool {
	if f.Account != "" && r.Account != string(f.Account) || f.Request != "" && r.Request != string(f.Request) {
		return false
	}
	return !f.Unknown || r.Kind == bbwire.Record_UNKNOWN || r.Kind == bbwire.Record_CLAIM
}

// Read returns the retained records that the filter takes, by time. It blocks
// on the key-value service and reads one partition where the filter names a
// request, else all.
func Read(ctx context.Context, store bbstore.Store, f Filter) ([]*bbwire.Record, error) {
	prefix := Prefix
	if f.Account != "" && f.Request != "" {
		prefix = PartitionOf(string(f.Account), string(f.Request)).Prefix()
	}
	list, _, err := store.List(ctx, prefix)
	if err != nil {
		return nil, errors.Annotate(err, "list record leaves")
	}
	var out []*bbwire.Record
	for _, x := range list {
		leaf := &bbwire.Leaf{}
		if err := proto.Unmarshal(x.Value, leaf); err != nil {
			return nil, errors.Annotatef(err, "leaf %s", x.Key)
		}
		for _, r := range leaf.Records {
			if f.takes(r) {
				out = append(out, r)
			}
		}
	}
	slices.SortFunc(out, func(a, b *bbwire.Record) int {
		return cmp.Or(cmp.Compare(a.Made, b.Made), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Request, b.Request))
	})
	return out, nil
}

// Total is what the records of one client account come to.
type Total struct {
	Account bbunit.AccountID `json:"account"`
	Bills   int              `json:"bills"`
	Tokens  bbunit.Tokens    `json:"tokens"` // billed
	Claims  int              `json:"claims"` // claimed, not ended
	Unknown int              `json:"unknown"`
	// Doubtful is what the unknown requests may have cost, in tokens.
	Doubtful bbunit.Tokens `json:"doubtful"`
}

// Totals sums records up for each client account, in the order of their ids.
func Totals(list []*bbwire.Record) []Total {
	sums := map[string]*Total{}
	for _, r := range list {
		t := sums[r.Account]
		if t == nil {
			t = &Total{Account: bbunit.AccountID(r.Account)}
			sums[r.Account] = t
		}
		switch r.Kind {
		case bbwire.Record_BILL:
			t.Bills++
			t.Tokens += bbunit.Tokens(r.Amount)
		case bbwire.Record_UNKNOWN:
			t.Unknown++
			t.Doubtful += bbunit.Tokens(r.Amount)
		case bbwire.Record_CLAIM:
			t.Claims++
		}
	}
	out := make([]Total, 0, len(sums))
	for _, t := range sums {
		out = append(out, *t)
	}
	slices.SortFunc(out, func(a, b Total) int { return cmp.Compare(a.Account, b.Account) })
	return out
}
