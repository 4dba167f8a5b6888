package bbshare

import (
	"encoding/json"
	"maps"
	"strings"

	"github.com/juju/errors"

	"bluebellport.example/shared/bbunit"
)

// ErrMalformedRow marks a row that cannot be read. Nothing is drawn from it.
const ErrMalformedRow = errors.ConstError("bad money row")

// Grant is what one holder has of an account. Both only concern its life: a
// holder's id is never used twice.
type Grant struct {
	// Granted is all that the holder may spend, what it has spent included and
	// less what it was lent: it is below 0 once a holder gives back borrowed
	// money, which its lender counts as spent.
	Granted bbunit.Tokens `json:"granted"`
	// Spent is what it is known to have spent, at least.
	Spent bbunit.Tokens `json:"spent"`
}

// Row is one account's state in the store.
type Row struct {
	// Closed is what holders had that are no more.
	Closed bbunit.Tokens `json:"closed"`
	// Lost is the part of that which was not known to be spent when its holder
	// died: kills have wasted at most so much.
	Lost    bbunit.Tokens             `json:"lost,omitempty"`
	Holders map[bbunit.HolderID]Grant `json:"holders,omitempty"`
}

// ParseRow reads a row; an empty value is a new row.
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

// Encode returns the row as it stands in the store.
func (r Row) Encode() []byte {
	b, err := json.Marshal(r)
	if err != nil {
		panic(err) // maps of named strings and numbers always encode
	}
	return b
}

// TotalGranted returns what the row grants in all.
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
			sum += max(g.Granted-g.Spent, 0)
		}
	}
	return sum
}

// withGrant returns a copy in which the holder has the grant, and earlier lives of
// its instance are closed at all that they were granted.
func (r Row) withGrant(id bbunit.HolderID, g Grant) Row {
	next := Row{Closed: r.Closed, Lost: r.Lost, Holders: maps.Clone(r.Holders)}
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

// withClosed returns a copy in which the holder is closed at what it has spent.
func (r Row) withClosed(id bbunit.HolderID, spent bbunit.Tokens) Row {
	next := r.withGrant(id, Grant{})
	delete(next.Holders, id)
	next.Closed += spent
	return next
}

// NewHolderID returns the id of one life of an instance, which its peers reach at
// an address.
func NewHolderID(instance, address bbunit.InstanceID, incarnation string) bbunit.HolderID {
	return bbunit.HolderID(string(instance) + "@" + string(address) + "/" + incarnation)
}

// addressOf returns where the peers of a holder reach it.
func addressOf(id bbunit.HolderID) bbunit.InstanceID {
	_, address, _ := strings.Cut(instanceOf(id), "@")
	return bbunit.InstanceID(address)
}

func instanceOf(id bbunit.HolderID) string {
	s := string(id)
	if i := strings.LastIndexByte(s, '/'); i >= 0 {
		return s[:i]
	}
	return s
}
