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
}

// RecordLender records that a lender has so much left after it was asked.
func (s *AccountShare) RecordLender(address bbunit.InstanceID, left bbunit.Tokens) {
	if s.lenders.byAddress == nil {
		s.lenders = lenderWords{byAddress: map[bbunit.InstanceID]lenderWord{}}
	}
	s.lenders.byAddress[address] = lenderWord{left: max(left, 0), granted: s.grantedAt(address), ticks: lenderWordTicks}
}

// grantedAt returns what the row grants the holders at an address.
func (s *AccountShare) grantedAt(address bbunit.InstanceID) bbunit.Tokens {
	var sum bbunit.Tokens
	for id, g := range s.row.Holders {
		if addressOf(id) == address {
			sum += g.Granted
		}
	}
	return sum
}

// tick lets words grow old.
func (w *lenderWords) tick() {
	for address, word := range w.byAddress {
		if word.ticks--; word.ticks <= 0 {
			delete(w.byAddress, address)
			continue
		}
		w.byAddress[address] = word
	}
}

// Lenders returns the other holders that may have unspent tokens, in descending order of
// the amount. Of one that has said what it has left, that counts as long as the row grants
// it no more.
func (s *AccountShare) Lenders(holder bbunit.HolderID) []Lender {
	var lenders []Lender
	for id, g := range s.row.Holders {
		address := addressOf(id)
		if id == holder || address == "" {
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
