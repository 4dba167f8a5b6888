package bbroute

import (
	"sync/atomic"
	"time"
)

// leavingState tells whether a target is leaving, by whose word.
type leavingState struct {
	since     atomic.Int64 // unix nanoseconds; 0 is not leaving
	clearedAt atomic.Int64 // when the target's own report last took it back
}

// Leaving tells that the target gets nothing new.
func (t *TargetState) Leaving() bool { return t.leaving.since.Load() != 0 }

// MarkLeaving notes the target's own word that it is leaving. It reports whether
// this is news.
func (t *TargetState) MarkLeaving(now time.Time) bool {
	return t.leaving.since.CompareAndSwap(0, now.UnixNano())
}

// MarkLeavingByPeer notes another instance's word. It is passed over soon after the
// target's own report said otherwise, so that two instances cannot keep an old
// word alive between them.
func (t *TargetState) MarkLeavingByPeer(now time.Time) bool {
	clearedAt := t.leaving.clearedAt.Load()
	if clearedAt != 0 && now.UnixNano()-clearedAt < int64(peerLeavingIgnoreTime) {
		return false
	}
	return t.MarkLeaving(now)
}

// ShouldGossipLeaving tells that the word is young enough to be passed on.
func (t *TargetState) ShouldGossipLeaving(now time.Time) bool {
	since := t.leaving.since.Load()
	return since != 0 && now.UnixNano()-since < int64(leavingGossipTime)
}

// clearLeaving takes the word back when the target was asked well after it and does
// not call itself leaving.
func (t *TargetState) clearLeaving(sampledAt, now time.Time) bool {
	since := t.leaving.since.Load()
	if since == 0 || sampledAt.UnixNano()-since < int64(leavingSettleTime) {
		return false
	}
	t.leaving.clearedAt.Store(now.UnixNano())
	return t.leaving.since.CompareAndSwap(since, 0)
}
