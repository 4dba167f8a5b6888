package bbledger

import (
	"context"

	"bluebellport.example/shared/bbstore"
)

// outcome is the result of a store call.
type outcome int

const (
	outcomeOK           outcome = iota
	outcomeUnavailable          // it has no effect and fails
	outcomeReplyLost            // it takes effect, the answer is lost
	outcomeWriteLost            // it does not take effect, the answer is lost
	outcomeWriteDelayed         // it may take effect later, the answer is lost
)

// finishStoreCall ends an instance's store call with an outcome.
func (s *sim) finishStoreCall(n *simInstance, result outcome) {
	call := n.storeCall
	n.storeCall = nil
	if s.storeDown[n.member.Domain] {
		result = outcomeUnavailable
	}
	var ev any
	switch a := call.(type) {
	case Load:
		s.loads++
		ev = Loaded{Page: clonePage(s.page), Rev: s.rev}
		if result != outcomeOK {
			ev = Loaded{Err: bbstore.ErrDown}
		}
	case Save:
		ev = s.finishSave(a, result)
	default:
		return
	}
	if !n.dead {
		s.perform(n, n.allocator.Step(s.now, ev))
	}
}

func (s *sim) finishSave(a Save, result outcome) Saved {
	s.writes++
	switch result {
	case outcomeUnavailable:
		return Saved{Err: bbstore.ErrDown}
	case outcomeWriteLost:
		return Saved{Err: bbstore.ErrUnknown}
	case outcomeWriteDelayed:
		s.lateWrites = append(s.lateWrites, a)
		return Saved{Err: bbstore.ErrUnknown}
	}
	ok := s.applySave(a)
	switch {
	case result == outcomeReplyLost:
		return Saved{Err: bbstore.ErrUnknown}
	case !ok:
		return Saved{Err: bbstore.ErrConflict}
	}
	return Saved{Rev: s.rev}
}

// applySave applies a write if the page's revision matches.
func (s *sim) applySave(a Save) bool {
	if a.Prev != s.rev {
		return false
	}
	s.page, s.rev = clonePage(a.Page), s.rev+1
	return true
}

func (s *sim) applyLateSave(i int) {
	a := s.lateWrites[i]
	s.lateWrites = append(s.lateWrites[:i:i], s.lateWrites[i+1:]...)
	s.applySave(a)
}

// simPageStore gives calls for operators access to the page of a sim.
type simPageStore struct {
	bbstore.Store
	s *sim
}

func (x simPageStore) Get(_ context.Context, key string) (bbstore.Entry, error) {
	value, err := EncodePage(x.s.page)
	return bbstore.Entry{Key: key, Value: value, Rev: x.s.rev}, err
}

func (x simPageStore) CAS(_ context.Context, _ string, value []byte, prev bbstore.Revision, _ bbstore.LeaseID) (bbstore.Revision, error) {
	p, err := DecodePage(value)
	if err != nil {
		return 0, err
	}
	if !x.s.applySave(Save{Page: p, Prev: prev}) {
		return 0, bbstore.ErrConflict
	}
	return x.s.rev, nil
}
