package bbjournal

import (
	"context"
	"sort"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Filter selects records. An empty field matches every record.
type Filter struct {
	Account bbunit.AccountID
	Request bbunit.RequestID
	Budget  bbunit.BudgetID
	// Unknown selects only requests whose outcome is not known: UNKNOWN
	// records, and claims, whose request is still running or whose instance
	// crashed.
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

// ListRecords returns the records that match f, sorted by time, account and
// request id. It lists each partition in the store once, or only one partition
// if f has both account and request id. It blocks up to the context's deadline.
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
				continue // a delayed write created a deleted leaf again
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

// Total summarizes the records of one client account.
type Total struct {
	Account bbunit.AccountID `json:"account"`
	Bills   int              `json:"bills"`
	Amount  bbunit.Tokens    `json:"amount"`
	// Unknown is the number of requests that were sent and whose outcome is not
	// known. Held is the most that they may cost.
	Unknown int           `json:"unknown"`
	Held    bbunit.Tokens `json:"held"`
	// Claims is the number of claims without a bill: the request is still
	// running, or its instance crashed before it recorded that the request was
	// sent.
	Claims int `json:"claims"`
}

// Totals summarizes records by account, sorted by account id.
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
