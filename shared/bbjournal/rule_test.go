package bbjournal

import (
	"fmt"
	"strings"
	"testing"

	"github.com/sebdah/goldie/v2"

	"bluebellport.example/shared/bbwire"
)

// TestDecide compares decide with a golden table. Each line has the existing
// record, the new record, the verdict and the record that is kept.
func TestDecide(t *testing.T) {
	kinds := []bbwire.Record_Kind{
		bbwire.Record_CLAIM, bbwire.Record_BILL, bbwire.Record_UNKNOWN, bbwire.Record_WITHDRAWN,
	}
	existing := []*bbwire.Record{nil}
	for _, k := range kinds[:3] {
		existing = append(existing, &bbwire.Record{Kind: k, Owner: "o1", Print: 1, Amount: 5})
	}
	var sb strings.Builder
	for _, old := range existing {
		for _, k := range kinds {
			for _, r := range []*bbwire.Record{
				{Kind: k, Owner: "o1", Print: 1, Amount: 5},
				{Kind: k, Owner: "o1", Print: 1, Amount: 6},
				{Kind: k, Owner: "o2", Print: 1, Amount: 5},
				{Kind: k, Owner: "o2", Print: 2, Amount: 5},
			} {
				kind, next := decide(old, r)
				fmt.Fprintf(&sb, "%-22s + %-22s = %-9s %s\n", show(old), show(r), kind, show(next))
			}
		}
	}
	goldie.New(t).Assert(t, "decide", []byte(sb.String()))
}

func show(r *bbwire.Record) string {
	if r == nil {
		return "-"
	}
	return fmt.Sprintf("%s %s print%d %d", r.Kind, r.Owner, r.Print, r.Amount)
}
