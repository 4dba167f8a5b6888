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
	// PageCount is how many pages the budgets are spread over. It never changes
	// for the life of a fleet.
	PageCount = 256
	// PagePrefix is the key prefix of all pages.
	PagePrefix = "/bb/page/"
	// MaxPaid is the largest amount that a budget may hold, in tokens. Sums
	// over a page stay far from overflow.
	MaxPaid = bbunit.Tokens(1) << 50
)

// Sentinel errors of pages, tested with errors.Is.
const (
	// ErrMalformedPage means that a page's value could not be read.
	ErrMalformedPage = errors.ConstError("budget page malformed")
	// ErrAmountRange means that an amount is negative or above MostPaid.
	ErrAmountRange = errors.ConstError("amount out of range")
)

// PageOf returns the page that the budget is on.
func PageOf(b bbunit.BudgetID) int {
	return int(xxhash.Sum64String(string(b)) % PageCount)
}

// PageKey returns the key of a page in the key-value service.
func PageKey(n int) string { return fmt.Sprintf("%s%04d", PagePrefix, n) }

// PageHomeKey returns the name under which keepers of a page are ranked.
func PageHomeKey(n int) string { return fmt.Sprintf("page/%04d", n) }

// DecodePage reads a page's value; nil gives an empty page. ErrPage.
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
				return nil, errors.Annotatef(ErrMalformedPage, "budget %s: name %d of %d", e.Budget, h.Name, len(p.Names))
			}
			n := p.Names[h.Name-1]
			h.Holder, h.Instance, h.Domain, h.Witness, h.Name = n.Holder, n.Instance, n.Domain, n.Witness, 0
		}
	}
	p.Names = nil
	return p, nil
}

// EncodePage returns the value of a page. A keeper holds many budgets of a page
// under one name, which is stored once.
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

// CheckAmount returns ErrAmount unless 0 <= n <= MostPaid.
func CheckAmount(n bbunit.Tokens) error {
	if n < 0 || n > MaxPaid {
		return errors.Annotatef(ErrAmountRange, "%d tokens", n)
	}
	return nil
}

// EffectiveLimit is how much of the budget may be taken: paid, or the cap of a
// ticket that is about to lower it.
func EffectiveLimit(e *bbwire.Entry) bbunit.Tokens {
	if e.Capnumber > e.Number && e.Cap < e.Paid {
		return bbunit.Tokens(e.Cap)
	}
	return bbunit.Tokens(e.Paid)
}

// Charged is all that counts against the budget: settled, stuck and drawn.
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

// Remaining is what may still be drawn of the budget, never below 0.
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

// ensureEntry returns the budget's entry and adds it in order when absent.
func ensureEntry(p *bbwire.Page, b bbunit.BudgetID) *bbwire.Entry {
	if e := findEntry(p, b); e != nil {
		return e
	}
	e := &bbwire.Entry{Budget: string(b)}
	p.Entries = append(p.Entries, e)
	sort.Slice(p.Entries, func(i, j int) bool { return p.Entries[i].Budget < p.Entries[j].Budget })
	return e
}

// findHolder returns the holder's place on the entry, or nil.
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

// dropHolder takes the holder's place off the entry.
func dropHolder(e *bbwire.Entry, h bbunit.HolderID) {
	for i, x := range e.Holders {
		if x.Holder == string(h) {
			e.Holders = append(e.Holders[:i:i], e.Holders[i+1:]...)
			return
		}
	}
}

// findStuck returns the stuck amount of a holder with a grantee, or nil.
func findStuck(e *bbwire.Entry, h bbunit.HolderID, g Peer) *bbwire.Stuck {
	for _, s := range e.Stuck {
		if s.Holder == string(h) && s.Grantee == g.String() {
			return s
		}
	}
	return nil
}

// addStuck counts what a grantee may still spend, apart from what it is known to
// have spent.
func addStuck(e *bbwire.Entry, h bbunit.HolderID, g Peer, unspent, spent int64) {
	e.Stuck = append(e.Stuck, &bbwire.Stuck{Holder: string(h), Grantee: g.String(), Amount: unspent, Spent: spent})
}

// dropStuck takes a grantee's stuck amount off the entry and returns what it was
// known to have spent beside.
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

// stuckKeys lists whose final account the entry waits for.
func stuckKeys(e *bbwire.Entry) []granteeKey {
	var out []granteeKey
	for _, s := range e.Stuck {
		out = append(out, granteeKey{bbunit.HolderID(s.Holder), ParsePeer(s.Grantee)})
	}
	return out
}

// outdated tells whether advance would change the entry.
func outdated(e *bbwire.Entry, st *bbticket.State) bool {
	return uint64(st.Budgets.Get(bbunit.BudgetID(e.Budget)).Number) > e.Number || e.Capnumber > 0 && uint64(st.Number) >= e.Capnumber
}

// applyTicket puts a ticket's paid amount on the entry, only forward by number, and
// drops a cap whose ticket came to nothing. It reports whether the entry changed.
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
	// With every ticket up to the cap's in force, the cap is either carried out
	// or its ticket was never accepted.
	if e.Capnumber > 0 && uint64(st.Number) >= e.Capnumber {
		e.Cap, e.Capnumber, e.Capnonce = 0, 0, ""
		changed = true
	}
	return changed
}

func clonePage(p *bbwire.Page) *bbwire.Page { return proto.Clone(p).(*bbwire.Page) }
