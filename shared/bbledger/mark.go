package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// pendingMark is a Mark message that the witness has not acknowledged.
type pendingMark struct {
	msg         *bbwire.Mark
	firstSentAt time.Time
	sentAt      time.Time
}

// witnessChange is a change of witness in progress. First all marks are copied to
// the new witness, then a write names it on the page. From the start,
// acknowledgements of the old witness are ignored.
type witnessChange struct {
	next         Peer // zero to go on without a witness
	mark         *pendingMark
	marksCopied  bool // the new witness has acknowledged the marks
	writeStarted bool // a write that names the new witness was started
}

// sendMarks raises marks for the queued wants and sends all changed ones in one
// batch. Without a witness they take effect at once.
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

// raiseMark raises a grantee's mark to twice its want, so that later grants need no
// new mark; less, but no less than the want's least, when headroom is short.
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

// markedSlice returns a grantee's slice with the mark in place of the granted amount.
func (a *allocation) markedSlice(h bbunit.HolderID, p Peer) *bbwire.Slice {
	m := a.sliceMessage(h, p)
	m.Granted = int64(a.grant(p).markSent)
	return m
}

// sendMark sends a batch to a witness under the next sequence number.
func (al *Allocator) sendMark(to Peer, batch []*bbwire.Slice) *pendingMark {
	al.markSeq++
	m := &pendingMark{msg: &bbwire.Mark{Holder: string(al.holder), Seq: al.markSeq, Slices: batch}, firstSentAt: al.now, sentAt: al.now}
	al.send(to.ID, m.msg)
	return m
}

// handleMarkAck handles an acknowledgement of the pending mark by the current witness,
// or by the next one during a change.
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

// applyAckedMarks notes the amounts that the witness has acknowledged.
func (al *Allocator) applyAckedMarks(batch []*bbwire.Slice) {
	for _, m := range batch {
		gr := al.allocation(bbunit.BudgetID(m.Budget)).grant(ParsePeer(m.Grantee))
		gr.markAcked = max(gr.markAcked, bbunit.Tokens(m.Granted))
		gr.returnedAcked = max(gr.returnedAcked, bbunit.Tokens(m.Returned))
	}
}

// checkWitness resends an unacknowledged mark, and changes the witness when it is
// gone or does not answer.
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
	next := al.nextWitness()
	if next == al.witness {
		return
	}
	al.startWitnessChange(next)
}

// startWitnessChange copies all marks to the next witness.
func (al *Allocator) startWitnessChange(next Peer) {
	al.pendingMark = nil
	al.witnessChange = &witnessChange{next: next, marksCopied: next == (Peer{})}
	var all []*bbwire.Slice
	for _, a := range al.sortedAllocations() {
		for _, p := range a.grantees() {
			all = append(all, a.markedSlice(al.holder, p))
		}
	}
	if next == (Peer{}) {
		al.markSeq++
		al.witnessChange.mark = &pendingMark{msg: &bbwire.Mark{Holder: string(al.holder), Seq: al.markSeq, Slices: all}}
		return
	}
	al.witnessChange.mark = al.sendMark(next, all)
}

// checkWitnessChange resends the copied marks. It gives up on a new witness that does
// not answer, unless a write that names it was started.
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

// editWitness sets the new witness in the holder's record on every entry.
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

// finishWitnessChange adopts the witness that the page names. It must be called only
// when no write of this allocator can still take effect.
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
