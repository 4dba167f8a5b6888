package bbledger

import (
	"fmt"
	"sort"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"
	"google.golang.org/protobuf/proto"

	"bluebellport.example/shared/bbticket"
	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

const (
	// PageCount is how many pages the budgets are spread over. It must never
	// change in the life of a fleet, since it determines each budget's page.
	PageCount = 256
	// PagePrefix is the key prefix of all pages.
	PagePrefix = "/bb/page/"
	// MaxPaid is the largest amount of a budget, in tokens, low enough that
	// sums over a page cannot overflow.
	MaxPaid = bbunit.Tokens(1) << 50
)

// Sentinel errors of pages, tested with errors.Is.
const (
	// ErrMalformedPage means that a page's value cannot be decoded.
	ErrMalformedPage = errors.ConstError("budget page malformed")
	// ErrAmountRange means that an amount is negative or above MaxPaid.
	ErrAmountRange = errors.ConstError("amount out of range")
)

// PageOf returns the page that the budget is on.
func PageOf(b bbunit.BudgetID) int {
	return int(xxhash.Sum64String(string(b)) % PageCount)
}

// PageKey returns the key of a page in the store.
func PageKey(n int) string { return fmt.Sprintf("%s%04d", PagePrefix, n) }

// PageHomeKey returns the key by which instances are ranked to find the home of a
// page and its witness.
func PageHomeKey(n int) string { return fmt.Sprintf("page/%04d", n) }

// DecodePage decodes the stored value of a page; nil gives an empty page. The error
// is an ErrMalformedPage.
func DecodePage(value []byte) (*bbwire.Page, error) {
	p := &bbwire.Page{}
	if err := proto.Unmarshal(value, p); err != nil {
		return nil, errors.WithType(err, ErrMalformedPage)
	}
	for _, e := range p.Entries {
		for _, h := range e.Holders {
			if h.Name == 0 {
				continue
			}
			if int(h.Name) > len(p.Names) {
				return nil, errors.Annotatef(ErrMalformedPage, "budget %s: holder name %d, page has %d names", e.Budget, h.Name, len(p.Names))
			}
			n := p.Names[h.Name-1]
			h.Holder, h.Instance, h.Domain, h.Witness, h.Name = n.Holder, n.Instance, n.Domain, n.Witness, 0
		}
	}
	p.Names = nil
	return p, nil
}

// EncodePage encodes a page for storage. An allocator holds many budgets of a page
// under one holder id, so each distinct holder is stored once in the page's names.
func EncodePage(p *bbwire.Page) ([]byte, error) {
	type name struct{ holder, instance, domain, witness string }
	nameIndex := map[name]uint32{}
	out := &bbwire.Page{}
	for _, e := range p.Entries {
		c := &bbwire.Entry{
			Budget: e.Budget, Paid: e.Paid, Number: e.Number, Cap: e.Cap, Capnumber: e.Capnumber,
			Capnonce: e.Capnonce, Settled: e.Settled, Stuck: e.Stuck,
		}
		for _, h := range e.Holders {
			n := name{h.Holder, h.Instance, h.Domain, h.Witness}
			if nameIndex[n] == 0 {
				out.Names = append(out.Names, &bbwire.Holder{Holder: n.holder, Instance: n.instance, Domain: n.domain, Witness: n.witness})
				nameIndex[n] = uint32(len(out.Names))
			}
			c.Holders = append(c.Holders, &bbwire.Holder{Name: nameIndex[n], Drawn: h.Drawn, Spent: h.Spent, Seq: h.Seq})
		}
		out.Entries = append(out.Entries, c)
	}
	return proto.MarshalOptions{Deterministic: true}.Marshal(out)
}

// CheckAmount returns ErrAmountRange unless 0 <= n <= MaxPaid.
func CheckAmount(n bbunit.Tokens) error {
	if n < 0 || n > MaxPaid {
		return errors.Annotatef(ErrAmountRange, "%d tokens", n)
	}
	return nil
}

// EffectiveLimit returns how much may be charged to the budget: the paid amount, or the
// lower cap of a ticket that is not in force yet.
func EffectiveLimit(e *bbwire.Entry) bbunit.Tokens {
	if e.Capnumber > e.Number && e.Cap < e.Paid {
		return bbunit.Tokens(e.Cap)
	}
	return bbunit.Tokens(e.Paid)
}

// Charged returns all that counts against the budget: what is settled, drawn, stuck,
// or reported as spent by stuck grantees.
func Charged(e *bbwire.Entry) bbunit.Tokens {
	n := e.Settled
	for _, s := range e.Stuck {
		n += s.Amount + s.Spent
	}
	for _, h := range e.Holders {
		n += h.Drawn
	}
	return bbunit.Tokens(n)
}

// Remaining returns what may still be drawn of the budget, at least 0.
func Remaining(e *bbwire.Entry) bbunit.Tokens {
	return max(0, EffectiveLimit(e)-Charged(e))
}

// findEntry returns the budget's entry, or nil.
func findEntry(p *bbwire.Page, b bbunit.BudgetID) *bbwire.Entry {
	i := sort.Search(len(p.Entries), func(i int) bool { return p.Entries[i].Budget >= string(b) })
	if i < len(p.Entries) && p.Entries[i].Budget == string(b) {
		return p.Entries[i]
	}
	return nil
}

// ensureEntry returns the budget's entry, adding an empty one if there is none.
func ensureEntry(p *bbwire.Page, b bbunit.BudgetID) *bbwire.Entry {
	if e := findEntry(p, b); e != nil {
		return e
	}
	e := &bbwire.Entry{Budget: string(b)}
	p.Entries = append(p.Entries, e)
	sort.Slice(p.Entries, func(i, j int) bool { return p.Entries[i].Budget < p.Entries[j].Budget })
	return e
}

// findHolder returns the holder's record on the entry, or nil. The entry may be nil.
func findHolder(e *bbwire.Entry, h bbunit.HolderID) *bbwire.Holder {
	if e == nil {
		return nil
	}
	for _, x := range e.Holders {
		if x.Holder == string(h) {
			return x
		}
	}
	return nil
}

// dropHolder removes the holder's record from the entry.
func dropHolder(e *bbwire.Entry, h bbunit.HolderID) {
	for i, x := range e.Holders {
		if x.Holder == string(h) {
			e.Holders = append(e.Holders[:i:i], e.Holders[i+1:]...)
			return
		}
	}
}

// findStuck returns the record of what is stuck with a grantee under a holder, or
// nil.
func findStuck(e *bbwire.Entry, h bbunit.HolderID, g Peer) *bbwire.Stuck {
	for _, s := range e.Stuck {
		if s.Holder == string(h) && s.Grantee == g.String() {
			return s
		}
	}
	return nil
}

// addStuck records what a grantee may still spend and, separately, what it has
// reported as spent.
func addStuck(e *bbwire.Entry, h bbunit.HolderID, g Peer, unspent, spent int64) {
	e.Stuck = append(e.Stuck, &bbwire.Stuck{Holder: string(h), Grantee: g.String(), Amount: unspent, Spent: spent})
}

// dropStuck removes a grantee's stuck amount from the entry and returns what the
// grantee had reported as spent.
func dropStuck(e *bbwire.Entry, h bbunit.HolderID, g Peer) int64 {
	var spent int64
	kept := e.Stuck[:0:0]
	for _, s := range e.Stuck {
		if s.Holder == string(h) && s.Grantee == g.String() {
			spent += s.Spent
			continue
		}
		kept = append(kept, s)
	}
	e.Stuck = kept
	return spent
}

// stuckKeys lists the holders and grantees of the entry's stuck amounts.
func stuckKeys(e *bbwire.Entry) []granteeKey {
	var out []granteeKey
	for _, s := range e.Stuck {
		out = append(out, granteeKey{bbunit.HolderID(s.Holder), ParsePeer(s.Grantee)})
	}
	return out
}

// outdated reports whether applyTicket would change the entry.
func outdated(e *bbwire.Entry, st *bbticket.State) bool {
	return uint64(st.Budgets.Get(bbunit.BudgetID(e.Budget)).Number) > e.Number || e.Capnumber > 0 && uint64(st.Number) >= e.Capnumber
}

// applyTicket updates the paid amount to that of the ticket in force, unless the
// entry has a later one, and drops a cap that is obsolete. It reports whether the
// entry changed.
func applyTicket(e *bbwire.Entry, st *bbticket.State) bool {
	changed := false
	if o := st.Budgets.Get(bbunit.BudgetID(e.Budget)); uint64(o.Number) > e.Number {
		paid := o.Object.Paid
		if o.Object.Deleted || CheckAmount(paid) != nil {
			paid = 0
		}
		e.Paid, e.Number = int64(paid), uint64(o.Number)
		changed = true
	}
	// Once the tickets up to the cap's number are in force, the paid amount is
	// lowered or the cap's ticket was never accepted: either way the cap is over.
	if e.Capnumber > 0 && uint64(st.Number) >= e.Capnumber {
		e.Cap, e.Capnumber, e.Capnonce = 0, 0, ""
		changed = true
	}
	return changed
}

func clonePage(p *bbwire.Page) *bbwire.Page { return proto.Clone(p).(*bbwire.Page) }
