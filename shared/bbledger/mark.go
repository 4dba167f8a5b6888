package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// pendingMark is a mark that the witness has not acknowledged.
type pendingMark struct {
	msg         *bbwire.Mark
	firstSentAt time.Time
	sentAt      time.Time
}

// witnessChange is a change of witness: its marks are carried to the new one first, then
// the page names it. From its start no acknowledgement of the old witness is
// taken.
type witnessChange struct {
	next         Peer
	mark         *pendingMark
	marksCopied  bool // the new witness has the marks
	writeStarted bool // a write that names the new witness is out
}

// sendMarks sends the next batch of marks, ahead of need.
func (al *Allocator) sendMarks() {
	if !al.onPage || al.pendingMark != nil || al.witnessChange != nil {
		return
	}
	var batch []*bbwire.Slice
	for _, w := range al.wants {
		a := al.allocation(w.budget)
		al.raiseMark(a, a.grant(w.grantee), w)
	}
	for _, a := range al.sortedAllocations() {
		if !a.marksPending {
			continue
		}
		a.marksPending = false
		for _, p := range a.grantees() {
			if gr := a.grant(p); !gr.stuck && (gr.markSent > gr.markAcked || gr.returned > gr.returnedAcked) {
				batch = append(batch, a.markedSlice(al.holder, p))
				a.marksPending = true
			}
		}
	}
	if len(batch) == 0 {
		return
	}
	if al.witness == (Peer{}) {
		al.applyAckedMarks(batch)
		al.serveWants()
		return
	}
	al.pendingMark = al.sendMark(al.witness, batch)
}

// raiseMark raises the mark of one grantee to twice what it wants, less when
// there is little.
func (al *Allocator) raiseMark(a *allocation, gr *grant, w *want) {
	unusedMark := gr.markSent - gr.granted
	headroom := a.headroom()
	if unusedMark >= w.least || headroom < w.least-unusedMark {
		return
	}
	fairShare := headroom / bbunit.Tokens(2*max(1, len(a.grants)))
	more := min(headroom, max(w.least-unusedMark, min(2*w.amount-unusedMark, fairShare)))
	gr.markSent += more
	a.marksPending = true
}

// markedSlice is what the witness is to remember of a grantee.
func (a *allocation) markedSlice(h bbunit.HolderID, p Peer) *bbwire.Slice {
	m := a.sliceMessage(h, p)
	m.Granted = int64(a.grant(p).markSent)
	return m
}

func (al *Allocator) sendMark(to Peer, batch []*bbwire.Slice) *pendingMark {
	al.markSeq++
	m := &pendingMark{msg: &bbwire.Mark{Holder: string(al.holder), Seq: al.markSeq, Slices: batch}, firstSentAt: al.now, sentAt: al.now}
	al.send(to.ID, m.msg)
	return m
}

// handleMarkAck takes a witness's acknowledgement, from the witness that counts and of
// the mark that is out.
func (al *Allocator) handleMarkAck(e MarkAcked) {
	if e.Msg.Holder != string(al.holder) {
		return
	}
	if wc := al.witnessChange; wc != nil {
		if e.From == wc.next && wc.mark != nil && e.Msg.Seq == wc.mark.msg.Seq && !e.Msg.Frozen {
			wc.marksCopied = true
		}
		return
	}
	if e.From != al.witness || al.pendingMark == nil || e.Msg.Seq != al.pendingMark.msg.Seq {
		return
	}
	if e.Msg.Frozen {
		al.retireHolder()
		return
	}
	batch := al.pendingMark.msg.Slices
	al.pendingMark = nil
	al.applyAckedMarks(batch)
}

// applyAckedMarks notes what the witness remembers now.
func (al *Allocator) applyAckedMarks(batch []*bbwire.Slice) {
	for _, m := range batch {
		gr := al.allocation(bbunit.BudgetID(m.Budget)).grant(ParsePeer(m.Grantee))
		gr.markAcked = max(gr.markAcked, bbunit.Tokens(m.Granted))
		gr.returnedAcked = max(gr.returnedAcked, bbunit.Tokens(m.Returned))
	}
}

// checkWitness sends marks again and moves away from a witness that is gone or
// silent.
func (al *Allocator) checkWitness() {
	if !al.onPage {
		return
	}
	if al.witnessChange != nil {
		al.checkWitnessChange()
		return
	}
	if al.pendingMark != nil && al.now.Sub(al.pendingMark.sentAt) >= resendInterval {
		al.pendingMark.sentAt = al.now
		al.send(al.witness.ID, al.pendingMark.msg)
	}
	silent := al.pendingMark != nil && al.now.Sub(al.pendingMark.firstSentAt) >= witnessTimeout
	if silent {
		al.suspectedAt[al.witness] = al.now
	}
	if al.witness != (Peer{}) && alive(al.view, al.witness) && !silent {
		return
	}
	to := al.nextWitness()
	if to == al.witness {
		return
	}
	al.startWitnessChange(to)
}

func (al *Allocator) startWitnessChange(to Peer) {
	al.pendingMark = nil
	al.witnessChange = &witnessChange{next: to, marksCopied: to == (Peer{})}
	var all []*bbwire.Slice
	for _, a := range al.sortedAllocations() {
		for _, p := range a.grantees() {
			all = append(all, a.markedSlice(al.holder, p))
		}
	}
	if to == (Peer{}) {
		al.markSeq++
		al.witnessChange.mark = &pendingMark{msg: &bbwire.Mark{Holder: string(al.holder), Seq: al.markSeq, Slices: all}}
		return
	}
	al.witnessChange.mark = al.sendMark(to, all)
}

// checkWitnessChange sends the carried marks again and gives up on a new witness that is
// silent, unless a write that names it is out.
func (al *Allocator) checkWitnessChange() {
	wc := al.witnessChange
	if wc.marksCopied || wc.writeStarted {
		return
	}
	if al.now.Sub(wc.mark.firstSentAt) >= witnessTimeout {
		al.suspectedAt[wc.next] = al.now
		al.witnessChange = nil
		return
	}
	if al.now.Sub(wc.mark.sentAt) >= resendInterval {
		wc.mark.sentAt = al.now
		al.send(wc.next.ID, wc.mark.msg)
	}
}

// editWitness names the new witness on every entry of the holder.
func (al *Allocator) editWitness(p *bbwire.Page) bool {
	if al.witnessChange == nil || !al.witnessChange.marksCopied {
		return false
	}
	changed := false
	for _, e := range p.Entries {
		if h := findHolder(e, al.holder); h != nil && h.Witness != al.witnessChange.next.String() {
			h.Witness = al.witnessChange.next.String()
			h.Seq++
			changed = true
		}
	}
	al.witnessChange.writeStarted = al.witnessChange.writeStarted || changed
	return changed
}

// finishWitnessChange takes the witness that the page names, after no write can land any
// more.
func (al *Allocator) finishWitnessChange(current Peer) {
	wc := al.witnessChange
	if wc == nil || !wc.writeStarted {
		al.witness = current
		return
	}
	al.witnessChange = nil
	al.witness = current
	if current == wc.next {
		al.applyAckedMarks(wc.mark.msg.Slices)
	}
}
