package bbroute

import (
	"sync/atomic"
	"time"
)

// leavingState records whether a target is leaving and so must get no new
// requests.
type leavingState struct {
	since     atomic.Int64 // unix nanoseconds; 0 means not leaving
	clearedAt atomic.Int64 // unix nanoseconds; when the target's own report last cleared since
}

// Leaving reports whether the target gets no new requests because it is
// leaving.
func (t *TargetState) Leaving() bool { return t.leaving.since.Load() != 0 }

// MarkLeaving marks the target as leaving, by its own report or refusal, and
// reports whether that changed anything.
func (t *TargetState) MarkLeaving(now time.Time) bool {
	return t.leaving.since.CompareAndSwap(0, now.UnixNano())
}

// MarkLeavingByPeer marks the target as leaving by a peer's gossip, and reports
// whether that changed anything. For a while after the target's own report has
// cleared the mark, gossip is ignored; otherwise two instances could keep
// passing an outdated mark to each other.
func (t *TargetState) MarkLeavingByPeer(now time.Time) bool {
	clearedAt := t.leaving.clearedAt.Load()
	if clearedAt != 0 && now.UnixNano()-clearedAt < int64(peerLeavingIgnoreTime) {
		return false
	}
	return t.MarkLeaving(now)
}

// ShouldGossipLeaving reports whether the mark is recent enough to be sent to
// peers.
func (t *TargetState) ShouldGossipLeaving(now time.Time) bool {
	since := t.leaving.since.Load()
	return since != 0 && now.UnixNano()-since < int64(leavingGossipTime)
}

// clearLeaving clears the mark if the report that says so was sampled long
// enough after the mark was set, and reports whether it did.
func (t *TargetState) clearLeaving(sampledAt, now time.Time) bool {
	since := t.leaving.since.Load()
	if since == 0 || sampledAt.UnixNano()-since < int64(leavingSettleTime) {
		return false
	}
	t.leaving.clearedAt.Store(now.UnixNano())
	return t.leaving.since.CompareAndSwap(since, 0)
}
