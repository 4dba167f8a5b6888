package bbjournal

import (
	"context"
	"sort"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Filter chooses records. Empty fields choose all.
type Filter struct {
	Account bbunit.AccountID
	Request bbunit.RequestID
	Budget  bbunit.BudgetID
	// Unknown chooses only requests whose outcome is not known: UNKNOWN, and
	// claims, which are either running or were left by an instance that died.
	Unknown bool
}

func (f *Filter) match(r *bbwire.Record) bool {
	return (f.Account == "" || string(f.Account) == r.Account) &&
		(f.Request == "" || string(f.Request) == r.Request) &&
		(f.Budget == "" || string(f.Budget) == r.Budget) &&
		(!f.Unknown || r.Kind != bbwire.Record_BILL)
}

func (f *Filter) partitions() []Partition {
	if f.Account != "" && f.Request != "" {
		return []Partition{PartitionOf(string(f.Account), string(f.Request))}
	}
	out := make([]Partition, Partitions)
	for i := range out {
		out[i] = Partition(i)
	}
	return out
}

// ListRecords returns the chosen records in order of their time, account and request
// id, from one listing for each partition; a filter with account and request id
// needs only one. It waits for the service, up to the context's deadline.
func ListRecords(ctx context.Context, s bbstore.Store, f Filter) ([]*bbwire.Record, error) {
	var out []*bbwire.Record
	for _, p := range f.partitions() {
		entries, _, err := s.List(ctx, p.Prefix())
		if err != nil {
			return nil, err
		}
		leaves, err := decodeLeaves(entries)
		if err != nil {
			return nil, err
		}
		for i, l := range leaves {
			if !l.value.Sealed && i < len(leaves)-1 {
				continue // a late write to a deleted number
			}
			for _, r := range l.value.Records {
				if f.match(r) {
					out = append(out, r)
				}
			}
		}
	}
	sort.SliceStable(out, func(i, j int) bool { return recordLess(out[i], out[j]) })
	return out, nil
}

func recordLess(a, b *bbwire.Record) bool {
	switch {
	case a.Made != b.Made:
		return a.Made < b.Made
	case a.Account != b.Account:
		return a.Account < b.Account
	}
	return a.Request < b.Request
}

// Total sums up the records of one client account.
type Total struct {
	Account bbunit.AccountID `json:"account"`
	Bills   int              `json:"bills"`
	Amount  bbunit.Tokens    `json:"amount"`
	// Unknown is how many requests were sent and have no known end, and Held is
	// what they may cost at most.
	Unknown int           `json:"unknown"`
	Held    bbunit.Tokens `json:"held"`
	// Claims is how many claims have no bill: running, or left by an instance
	// that died before it noted what it sent.
	Claims int `json:"claims"`
}

// Totals sums records up for each account, in the order of their names.
func Totals(records []*bbwire.Record) []Total {
	totals := map[string]*Total{}
	for _, r := range records {
		total := totals[r.Account]
		if total == nil {
			total = &Total{Account: bbunit.AccountID(r.Account)}
			totals[r.Account] = total
		}
		switch r.Kind {
		case bbwire.Record_BILL:
			total.Bills++
			total.Amount += bbunit.Tokens(r.Amount)
		case bbwire.Record_UNKNOWN:
			total.Unknown++
			total.Held += bbunit.Tokens(r.Amount)
		case bbwire.Record_CLAIM:
			total.Claims++
		}
	}
	out := make([]Total, 0, len(totals))
	for _, total := range totals {
		out = append(out, *total)
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Account < out[j].Account })
	return out
}
