package bbledger

import (
	"sort"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// Witness stores the marks of holders of other instances: the most that each of
// their grantees may hold. A frozen holder's marks never change again. The zero
// value is ready to use.
type Witness struct {
	holders map[bbunit.HolderID]*holderMarks
}

// holderMarks are the marks of one holder.
type holderMarks struct {
	marked bool // a mark was received before the freeze
	frozen bool
	marks  map[sliceKey]*bbwire.Slice
}

// sliceKey identifies a slice among those of one holder.
type sliceKey struct {
	budget  string
	grantee string
}

// ensureMarks returns the holder's record, adding an empty one if there is none.
func (w *Witness) ensureMarks(h bbunit.HolderID) *holderMarks {
	if w.holders == nil {
		w.holders = map[bbunit.HolderID]*holderMarks{}
	}
	hm := w.holders[h]
	if hm == nil {
		hm = &holderMarks{marks: map[sliceKey]*bbwire.Slice{}}
		w.holders[h] = hm
	}
	return hm
}

// Mark raises the marks of a holder, unless it is frozen, and returns the answer.
func (w *Witness) Mark(m *bbwire.Mark) *bbwire.MarkAck {
	hm := w.ensureMarks(bbunit.HolderID(m.Holder))
	ack := &bbwire.MarkAck{Holder: m.Holder, Seq: m.Seq, Frozen: hm.frozen}
	if hm.frozen {
		return ack
	}
	hm.marked = true
	for _, s := range m.Slices {
		k := sliceKey{s.Budget, s.Grantee}
		old := hm.marks[k]
		if old == nil {
			old = &bbwire.Slice{Budget: s.Budget, Holder: m.Holder, Grantee: s.Grantee}
			hm.marks[k] = old
		}
		mergeMax(old, s)
	}
	return ack
}

// Freeze refuses all further marks of the holder, even of an unknown one, and
// returns the last ones.
func (w *Witness) Freeze(f *bbwire.Freeze) *bbwire.FreezeTell {
	hm := w.ensureMarks(bbunit.HolderID(f.Holder))
	hm.frozen = true
	tell := &bbwire.FreezeTell{Holder: f.Holder, Known: hm.marked}
	for _, s := range hm.marks {
		tell.Slices = append(tell.Slices, s)
	}
	sortSlices(tell.Slices)
	return tell
}

// mergeMax raises each amount of old to that of s.
func mergeMax(old, s *bbwire.Slice) {
	old.Granted = max(old.Granted, s.Granted)
	old.Spent = max(old.Spent, s.Spent)
	old.Returned = max(old.Returned, s.Returned)
}

// sortSlices sorts by budget, holder and grantee.
func sortSlices(s []*bbwire.Slice) {
	sort.Slice(s, func(i, j int) bool {
		if s[i].Budget != s[j].Budget {
			return s[i].Budget < s[j].Budget
		}
		if s[i].Holder != s[j].Holder {
			return s[i].Holder < s[j].Holder
		}
		return s[i].Grantee < s[j].Grantee
	})
}
