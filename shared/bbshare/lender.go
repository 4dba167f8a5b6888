package bbshare

import (
	"cmp"
	"slices"

	"bluebellport.example/shared/bbunit"
)

// Lender is another holder that may have unspent tokens. Unspent is the most that it can
// have, as far as the last known row and its own last word tell; what it has borrowed is
// not counted in the row.
type Lender struct {
	Address bbunit.InstanceID
	Unspent bbunit.Tokens
}

// lenderWordTicks is for how many calls of Allocator.Tick the word of a lender holds. After
// that it may have more again, as requests there have ended.
const lenderWordTicks = 2

// lenderWord is what a lender has said that it has left.
type lenderWord struct {
	left    bbunit.Tokens
	granted bbunit.Tokens // to it, by the row known then
	ticks   int           // for which it still holds
}

// lenderWords are the words of the lenders of an account. The zero value is none.
type lenderWords struct {
	byAddress map[bbunit.InstanceID]lenderWord
	// dead are the holders in the row that have ended: a later life of the same instance
	// has answered.
	dead map[bbunit.HolderID]bool
}

// RecordLender records that a lender has so much left after it was asked. Life is its
// holder now, empty if it did not tell.
func (s *AccountShare) RecordLender(address bbunit.InstanceID, life bbunit.HolderID, left bbunit.Tokens) {
	if s.lenders.byAddress == nil {
		s.lenders = lenderWords{byAddress: map[bbunit.InstanceID]lenderWord{}, dead: map[bbunit.HolderID]bool{}}
	}
	if life != "" {
		for id := range s.row.Holders {
			if id != life && instanceOf(id) == instanceOf(life) {
				s.lenders.dead[id] = true
			}
		}
	}
	s.lenders.byAddress[address] = lenderWord{left: max(left, 0), granted: s.grantedAt(address), ticks: lenderWordTicks}
}

// grantedAt returns what the row grants the living holder at an address.
func (s *AccountShare) grantedAt(address bbunit.InstanceID) bbunit.Tokens {
	var sum bbunit.Tokens
	for id, g := range s.row.Holders {
		if addressOf(id) == address && !s.lenders.dead[id] {
			sum += g.Granted
		}
	}
	return sum
}

// tick lets words grow old, and forgets dead holders that have left the row.
func (w *lenderWords) tick(row Row) {
	for address, word := range w.byAddress {
		if word.ticks--; word.ticks <= 0 {
			delete(w.byAddress, address)
			continue
		}
		w.byAddress[address] = word
	}
	for id := range w.dead {
		if _, ok := row.Holders[id]; !ok {
			delete(w.dead, id)
		}
	}
}

// Lenders returns the other holders that may have unspent tokens, in descending order of
// the amount. Of one that has said what it has left, that counts as long as the row grants
// it no more.
func (s *AccountShare) Lenders(holder bbunit.HolderID) []Lender {
	var lenders []Lender
	for id, g := range s.row.Holders {
		address := addressOf(id)
		if id == holder || address == "" || s.lenders.dead[id] {
			continue
		}
		unspent := g.unspent()
		if word, ok := s.lenders.byAddress[address]; ok && s.grantedAt(address) <= word.granted {
			unspent = min(unspent, word.left)
		}
		if unspent > 0 {
			lenders = append(lenders, Lender{address, unspent})
		}
	}
	slices.SortFunc(lenders, func(x, y Lender) int {
		return cmp.Or(cmp.Compare(y.Unspent, x.Unspent), cmp.Compare(x.Address, y.Address))
	})
	return lenders
}

// UnspentByOthers returns what holders other than the given one may still have, according
// to the last known row. Those known to have ended have nothing.
func (s *AccountShare) UnspentByOthers(holder bbunit.HolderID) bbunit.Tokens {
	sum := s.row.UnspentByOthers(holder)
	for id := range s.lenders.dead {
		if g, ok := s.row.Holders[id]; ok && id != holder {
			sum -= g.unspent()
		}
	}
	return sum
}
