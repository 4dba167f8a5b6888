package bbledger

import (
	"time"

	"bluebellport.example/shared/bbunit"
	"bluebellport.example/shared/bbwire"
)

// pendingMark is a mark that the witness has not acknowledged.
type pendingMark struct {
	msg   *bbwire.Mark
	since time.Time
	sent  time.Time
}

// move is a change of witness: its marks are carried to the new one first, then
// the page names it. From its start no acknowledgement of the old witness is
// taken.
type move struct {
	to     Peer
	mark   *pendingMark
	ready  bool // the new witness has the marks
	placed bool // a write that names the new witness is out
}

// raise sends the next batch of marks, ahead of need.
func (k *Allocator) raise() {
	if !k.opened || k.mark != nil || k.move != nil {
		return
	}
	var batch []*bbwire.Slice
	for _, w := range k.wants {
		a := k.account(w.budget)
		k.raiseWant(a, a.share(w.peer), w)
	}
	for _, a := range k.ordered() {
		if !a.marks {
			continue
		}
		a.marks = false
		for _, p := range a.peers() {
			if s := a.share(p); !s.stranded && (s.sent > s.acked || s.returned > s.ackedRet) {
				batch = append(batch, a.markSlice(k.holder, p))
				a.marks = true
			}
		}
	}
	if len(batch) == 0 {
		return
	}
	if k.witness == (Peer{}) {
		k.applyMarks(batch)
		k.serve()
		return
	}
	k.mark = k.newMark(k.witness, batch)
}

// raiseWant raises the mark of one grantee to twice what it wants, less when
// there is little.
func (k *Allocator) raiseWant(a *account, s *share, w *want) {
	ahead := s.sent - s.granted
	head := a.headroom()
	if ahead >= w.least || head < w.least-ahead {
		return
	}
	fair := head / bbunit.Tokens(2*max(1, len(a.shares)))
	more := min(head, max(w.least-ahead, min(2*w.amount-ahead, fair)))
	s.sent += more
	a.marks = true
}

// markSlice is what the witness is to remember of a grantee.
func (a *account) markSlice(h bbunit.HolderID, p Peer) *bbwire.Slice {
	m := a.slice(h, p)
	m.Granted = int64(a.share(p).sent)
	return m
}

func (k *Allocator) newMark(to Peer, batch []*bbwire.Slice) *pendingMark {
	k.seq++
	m := &pendingMark{msg: &bbwire.Mark{Holder: string(k.holder), Seq: k.seq, Slices: batch}, since: k.now, sent: k.now}
	k.send(to.ID, m.msg)
	return m
}

// acked takes a witness's acknowledgement, from the witness that counts and of
// the mark that is out.
func (k *Allocator) acked(e MarkAcked) {
	if e.Msg.Holder != string(k.holder) {
		return
	}
	if mv := k.move; mv != nil {
		if e.From == mv.to && mv.mark != nil && e.Msg.Seq == mv.mark.msg.Seq && !e.Msg.Frozen {
			mv.ready = true
		}
		return
	}
	if e.From != k.witness || k.mark == nil || e.Msg.Seq != k.mark.msg.Seq {
		return
	}
	if e.Msg.Frozen {
		k.retire()
		return
	}
	batch := k.mark.msg.Slices
	k.mark = nil
	k.applyMarks(batch)
}

// applyMarks notes what the witness remembers now.
func (k *Allocator) applyMarks(batch []*bbwire.Slice) {
	for _, m := range batch {
		s := k.account(bbunit.BudgetID(m.Budget)).share(ParsePeer(m.Grantee))
		s.acked = max(s.acked, bbunit.Tokens(m.Granted))
		s.ackedRet = max(s.ackedRet, bbunit.Tokens(m.Returned))
	}
}

// watchWitness sends marks again and moves away from a witness that is gone or
// silent.
func (k *Allocator) watchWitness() {
	if !k.opened {
		return
	}
	if k.move != nil {
		k.watchMove()
		return
	}
	if k.mark != nil && k.now.Sub(k.mark.sent) >= resendAfter {
		k.mark.sent = k.now
		k.send(k.witness.ID, k.mark.msg)
	}
	lost := k.mark != nil && k.now.Sub(k.mark.since) >= witnessFor
	if lost {
		k.suspect[k.witness] = k.now
	}
	if k.witness != (Peer{}) && alive(k.view, k.witness) && !lost {
		return
	}
	to := k.candidate()
	if to == k.witness {
		return
	}
	k.startMove(to)
}

func (k *Allocator) startMove(to Peer) {
	k.mark = nil
	k.move = &move{to: to, ready: to == (Peer{})}
	var all []*bbwire.Slice
	for _, a := range k.ordered() {
		for _, p := range a.peers() {
			all = append(all, a.markSlice(k.holder, p))
		}
	}
	if to == (Peer{}) {
		k.seq++
		k.move.mark = &pendingMark{msg: &bbwire.Mark{Holder: string(k.holder), Seq: k.seq, Slices: all}}
		return
	}
	k.move.mark = k.newMark(to, all)
}

// watchMove sends the carried marks again and gives up on a new witness that is
// silent, unless a write that names it is out.
func (k *Allocator) watchMove() {
	mv := k.move
	if mv.ready || mv.placed {
		return
	}
	if k.now.Sub(mv.mark.since) >= witnessFor {
		k.suspect[mv.to] = k.now
		k.move = nil
		return
	}
	if k.now.Sub(mv.mark.sent) >= resendAfter {
		mv.mark.sent = k.now
		k.send(mv.to.ID, mv.mark.msg)
	}
}

// editMove names the new witness on every entry of the holder.
func (k *Allocator) editMove(p *bbwire.Page) bool {
	if k.move == nil || !k.move.ready {
		return false
	}
	changed := false
	for _, e := range p.Entries {
		if h := findHolder(e, k.holder); h != nil && h.Witness != k.move.to.String() {
			h.Witness = k.move.to.String()
			h.Seq++
			changed = true
		}
	}
	k.move.placed = k.move.placed || changed
	return changed
}

// settleMove takes the witness that the page names, after no write can land any
// more.
func (k *Allocator) settleMove(named Peer) {
	mv := k.move
	if mv == nil || !mv.placed {
		k.witness = named
		return
	}
	k.move = nil
	k.witness = named
	if named == mv.to {
		k.applyMarks(mv.mark.msg.Slices)
	}
}
