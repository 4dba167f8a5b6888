package bbshare

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbstore"
	"bluebellport.example/shared/bbunit"
)

// ErrMalformedRow is the error of a row that cannot be decoded. Such a row is not
// used.
const ErrMalformedRow = errors.ConstError("malformed account row")

// Grant is one holder's entry in a row. A holder is one incarnation of an instance;
// its id is never used again.
type Grant struct {
	// Granted is the total that the holder may spend, including what it has spent
	// but not what it has borrowed. It becomes negative when the holder returns
	// borrowed tokens, which the lender counts as spent.
	Granted bbunit.Tokens `json:"granted"`
	// Spent is a lower bound of what the holder has spent.
	Spent bbunit.Tokens `json:"spent"`
	// Rate is the demand in tokens per second that the holder served as it wrote the
	// grant, 0 if there was none or it did not say.
	Rate bbunit.Tokens `json:"rate,omitempty"`
	// Borrowed is the part of Spent that instances which borrowed it from the holder were
	// estimated to have left.
	Borrowed bbunit.Tokens `json:"borrowed,omitempty"`
	// Era is the store's era in which the holder wrote the grant.
	Era bbstore.Era `json:"era,omitempty"`
}

// Row is the state of one account in the store.
type Row struct {
	// Closed is what ended holders have used up: the spending of those that were
	// closed in order, and the whole grant of those that were killed.
	Closed bbunit.Tokens `json:"closed"`
	// Lost is the part of Closed that killed holders were not known to have spent:
	// an upper bound of the tokens wasted by kills.
	Lost    bbunit.Tokens             `json:"lost,omitempty"`
	Holders map[bbunit.HolderID]Grant `json:"holders,omitempty"`
	// WrittenIn is the store's era in which the row was last written, SettledIn that
	// in which it was written by a holder that had settled. Base is the revision of
	// the row over which it was first written in the era WrittenIn.
	WrittenIn bbstore.Era      `json:"written-in,omitempty"`
	SettledIn bbstore.Era      `json:"settled-in,omitempty"`
	Base      bbstore.Revision `json:"base,omitempty"`
}

// ParseRow decodes a row. An empty value is a new row. The error is an
// ErrMalformedRow.
func ParseRow(value []byte) (Row, error) {
	var r Row
	if len(value) == 0 {
		return r, nil
	}
	if err := json.Unmarshal(value, &r); err != nil {
		return r, errors.WithType(err, ErrMalformedRow)
	}
	return r, nil
}

// Encode returns the row's value in the store.
func (r Row) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // cannot happen: the fields are integers and a map with string keys
	}
	return b
}

// TotalGranted returns the sum of all grants, ended holders included.
func (r Row) TotalGranted() bbunit.Tokens {
	sum := r.Closed
	for _, g := range r.Holders {
		sum += g.Granted
	}
	return sum
}

// UnspentByOthers returns what holders other than id may still have.
func (r Row) UnspentByOthers(id bbunit.HolderID) bbunit.Tokens {
	var sum bbunit.Tokens
	for other, g := range r.Holders {
		if other != id {
			sum += g.unspent()
		}
	}
	return sum
}

// unspent returns what the holder and those that borrowed from it may still have.
func (g Grant) unspent() bbunit.Tokens {
	return max(g.Granted-g.Spent, 0) + min(max(g.Borrowed, 0), max(g.Spent, 0))
}

// withGrant returns a copy in which the holder has the grant. It closes earlier
// incarnations of the same instance; their whole grants count as used.
func (r Row) withGrant(id bbunit.HolderID, g Grant) Row {
	next := r
	next.Holders = maps.Clone(r.Holders)
	if next.Holders == nil {
		next.Holders = map[bbunit.HolderID]Grant{}
	}
	for other, old := range r.Holders {
		if other != id && instanceOf(other) == instanceOf(id) {
			next.Closed += old.Granted
			next.Lost += max(old.Granted-old.Spent, 0)
			delete(next.Holders, other)
		}
	}
	next.Holders[id] = g
	return next
}

// withClosed returns a copy without the holder, in which only what it has spent
// counts as used.
func (r Row) withClosed(id bbunit.HolderID, spent bbunit.Tokens) Row {
	next := r.withGrant(id, Grant{})
	delete(next.Holders, id)
	next.Closed += spent
	return next
}

// NewHolderID returns the holder id of one incarnation of an instance, in the form
// instance@address/incarnation. Address is where peers reach the instance.
func NewHolderID(instance, address bbunit.InstanceID, incarnation string) bbunit.HolderID {
	return bbunit.HolderID(string(instance) + "@" + string(address) + "/" + incarnation)
}

// addressOf returns the address at which peers reach a holder.
func addressOf(id bbunit.HolderID) bbunit.InstanceID {
	_, address, _ := strings.Cut(instanceOf(id), "@")
	return bbunit.InstanceID(address)
}

// instanceOf returns the part of a holder id that all incarnations of an instance
// share: instance@address.
func instanceOf(id bbunit.HolderID) string {
	s := string(id)
	if i := strings.LastIndexByte(s, '/'); i >= 0 {
		return s[:i]
	}
	return s
}
