package bbroute

import (
	"sync/atomic"
	"time"
)

// leaveState tells whether a target is leaving, by whose word.
type leaveState struct {
	since   atomic.Int64 // unix nanoseconds; 0 is not leaving
	cleared atomic.Int64 // when the target's own report last took it back
}

// Leaving tells that the target gets nothing new.
func (t *TargetState) Leaving() bool { return t.leave.since.Load() != 0 }

// MarkLeaving notes the target's own word that it is leaving. It reports whether
// this is news.
func (t *TargetState) MarkLeaving(now time.Time) bool {
	return t.leave.since.CompareAndSwap(0, now.UnixNano())
}

// MarkLeavingByPeer notes another instance's word. It is passed over soon after the
// target's own report said otherwise, so that two instances cannot keep an old
// word alive between them.
func (t *TargetState) MarkLeavingByPeer(now time.Time) bool {
	cleared := t.leave.cleared.Load()
	if cleared != 0 && now.UnixNano()-cleared < int64(leaveDeaf) {
		return false
	}
	return t.MarkLeaving(now)
}

// ShouldGossipLeaving tells that the word is young enough to be passed on.
func (t *TargetState) ShouldGossipLeaving(now time.Time) bool {
	since := t.leave.since.Load()
	return since != 0 && now.UnixNano()-since < int64(leaveTell)
}

// stay takes the word back when the target was asked well after it and does
// not call itself leaving.
func (t *TargetState) stay(asked, now time.Time) bool {
	since := t.leave.since.Load()
	if since == 0 || asked.UnixNano()-since < int64(leaveSettle) {
		return false
	}
	t.leave.cleared.Store(now.UnixNano())
	return t.leave.since.CompareAndSwap(since, 0)
}
